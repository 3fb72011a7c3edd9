#include "retry_policy.hpp"

#include <algorithm>

#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

// No attempt is made with less than this share of the shortest latency objective left before the deadline.
constexpr double kLeastObjectiveShareLeft = 0.05;
// Requests are ended this many decision intervals before the deadline, so that a stall just before it does
// not end them too late.
constexpr int kRoundsBeforeDeadline = 2;
// The longest time between reading the clock and writing a call.
constexpr Microseconds kLongestWriteDelay = 150'000;

}  // namespace

RetryPolicy::RetryPolicy(const Settings& settings, double shortest_objective_s)
    : settings_(settings),
      least_time_left_(std::max(kRoundsBeforeDeadline * settings.min_decision_interval,
                                microseconds(kLeastObjectiveShareLeft * shortest_objective_s))) {}

bool RetryPolicy::may_attempt(const Request& request, Microseconds moment) const {
  return !possibly_executed_non_idempotent(request) && has_attempt_left(request, moment);
}

bool RetryPolicy::has_attempt_left(const Request& request, Microseconds moment) const {
  return request.attempts_made < settings_.max_attempts && moment < latest_attempt(request);
}

Microseconds RetryPolicy::latest_attempt(const Request& request) const {
  const Microseconds before_deadline = request.deadline - least_time_left_;
  if (request.request_class->idempotency != Idempotency::keyed || !request.possible_execution)
    return before_deadline;
  return std::min(before_deadline, key_known_until(request));
}

Microseconds RetryPolicy::ends_at(const Request& request) const {
  if (request.in_flight.empty()) return latest_attempt(request);
  return request.deadline - kRoundsBeforeDeadline * settings_.min_decision_interval;
}

Microseconds RetryPolicy::key_known_until(const Request& request) const {
  return request.possible_execution->sent_at + request.request_class->key_window -
         std::max(settings_.min_decision_interval, kLongestWriteDelay);
}

std::optional<Microseconds> RetryPolicy::start_within(const Request& request, Microseconds now) const {
  if (request.request_class->idempotency != Idempotency::keyed || !request.possible_execution)
    return std::nullopt;
  return key_known_until(request) - now;
}

std::optional<int> RetryPolicy::required_zone(const Request& request) {
  const bool keyed_by_zone = request.request_class->idempotency == Idempotency::keyed &&
                             request.request_class->key_scope == KeyScope::zone;
  if (!keyed_by_zone || !request.possible_execution) return std::nullopt;
  return request.possible_execution->zone;
}

bool RetryPolicy::may_be_rejected(const Request& request) {
  const ClassSettings& request_class = *request.request_class;
  if (request_class.idempotency == Idempotency::idempotent) return true;
  if (request_class.idempotency == Idempotency::keyed && request_class.key_scope == KeyScope::all)
    return true;
  return request.in_flight.empty() && !request.possible_execution;
}

bool RetryPolicy::possibly_executed_non_idempotent(const Request& request) {
  return request.request_class->idempotency == Idempotency::non_idempotent && request.possible_execution;
}

}  // namespace heronvane::dispatch
