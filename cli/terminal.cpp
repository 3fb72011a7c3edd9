#include "terminal.hpp"

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <system_error>

namespace heronvane::cli {

bool is_terminal(int descriptor) { return ::isatty(descriptor) == 1; }

Size terminal_size(int descriptor) {
  winsize w{};
  Size size;
  if (::ioctl(descriptor, TIOCGWINSZ, &w) == 0) {
    if (w.ws_col > 0) size.columns = w.ws_col;
    if (w.ws_row > 0) size.rows = w.ws_row;
  }
  return size;
}

Style style_of(int descriptor) {
  if (!is_terminal(descriptor)) return {0, false};
  const char* const off = std::getenv("NO_COLOR");
  const char* const term = std::getenv("TERM");
  const bool dumb = term != nullptr && std::string_view(term) == "dumb";
  return {terminal_size(descriptor).columns, (off == nullptr || *off == '\0') && !dumb};
}

void put(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const auto n = ::write(descriptor, text.data(), text.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && errno == EAGAIN) {
      pollfd p{descriptor, POLLOUT, 0};
      ::poll(&p, 1, -1);
      continue;
    }
    if (n < 0) throw std::system_error(errno, std::generic_category(), "writing");
    text.remove_prefix(static_cast<std::size_t>(n));
  }
}

Interrupt::Interrupt() {
  sigset_t set;
  ::sigemptyset(&set);
  for (const int s : {SIGINT, SIGTERM, SIGHUP, SIGWINCH}) ::sigaddset(&set, s);
  ::pthread_sigmask(SIG_BLOCK, &set, &previous_mask_);
  fd_ = ::signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "signalfd");
}

Interrupt::~Interrupt() {
  // Discards pending signals, which would otherwise end the process once they are unblocked.
  signalfd_siginfo info;
  while (::read(fd_, &info, sizeof info) > 0) {
  }
  ::close(fd_);
  ::pthread_sigmask(SIG_SETMASK, &previous_mask_, nullptr);
}

Interrupt::Seen Interrupt::wait(int descriptor, std::optional<Instant> deadline) {
  for (;;) {
    int ms = -1;
    if (deadline) {
      const auto left =
          std::chrono::ceil<std::chrono::milliseconds>(*deadline - std::chrono::steady_clock::now());
      ms = static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 3'600'000));
    }
    pollfd p[2] = {{fd_, POLLIN, 0}, {descriptor, POLLIN, 0}};
    const auto n = ::poll(p, 2, ms);
    if (n < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "poll");
    if (n == 0 && deadline && std::chrono::steady_clock::now() >= *deadline) return Seen::late;
    if (n <= 0) continue;
    signalfd_siginfo info;
    if (::read(fd_, &info, sizeof info) == static_cast<ssize_t>(sizeof info))
      return info.ssi_signo == SIGWINCH ? Seen::resized : Seen::interrupted;
    if (p[1].revents != 0) return Seen::ready;
  }
}

Screen::Screen(int descriptor) : descriptor_(descriptor) {
  put(descriptor_, "\x1b[?1049h\x1b[?25l\x1b[H\x1b[2J");
}
Screen::~Screen() {
  try {
    put(descriptor_, "\x1b[?25h\x1b[?1049l");
  } catch (const std::exception&) {  // the terminal was closed
  }
}
void Screen::draw(const std::string& text) { put(descriptor_, frame(text, terminal_size(descriptor_).rows)); }

std::string frame(const std::string& text, std::size_t rows) {
  const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
  const bool fits = lines <= rows;
  const auto shown = fits ? lines : rows - 1;
  std::string out = "\x1b[H";
  std::size_t at = 0;
  for (std::size_t i = 0; i < shown; i++) {
    const auto end = text.find('\n', at);
    // No line end after the last row, since the terminal would scroll.
    out.append(text, at, end - at).append("\x1b[0m\x1b[K").append(i + 1 < rows ? "\r\n" : "");
    at = end + 1;
  }
  if (!fits) out += count(static_cast<std::int64_t>(lines - shown), "more line", "more lines") + "\x1b[K";
  return out + "\x1b[J";
}

}  // namespace heronvane::cli
