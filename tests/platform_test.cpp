// What the platform may answer: a relay that trusts no length, no head and no body of it.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kUnsafe = "pay-and-order";

class PlatformTest : public RelayTest {
 protected:
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

}  // namespace
}  // namespace heronvane::testing
