#include "streams.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace heronvane::fleet {

namespace {

constexpr std::size_t kPieceBytes = 64 << 10;
constexpr std::uint64_t kMaxSearchBytes = 4 << 20;  // bytes searched for the last lines
constexpr auto kPollInterval = std::chrono::milliseconds(200);

}  // namespace

void LineStream::push(std::string line, bool last) {
  if (last_) return;
  line += '\n';
  if (bytes_ + line.size() > max_bytes_) {
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
  struct stat file_info {};
  ::fstat(fd_, &file_info);
  const auto size = static_cast<std::uint64_t>(file_info.st_size);
  offset_ = size;
  std::size_t line_feeds = 0;
  std::string piece(kPieceBytes, '\0');
  for (std::uint64_t end = size; end > 0 && size - end < kMaxSearchBytes;) {
    const auto size_to_read = static_cast<std::size_t>(std::min<std::uint64_t>(end, kPieceBytes));
    if (::pread(fd_, piece.data(), size_to_read, static_cast<off_t>(end - size_to_read)) !=
        static_cast<ssize_t>(size_to_read))
      break;
    for (std::size_t i = size_to_read; i-- > 0;) {
      // The line feed at the end of the file belongs to the last line.
      if (piece[i] != '\n' || end - size_to_read + i + 1 == size) continue;
      if (++line_feeds == lines) {
        offset_ = end - size_to_read + i + 1;
        return;
      }
    }
    end -= size_to_read;
    offset_ = lines > 0 ? end : size;
  }
}

LogStream::~LogStream() {
  if (fd_ >= 0) ::close(fd_);
}

bool LogStream::open() {
  if (fd_ < 0) fd_ = ::open(file_.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW);
  return fd_ >= 0;
}

ApiStream::Piece LogStream::next() {
  if (!open()) return {"", !follow_};
  struct stat file_info {};
  if (::fstat(fd_, &file_info) == 0 && static_cast<std::uint64_t>(file_info.st_size) < offset_) offset_ = 0;
  std::string bytes(kPieceBytes, '\0');
  const ssize_t n = ::pread(fd_, bytes.data(), bytes.size(), static_cast<off_t>(offset_));
  bytes.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
  offset_ += bytes.size();
  const bool last = bytes.empty() && !follow_;
  return {std::move(bytes), last};
}

void LogStream::notify_when_ready(std::function<void()> wake) {
  timer_.expires_after(kPollInterval);
  timer_.async_wait([wake = std::move(wake)](boost::system::error_code ec) {
    if (!ec) wake();
  });
}

}  // namespace heronvane::fleet
