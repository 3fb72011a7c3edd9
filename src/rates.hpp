// Rates as the decisions reckon with them. No clock: every moment is handed in. Looking changes nothing, so
// that what is told does not hang on who looked before, and how often.
#pragma once

#include <algorithm>
#include <cmath>

#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

constexpr double kRateMemory = 4;  // seconds: memory of served-rate estimates

// Calls a second, forgetting old ones with a memory of so many seconds.
class Rate {
 public:
  explicit Rate(double memory) : memory_(memory) {}
  void start(Microseconds now) { first_ = last_ = now; }  // else with the first call
  void add(Microseconds now) {
    if (first_ < 0) first_ = last_ = now;
    sum_ = sum_ * std::exp(-seconds(now - last_) / memory_) + 1;
    last_ = now;
  }
  double at(Microseconds now) const {
    if (first_ < 0) return 0;
    const double seen = 1 - std::exp(-(seconds(now - first_) + 1) / memory_);
    return sum_ * std::exp(-seconds(now - last_) / memory_) / memory_ / seen;
  }

 private:
  double memory_, sum_ = 0;
  Microseconds first_ = -1, last_ = 0;
};

}  // namespace heronvane::dispatch
