// Requests on resting connections that cross a stop: each is answered, or its connection is reset unread.
#include <poll.h>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const std::string kSafe = "load-status";

// The client's side of a connection that has had one answer and rests.
class RestingClient {
 public:
  explicit RestingClient(tcp::socket socket) : socket_(std::move(socket)) {}

  // Whether all of the request could be written.
  bool send(const std::string& bytes) {
    error_code bad;
    net::write(socket_, net::buffer(bytes), bad);
    return !bad;
  }
  // The next answer's head and body; what came until the end where there is none.
  std::string read_answer() {
    http::response<http::string_body> answer;
    error_code bad;
    http::read(socket_, buffer_, answer, bad);
    if (bad) return {};
    return std::to_string(answer.result_int()) + (answer.keep_alive() ? " keep-alive" : " close");
  }
  // Whether nothing is left to read before the relay ended its sending.
  bool has_ended_cleanly() {
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  // Whether the relay reset the connection, also behind a clean end.
  bool was_reset() {
    pollfd watched{socket_.native_handle(), POLLIN, 0};
    return ::poll(&watched, 1, 0) > 0 && (watched.revents & POLLERR) != 0;
  }

 private:
  tcp::socket socket_;
  beast::flat_buffer buffer_;
};

class StopTest : public RelayTest {
 protected:
  // Hands in `id` on a new connection, which rests then.
  std::unique_ptr<RestingClient> rest_after(const std::string& id) {
    tcp::socket socket(io);
    socket.connect({net::ip::make_address(own_address()), port});
    auto client = std::make_unique<RestingClient>(std::move(socket));
    EXPECT_TRUE(client->send(request(id, kSafe)));
    EXPECT_EQ(client->read_answer(), "202 keep-alive");
    return client;
  }
  void wait_logged(const std::string& line) {
    wait_for([&] { return logged().find(line) != std::string::npos; }, line.c_str());
  }
  std::string fault_report() const {
    std::ifstream in(folder + "/report");
    return {std::istreambuf_iterator<char>(in), {}};
  }
};

// Guards against closing resting connections at SIGTERM, under the requests that are on their way there.
TEST_F(StopTest, RestingConnectionsAreAnsweredOnceMoreAfterSigterm) {
  start();
  constexpr int kClients = 15;  // two messages of each can be held
  std::vector<std::unique_ptr<RestingClient>> resting;
  for (int i = 0; i < kClients; i++) resting.push_back(rest_after("first-" + std::to_string(i)));
  send_signal(child, SIGTERM);
  wait_logged("stopping");
  for (int i = 0; i < kClients; i++)
    EXPECT_TRUE(resting[static_cast<std::size_t>(i)]->send(request("second-" + std::to_string(i), kSafe)));
  for (const auto& client : resting) EXPECT_EQ(client->read_answer(), "202 close");
  resting.clear();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 2u * kClients);
}

// Guards against an answer that ends its connection over further requests which were read with the first one.
TEST_F(StopTest, RequestsThatWereReadTogetherAreAllAnswered) {
  endpoint.on_request(stay_silent);
  start();
  const auto resting = rest_after("m1");
  stop_for(std::chrono::milliseconds(50), [&] {
    EXPECT_TRUE(resting->send(request("m2", kSafe) + request("m3", kSafe) + request("m4", kSafe)));
    send_signal(child, SIGTERM);
  });
  EXPECT_EQ(resting->read_answer(), "202 keep-alive");
  EXPECT_EQ(resting->read_answer(), "202 keep-alive");
  EXPECT_EQ(resting->read_answer(), "202 close");
  wait_logged("stopping");
}

// Guards against a request that comes between the relay's last look at a resting connection and its close:
// reading it away would end the connection cleanly, and its client could not tell that nobody has it.
TEST_F(StopTest, ARequestBehindTheLastLookAtARestingConnectionIsReset) {
  faults = "report = \"" + folder + "/report\"\n[[slow]]\ncall = \"ioctl\"\nms = 150\nwhile = \"" + folder +
           "/failing\"\n";
  start();
  const auto resting = rest_after("m1");
  wait_for([&] { return calls_of("m1") == 1; }, "the call");
  ASSERT_EQ(health(), 200u);
  set_faults(true);
  send_signal(child, SIGTERM);
  wait_for([&] { return fault_report().find("ioctl") != std::string::npos; }, "the last look is over");
  ASSERT_FALSE(resting->has_ended_cleanly()) << "the request has to come before the end";
  ASSERT_TRUE(resting->send(request("m2", kSafe)));
  wait_for([&] { return resting->was_reset() || resting->has_ended_cleanly(); }, "the connection ends");
  // The end may be seen before the reset that follows it.
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
  wait_for([&] { return resting->was_reset() || std::chrono::steady_clock::now() >= until; }, "a reset");
  EXPECT_TRUE(resting->was_reset());
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(calls_of("m2"), 0);
}

}  // namespace
}  // namespace heronvane::testing
