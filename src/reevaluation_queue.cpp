#include "reevaluation_queue.hpp"

namespace heronvane::dispatch {

void ReevaluationQueue::add(Request& request) {
  if (request.reevaluation_queued) return;
  request.reevaluation_queued = true;
  pending_.push_back(request.id);
}

void ReevaluationQueue::schedule(Request& request, Microseconds moment) {
  if (moment == request.reevaluate_at) return;
  remove(request);
  if (moment < kNever) scheduled_.insert({moment, request.id, &request});
  request.reevaluate_at = moment;
}

void ReevaluationQueue::remove(Request& request) {
  if (request.reevaluate_at < kNever) scheduled_.erase({request.reevaluate_at, request.id, &request});
  request.reevaluate_at = kNever;
}

void ReevaluationQueue::add_due(Microseconds now) {
  while (!scheduled_.empty() && scheduled_.begin()->at <= now) {
    Request& request = *scheduled_.begin()->request;
    scheduled_.erase(scheduled_.begin());
    request.reevaluate_at = kNever;
    add(request);
  }
}

}  // namespace heronvane::dispatch
