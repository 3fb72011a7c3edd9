// Standard error that is blocked or closed: the relay continues to serve.
#include <fcntl.h>

#include <array>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

// A pipe filled to its capacity, which nobody reads.
class FullPipe {
 public:
  FullPipe() {
    EXPECT_EQ(::pipe2(ends_.data(), O_CLOEXEC), 0);
    const int flags = ::fcntl(ends_[1], F_GETFL);
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    ::fcntl(ends_[1], F_SETFL, flags | O_NONBLOCK);
    const std::string line(4095, '-');
    while (::write(ends_[1], line.data(), line.size()) > 0) {
    }
    ::fcntl(ends_[1], F_SETFL, flags);
  }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;
  ~FullPipe() {
    for (const int end : ends_) ::close(end);
  }
  int writer() const { return ends_[1]; }
  bool is_blocking() const { return (::fcntl(ends_[1], F_GETFL) & O_NONBLOCK) == 0; }
  const std::string& read() {
    std::array<char, 4096> chunk;
    for (ssize_t n; (n = ::read(ends_[0], chunk.data(), chunk.size())) > 0;)
      text_.append(chunk.data(), static_cast<std::size_t>(n));
    return text_;
  }

 private:
  std::array<int, 2> ends_{-1, -1};
  std::string text_;
};

class LogTest : public RelayTest {};

TEST_F(LogTest, AnUnreadPipeDoesNotBlockTheRelay) {
  FullPipe pipe;
  error_pipe = pipe.writer();
  start();
  for (int i = 0; i < 20; i++) {
    reload("{");
    ASSERT_EQ(hand_in("m" + std::to_string(i), "load-status"), 202u);
  }
  wait_for([&] { return endpoint.got.size() == 20; }, "the calls");
  EXPECT_TRUE(pipe.is_blocking()) << "the pipe's flags changed for other processes, too";
  const auto is_logged = [&] { return pipe.read().find("log: lost ") != std::string::npos; };
  wait_for(is_logged, "the count of lost lines is logged");
  const std::string& text = pipe.read();
  const auto at = text.find("log: lost ") + 10;
  EXPECT_GE(std::stoi(text.substr(at)), 1);
  EXPECT_EQ(text.find("the old one stays"), std::string::npos)
      << "a line was written while the pipe was full";
  // Lines are written again.
  reload("{");
  wait_for([&] { return pipe.read().find("the old one stays") != std::string::npos; }, "the next line");
}

// No file that the program opens may get the number of a standard stream and so receive its log lines.
TEST_F(LogTest, ClosedStreamsAreReplaced) {
  no_streams = true;
  start();
  for (const char* fd : {"0", "1", "2"})
    EXPECT_EQ(std::filesystem::read_symlink("/proc/" + std::to_string(child) + "/fd/" + fd), "/dev/null");
  reload("{");
  EXPECT_EQ(hand_in("m1", "load-status"), 202u);
  wait_for([&] { return !endpoint.got.empty(); }, "the call");
}

}  // namespace
}  // namespace heronvane::testing
