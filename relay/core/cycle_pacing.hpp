// Computes the minimum interval between decision cycles. Reads no clock: the caller passes durations.
//
// Normally it is the settings' minimum interval. If early cycles are allowed, an urgent cycle may follow
// sooner, after a multiple of the mean duration of a cycle: under load, cycles then handle more requests each
// instead of running more often.
#pragma once

#include <algorithm>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// All durations are in microseconds.
class CyclePacing {
 public:
  using Microseconds = heronvane::dispatch::Microseconds;
  // `interval` is the minimum interval; with `early`, cycles may run sooner if something can be sent at once.
  CyclePacing(Microseconds interval, bool early) : interval_(interval), early_(early) {}

  // Records the duration of a cycle.
  void record_duration(Microseconds duration) {
    mean_ += kGain * (static_cast<double>(std::max<Microseconds>(duration, 0)) - mean_);
  }
  // The minimum time from the start of a cycle to the start of the next: if something can be sent at once,
  // and otherwise.
  Microseconds urgent() const {
    if (!early_) return interval_;
    return std::clamp(static_cast<Microseconds>(kDurationMultiple * mean_),
                      std::min(kMinUrgentInterval, interval_), interval_);
  }
  Microseconds usual() const { return interval_; }

 private:
  static constexpr double kGain = 0.1;            // weight of the newest duration in the mean
  static constexpr double kDurationMultiple = 6;  // cycles take about a seventh of the time
  static constexpr Microseconds kMinUrgentInterval = 800;

  Microseconds interval_;
  bool early_;
  double mean_ = 0;  // duration of a cycle, microseconds
};

}  // namespace heronvane
