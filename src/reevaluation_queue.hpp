// Which requests are to be evaluated in this decision pass, and when the others are to be evaluated because
// of time alone.
//
// Keeps a mark and a moment in each request that it knows (reevaluation_queued, reevaluate_at), which nothing
// else writes. A request must be removed before it is erased. Not synchronised, used on the dispatcher's
// thread only.
#pragma once

#include <set>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "request.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// The requests to evaluate in this pass, and the scheduled evaluations of others.
class ReevaluationQueue {
 public:
  // Something happened to the request: it is evaluated in this pass.
  void add(Request& request);

  // Schedules an evaluation at `moment`; kNever: only when something happens to the request. Replaces what
  // was scheduled.
  void schedule(Request& request, Microseconds moment);

  // Drops what was scheduled. The request's id may still be in pending().
  void remove(Request& request);

  // Adds the requests that are scheduled for `now` or before.
  void add_due(Microseconds now);

  // The ids of those that were added, in that order. Some may be unknown by now or occur twice.
  const std::vector<MessageId>& pending() const { return pending_; }

  // Ends the pass: nothing is pending. The marks are removed by mark_evaluated().
  void clear_pending() { pending_.clear(); }
  static void mark_evaluated(Request& request) { request.reevaluation_queued = false; }

  // The earliest scheduled moment; kNever where there is none.
  Microseconds next_due() const { return scheduled_.empty() ? kNever : scheduled_.begin()->at; }

 private:
  struct Scheduled {
    Microseconds at = 0;
    MessageId id = 0;
    Request* request = nullptr;
    bool operator<(const Scheduled& other) const { return at != other.at ? at < other.at : id < other.id; }
  };

  std::vector<MessageId> pending_;
  std::set<Scheduled> scheduled_;
};

}  // namespace heronvane::dispatch
