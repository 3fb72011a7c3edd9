// How soon a round may follow the last one. No clock: durations are handed in.
//
// Where the settings' tick binds, a tick. Elsewhere a message need not wait for it: rounds follow each other
// after some times what one of them takes, so that under load they grow in place of their number.
#pragma once

#include <algorithm>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

class CyclePacing {
 public:
  using Microseconds = heronvane::dispatch::Microseconds;
  CyclePacing(Microseconds tick, bool early) : tick_(tick), early_(early) {}

  // After a round that took so long.
  void ran(Microseconds took) {
    mean_ += kGain * (static_cast<double>(std::max<Microseconds>(took, 0)) - mean_);
  }
  // From one round to the next at least: for what may be sent at once, and for all else.
  Microseconds urgent() const {
    if (!early_) return tick_;
    return std::clamp(static_cast<Microseconds>(kTimes * mean_), std::min(kLeast, tick_), tick_);
  }
  Microseconds usual() const { return tick_; }

 private:
  static constexpr double kGain = 0.1, kTimes = 6;  // weight of the newest; a seventh of the time in rounds
  static constexpr Microseconds kLeast = 800;       // microseconds

  Microseconds tick_;
  bool early_;
  double mean_ = 0;
};

}  // namespace heronvane
