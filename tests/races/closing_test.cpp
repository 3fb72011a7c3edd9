// Closing client connections: input that arrives during the close, and answers written just before.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const std::string kSafe = "load-status";

class ClosingTest : public RelayTest {
 protected:
  // A connection that the test reads synchronously.
  tcp::socket connect_sync() {
    tcp::socket socket(io);
    socket.connect({net::ip::make_address(own_address()), port});
    return socket;
  }
  // All input until the end of the connection, and the error that ended it.
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
  // Whether further sending causes no reset. A reset caused by one write arrives before the next one.
  bool can_send_on(tcp::socket& socket) {
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

// Closing a socket with unread input resets the connection, and a client that reads late loses the answer.
TEST_F(ClosingTest, TheLastAnswerIsDeliveredDespiteFurtherInput) {
  start();
  auto client = connect_sync();
  error_code bad;
  net::write(client, net::buffer(closing("m1") + std::string(200'000, 'x')), bad);
  wait_for([&] { return endpoint.got.size() == 1 && health() == 200; }, "the request is handled");
  const auto [text, end] = rest_of(client);
  EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 202") << end.message();
  EXPECT_EQ(end, net::error::eof) << end.message();
  EXPECT_TRUE(can_send_on(client)) << "further input must be discarded, not answered by a reset";
}

TEST_F(ClosingTest, RequestsAfterTheLastAnswerAreNotAccepted) {
  start();
  auto client = connect_sync();
  net::write(client, net::buffer(closing("m1") + request("m2", kSafe)));
  const auto [text, end] = rest_of(client);
  EXPECT_EQ(answers(text), 1u);
  EXPECT_EQ(end, net::error::eof) << end.message();
  EXPECT_EQ(hand_in("m3", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 2; }, "the calls");
  EXPECT_EQ(endpoint.got[1].request["X-Request-Id"], "m3");
}

// A client's first request arrives during the relay's shutdown, before its connection is closed, so it is
// served.
TEST_F(ClosingTest, AFirstRequestDuringShutdownIsAnswered) {
  start();
  auto new_client = connect_sync(), idle_client = connect_sync();
  net::write(idle_client, net::buffer(request("m1", kSafe)));
  std::string text(12, '\0');
  net::read(idle_client, net::buffer(text));
  EXPECT_EQ(text, "HTTP/1.1 202");
  send_signal(child, SIGTERM);
  wait_for([&] { return logged().find("stopping") != std::string::npos; }, "the shutdown begins");
  // The idle connection is closed, and not by a reset.
  const auto [rest, end] = rest_of(idle_client);
  EXPECT_EQ(end, net::error::eof) << end.message();
  idle_client.close();
  net::write(new_client, net::buffer(request("m2", kSafe)));
  const auto [answer, over] = rest_of(new_client);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 202") << over.message();
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  new_client.close();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 2u);
}

// A request sent on a connection that the shutdown has closed is not accepted: the client must send it
// elsewhere.
TEST_F(ClosingTest, ARequestAfterTheShutdownCloseIsNotAccepted) {
  start();
  auto idle_client = connect_sync();
  net::write(idle_client, net::buffer(request("m1", kSafe)));
  std::string text(12, '\0');
  net::read(idle_client, net::buffer(text));
  send_signal(child, SIGTERM);
  const auto [rest, end] = rest_of(idle_client);
  EXPECT_EQ(end, net::error::eof) << end.message();
  error_code bad;
  net::write(idle_client, net::buffer(request("m2", kSafe)), bad);
  EXPECT_TRUE(can_send_on(idle_client));
  const auto after = rest_of(idle_client);
  EXPECT_EQ(after.first, "");
  idle_client.close();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 1u);
  EXPECT_NE(logged().find("stopped: 0 messages left"), std::string::npos) << logged();
}

// An incomplete request is answered with the reason, and then the connection is closed cleanly.
TEST_F(ClosingTest, AnIncompleteRequestIsAnsweredWithTheReason) {
  start();
  auto client = connect_sync();
  net::write(client, net::buffer(request("m1", kSafe).substr(0, 60)));
  const auto [text, end] = rest_of(client);
  EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 400");
  EXPECT_NE(text.find("incomplete request"), std::string::npos) << text;
  EXPECT_EQ(end, net::error::eof) << end.message();
}

// Pending notices are sent before the process exits, as long as there is time.
TEST_F(ClosingTest, ShutdownWaitsForPendingNotices) {
  endpoint.on_request([](const Got& received) { received.session->close(); });
  finals_status = 503;
  start();
  EXPECT_EQ(hand_in("m1", "pay-and-order"), 202u);
  wait_for([&] { return refused_finals >= 1; }, "a notice that the platform rejects");
  send_signal(child, SIGTERM);
  wait_for([&] { return logged().find("stopping") != std::string::npos; }, "the shutdown begins");
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(1000);
  wait_for([&] { return std::chrono::steady_clock::now() >= until; }, "client connections are closed");
  finals_status = 204;
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
}

// Extra data that the platform sent after an answer must not count as the answer to the next notices. The
// platform rejects those at first, so they are sent again until it accepts them.
TEST_F(ClosingTest, AStrayAnswerDoesNotConfirmTheNextNotices) {
  endpoint.on_request([](const Got& received) { received.session->close(); });
  std::shared_ptr<Session> first;
  int refused = 0;
  platform.on_request([&](const Got& received) {
    if (received.request.method() != http::verb::post) return on_platform(received);
    if (!first) {
      first = received.session;
      return first->answer(204);
    }
    if (refused++ == 0) return received.session->answer(503);
    on_platform(received);
  });
  start();
  EXPECT_EQ(hand_in("m1", "pay-and-order"), 202u);
  wait_for([&] { return first != nullptr; }, "the first notice");
  for (int i = 0; i < 2; i++) EXPECT_EQ(health(), 200u);  // its answer is read before these
  first->write("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(hand_in("m2", "pay-and-order"), 202u);
  wait_for([&] { return !finals.empty(); }, "the second notice is retried until accepted");
  EXPECT_EQ(finals, "{\"id\":\"m2\",\"status\":\"undeliverable\"}\n");
}

}  // namespace
}  // namespace heronvane::testing
