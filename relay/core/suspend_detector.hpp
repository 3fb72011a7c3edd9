// Detects that the process was stopped or the machine was suspended, by a gap between turns of the event
// loop. Decisions made before the gap are out of date then. Does no input or output.
#pragma once

#include <ctime>

#include "clock.hpp"

namespace heronvane {

// Microseconds since the machine was booted, including time in suspend.
inline Microseconds boot_now() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<Microseconds>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1'000;
}

// Finds gaps between calls of observe() that are too long for a running heartbeat.
class SuspendDetector {
 public:
  static constexpr Microseconds kHeartbeatInterval = 500'000;  // maximum time between turns of a running loop
  static constexpr Microseconds kSuspendThreshold = 2'000'000;  // a gap of this length counts as a suspension
  static constexpr Microseconds kListTimeout = 1'000'000;       // maximum wait for the list after that

  // Returns the time since the last call in microseconds if it counts as a suspension, else 0. `now` is
  // boot_now().
  Microseconds observe(Microseconds now) {
    const Microseconds gap = last_ == 0 ? 0 : now - last_;
    last_ = now;
    return gap >= kSuspendThreshold ? gap : 0;
  }

 private:
  Microseconds last_ = 0;
};

}  // namespace heronvane
