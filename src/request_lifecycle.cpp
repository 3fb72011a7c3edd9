#include "request_lifecycle.hpp"

#include <algorithm>

#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

bool may_have_been_executed(Outcome outcome) {
  return outcome != Outcome::rejected && outcome != Outcome::connect_failed && outcome != Outcome::not_sent;
}

bool is_outcome_unknown(Outcome outcome) {
  return outcome == Outcome::timeout || outcome == Outcome::reset || outcome == Outcome::cancelled;
}

}  // namespace

RequestLifecycle::RequestLifecycle(RequestState& state, Microseconds rejected_retry_after)
    : state_(state), rejected_retry_after_(rejected_retry_after) {}

void RequestLifecycle::arrive(const event::RequestArrived& arrived, const DecisionPass& pass) {
  Request& request = state_.requests.add(arrived.id);
  state_.send_queue.remove(request);
  state_.reevaluation.add(request);
  const ClassSettings& request_class = pass.settings.classes[static_cast<std::size_t>(arrived.message_class)];
  request.request_class = &request_class;
  request.destination = arrived.destination;
  request.deadline = pass.now + arrived.time_left;
  request.objective_at = request.deadline - request_class.deadline + request_class.latency_objective;
  request.ready_at = pass.now;
  request.unattempted = false;
  const bool within_quota = state_.tenant_quota.consume(arrived.tenant, pass.now);
  const double quota_factor = within_quota ? 1 : pass.settings.over_quota_weight;
  request.full_weight = request_class.priority_weight * quota_factor;
  request.group = Priority::order_group(arrived.message_class, quota_factor != 1, false);
  join_order_line(request, request_class.ordered ? arrived.order_key : std::string(), pass.now);
}

// A request that arrives again keeps its place: a second entry of its id would stay in the line after the
// request has left it.
void RequestLifecycle::join_order_line(Request& request, const std::string& key, Microseconds now) {
  if (key == request.order_key) return;
  leave_order_line(request, now);
  request.order_key = key;
  if (!key.empty()) state_.order_keys.join(key, request.id);
}

void RequestLifecycle::leave_order_line(const Request& request, Microseconds now) {
  if (request.order_key.empty()) return;
  const auto next = state_.order_keys.leave(request.order_key, request.id, now);
  if (next) state_.reevaluation.add(*state_.requests.find(*next));
}

void RequestLifecycle::recover(const event::RequestRecovered& recovered, DecisionPass& pass) {
  arrive(recovered.message, pass);
  Request& request = *state_.requests.find(recovered.message.id);
  request.attempts_made = recovered.attempts;
  request.possible_execution.reset();
  if (recovered.possibly_executed_zone) {
    request.possible_execution =
        PossibleExecution{*recovered.possibly_executed_zone, pass.now - recovered.possibly_executed_age};
  }
  if (state_.retry_policy.may_attempt(request, pass.now)) {
    set_unattempted(request, !recovered.tried);
    return;
  }
  fail(request, pass);
  forget_if_done(request, pass.now);
}

void RequestLifecycle::withdraw(MessageId id, Microseconds now) {
  Request* const request = state_.requests.find(id);
  if (request == nullptr) return;
  complete(*request);
  forget_if_done(*request, now);
}

// Unattempted requests are sent before all others: changes the weight and the order group accordingly.
void RequestLifecycle::set_unattempted(Request& request, bool unattempted) {
  if (unattempted == request.unattempted) return;
  request.unattempted = unattempted;
  if (unattempted) {
    request.full_weight *= Priority::kUnattemptedFactor;
    request.group += Priority::kUnattemptedGroupOffset;
  } else {
    request.full_weight /= Priority::kUnattemptedFactor;
    request.group -= Priority::kUnattemptedGroupOffset;
  }
}

void RequestLifecycle::record_sent(Request& request, CallId call) {
  state_.send_queue.remove(request);
  state_.reevaluation.add(request);
  set_unattempted(request, false);
  request.in_flight[request.attempts_made] = call;
  request.attempts_made++;
}

std::optional<CallId> RequestLifecycle::take_attempt(Request& request, int attempt) {
  const auto position = request.in_flight.find(attempt);
  if (position == request.in_flight.end()) return std::nullopt;
  const CallId call = position->second;
  request.in_flight.erase(position);
  state_.reevaluation.add(request);
  return call;
}

void RequestLifecycle::record_result(Request& request, const AttemptResult& result, DecisionPass& pass) {
  auto& possible_execution = request.possible_execution;
  const bool is_first = !possible_execution || result.sent_at < possible_execution->sent_at;
  if (may_have_been_executed(result.outcome) && is_first)
    possible_execution = PossibleExecution{result.zone, result.sent_at};
  if (is_outcome_unknown(result.outcome) && !request.order_key.empty())
    state_.order_keys.begin_quiet_period(request.order_key, pass.now, pass.settings.key_quiet_period);
  if (result.request_completed || result.outcome == Outcome::served) complete(request);
  if (!request.completed && request.in_flight.empty()) {
    request.ready_at = pass.now + microseconds(pass.random.jittered(result.backoff_delay_s));
    if (!state_.retry_policy.may_attempt(request, request.ready_at)) fail(request, pass);
  }
  forget_if_done(request, pass.now);
}

void RequestLifecycle::fail(Request& request, DecisionPass& pass) {
  if (request.completed) return;
  complete(request);
  pass.actions.add(action::Fail{request.id});
}

void RequestLifecycle::reject(Request& request, DecisionPass& pass) {
  if (request.completed) return;
  if (!RetryPolicy::may_be_rejected(request)) {
    fail(request, pass);
    return;
  }
  complete(request);
  pass.actions.add(action::Reject{request.id, rejected_retry_after_});
}

void RequestLifecycle::complete(Request& request) {
  state_.requests.complete(request);
  state_.send_queue.remove(request);
  state_.reevaluation.add(request);
}

void RequestLifecycle::forget_if_done(Request& request, Microseconds now) {
  if (!request.completed || !request.in_flight.empty()) return;
  leave_order_line(request, now);
  state_.reevaluation.remove(request);
  state_.requests.erase(request.id);
}

Microseconds RequestLifecycle::turn_at(const Request& request, Microseconds now) const {
  if (request.order_key.empty()) return now;
  const bool attempted = request.attempts_made > 0;
  return state_.order_keys.ready_at(request.order_key, request.id, attempted, now);
}

SendQueue::SubqueueKey subqueue_of(const Request& request) {
  SendQueue::SubqueueKey key;
  key.destination = request.destination;
  key.zone = RetryPolicy::required_zone(request).value_or(SendQueue::SubqueueKey::kAnyZone);
  key.non_idempotent = request.request_class->idempotency == Idempotency::non_idempotent;
  key.unattempted = request.unattempted;
  return key;
}

}  // namespace heronvane::dispatch
