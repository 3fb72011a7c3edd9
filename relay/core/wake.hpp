// Tells that the loop stood still: the process was stopped, or the machine slept. What was decided before is
// old news then. No input or output here.
#pragma once

#include <time.h>

#include <algorithm>

#include "clock.hpp"

namespace heronvane {

// Time since the machine's start, its sleep included.
inline Time boot_now() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<Time>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1'000;
}

class WakeWatch {
 public:
  static constexpr Time kBeat = 500'000;        // the loop turns at least so often
  static constexpr Time kStopped = 2'000'000;   // stood still so long, it was stopped
  static constexpr Time kListTime = 1'000'000;  // for the list to come after that

  // How long the loop stood still before this turn, where that was a stop; else 0.
  Time turn(Time now) {
    const Time gap = last_ == 0 ? 0 : now - last_;
    last_ = now;
    return gap >= kStopped ? gap : 0;
  }

 private:
  Time last_ = 0;
};

}  // namespace heronvane
