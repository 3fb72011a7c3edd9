// Events that become ready in one iteration of the event loop because the process was suspended: requests and
// their timeouts, two requests with one id, bursts of disconnected clients.
#include <algorithm>
#include <map>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::string kSafe = "load-status", kUnsafe = "pay-and-order";

class OneLoopIterationTest : public RelayTest {
 protected:
  // A request has 2.5 s from the connection's start or its first byte. The timeout passes while the relay is
  // suspended, briefly enough that the relay does not treat it as a suspension of the machine.
  template <class Meanwhile>
  void suspend_past_timeout(Meanwhile meanwhile) {
    const auto until = steady_clock::now() + milliseconds(1200);
    wait_for([&] { return steady_clock::now() >= until; }, "half of the timeout has passed");
    stop_for(milliseconds(1500), meanwhile);
  }
};

TEST_F(OneLoopIterationTest, AFirstRequestThatArrivedBeforeItsTimeoutIsServed) {
  start();
  const auto client = connect();
  suspend_past_timeout([&] { client->write(request("m1", kUnsafe)); });
  wait_for([&] { return client->ended || !client->answers.empty(); }, "an answer");
  ASSERT_EQ(client->answers.size(), 1u) << "closed without an answer";
  EXPECT_EQ(client->answers[0].result_int(), 202u);
}

TEST_F(OneLoopIterationTest, ARequestCompletedBeforeItsTimeoutIsServed) {
  start();
  const auto client = connect();
  client->write(request("m1", kUnsafe));
  wait_for([&] { return client->answers.size() == 1; }, "the first answer");
  const std::string whole = request("m2", kUnsafe);
  client->write(whole.substr(0, 60));
  suspend_past_timeout([&] { client->write(whole.substr(60)); });
  wait_for([&] { return client->ended || client->answers.size() == 2; }, "an answer");
  ASSERT_EQ(client->answers.size(), 2u) << "closed without an answer";
  EXPECT_EQ(client->answers[1].result_int(), 202u);
}

// Of two requests with one id and different classes only one counts: it is called once, and both clients get
// a 202.
TEST_F(OneLoopIterationTest, TwoSimultaneousRequestsWithOneIdAreOneMessage) {
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
  wait_for([&] { return calls_of("m2") == 1; }, "the call of the message after it");
  EXPECT_EQ(calls_of("m1"), 1);
}

// Many pipelined requests of clients that have closed or reset their connections by the time the relay reads
// them: other clients are served, each accepted message is called once, and no connection of the burst stays
// open.
TEST_F(OneLoopIterationTest, BurstsOfDisconnectedClientsDoNotBlockOthers) {
  start();
  EXPECT_EQ(hand_in("first", kSafe), 202u);
  let_clients_go();
  constexpr int kBursts = 6, kClients = 30, kRequests = 20;
  for (int c = 0; c < kBursts; c++) {
    stop_for(milliseconds(50), [&] {
      for (int i = 0; i < kClients; i++) {
        tcp::socket socket(io);
        socket.connect({net::ip::make_address(own_address()), port});
        std::string burst;
        for (int r = 0; r < kRequests; r++)
          burst += request("x" + std::to_string((c * kClients + i) * kRequests + r), kSafe);
        error_code ignored;
        net::write(socket, net::buffer(burst), ignored);
        if (i % 2 == 0) socket.set_option(net::socket_base::linger(true, 0));  // reset
      }
    });
    // The burst's requests are complete and fill the buffer, so this client retries until there is room. Its
    // message is worth more than theirs, so that it is not dropped in favour of them.
    wait_for([&] { return hand_in("usual-" + std::to_string(c), kUnsafe, "hello", "24000m") == 202u; },
             "another client is served");
  }
  for (int c = 0; c < kBursts; c++)
    wait_for([&] { return calls_of("usual-" + std::to_string(c)) > 0; }, "the other clients' calls");
  std::map<std::string, int> calls;
  for (const auto& received : endpoint.got) calls[std::string(received.request["X-Request-Id"])]++;
  for (const auto& [id, times] : calls) EXPECT_EQ(times, 1) << id;
  EXPECT_EQ(health(), 200u);
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
}

}  // namespace
}  // namespace heronvane::testing
