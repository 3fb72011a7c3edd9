// Detects that the event loop stood still: the process was stopped, or the machine slept. What was decided
// before is out of date then. No input or output here.
#pragma once

#include <ctime>

#include "clock.hpp"

namespace heronvane {

// Time since the machine's start, its sleep included.
inline Microseconds boot_now() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<Microseconds>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1'000;
}

// Finds gaps between its calls that are longer than a heartbeat explains.
class SuspendDetector {
 public:
  static constexpr Microseconds kHeartbeatInterval = 500'000;   // the loop turns at least so often
  static constexpr Microseconds kSuspendThreshold = 2'000'000;  // stood still so long, it was suspended
  static constexpr Microseconds kListTimeout = 1'000'000;       // for the list to come after that

  // How long the loop stood still before this turn, where that was a suspension; else 0. `now` is boot_now().
  Microseconds observe(Microseconds now) {
    const Microseconds gap = last_ == 0 ? 0 : now - last_;
    last_ = now;
    return gap >= kSuspendThreshold ? gap : 0;
  }

 private:
  Microseconds last_ = 0;
};

}  // namespace heronvane
