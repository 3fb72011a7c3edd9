// Requests on idle connections during shutdown: each is answered, or its connection is reset with the request
// unread.
#include <poll.h>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const std::string kSafe = "load-status";

// The client's side of an idle connection that has had one answer.
class IdleClient {
 public:
  explicit IdleClient(tcp::socket socket) : socket_(std::move(socket)) {}

  // Whether the whole request could be written.
  bool send(const std::string& bytes) {
    error_code bad;
    net::write(socket_, net::buffer(bytes), bad);
    return !bad;
  }
  // The next answer's status and whether it keeps the connection; empty if there is none.
  std::string read_answer() {
    http::response<http::string_body> answer;
    error_code bad;
    http::read(socket_, buffer_, answer, bad);
    if (bad) return {};
    return std::to_string(answer.result_int()) + (answer.keep_alive() ? " keep-alive" : " close");
  }
  // Whether the relay has shut down its sending and no input is left.
  bool has_ended_cleanly() {
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  // Whether the relay has reset the connection, even after a clean end.
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
  // Submits `id` on a new connection, which is idle afterwards.
  std::unique_ptr<IdleClient> idle_client_after(const std::string& id) {
    tcp::socket socket(io);
    socket.connect({net::ip::make_address(own_address()), port});
    auto client = std::make_unique<IdleClient>(std::move(socket));
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

// Guards against closing idle connections at SIGTERM while requests are on their way.
TEST_F(StopTest, IdleConnectionsAreServedOnceMoreAfterSigterm) {
  start();
  constexpr int kClients = 15;  // the relay can hold two messages of each
  std::vector<std::unique_ptr<IdleClient>> idle;
  for (int i = 0; i < kClients; i++) idle.push_back(idle_client_after("first-" + std::to_string(i)));
  send_signal(child, SIGTERM);
  wait_logged("stopping");
  for (int i = 0; i < kClients; i++)
    EXPECT_TRUE(idle[static_cast<std::size_t>(i)]->send(request("second-" + std::to_string(i), kSafe)));
  for (const auto& client : idle) EXPECT_EQ(client->read_answer(), "202 close");
  idle.clear();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 2u * kClients);
}

// Guards against an answer that ends its connection although further requests were read with the first one.
TEST_F(StopTest, PipelinedRequestsReadTogetherAreAllAnswered) {
  endpoint.on_request(stay_silent);
  start();
  const auto idle = idle_client_after("m1");
  stop_for(std::chrono::milliseconds(50), [&] {
    EXPECT_TRUE(idle->send(request("m2", kSafe) + request("m3", kSafe) + request("m4", kSafe)));
    send_signal(child, SIGTERM);
  });
  EXPECT_EQ(idle->read_answer(), "202 keep-alive");
  EXPECT_EQ(idle->read_answer(), "202 keep-alive");
  EXPECT_EQ(idle->read_answer(), "202 close");
  wait_logged("stopping");
}

// Guards against losing a request that arrives between the relay's last check of an idle connection and its
// close: if the relay discarded it, the connection would end cleanly, and the client could not tell that it
// was not accepted.
TEST_F(StopTest, ARequestArrivingWhileAnIdleConnectionIsClosedIsReset) {
  faults = "report = \"" + folder + "/report\"\n[[slow]]\ncall = \"ioctl\"\nms = 150\nwhile = \"" + folder +
           "/failing\"\n";
  start();
  const auto idle = idle_client_after("m1");
  wait_for([&] { return calls_of("m1") == 1; }, "the call");
  ASSERT_EQ(health(), 200u);
  set_faults(true);
  send_signal(child, SIGTERM);
  wait_for([&] { return fault_report().find("ioctl") != std::string::npos; }, "the last check is over");
  ASSERT_FALSE(idle->has_ended_cleanly()) << "the request has to come before the end";
  ASSERT_TRUE(idle->send(request("m2", kSafe)));
  wait_for([&] { return idle->was_reset() || idle->has_ended_cleanly(); }, "the connection ends");
  // The end may be seen before the reset that follows it.
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
  wait_for([&] { return idle->was_reset() || std::chrono::steady_clock::now() >= until; }, "a reset");
  EXPECT_TRUE(idle->was_reset());
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(calls_of("m2"), 0);
}

}  // namespace
}  // namespace heronvane::testing
