#include "call_sender.hpp"

#include <algorithm>
#include <utility>

#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

// The shortest time-outs, in latency objectives. Longer for non-idempotent requests, which a time-out loses.
constexpr double kLeastTimeoutObjectives = 2.5;
constexpr double kLeastTimeoutObjectivesNonIdempotent = 5;

}  // namespace

CallSender::CallSender(RequestState& state, RequestLifecycle& lifecycle, EndpointTracker& endpoints)
    : state_(state), lifecycle_(lifecycle), endpoints_(endpoints), selection_(state, endpoints) {}

SendResult CallSender::try_send(Request& request, DecisionPass& pass) {
  if (!state_.retry_policy.has_attempt_left(request, pass.now)) return {};
  const DestinationState* const destination = endpoints_.registry().find(request.destination);
  if (destination == nullptr) return {};
  const EndpointSelection::Choice choice = selection_.choose(request, *destination, pass);
  const Microseconds retry_at = choice.ineligibility.retry_at;
  if (choice.endpoint == nullptr) return {choice.ineligibility.kind(), retry_at};
  EndpointState& endpoint = *choice.endpoint;
  if (EndpointSelection::needs_admission(request, endpoint, pass) && !endpoint.limits().admit(pass)) {
    // Another endpoint may admit the request in the next pass.
    if (destination->endpoints.size() > 1) pass.wake_up.no_later_than(pass.now);
    return {SendResult::Kind::retry_next_pass, retry_at};
  }
  send(request, endpoint, pass);
  return {SendResult::Kind::sent, retry_at};
}

bool CallSender::is_health_check_allowed(const Settings& settings) const {
  return endpoints_.health_check_slots().is_any_free(settings);
}

std::size_t CallSender::health_checks_in_flight() const { return endpoints_.health_check_slots().in_use(); }

std::vector<EndpointState*> CallSender::take_open_endpoints() { return std::exchange(open_endpoints_, {}); }

void CallSender::send(Request& request, EndpointState& endpoint, DecisionPass& pass) {
  if (!endpoint.batching.has_room(pass.now)) start_call(request, endpoint, pass);
  const CallId call = endpoint.batching.open_call();
  endpoint.batching.add_request();
  state_.calls.add_request(call, request.id);
  lifecycle_.record_sent(request, call);
  action::Send action{request.id, endpoint.info.id, timeout(request, endpoint, pass.now), {}};
  action.start_within = state_.retry_policy.start_within(request, pass.now);
  pass.actions.add(std::move(action));
}

void CallSender::start_call(const Request& request, EndpointState& endpoint, DecisionPass& pass) {
  const bool is_first_attempt = request.attempts_made == 0;
  const CallId call = state_.calls.start(endpoint, pass.now);
  endpoints_.record_call_began(endpoint, call, is_first_attempt, pass);
  if (endpoint.batching.trusted() <= 1) return;
  open_endpoints_.push_back(&endpoint);
  unblock_followers(request, pass.now);
}

// Requests that follow the first one of a call in order of urgency may join the call, whatever blocked them
// before.
void CallSender::unblock_followers(const Request& first, Microseconds now) {
  const Microseconds delivery = Priority::expected_delivery(now);
  const double first_urgency = state_.priority.urgency(first.weight_curve(), delivery);
  state_.send_queue.unblock_if(first.destination, [&](const SendQueue::Entry& other) {
    const double urgency = state_.priority.urgency(request_of(other).weight_curve(), delivery);
    return urgency < first_urgency || (urgency == first_urgency && other.id > first.id);
  });
}

Microseconds CallSender::timeout(const Request& request, const EndpointState& endpoint, Microseconds now) {
  const ClassSettings& request_class = *request.request_class;
  const bool is_lost = request_class.idempotency == Idempotency::non_idempotent;
  const double least = seconds(request_class.latency_objective) *
                       (is_lost ? kLeastTimeoutObjectivesNonIdempotent : kLeastTimeoutObjectives);
  const Microseconds wanted = microseconds(std::max(least, endpoint.latency.timeout_seconds()));
  return std::min(wanted, request.deadline - now);
}

}  // namespace heronvane::dispatch
