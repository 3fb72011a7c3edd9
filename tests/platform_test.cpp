// What the platform may answer: a relay that trusts no length, no head and no body of it.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kUnsafe = "pay-and-order";

class PlatformTest : public RelayTest {
 protected:
  // So that a list may take 4 MiB.
  std::string limits() override { return R"({"cores":1.0,"memory_mb":32,"sockets":256,"disk_mb":50})"; }
  // Answers the first posts of notices with these bytes, one each, and takes the next.
  void spoil(std::vector<std::string> answers) {
    endpoint.on_request([](const Got& g) { g.session->close(); });
    platform.on_request([this, answers = std::move(answers)](const Got& g) {
      if (g.request.method() != http::verb::post || spoilt >= answers.size()) return on_platform(g);
      g.session->write(answers[spoilt++]);
    });
  }
  std::size_t spoilt = 0;
};

// A length that no memory holds was reserved, and the relay ended.
TEST_F(PlatformTest, SpoiltAnswersToNoticesAreFailedPosts) {
  const std::string huge = "Content-Length: 100000000000\r\n\r\n";
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\n" + huge + "x",
      "HTTP/1.1 400 Bad\r\n" + huge + "x",
      "HTTP/1.1 200 OK\r\n" + huge,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nx",
      "HTTP/1.1 200 OK\r\nX-Long: " + std::string(200'000, 'x'),
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(200'000, 'x'),
      "\x01\x02 noise\r\n\r\n"};
  spoil(answers);
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  wait_for([&] { return !finals.empty(); }, "the notice is taken");
  EXPECT_EQ(spoilt, answers.size());
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(health(), 200u);
}

// The same of a list and of a watch: each is given up, and asked for again.
TEST_F(PlatformTest, SpoiltListsAreAskedForAgain) {
  const std::string huge = "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n{";
  const std::vector<std::string> answers = {
      huge,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n" + std::string(5 << 20, 'x'),
      "HTTP/1.1 200 OK\r\nX-Long: " + std::string(200'000, 'x')};
  std::size_t watched = 0;
  platform.on_request([&](const Got& g) {
    if (watched >= answers.size()) return on_platform(g);
    // It may close before all is written, so the rest is nobody's.
    g.session->write(answers[watched++]);
  });
  start();
  wait_for([&] { return !watches.empty(); }, "a sound watch");
  EXPECT_EQ(health(), 200u);
}

// Read and told in parts: all of it counts, also what its last part says; clients are answered meanwhile.
TEST_F(PlatformTest, LongListsAreTakenWhole) {
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
          return client->answers[0].result_int() == 202;  // 503 until the whole list was told
        },
        "the list is told");
    wait_for([&] { return endpoint.got.size() > before; }, "the call");
  };
  deliver("m1", 7), deliver("m2", 8);
  // The whole of it once more, without one: that one is gone, the others stay.
  tell(list(fillers + other));
  deliver("m3", 8);
  wait_for(
      [&] {
        const auto before = endpoint.got.size();
        const auto gone = "g" + std::to_string(before) + "-" + std::to_string(finals.size());
        EXPECT_EQ(hand_in(gone, kUnsafe, "x", "900m"), 202u);
        wait_for([&] { return endpoint.got.size() > before || finals.find(gone) != std::string::npos; },
                 "it is delivered or given up");
        return endpoint.got.size() == before;
      },
      "nothing goes to what is gone");
  deliver("m4", 8);
}

}  // namespace
}  // namespace heronvane::testing
