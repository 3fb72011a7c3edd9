#include "call_cancellation.hpp"

#include <algorithm>

#include "endpoint_state.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

CallCancellation::CallCancellation(const RequestState& state, const EndpointTracker& endpoints)
    : state_(state), endpoints_(endpoints) {}

std::vector<MessageId> CallCancellation::overdue(bool slots_short) const {
  std::vector<MessageId> found;
  for (const auto& [call_id, call] : state_.calls.all()) {
    if (!is_overdue(call, slots_short)) continue;
    for (const MessageId id : call.requests) {
      const Request* const request = state_.requests.find(id);
      if (request == nullptr || request->completed || request->in_flight.empty()) continue;
      if (request->in_flight.begin()->second == call_id) found.push_back(id);
    }
  }
  return found;
}

void CallCancellation::cancel_if_overdue(Request& request, bool slots_short, DecisionPass& pass) const {
  const auto [attempt, call_id] = *request.in_flight.begin();
  const Call& call = *state_.calls.find(call_id);
  if (request.cancelled_attempt == attempt || !is_overdue(call, slots_short)) return;
  const Microseconds due = cancel_at(request, call, slots_short);
  if (pass.now < due) {
    pass.wake_up.no_later_than(due);
    return;
  }
  request.cancelled_attempt = attempt;
  pass.actions.add(action::Cancel{request.id, attempt});
}

bool CallCancellation::is_overdue(const Call& call, bool slots_short) {
  const EndpointCalls& at_endpoint = call.endpoint->calls;
  return at_endpoint.is_overtaken(call.sent_at) || (slots_short && at_endpoint.is_silent_since(call.sent_at));
}

Microseconds CallCancellation::cancel_at(const Request& request, const Call& call, bool slots_short) const {
  const ClassSettings& request_class = *request.request_class;
  const double objective = seconds(request_class.latency_objective);
  const LatencyEstimate& latency = call.endpoint->latency;
  double patience = slots_short ? latency.overdue_seconds() : latency.given_up_seconds();
  // Past its objective a request loses weight, but where all destinations answer slowly, waiting is cheaper
  // than another attempt.
  if (slots_short) patience = std::min(patience, objective) * std::max(1.0, endpoints_.slowness());
  // A cancelled request that must not be executed twice is lost.
  const bool is_lost = request_class.idempotency == Idempotency::non_idempotent;
  return call.sent_at + microseconds(std::max(is_lost ? objective : 0, patience));
}

}  // namespace heronvane::dispatch
