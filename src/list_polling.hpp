// When the endpoint list is asked for again.
#pragma once

#include "decision_pass.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// When to poll for the endpoint list.
class ListPolling {
 public:
  // A list or an update arrived. A scheduled poll stays scheduled: the list may be one of several parts, or
  // the answer to an earlier poll.
  void record_list() { gap_s_ = kFirstGapSeconds; }
  // Schedules a poll at `moment`, because the present list comes from a cache.
  void poll_at(Microseconds moment) { next_at_ = moment; }
  // Draws the time of the next poll; the gap doubles with each failure.
  void record_failure(DecisionPass& pass);

  // Polls if the time has come, else requests a wake-up. After a poll none is scheduled until a failure is
  // recorded.
  void poll_when_due(DecisionPass& pass);

 private:
  static constexpr double kFirstGapSeconds = 0.5;
  // A poll behind the longest jittered gap (2.5 s) and a further one, after the first fell silent (3.4 s),
  // lie within the 6 s from which on a change binds.
  static constexpr double kMostGapSeconds = 2;

  Microseconds next_at_ = kNever;
  double gap_s_ = kFirstGapSeconds;
};

}  // namespace heronvane::dispatch
