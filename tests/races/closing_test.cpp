// Closing towards clients: what a client sends just then, and what was answered just before.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const std::string kSafe = "load-status";

class ClosingTest : public RelayTest {
 protected:
  // A connection that reads when the test says so.
  tcp::socket plain() {
    tcp::socket socket(io);
    socket.connect({net::ip::make_address(own_address()), port});
    return socket;
  }
  // All that comes until the end, and how it ended.
  static std::pair<std::string, error_code> rest_of(tcp::socket& socket) {
    std::string text;
    error_code bad;
    net::read(socket, net::dynamic_buffer(text), bad);
    return {text, bad};
  }
  static std::string closing(const std::string& id) {
    std::string text = request(id, kSafe);
    text.insert(text.find("X-Consignee"), "Connection: close\r\n");
    return text;
  }
  // Whether what is sent now meets no reset: that of the first piece is here before the second one goes.
  bool sends_on(tcp::socket& socket) {
    error_code bad;
    for (int i = 0; i < 3 && !bad; i++) {
      net::write(socket, net::buffer(std::string(100, 'x')), bad);
      EXPECT_NE(health(), 0u);
    }
    return !bad;
  }
  std::size_t answers(const std::string& text) {
    std::size_t n = 0;
    for (auto at = text.find("HTTP/1.1 "); at != std::string::npos; at = text.find("HTTP/1.1 ", at + 1)) n++;
    return n;
  }
};

// A close over unread bytes resets the connection, and takes the answer with it where the client reads late.
TEST_F(ClosingTest, TheLastAnswerOutlivesWhatTheClientSendsBehindIt) {
  start();
  auto client = plain();
  error_code bad;
  net::write(client, net::buffer(closing("m1") + std::string(200'000, 'x')), bad);
  wait_for([&] { return endpoint.got.size() == 1 && health() == 200; }, "the request is handled");
  const auto [text, end] = rest_of(client);
  EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 202") << end.message();
  EXPECT_EQ(end, net::error::eof) << end.message();
  EXPECT_TRUE(sends_on(client)) << "what it sends on is read away, not answered by a reset";
}

TEST_F(ClosingTest, NothingBehindTheLastAnswerIsTaken) {
  start();
  auto client = plain();
  net::write(client, net::buffer(closing("m1") + request("m2", kSafe)));
  const auto [text, end] = rest_of(client);
  EXPECT_EQ(answers(text), 1u);
  EXPECT_EQ(end, net::error::eof) << end.message();
  EXPECT_EQ(hand_in("m3", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 2; }, "the calls");
  EXPECT_EQ(endpoint.got[1].request["X-Request-Id"], "m3");
}

// The client's first request crosses the relay's stop: it came before the connection was closed, so it is
// served.
TEST_F(ClosingTest, AFirstRequestThatCrossesAStopIsAnswered) {
  start();
  auto fresh = plain(), used = plain();
  net::write(used, net::buffer(request("m1", kSafe)));
  std::string text(12, '\0');
  net::read(used, net::buffer(text));
  EXPECT_EQ(text, "HTTP/1.1 202");
  send_signal(child, SIGTERM);
  wait_for([&] { return logged().find("stopping") != std::string::npos; }, "it stops");
  // The one between requests is closed, and not by a reset.
  const auto [rest, end] = rest_of(used);
  EXPECT_EQ(end, net::error::eof) << end.message();
  used.close();
  net::write(fresh, net::buffer(request("m2", kSafe)));
  const auto [answer, over] = rest_of(fresh);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 202") << over.message();
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  fresh.close();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 2u);
}

// What is sent on a connection that the stop has closed belongs to nobody: the client sends it again
// elsewhere.
TEST_F(ClosingTest, ARequestBehindTheCloseOfAStopIsNotTaken) {
  start();
  auto used = plain();
  net::write(used, net::buffer(request("m1", kSafe)));
  std::string text(12, '\0');
  net::read(used, net::buffer(text));
  send_signal(child, SIGTERM);
  const auto [rest, end] = rest_of(used);
  EXPECT_EQ(end, net::error::eof) << end.message();
  error_code bad;
  net::write(used, net::buffer(request("m2", kSafe)), bad);
  EXPECT_TRUE(sends_on(used));
  const auto after = rest_of(used);
  EXPECT_EQ(after.first, "");
  used.close();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 1u);
  EXPECT_NE(logged().find("stopped: 0 messages left"), std::string::npos) << logged();
}

// Half a request is told why it came to nothing, and then the connection ends cleanly.
TEST_F(ClosingTest, HalfARequestIsToldWhy) {
  start();
  auto client = plain();
  net::write(client, net::buffer(request("m1", kSafe).substr(0, 60)));
  const auto [text, end] = rest_of(client);
  EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 400");
  EXPECT_NE(text.find("half a request"), std::string::npos) << text;
  EXPECT_EQ(end, net::error::eof) << end.message();
}

// A notice that is owed is told before the process ends, as long as there is time.
TEST_F(ClosingTest, AStopWaitsForTheNoticesThatAreOwed) {
  endpoint.on_request([](const Got& g) { g.session->close(); });
  finals_status = 503;
  start();
  EXPECT_EQ(hand_in("m1", "pay-and-order"), 202u);
  wait_for([&] { return refused_finals >= 1; }, "a notice that the platform does not take");
  send_signal(child, SIGTERM);
  wait_for([&] { return logged().find("stopping") != std::string::npos; }, "it stops");
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(1000);
  wait_for([&] { return std::chrono::steady_clock::now() >= until; }, "clients are done with");
  finals_status = 204;
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
}

// What the platform sent behind an answer is none for the next notices, which it refuses here at first: they
// are told again until it has them.
TEST_F(ClosingTest, AStrayAnswerIsNoneForTheNextNotices) {
  endpoint.on_request([](const Got& g) { g.session->close(); });
  std::shared_ptr<Session> first;
  int refused = 0;
  platform.on_request([&](const Got& g) {
    if (g.request.method() != http::verb::post) return on_platform(g);
    if (!first) {
      first = g.session;
      return first->answer(204);
    }
    if (refused++ == 0) return g.session->answer(503);
    on_platform(g);
  });
  start();
  EXPECT_EQ(hand_in("m1", "pay-and-order"), 202u);
  wait_for([&] { return first != nullptr; }, "the first notice");
  for (int i = 0; i < 2; i++) EXPECT_EQ(health(), 200u);  // its answer is read before these
  first->write("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(hand_in("m2", "pay-and-order"), 202u);
  wait_for([&] { return !finals.empty(); }, "the second notice is told until it is taken");
  EXPECT_EQ(finals, "{\"id\":\"m2\",\"status\":\"undeliverable\"}\n");
}

}  // namespace
}  // namespace heronvane::testing
