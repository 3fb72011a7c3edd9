// How soon a decision cycle may follow the last one. No clock: durations are handed in.
//
// Where the settings' minimum interval binds, after that. Elsewhere a request need not wait for it: cycles
// follow each other after a multiple of what one of them takes, so that under load they grow in place of
// their number.
#pragma once

#include <algorithm>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// Says how soon the next decision cycle may run.
class CyclePacing {
 public:
  using Microseconds = heronvane::dispatch::Microseconds;
  // `interval`: between two cycles; `early`: cycles may come sooner where something may be sent at once.
  CyclePacing(Microseconds interval, bool early) : interval_(interval), early_(early) {}

  // Records the duration of a cycle.
  void record_duration(Microseconds duration) {
    mean_ += kGain * (static_cast<double>(std::max<Microseconds>(duration, 0)) - mean_);
  }
  // From one cycle's start to the next one's at least: for what may be sent at once, and for all else.
  Microseconds urgent() const {
    if (!early_) return interval_;
    return std::clamp(static_cast<Microseconds>(kDurationMultiple * mean_),
                      std::min(kMinUrgentInterval, interval_), interval_);
  }
  Microseconds usual() const { return interval_; }

 private:
  static constexpr double kGain = 0.1;            // weight of the newest duration in the mean
  static constexpr double kDurationMultiple = 6;  // a seventh of the time is spent in cycles
  static constexpr Microseconds kMinUrgentInterval = 800;

  Microseconds interval_;
  bool early_;
  double mean_ = 0;  // duration of a cycle, microseconds
};

}  // namespace heronvane
