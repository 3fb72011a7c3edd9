// The health of one endpoint, and the one place that logs its changes.
#pragma once

#include <string_view>

#include "decision_pass.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// Why an endpoint is in the health that it enters.
enum class HealthChange {
  ejected_connect_failed,
  ejected_errors,
  ejected_unanswered,
  ejected_rejections,
  served_after_ejection,  // ejected -> slow_start
  outage_expired,         // ejected -> slow_start: what is known of the outage is too old
  warmed_up,              // slow_start -> healthy
  scope_served_again,     // healthy -> slow_start: its rate-limit scope returned from an outage
};

// The health of one endpoint: a state machine.
class EndpointHealth {
 public:
  Health state() const { return state_; }
  bool is_healthy() const { return state_ == Health::healthy; }
  bool is_ejected() const { return state_ == Health::ejected; }
  bool is_slow_start() const { return state_ == Health::slow_start; }
  // When the present health was entered; a confirmed ejection counts from its confirmation.
  Microseconds since() const { return since_; }
  // When the present health ends by time alone, where `window` is its longest time.
  Microseconds ends_at(Microseconds window) const { return since_ + window; }

  // Enters the health that `change` leads to and logs it; confirming an ejection logs nothing.
  void apply(DecisionPass& pass, HealthChange change, const EndpointId& endpoint);
  // Takes a health that was `learned` at an earlier moment: by an earlier incarnation, which is logged, or
  // with a new endpoint from its siblings, which is not.
  void restore(DecisionPass& pass, Health learned, Microseconds since, const EndpointId& endpoint);
  void copy_from(const EndpointHealth& sibling) { *this = sibling; }
  // A new endpoint takes the health of its rate-limit scope, which is not logged.
  void join(Health of_scope, Microseconds since);

 private:
  Health state_ = Health::healthy;
  Microseconds since_ = 0;
};

}  // namespace heronvane::dispatch
