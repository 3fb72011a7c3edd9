// The rate of calls, as an exponentially weighted average.
#pragma once

#include <cmath>

#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// Memory of the rates of served calls.
constexpr double kServedRateMemorySeconds = 4;

// Reading it changes nothing, so that decisions do not depend on who read it before, or how often.
class CallRate {
 public:
  // Calls that lie `memory_s` back weigh 1/e of one made now.
  explicit CallRate(double memory_s) : memory_s_(memory_s) {}

  // Counts from `now` on; without it, from the first call on.
  void start(Microseconds now) {
    started_at_ = now;
    last_at_ = now;
  }
  void record(Microseconds now) {
    if (started_at_ < 0) start(now);
    weight_ = weight_ * std::exp(-seconds(now - last_at_) / memory_s_) + 1;
    last_at_ = now;
  }
  double per_second(Microseconds now) const {
    if (started_at_ < 0) return 0;
    // The filled share of the memory. The additional second keeps the first calls from counting as a burst.
    const double filled = 1 - std::exp(-(seconds(now - started_at_) + 1) / memory_s_);
    return weight_ * std::exp(-seconds(now - last_at_) / memory_s_) / memory_s_ / filled;
  }

 private:
  double memory_s_;
  double weight_ = 0;             // of all calls, as of last_at_
  Microseconds started_at_ = -1;  // below 0: nothing was counted
  Microseconds last_at_ = 0;
};

}  // namespace heronvane::dispatch
