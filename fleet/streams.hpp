// Streams that API clients follow: the changes of an operation, the lines of a log.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "api.hpp"

namespace heronvane::fleet {

// A queue of pushed lines. If more than `max_bytes` are unread, all lines but the newest are dropped: each
// line holds the whole state.
class LineStream : public ApiStream {
 public:
  explicit LineStream(std::size_t max_bytes = 1 << 20) : max_bytes_(max_bytes) {}
  void push(std::string line, bool last);
  Piece next() override;
  void notify_when_ready(std::function<void()> wake) override { wake_ = std::move(wake); }

 private:
  std::size_t max_bytes_, bytes_ = 0;
  std::deque<std::string> lines_;
  bool last_ = false;
  std::function<void()> wake_;
};

// The last lines of a file and, if followed, what is appended to it. After a truncation, reading goes on from
// the start of the file. A missing file counts as empty.
class LogStream : public ApiStream {
 public:
  LogStream(boost::asio::io_context& io, std::string file, std::size_t lines, bool follow);
  ~LogStream() override;
  LogStream(const LogStream&) = delete;
  LogStream& operator=(const LogStream&) = delete;
  Piece next() override;
  void notify_when_ready(std::function<void()> wake) override;

 private:
  bool open();
  std::string file_;
  bool follow_;
  int fd_ = -1;
  std::uint64_t offset_ = 0;
  boost::asio::steady_timer timer_;
};

}  // namespace heronvane::fleet
