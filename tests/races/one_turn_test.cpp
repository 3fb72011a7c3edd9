// What is ready in one turn of the loop, since the process stood still: requests beside the end of their
// time, one id twice, bursts of clients that left.
#include <algorithm>
#include <map>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::string kSafe = "load-status", kUnsafe = "pay-and-order";

class OneTurnTest : public RelayTest {
 protected:
  // A request has 2.5 s from its connecting, or its first byte. Its time passes while the relay stands still,
  // for less than what it takes for a stop that it wakes from.
  template <class Meanwhile>
  void past_its_time(Meanwhile meanwhile) {
    const auto until = steady_clock::now() + milliseconds(1200);
    wait_for([&] { return steady_clock::now() >= until; }, "half of its time is over");
    stop_for(milliseconds(1500), meanwhile);
  }
};

TEST_F(OneTurnTest, AFirstRequestThatIsHereWhenItsTimeIsUpIsServed) {
  start();
  const auto client = connect();
  past_its_time([&] { client->write(request("m1", kUnsafe)); });
  wait_for([&] { return client->ended || !client->answers.empty(); }, "an answer");
  ASSERT_EQ(client->answers.size(), 1u) << "closed without one";
  EXPECT_EQ(client->answers[0].result_int(), 202u);
}

TEST_F(OneTurnTest, TheRestOfARequestThatIsHereWhenItsTimeIsUpIsServed) {
  start();
  const auto client = connect();
  client->write(request("m1", kUnsafe));
  wait_for([&] { return client->answers.size() == 1; }, "the first answer");
  const std::string whole = request("m2", kUnsafe);
  client->write(whole.substr(0, 60));
  past_its_time([&] { client->write(whole.substr(60)); });
  wait_for([&] { return client->ended || client->answers.size() == 2; }, "an answer");
  ASSERT_EQ(client->answers.size(), 2u) << "closed without one";
  EXPECT_EQ(client->answers[1].result_int(), 202u);
}

// Of two with one id, and another class, one stands: it is called once, and both are told that it was taken
// on.
TEST_F(OneTurnTest, TwoOfOneIdAreOne) {
  start();
  const auto one = connect(), other = connect();
  for (const auto& client : {one, other}) {
    client->write(request("used-" + std::to_string(client == one), kSafe));
    wait_for([&] { return client->answers.size() == 1; }, "its first answer");
  }
  stop_for(milliseconds(100), [&] {
    one->write(request("m1", kUnsafe));
    other->write(request("m1", kSafe, "other"));
  });
  wait_for([&] { return one->answers.size() == 2 && other->answers.size() == 2; }, "both answers");
  EXPECT_EQ(one->answers[1].result_int(), 202u);
  EXPECT_EQ(other->answers[1].result_int(), 202u);
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return calls_of("m2") == 1; }, "what came after it");
  EXPECT_EQ(calls_of("m1"), 1);
}

// Many requests in one go, by clients that are gone, reset or shut, when the relay comes to read them: usual
// clients are served among them, each message that was taken on is called once, and nothing of the crowd
// stays.
TEST_F(OneTurnTest, BurstsOfClientsThatLeftShutNobodyOut) {
  start();
  EXPECT_EQ(hand_in("first", kSafe), 202u);
  let_clients_go();
  constexpr int kCrowds = 6, kClients = 30, kRequests = 20;
  for (int c = 0; c < kCrowds; c++) {
    stop_for(milliseconds(50), [&] {
      for (int i = 0; i < kClients; i++) {
        tcp::socket leaver(io);
        leaver.connect({net::ip::make_address(own_address()), port});
        std::string burst;
        for (int r = 0; r < kRequests; r++)
          burst += request("x" + std::to_string((c * kClients + i) * kRequests + r), kSafe);
        error_code ignored;
        net::write(leaver, net::buffer(burst), ignored);
        if (i % 2 == 0) leaver.set_option(net::socket_base::linger(true, 0));  // reset
      }
    });
    // The crowd's are whole requests, and fill the buffer: it comes again until there is room. It is worth
    // more than they are, so that it is not handed back for them.
    wait_for([&] { return hand_in("usual-" + std::to_string(c), kUnsafe, "hello", "24000m") == 202u; },
             "a usual client's turn");
  }
  for (int c = 0; c < kCrowds; c++)
    wait_for([&] { return calls_of("usual-" + std::to_string(c)) > 0; }, "the usual clients' calls");
  std::map<std::string, int> calls;
  for (const auto& g : endpoint.got) calls[std::string(g.request["X-Request-Id"])]++;
  for (const auto& [id, times] : calls) EXPECT_EQ(times, 1) << id;
  EXPECT_EQ(health(), 200u);
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
}

}  // namespace
}  // namespace heronvane::testing
