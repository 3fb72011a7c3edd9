// What API requests follow: an operation's changes, a log's lines.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "api.hpp"

namespace heronvane::fleet {

// Lines that are pushed. A reader that is behind by more than `most` bytes misses all but the newest: each
// line tells the whole.
class LineStream : public ApiStream {
 public:
  explicit LineStream(std::size_t most = 1 << 20) : most_(most) {}
  void push(std::string line, bool last);
  Piece next() override;
  void when_more(std::function<void()> wake) override { wake_ = std::move(wake); }

 private:
  std::size_t most_, bytes_ = 0;
  std::deque<std::string> lines_;
  bool last_ = false;
  std::function<void()> wake_;
};

// A file's last lines, and what is appended to it. A file that was cut goes on from its start; one that is
// not there is empty.
class LogStream : public ApiStream {
 public:
  LogStream(boost::asio::io_context& io, std::string file, std::size_t lines, bool follow);
  ~LogStream() override;
  LogStream(const LogStream&) = delete;
  LogStream& operator=(const LogStream&) = delete;
  Piece next() override;
  void when_more(std::function<void()> wake) override;

 private:
  bool open();
  std::string file_;
  bool follow_;
  int descriptor_ = -1;
  std::uint64_t at_ = 0;
  boost::asio::steady_timer timer_;
};

}  // namespace heronvane::fleet
