// Malformed and oversized answers of the platform, and long lists.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kUnsafe = "pay-and-order";

class PlatformTest : public RelayTest {
 protected:
  // With this memory a list may have 4 MiB.
  std::string limits() override { return R"({"cores":1.0,"memory_mb":32,"sockets":256,"disk_mb":50})"; }
  // Answers the first posts of notices with one of these answers each, and accepts the next post.
  void break_answers(std::vector<std::string> answers) {
    endpoint.on_request([](const Got& received) { received.session->close(); });
    platform.on_request([this, answers = std::move(answers)](const Got& received) {
      if (received.request.method() != http::verb::post || broken_sent >= answers.size())
        return on_platform(received);
      received.session->write(answers[broken_sent++]);
    });
  }
  std::size_t broken_sent = 0;
};

// Guards against reserving memory for an absurd Content-Length, which ended the relay.
TEST_F(PlatformTest, BrokenAnswersToNoticesAreRetried) {
  const std::string huge = "Content-Length: 100000000000\r\n\r\n";
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\n" + huge + "x",
      "HTTP/1.1 400 Bad\r\n" + huge + "x",
      "HTTP/1.1 200 OK\r\n" + huge,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nx",
      "HTTP/1.1 200 OK\r\nX-Long: " + std::string(200'000, 'x'),
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(200'000, 'x'),
      "\x01\x02 noise\r\n\r\n"};
  break_answers(answers);
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  wait_for([&] { return !finals.empty(); }, "the notice is taken");
  EXPECT_EQ(broken_sent, answers.size());
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(health(), 200u);
}

// The same for lists and watches: each broken one is given up and requested again.
TEST_F(PlatformTest, BrokenListsAreRequestedAgain) {
  const std::string huge = "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n{";
  const std::vector<std::string> answers = {
      huge,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n" + std::string(5 << 20, 'x'),
      "HTTP/1.1 200 OK\r\nX-Long: " + std::string(200'000, 'x')};
  std::size_t watched = 0;
  platform.on_request([&](const Got& received) {
    if (watched >= answers.size()) return on_platform(received);
    // The relay may close the connection before all is written.
    received.session->write(answers[watched++]);
  });
  start();
  wait_for([&] { return !watches.empty(); }, "a valid watch");
  EXPECT_EQ(health(), 200u);
}

// A long list is parsed and applied in parts, the last one included, and clients are served meanwhile.
TEST_F(PlatformTest, LongListsAreAppliedCompletely) {
  std::string fillers;
  for (int i = 0; i < 6'000; i++) {
    auto one = member("filler-" + std::to_string(i), "127.0.0.1:1");
    one.replace(one.find("\"group\":7"), 9, "\"group\":" + std::to_string(1'000 + i));
    fillers += one + ",";
  }
  auto other = member("s-2", endpoint.address());
  other.replace(other.find("\"group\":7"), 9, "\"group\":8");
  members = fillers + member("s-1", endpoint.address()) + "," + other;
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  const auto deliver = [&](const std::string& id, int group) {
    const auto before = endpoint.got.size();
    wait_for(
        [&] {
          const auto client = connect();
          auto bytes = request(id, kUnsafe, "x", "24000m");
          bytes.replace(bytes.find("dest=7"), 6, "dest=" + std::to_string(group));
          client->write(bytes);
          wait_for([&] { return !client->answers.empty(); }, "an answer");
          return client->answers[0].result_int() == 202;  // 503 until the full list is applied
        },
        "the list is applied");
    wait_for([&] { return endpoint.got.size() > before; }, "the call");
  };
  deliver("m1", 7), deliver("m2", 8);
  // The full list again without s-1: that endpoint is removed, the others stay.
  tell(list(fillers + other));
  deliver("m3", 8);
  wait_for(
      [&] {
        const auto before = endpoint.got.size();
        const auto id = "g" + std::to_string(before) + "-" + std::to_string(finals.size());
        EXPECT_EQ(hand_in(id, kUnsafe, "x", "900m"), 202u);
        wait_for([&] { return endpoint.got.size() > before || finals.find(id) != std::string::npos; },
                 "it is delivered or given up");
        return endpoint.got.size() == before;
      },
      "nothing is sent to the removed endpoint");
  deliver("m4", 8);
}

}  // namespace
}  // namespace heronvane::testing
