#include "endpoint_selection.hpp"

#include <algorithm>

#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

// Cost of an endpoint that has an open call: below that of all others.
constexpr double kCostOfOpenCall = -1;
// Each cost is raised by a random share up to this, so that equal endpoints get equal load.
constexpr double kCostSpread = 0.1;
constexpr double kSlowStartCostFactor = 2;
constexpr double kOtherZoneCost = 0.02;  // seconds
// A recovered request is attempted at the latest when this share of its remaining time has passed.
constexpr double kFirstAttemptTimeShare = 0.9;

// Whether the endpoint may serve the request at all, apart from limits and health.
bool may_serve(const EndpointState& endpoint, const Request& request) {
  if (endpoint.info.listing != Listing::active) return false;
  const std::optional<int> zone = RetryPolicy::required_zone(request);
  return !zone || endpoint.info.zone == *zone;
}

// Whether the request is sent at a time drawn for it instead of by the admission probability: a recovered
// request that reached no endpoint yet, unless its rate-limit scope is presumed unavailable.
bool is_sent_at_drawn_time(const Request& request, const RateLimitScope& limits, const Settings& settings) {
  return request.unattempted && !limits.is_presumed_unavailable(settings);
}

// Whether the request must not serve as a health check of this endpoint: it must not be executed twice, the
// endpoint may lose the call as it did the last one, and another endpoint can still meet the latency
// objective.
bool risks_loss(const EndpointState& endpoint, const Request& request, Microseconds now) {
  return endpoint.health.is_ejected() && request.request_class->idempotency == Idempotency::non_idempotent &&
         endpoint.evidence.last_failure_possibly_executed() && now < request.objective_at;
}

}  // namespace

SendResult::Kind Ineligibility::kind() const {
  if (by_request_alone && awaits_health_check) return SendResult::Kind::retry_next_pass;
  if (by_request_alone) return SendResult::Kind::request_blocked;
  return awaits_health_check ? SendResult::Kind::awaiting_health_check : SendResult::Kind::subqueue_blocked;
}

EndpointSelection::EndpointSelection(const RequestState& state, EndpointTracker& endpoints)
    : state_(state), endpoints_(endpoints) {}

EndpointSelection::Choice EndpointSelection::choose(Request& request, const DestinationState& destination,
                                                    DecisionPass& pass) {
  Choice choice;
  double least_cost = 0;
  for (EndpointState* const endpoint : destination.endpoints) {
    if (!is_eligible(request, *endpoint, choice.ineligibility, pass)) continue;
    double candidate = kCostOfOpenCall;
    if (!endpoint->batching.has_room(pass.now))
      candidate = cost(*endpoint, pass.settings) * (1 + kCostSpread * pass.random.uniform());
    if (choice.endpoint != nullptr && candidate >= least_cost) continue;
    choice.endpoint = endpoint;
    least_cost = candidate;
  }
  return choice;
}

bool EndpointSelection::needs_admission(const Request& request, EndpointState& endpoint,
                                        const DecisionPass& pass) {
  if (endpoint.batching.has_room(pass.now) || !endpoint.health.is_healthy()) return false;
  return !is_sent_at_drawn_time(request, endpoint.limits(), pass.settings);
}

bool EndpointSelection::is_eligible(Request& request, EndpointState& endpoint, Ineligibility& reasons,
                                    DecisionPass& pass) {
  if (!may_serve(endpoint, request)) return false;
  const RateLimitScope& limits = endpoint.limits();
  const Microseconds held_until = is_sent_at_drawn_time(request, limits, pass.settings)
                                      ? limits.retry_after_until()
                                      : limits.held_until();
  if (held_until > pass.now) {
    reasons.until(held_until);
    return false;
  }
  if (endpoint.batching.has_room(pass.now)) return true;
  return !state_.calls.full() && may_start_call(request, endpoint, reasons, pass);
}

bool EndpointSelection::may_start_call(Request& request, EndpointState& endpoint, Ineligibility& reasons,
                                       DecisionPass& pass) {
  const RateLimitScope& limits = endpoint.limits();
  endpoints_.advance_health(endpoint, pass);
  const Microseconds ready_at =
      std::max(endpoints_.budget_ready_at(endpoint, pass.now), limits.send_rate_ready_at());
  // The health changes with time, whatever else blocks the endpoint.
  if (!endpoint.health.is_healthy()) reasons.until(endpoints_.health_ends_at(endpoint));
  if (ready_at > pass.now) {
    reasons.until(ready_at);
    return false;
  }
  if (risks_loss(endpoint, request, pass.now)) {
    reasons.by_request_alone = true;
    reasons.until(request.objective_at);
    return false;
  }
  if (static_cast<int>(endpoint.calls.size()) >= endpoints_.call_limit(endpoint, pass.now)) {
    if (endpoint.is_on_trial()) reasons.awaits_health_check = true;
    return false;
  }
  if (!endpoint.health.is_healthy() || !is_sent_at_drawn_time(request, limits, pass.settings)) return true;
  return is_first_attempt_due(request, limits, reasons, pass);
}

// The time of the first attempt is drawn uniformly from the time that is left. Admission probabilities would
// be too low: with hundreds of relays that restarted together they allow each far less than one call in that
// time, while the number of requests to attempt is bounded by what the relays held.
bool EndpointSelection::is_first_attempt_due(Request& request, const RateLimitScope& limits,
                                             Ineligibility& reasons, DecisionPass& pass) const {
  if (limits.admission().probability(pass.now) >= 1 || limits.serves_this_relay(pass.now)) return true;
  if (request.first_attempt_at == kNever) {
    const double left_s = seconds(state_.retry_policy.latest_attempt(request) - pass.now);
    request.first_attempt_at =
        pass.now + microseconds(kFirstAttemptTimeShare * pass.random.uniform() * left_s);
  }
  if (pass.now >= request.first_attempt_at) return true;
  reasons.by_request_alone = true;
  reasons.until(request.first_attempt_at);
  reasons.until(limits.admission().full_at());
  return false;
}

// In seconds: the expected wait at the endpoint, raised by the fee of its zone, plus kOtherZoneCost where it
// is in another zone than this relay.
double EndpointSelection::cost(const EndpointState& endpoint, const Settings& settings) {
  const auto zone = static_cast<std::size_t>(endpoint.info.zone);
  const bool has_fee = endpoint.has_own_limits && zone < settings.zone_costs.size();
  const double fee = has_fee ? settings.zone_costs[zone] : 0;
  const double load =
      static_cast<double>(endpoint.calls.size()) + 1 + endpoint.evidence.consecutive_failures();
  return load * endpoint.latency.recent() * (endpoint.health.is_slow_start() ? kSlowStartCostFactor : 1) *
             (1 + fee) +
         (endpoint.info.zone == settings.zone ? 0 : kOtherZoneCost);
}

}  // namespace heronvane::dispatch
