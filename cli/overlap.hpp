// Removes the lines of a followed log that are sent again after its stream was reopened. No I/O.
#pragma once

#include <deque>
#include <string>
#include <string_view>

namespace heronvane::cli {

// Remembers the last `capacity` lines that were shown, and skips them when a new stream repeats them. Not
// thread-safe.
class Overlap {
 public:
  explicit Overlap(std::size_t capacity) : capacity_(capacity) {}
  // The number of lines remembered; the next stream has to start with this many of the last lines.
  unsigned remembered() const { return static_cast<unsigned>(shown_.size()); }
  unsigned capacity() const { return static_cast<unsigned>(capacity_); }
  // Call after the stream ended. `log` holds the last capacity() lines of the log, or all of them if there
  // are fewer. Returns those that were not shown yet. The next stream then starts within the remembered
  // lines, unless more lines are logged in between.
  std::string catch_up(std::string_view log);
  // Adds bytes of the stream; returns the complete lines that are to be shown.
  std::string add(std::string_view bytes);

 private:
  void show(std::string& out, const std::string& line);
  bool matches_shown(const std::string& line);
  std::size_t capacity_;
  std::deque<std::string> shown_;   // the last lines shown, at most capacity_
  std::string partial_line_;        // the line that has no end yet
  std::deque<std::string> resent_;  // lines of the new stream that match shown lines so far
  std::size_t confirmed_ = 0;       // how many of resent_ were certainly shown: they match the end of shown_
  bool matching_ = false;           // the new stream is still being compared with shown_
};

}  // namespace heronvane::cli
