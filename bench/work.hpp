// What all measurements share: the messages, the clock they live by, figures of many runs.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "core/message.hpp"
#include "store/store.hpp"

namespace heronvane::bench {

using Clock = std::chrono::steady_clock;

struct Settings {
  std::filesystem::path folder;  // on the disk that is measured; what the program makes in it it removes
  int repeats = 3;
  double seconds = 1.0;  // of each throughput measurement
  std::vector<std::string> parts;
};

// Where the store's clock stands: it goes on with the work, so that ids are forgotten after the same number
// of messages on a fast and on a slow side.
struct WorkClock {
  Microseconds now = 1'000'000;
  store::ReadClocks read() {
    return [this] { return store::ClockReading{now, 1'700'000'000'000'000 + now}; };
  }
};

// An id of 16 characters, a body of `body` bytes; the deadline is `now`, so that its id is remembered for the
// window from then on.
Message make_message(std::uint64_t n, Microseconds now, std::size_t body = 200);

// Bytes that this process has handed to write() and its like (wchar of /proc/self/io).
std::uint64_t process_wchar();

double seconds_since(Clock::time_point from);

// Samples of one quantity.
class Samples {
 public:
  void add(double v) { all_.push_back(v), sorted_ = false; }
  bool empty() const { return all_.empty(); }
  std::size_t count() const { return all_.size(); }
  double quantile(double q) const;  // 0 where there are none
  double median() const { return quantile(0.5); }
  double max() const { return quantile(1); }
  // "median (min-max)"
  std::string spread(int digits, double scale = 1) const;

 private:
  mutable std::vector<double> all_;
  mutable bool sorted_ = false;
};

std::string text(double v, int digits);

// A plain table: columns as wide as their widest entry.
class Table {
 public:
  explicit Table(std::vector<std::string> head) : rows_{std::move(head)} {}
  void row(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
  void print(const std::string& title) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// A folder made anew, that goes with its files.
class Scratch {
 public:
  Scratch(const std::filesystem::path& parent, const std::string& name);
  ~Scratch();
  Scratch(const Scratch&) = delete;
  Scratch& operator=(const Scratch&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

// The measurements.
void throughput(const Settings& settings);
void recovery(const Settings& settings);
void compaction(const Settings& settings);
void amplification(const Settings& settings);
void memory(const Settings& settings);

}  // namespace heronvane::bench
