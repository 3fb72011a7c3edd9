// A clock that goes on over restarts, so that stored times stay valid.
//
// Persistent time is in microseconds and never goes back. While the machine runs it follows CLOCK_BOOTTIME: a
// step of the wall clock moves nothing, a restart of the process costs nothing. Over a reboot it goes on from
// the last anchor by the time that has passed on the wall clock, at least by 0: a deadline shifts by no more
// than the wall clock was set wrong meanwhile. assumed_gap() returns that part, so waits asked for by
// endpoints can be kept without relying on it.
#pragma once

#include <functional>
#include <string>

#include "store/records.hpp"

namespace heronvane::store {

struct ClockReading {
  Microseconds boottime = 0, wall = 0;
};
using ReadClocks = std::function<ClockReading()>;

ClockReading system_clocks();
// Identifies the boot of this machine; empty if the system does not tell.
std::string system_boot();

class PersistentClock {
 public:
  // Begins at the wall clock's time.
  explicit PersistentClock(std::string boot = system_boot(), ReadClocks read = system_clocks);

  // Continues from an anchor that an earlier process wrote.
  void resume(const Anchor& last);
  Microseconds now() const;
  Anchor anchor() const;
  // The part of the time since the last anchor that only the wall clock measured; 0 if the machine did not
  // reboot.
  Microseconds assumed_gap() const { return gap_; }

 private:
  std::string boot_;
  ReadClocks read_;
  Microseconds offset_ = 0;  // persistent time minus boottime
  Microseconds gap_ = 0;
};

}  // namespace heronvane::store
