// The record of a day: one line of text for each thing the module put out, and digests of these lines. Log
// actions count by their place alone; their texts have a digest of their own. Doubles are written by their
// bits.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "types.hpp"

namespace decisions {

// FNV-1a over 64 bits.
class Digest {
 public:
  void add(const std::string& line);
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325;
};

class Recorder {
 public:
  // Each line goes to `lines` too, where it is not null; it must outlive the recorder. With `log_texts` the
  // lines of log actions hold their texts.
  Recorder(std::ostream* lines, bool log_texts) : lines_(lines), log_texts_(log_texts) {}

  void begin_round(Micros now, std::size_t events);
  void add(const Action& action);
  void add_states(const char* title, const std::vector<LearnedState>& states);
  void add_gauges(std::size_t waiting, std::size_t kept);
  void add_validation(int probe, bool accepted, const std::string& reason);

  std::uint64_t events() const { return events_; }
  std::uint64_t actions() const { return actions_; }
  std::uint64_t logs() const { return logs_; }
  std::uint64_t digest() const { return all_.value(); }
  std::uint64_t log_places() const { return log_places_.value(); }
  std::uint64_t log_texts() const { return log_text_digest_.value(); }

 private:
  void add_log(const std::string& text);
  void write(const std::string& line);

  std::ostream* lines_;
  bool log_texts_;
  Digest all_, log_places_, log_text_digest_;
  std::uint64_t events_ = 0, actions_ = 0, logs_ = 0;
};

}  // namespace decisions
