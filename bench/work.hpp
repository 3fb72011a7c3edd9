// Shared by all measurements: generated messages, the simulated clock, and statistics over runs.
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
  std::filesystem::path
      folder;  // on the disk to measure; the program removes the files that it creates there
  int repeats = 3;
  double seconds = 1.0;  // of each throughput measurement
  std::vector<std::string> parts;
};

// The clock that the store reads. It advances with the work, so that ids expire after the same number of
// messages on a fast and on a slow side.
struct WorkClock {
  Microseconds now = 1'000'000;
  store::ReadClocks read() {
    return [this] { return store::ClockReading{now, 1'700'000'000'000'000 + now}; };
  }
};

// Makes a message with an id of 16 characters and a body of `body` bytes. Its deadline is `now`, so that its
// id is remembered for the window after `now`.
Message make_message(std::uint64_t n, Microseconds now, std::size_t body = 200);

// Returns the bytes that this process has passed to write() and similar calls (wchar of /proc/self/io).
std::uint64_t process_wchar();

double seconds_since(Clock::time_point from);

// Samples of one quantity.
class Samples {
 public:
  void add(double v) { all_.push_back(v), sorted_ = false; }
  bool empty() const { return all_.empty(); }
  std::size_t count() const { return all_.size(); }
  double quantile(double q) const;  // 0 if there are no samples
  double median() const { return quantile(0.5); }
  double max() const { return quantile(1); }
  // Formats the samples as "median (min-max)", each multiplied by `scale`.
  std::string spread(int digits, double scale = 1) const;

 private:
  mutable std::vector<double> all_;
  mutable bool sorted_ = false;
};

std::string text(double v, int digits);

// A text table; each column is as wide as its widest entry.
class Table {
 public:
  explicit Table(std::vector<std::string> head) : rows_{std::move(head)} {}
  void row(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
  void print(const std::string& title) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// Creates a folder and removes it with its files when destroyed. Throws if the folder exists.
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
