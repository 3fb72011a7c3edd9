// Time that goes on over restarts, so that what is written holds after them.
//
// Lasting time is in microseconds and never goes back. While the machine runs it follows CLOCK_BOOTTIME: a
// step of the wall clock moves nothing, a restart of the process costs nothing. Over a reboot it goes on from
// the last anchor by what the wall clock says has passed, never by less than nothing: a deadline moves by no
// more than the wall clock was set wrong meanwhile. assumed_gap() tells that part, so that told waits can be
// kept without it.
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
// Names this run of the machine; empty where the system does not tell.
std::string system_boot();

class PersistentClock {
 public:
  // Begins at the wall clock's time.
  explicit PersistentClock(std::string boot = system_boot(), ReadClocks read = system_clocks);

  // Goes on from an anchor that an earlier life wrote.
  void resume(const Anchor& last);
  Microseconds now() const;
  Anchor anchor() const;
  // Of the time since the last anchor, what only the wall clock vouches for; 0 where the machine ran on.
  Microseconds assumed_gap() const { return gap_; }

 private:
  std::string boot_;
  ReadClocks read_;
  Microseconds offset_ = 0;  // lasting time less boottime
  Microseconds gap_ = 0;
};

}  // namespace heronvane::store
