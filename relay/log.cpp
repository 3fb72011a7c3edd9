#include "log.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <cstdio>

#include "clock.hpp"

namespace heronvane {

namespace {

constexpr std::size_t kMostLine = PIPE_BUF;  // so much a pipe takes whole or not at all
constexpr auto kLookGap = std::chrono::seconds(1);

std::string stamped(const std::string& line) {
  const Microseconds now = wall_now();
  char time[48];
  std::snprintf(time, sizeof time, "%lld.%06lld ", static_cast<long long>(now / 1'000'000),
                static_cast<long long>(now % 1'000'000));
  std::string text = time + line;
  if (text.size() >= kMostLine) text.replace(kMostLine - 4, std::string::npos, "...");
  return text + "\n";
}

// Standard error, written to without ever waiting for its reader.
class Sink {
 public:
  Sink() {
    struct stat about {};
    if (::fstat(STDERR_FILENO, &about) != 0) return;
    socket_ = S_ISSOCK(about.st_mode);
    // Opened anew, since a flag on the inherited one would hold for all processes that share it. Where that
    // can't be, poll() alone guards: one who writes between it and the write may still make that wait.
    if (S_ISFIFO(about.st_mode)) own_ = ::open("/proc/self/fd/2", O_WRONLY | O_NONBLOCK | O_CLOEXEC);
  }
  Sink(const Sink&) = delete;
  Sink& operator=(const Sink&) = delete;
  ~Sink() {
    if (own_ >= 0) ::close(own_);
  }

  void line(const std::string& text) {
    tell_lost();
    if (lost_ > 0 || !put(text)) lost_++;
  }
  void tell_lost() {
    if (lost_ > 0 && put(stamped("log: lost " + std::to_string(lost_) + " lines"))) lost_ = 0;
  }

 private:
  // False if nothing of it was taken. What is left of a line that was taken in part goes first later.
  bool put(const std::string& text) {
    if (!rest_.empty()) rest_.erase(0, take(rest_));
    if (!rest_.empty()) return false;
    const std::size_t taken = take(text);
    if (taken > 0) rest_ = text.substr(taken);
    return taken > 0;
  }
  std::size_t take(const std::string& text) const {
    ssize_t n = 0;
    do {
      if (socket_) {
        n = ::send(STDERR_FILENO, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        continue;
      }
      pollfd out{own_ >= 0 ? own_ : STDERR_FILENO, POLLOUT, 0};
      if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) return 0;
      n = ::write(out.fd, text.data(), text.size());
    } while (n < 0 && errno == EINTR);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }

  int own_ = -1;
  bool socket_ = false;
  std::string rest_;
  std::size_t lost_ = 0;
};

// The process has one standard error.
Sink& sink() {
  static Sink the_one;
  return the_one;
}

}  // namespace

void open_standard_streams() {
  // The lowest number that is free is given out.
  for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++)
    if (::fcntl(fd, F_GETFD) < 0 && ::open("/dev/null", O_RDWR) != fd) return;
}

void log(const std::string& line) { sink().line(stamped(line)); }

void LostLineReporter::look() {
  sink().tell_lost();
  timer_.expires_after(kLookGap);
  timer_.async_wait([this](boost::system::error_code bad) {
    if (!bad) look();
  });
}

void CounterLog::add(const char* why) {
  const bool waiting = !counts_.empty();
  counts_[why]++;
  if (waiting) return;
  timer_.expires_after(std::chrono::seconds(1));
  timer_.async_wait([this](boost::system::error_code bad) {
    if (bad) return;
    std::string line = what_ + ":";
    for (const auto& [reason, n] : counts_) line += " " + reason + " (" + std::to_string(n) + ")";
    counts_.clear();
    log(line);
  });
}

}  // namespace heronvane
