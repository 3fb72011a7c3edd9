#include "log.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdio>

#include "clock.hpp"

namespace heronvane {

namespace {

constexpr std::size_t kMaxLineBytes = PIPE_BUF;  // writes to a pipe of up to this size are atomic
constexpr auto kReportInterval = std::chrono::seconds(1);
constexpr auto kCounterInterval = std::chrono::seconds(1);
constexpr const char* kEllipsis = "...";
constexpr Microseconds kSecond = 1'000'000;
constexpr std::size_t kMaxTimeBytes = 48;  // of a time as text

// "1700000000.000001 LINE\n"
std::string with_time(const std::string& line) {
  const Microseconds now = wall_now();
  std::array<char, kMaxTimeBytes> time{};
  std::snprintf(time.data(), time.size(), "%lld.%06lld ", static_cast<long long>(now / kSecond),
                static_cast<long long>(now % kSecond));
  std::string text = time.data() + line;
  if (text.size() >= kMaxLineBytes) text.replace(kMaxLineBytes - 4, std::string::npos, kEllipsis);
  return text + "\n";
}

// Writes to standard error without blocking.
class NonBlockingStderr {
 public:
  NonBlockingStderr() {
    struct stat status {};
    if (::fstat(STDERR_FILENO, &status) != 0) return;
    is_socket_ = S_ISSOCK(status.st_mode);
    // A pipe is opened again, since O_NONBLOCK on the inherited descriptor would apply to all processes that
    // share it. If that fails, only poll() protects against blocking: a write still blocks if another process
    // fills the pipe between the two.
    if (S_ISFIFO(status.st_mode)) own_fd_ = ::open("/proc/self/fd/2", O_WRONLY | O_NONBLOCK | O_CLOEXEC);
  }
  NonBlockingStderr(const NonBlockingStderr&) = delete;
  NonBlockingStderr& operator=(const NonBlockingStderr&) = delete;
  ~NonBlockingStderr() {
    if (own_fd_ >= 0) ::close(own_fd_);
  }

  void write_line(const std::string& text) {
    report_lost();
    if (lost_ > 0 || !write(text)) lost_++;
  }

  void report_lost() {
    if (lost_ > 0 && write(with_time("log: lost " + std::to_string(lost_) + " lines"))) lost_ = 0;
  }

 private:
  // False if nothing of `text` was written. The rest of a partly written line is written before the next one.
  bool write(const std::string& text) {
    if (!rest_.empty()) rest_.erase(0, write_some(rest_));
    if (!rest_.empty()) return false;
    const std::size_t written = write_some(text);
    if (written > 0) rest_ = text.substr(written);
    return written > 0;
  }

  // Returns the number of bytes written; 0 if the descriptor would block, and on errors.
  std::size_t write_some(const std::string& text) const {
    ssize_t size = 0;
    do {
      size = is_socket_ ? ::send(STDERR_FILENO, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL)
                        : write_if_ready(text);
    } while (size < 0 && errno == EINTR);
    return size > 0 ? static_cast<std::size_t>(size) : 0;
  }

  // As write(2), but returns 0 if the descriptor is not writable now.
  ssize_t write_if_ready(const std::string& text) const {
    pollfd out{own_fd_ >= 0 ? own_fd_ : STDERR_FILENO, POLLOUT, 0};
    if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) return 0;
    return ::write(out.fd, text.data(), text.size());
  }

  int own_fd_ = -1;  // for a pipe; -1: use standard error itself
  bool is_socket_ = false;
  std::string rest_;      // of a partly written line
  std::size_t lost_ = 0;  // lines since the last report
};

// The process has one standard error.
NonBlockingStderr& standard_error() {
  static NonBlockingStderr instance;
  return instance;
}

}  // namespace

void open_standard_streams() {
  // open() returns the lowest number that is free.
  for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++) {
    if (::fcntl(fd, F_GETFD) < 0 && ::open("/dev/null", O_RDWR) != fd) return;
  }
}

void log(const std::string& line) { standard_error().write_line(with_time(line)); }

void LostLineReporter::report() {
  standard_error().report_lost();
  timer_.expires_after(kReportInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) report();
  });
}

void CounterLog::add(const std::string& reason) {
  const bool waiting = !counts_.empty();
  counts_[reason]++;
  if (waiting) return;
  timer_.expires_after(kCounterInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) write();
  });
}

void CounterLog::write() {
  std::string line = subject_ + ":";
  for (const auto& [reason, count] : counts_) line += " " + reason + " (" + std::to_string(count) + ")";
  counts_.clear();
  log(line);
}

}  // namespace heronvane
