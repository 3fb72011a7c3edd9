// Chooses which endpoint of its destination gets a request: the cheapest of those that are eligible now.
//
// Owns nothing but refers to the owners of requests and endpoints, which must outlive it. A choice ends
// ejections and slow starts whose time is up, and draws random numbers.
#pragma once

#include <algorithm>

#include "decision_pass.hpp"
#include "endpoint_state.hpp"
#include "endpoint_tracker.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "rate_limit_scope.hpp"
#include "request.hpp"
#include "request_sender.hpp"
#include "request_state.hpp"

namespace heronvane::dispatch {

// Why the examined endpoints cannot get a request now, combined over all of them. Applies to all requests of
// the subqueue, unless `by_request_alone`. Applies until `retry_at`, unless something happens at the
// destination or, with `awaits_health_check`, a health check is allowed before.
struct Ineligibility {
  Microseconds retry_at = kNever;
  bool by_request_alone = false;
  bool awaits_health_check = false;

  void until(Microseconds moment) { retry_at = std::min(retry_at, moment); }
  // The result for a request for which no endpoint is eligible.
  SendResult::Kind kind() const;
};

// Chooses an endpoint for a request. Refers to the owners of requests and endpoints, keeps no state.
class EndpointSelection {
 public:
  EndpointSelection(const RequestState& state, EndpointTracker& endpoints);

  struct Choice {
    EndpointState* endpoint = nullptr;  // null: none is eligible
    Ineligibility ineligibility;        // of those that were not chosen
  };
  // The cheapest eligible endpoint of the destination. Draws once for each eligible one without an open call,
  // in their order.
  Choice choose(Request& request, const DestinationState& destination, DecisionPass& pass);

  // Whether a call to the endpoint is subject to the scope's admission probability.
  static bool needs_admission(const Request& request, EndpointState& endpoint, const DecisionPass& pass);

 private:
  bool is_eligible(Request& request, EndpointState& endpoint, Ineligibility& reasons, DecisionPass& pass);
  bool may_start_call(Request& request, EndpointState& endpoint, Ineligibility& reasons, DecisionPass& pass);
  bool is_first_attempt_due(Request& request, const RateLimitScope& limits, Ineligibility& reasons,
                            DecisionPass& pass) const;
  static double cost(const EndpointState& endpoint, const Settings& settings);

  const RequestState& state_;
  EndpointTracker& endpoints_;
};

}  // namespace heronvane::dispatch
