#include "list_polling.hpp"

#include <algorithm>

namespace heronvane::dispatch {

void ListPolling::record_failure(DecisionPass& pass) {
  next_at_ = pass.now + microseconds(pass.random.jittered(gap_s_));
  gap_s_ = std::min(2 * gap_s_, kMostGapSeconds);
}

void ListPolling::poll_when_due(DecisionPass& pass) {
  if (pass.now < next_at_) {
    pass.wake_up.no_later_than(next_at_);
    return;
  }
  next_at_ = kNever;
  pass.actions.add(action::Subscribe{true});
}

}  // namespace heronvane::dispatch
