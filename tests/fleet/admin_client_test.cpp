// The admin client with relays that answer, don't answer, send too much, or don't exist.
#include "admin_client.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>

namespace heronvane::fleet::testing {
namespace {

namespace net = boost::asio;
using local = net::local::stream_protocol;
using boost::system::error_code;

class AdminClientTest : public ::testing::Test {
 protected:
  AdminClientTest() {
    folder = (std::filesystem::temp_directory_path() / ("heronvane-admin-test-" + std::to_string(::getpid())))
                 .string();
    std::filesystem::create_directories(folder);
  }
  ~AdminClientTest() override { std::filesystem::remove_all(folder); }

  void serve(std::function<void(std::shared_ptr<local::socket>)> on_connection) {
    acceptor.emplace(io, local::endpoint(folder + "/admin.sock"));
    accept(std::move(on_connection));
  }
  void accept(std::function<void(std::shared_ptr<local::socket>)> on_connection) {
    acceptor->async_accept([this, on_connection](error_code ec, local::socket socket) {
      if (ec) return;
      connections.push_back(std::make_shared<local::socket>(std::move(socket)));
      on_connection(connections.back());
      accept(on_connection);
    });
  }
  AdminAnswer ask(std::chrono::milliseconds timeout = std::chrono::seconds(30)) {
    std::optional<AdminAnswer> received;
    ask_admin(
        io, {folder, false, "/v1/status", ""},
        [&](AdminAnswer answer) {
          EXPECT_FALSE(received);
          received = std::move(answer);
        },
        timeout);
    EXPECT_FALSE(received);  // never from within the call
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!received && std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
    EXPECT_TRUE(received);
    return received.value_or(AdminAnswer{});
  }
  net::io_context io;
  std::string folder;
  std::optional<local::acceptor> acceptor;
  std::vector<std::shared_ptr<local::socket>> connections;
};

TEST_F(AdminClientTest, ReturnsStatusAndBodyOfTheAnswer) {
  serve([](auto socket) {
    const auto text = std::make_shared<std::string>("HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}");
    net::async_write(*socket, net::buffer(*text), [socket, text](error_code, std::size_t) {});
  });
  const auto answer = ask();
  EXPECT_EQ(answer.status, 409u);
  EXPECT_EQ(answer.body, "{}");
}
TEST_F(AdminClientTest, AMissingSocketOrFolderGivesNoAnswer) {
  EXPECT_EQ(ask().status, 0u);
  std::filesystem::remove_all(folder);
  const auto answer = ask();
  EXPECT_EQ(answer.status, 0u);
  EXPECT_FALSE(answer.error.empty());
}
// An agent without free descriptors must not conclude that all its relays have stopped answering, and end
// them.
TEST_F(AdminClientTest, LackOfDescriptorsIsALocalFailure) {
  EXPECT_FALSE(ask().local_failure);  // no listener
  const int next = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  ::close(next);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(next);
  std::optional<AdminAnswer> received;
  ::setrlimit(RLIMIT_NOFILE, &none);
  ask_admin(io, {folder, false, "/v1/status", ""}, [&](AdminAnswer answer) { received = std::move(answer); });
  ::setrlimit(RLIMIT_NOFILE, &before);
  io.restart();
  io.run();
  ASSERT_TRUE(received);
  EXPECT_EQ(received->status, 0u);
  EXPECT_TRUE(received->local_failure) << received->error;
}
TEST_F(AdminClientTest, ASilentRelayTimesOut) {
  serve([](auto) {});
  EXPECT_EQ(ask(std::chrono::milliseconds(100)).status, 0u);
}
TEST_F(AdminClientTest, ATooLongAnswerGivesNoAnswer) {
  const auto text = std::make_shared<std::string>("HTTP/1.1 200 X\r\nContent-Length: 999999999\r\n\r\n");
  serve([text](auto socket) {
    net::async_write(*socket, net::buffer(*text), [socket, text](error_code, std::size_t) {});
  });
  EXPECT_EQ(ask().status, 0u);
}
TEST_F(AdminClientTest, AMalformedAnswerGivesNoAnswer) {
  const auto text = std::make_shared<std::string>("nonsense\r\n\r\n");
  serve([text](auto socket) {
    net::async_write(*socket, net::buffer(*text), [socket, text](error_code, std::size_t) {});
  });
  EXPECT_EQ(ask().status, 0u);
}
// A relay stopped by SIGSTOP: connections queue up until the accept queue is full.
TEST_F(AdminClientTest, AFullAcceptQueueGivesNoAnswerWithoutBlocking) {
  acceptor.emplace(io);
  acceptor->open();
  acceptor->bind(local::endpoint(folder + "/admin.sock"));
  acceptor->listen(0);
  for (int i = 0; i < 5; i++) EXPECT_EQ(ask(std::chrono::milliseconds(20)).status, 0u);
}

}  // namespace
}  // namespace heronvane::fleet::testing
