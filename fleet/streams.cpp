#include "streams.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace heronvane::fleet {

namespace {

constexpr std::size_t kPiece = 64 << 10;
constexpr std::uint64_t kMostBack = 4 << 20;  // that is searched for the last lines
constexpr auto kLookGap = std::chrono::milliseconds(200);

}  // namespace

void LineStream::push(std::string line, bool last) {
  if (last_) return;
  line += '\n';
  if (bytes_ + line.size() > most_) {
    lines_.clear();
    bytes_ = 0;
  }
  bytes_ += line.size();
  lines_.push_back(std::move(line));
  last_ = last;
  if (const auto wake = std::exchange(wake_, nullptr)) wake();
}

ApiStream::Piece LineStream::next() {
  Piece p;
  if (!lines_.empty()) {
    p.bytes = std::move(lines_.front());
    lines_.pop_front();
    bytes_ -= p.bytes.size();
  }
  p.last = last_ && lines_.empty();
  return p;
}

LogStream::LogStream(boost::asio::io_context& io, std::string file, std::size_t lines, bool follow)
    : file_(std::move(file)), follow_(follow), timer_(io) {
  if (!open()) return;
  struct stat about {};
  ::fstat(descriptor_, &about);
  const auto size = static_cast<std::uint64_t>(about.st_size);
  at_ = size;
  std::size_t breaks = 0;
  std::string piece(kPiece, '\0');
  for (std::uint64_t end = size; end > 0 && size - end < kMostBack;) {
    const auto take = static_cast<std::size_t>(std::min<std::uint64_t>(end, kPiece));
    if (::pread(descriptor_, piece.data(), take, static_cast<off_t>(end - take)) !=
        static_cast<ssize_t>(take))
      break;
    for (std::size_t i = take; i-- > 0;) {
      // The break at the very end belongs to the last line.
      if (piece[i] != '\n' || end - take + i + 1 == size) continue;
      if (++breaks == lines) {
        at_ = end - take + i + 1;
        return;
      }
    }
    end -= take;
    at_ = lines > 0 ? end : size;
  }
}

LogStream::~LogStream() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

bool LogStream::open() {
  if (descriptor_ < 0) descriptor_ = ::open(file_.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW);
  return descriptor_ >= 0;
}

ApiStream::Piece LogStream::next() {
  if (!open()) return {"", !follow_};
  struct stat about {};
  if (::fstat(descriptor_, &about) == 0 && static_cast<std::uint64_t>(about.st_size) < at_) at_ = 0;
  std::string bytes(kPiece, '\0');
  const ssize_t n = ::pread(descriptor_, bytes.data(), bytes.size(), static_cast<off_t>(at_));
  bytes.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
  at_ += bytes.size();
  const bool last = bytes.empty() && !follow_;
  return {std::move(bytes), last};
}

void LogStream::when_more(std::function<void()> wake) {
  timer_.expires_after(kLookGap);
  timer_.async_wait([wake = std::move(wake)](boost::system::error_code bad) {
    if (!bad) wake();
  });
}

}  // namespace heronvane::fleet
