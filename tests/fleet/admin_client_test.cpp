// Asking relays that answer, that are silent, that talk without end, and that are not there.
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

  void serve(std::function<void(std::shared_ptr<local::socket>)> with) {
    acceptor.emplace(io, local::endpoint(folder + "/admin.sock"));
    accept(std::move(with));
  }
  void accept(std::function<void(std::shared_ptr<local::socket>)> with) {
    acceptor->async_accept([this, with](error_code bad, local::socket s) {
      if (bad) return;
      kept.push_back(std::make_shared<local::socket>(std::move(s)));
      with(kept.back());
      accept(with);
    });
  }
  AdminAnswer ask(std::chrono::milliseconds patience = std::chrono::seconds(30)) {
    std::optional<AdminAnswer> got;
    ask_admin(
        io, {folder, false, "/v1/status", ""},
        [&](AdminAnswer a) {
          EXPECT_FALSE(got);
          got = std::move(a);
        },
        patience);
    EXPECT_FALSE(got);  // never from within the call
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!got && std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(50));
    }
    EXPECT_TRUE(got);
    return got.value_or(AdminAnswer{});
  }
  net::io_context io;
  std::string folder;
  std::optional<local::acceptor> acceptor;
  std::vector<std::shared_ptr<local::socket>> kept;
};

TEST_F(AdminClientTest, AnAnswerComes) {
  serve([](auto s) {
    const auto text = std::make_shared<std::string>("HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}");
    net::async_write(*s, net::buffer(*text), [s, text](error_code, std::size_t) {});
  });
  const auto a = ask();
  EXPECT_EQ(a.status, 409u);
  EXPECT_EQ(a.body, "{}");
}
TEST_F(AdminClientTest, NoSocketAndNoFolderAreNoAnswer) {
  EXPECT_EQ(ask().status, 0u);
  std::filesystem::remove_all(folder);
  const auto a = ask();
  EXPECT_EQ(a.status, 0u);
  EXPECT_FALSE(a.error.empty());
}
// Else an agent that has no descriptor left would take all its relays for silent, and end them.
TEST_F(AdminClientTest, WantOfDescriptorsIsNotTheRelaysSilence) {
  EXPECT_FALSE(ask().local_failure);  // nobody listens
  const int next = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  ::close(next);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(next);
  std::optional<AdminAnswer> got;
  ::setrlimit(RLIMIT_NOFILE, &none);
  ask_admin(io, {folder, false, "/v1/status", ""}, [&](AdminAnswer a) { got = std::move(a); });
  ::setrlimit(RLIMIT_NOFILE, &before);
  io.restart();
  io.run();
  ASSERT_TRUE(got);
  EXPECT_EQ(got->status, 0u);
  EXPECT_TRUE(got->local_failure) << got->error;
}
TEST_F(AdminClientTest, ASilentOneIsNotWaitedForLong) {
  serve([](auto) {});
  EXPECT_EQ(ask(std::chrono::milliseconds(100)).status, 0u);
}
TEST_F(AdminClientTest, OneThatTalksWithoutEndIsCutOff) {
  const auto text = std::make_shared<std::string>("HTTP/1.1 200 X\r\nContent-Length: 999999999\r\n\r\n");
  serve([text](auto s) { net::async_write(*s, net::buffer(*text), [s, text](error_code, std::size_t) {}); });
  EXPECT_EQ(ask().status, 0u);
}
TEST_F(AdminClientTest, GarbageIsNoAnswer) {
  const auto text = std::make_shared<std::string>("nonsense\r\n\r\n");
  serve([text](auto s) { net::async_write(*s, net::buffer(*text), [s, text](error_code, std::size_t) {}); });
  EXPECT_EQ(ask().status, 0u);
}
// As of a relay that was stopped: connections queue up until no more are taken.
TEST_F(AdminClientTest, AFullQueueIsNoAnswerAndBlocksNothing) {
  acceptor.emplace(io);
  acceptor->open();
  acceptor->bind(local::endpoint(folder + "/admin.sock"));
  acceptor->listen(0);
  for (int i = 0; i < 5; i++) EXPECT_EQ(ask(std::chrono::milliseconds(20)).status, 0u);
}

}  // namespace
}  // namespace heronvane::fleet::testing
