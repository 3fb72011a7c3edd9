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

// Calls allowed to an endpoint that warms up, from a moment on: the rate is `full` (above 0) times the
// warmth, which rises by `rise` a second from `warm`, and at most `most`.
class Growth {
 public:
  Growth(double full, double most, double warm, double rise)
      : full_(full), most_(most), warm_(warm), rise_(rise) {
    if (full * warm >= most)
      bent_ = 0;
    else if (rise > 0)
      bent_ = (most / full - warm) / rise;  // endless where most is
  }
  // Calls allowed in the first so many seconds.
  double after(double s) const {
    const double risen = std::min(s, bent_);
    return full_ * risen * (warm_ + rise_ * risen / 2) + (s > bent_ ? most_ * (s - bent_) : 0);
  }
  // The seconds in which so many calls are allowed.
  double until(double calls) const {
    const double there = bent_ < kUnbounded ? after(bent_) : kUnbounded;
    if (calls > there) return bent_ + (calls - there) / most_;
    if (rise_ <= 0) return calls / std::max(full_ * warm_, 1e-9);
    return (std::sqrt(warm_ * warm_ + 2 * rise_ * calls / full_) - warm_) / rise_;
  }

 private:
  double full_, most_, warm_, rise_;
  double bent_ = kUnbounded;  // seconds until the rate is `most`
};

}  // namespace heronvane::dispatch
