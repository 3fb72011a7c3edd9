#include "checkpoint.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

// Whether two values differ by enough to be stored again.
bool differs(double a, double b) {
  constexpr double kLeastChange = 0.2;
  return std::abs(a - b) > kLeastChange * std::max(a, b);
}

}  // namespace

void Checkpoint::schedule(EndpointState& endpoint, Microseconds moment) {
  Microseconds& due_at = endpoint.scope().checkpoint.due_at_;
  if (due_at <= moment) return;
  const bool own = endpoint.has_own_limits;
  Due due{due_at, own, own ? 0 : endpoint.info.destination, own ? endpoint.info.id : EndpointId()};
  if (due_at < kNever) due_.erase(due);
  due_at = moment;
  due.at = moment;
  due_.insert(std::move(due));
}

void Checkpoint::schedule_after_outcome(EndpointState& endpoint, Microseconds now) {
  const ScopeState& scope = endpoint.scope();
  const bool has_learned = scope.limits.has_learned(settings_) || !endpoint.health.is_healthy();
  if (!has_learned && !scope.checkpoint.may_be_stored_) return;
  schedule(endpoint, std::max(now, scope.checkpoint.examined_at_ + microseconds(kCheckpointGapSeconds)));
}

void Checkpoint::mark_stored(EndpointState& endpoint) {
  endpoint.checkpoint.is_stored_ = true;
  endpoint.scope().checkpoint.may_be_stored_ = true;
}

LearnedState Checkpoint::state_of(const EndpointState& endpoint, const ScopeState& scope,
                                  Microseconds now) const {
  LearnedState state;
  state.endpoint = endpoint.info.id;
  state.destination = endpoint.info.destination;
  scope.limits.save(now, settings_, state);
  // The end of slow start is recorded only with the next request, so it is checked here.
  const EndpointHealth& health = endpoint.health;
  const bool has_warmed_up = health.is_slow_start() && now >= health.ends_at(slow_start_.window());
  if (health.is_healthy() || has_warmed_up) return state;
  state.health = health.state();
  state.time_in_health = now - health.since();
  state.baseline_rate = endpoint.slow_start.baseline_rate();
  state.slow_start_budget =
      std::clamp(endpoint.slow_start.budget(now, slow_start_, endpoint.recovery_phase()), 0.0, 1.0);
  state.consecutive_failures = endpoint.evidence.consecutive_failures();
  state.failure_rate = endpoint.evidence.failure_rate();
  state.last_failure_possibly_executed = endpoint.evidence.last_failure_possibly_executed();
  state.batch_size = endpoint.batching.trusted();
  return state;
}

bool Checkpoint::has_changed(const EndpointState& endpoint, const ScopeState& scope,
                             const LearnedState& state, Microseconds now) {
  const EndpointMark& mark = endpoint.checkpoint;
  if (state.blank() || !mark.is_stored_) return state.blank() == mark.is_stored_;
  const Microseconds age = now - mark.returned_at_;
  const LearnedState& returned = mark.returned_;
  return (state.health != Health::healthy && endpoint.health.since() != mark.health_since_) ||
         state.consecutive_rejections != returned.consecutive_rejections ||
         differs(state.backoff_delay, scope.limits.stored_delay_after(returned.backoff_delay, age)) ||
         differs(state.send_rate, returned.send_rate) ||
         differs(state.admission_probability, Admission::recovered(returned.admission_probability, age));
}

Microseconds Checkpoint::due_for_return_at(const EndpointState& endpoint, const ScopeState& scope,
                                           const LearnedState& state, Microseconds now) {
  const EndpointMark& mark = endpoint.checkpoint;
  const bool waits_longer =
      state.retry_after_left > 0 && now + state.retry_after_left > mark.retry_after_until_;
  if (state.health != mark.returned_.health || waits_longer) return now;
  if (!has_changed(endpoint, scope, state, now)) return kNever;
  return std::max(now, mark.returned_at_ + microseconds(kCheckpointGapSeconds));
}

Microseconds Checkpoint::blank_at(const EndpointState& endpoint, const ScopeState& scope,
                                  Microseconds now) const {
  constexpr Microseconds kRoundingMargin = 1'000;
  if (!endpoint.checkpoint.is_stored_ || endpoint.health.is_ejected()) return kNever;
  Microseconds at = scope.limits.blank_at(now, settings_);
  if (at == kNever) return kNever;
  if (endpoint.health.is_slow_start()) at = std::max(at, endpoint.health.ends_at(slow_start_.window()));
  return at + kRoundingMargin;
}

std::vector<LearnedState> Checkpoint::take_changed(Microseconds now, std::size_t max_entries,
                                                   EndpointRegistry& registry) {
  std::vector<LearnedState> returned;
  for (; !forgotten_.empty() && returned.size() < max_entries; forgotten_.pop_front())
    returned.push_back(std::move(forgotten_.front()));
  while (returned.size() < max_entries && !due_.empty() && due_.begin()->at <= now) {
    const Due due = std::move(due_.extract(due_.begin()).value());
    if (due.is_endpoint) {
      EndpointState& endpoint = registry.at(due.endpoint);
      endpoint.own_scope.checkpoint.due_at_ = kNever;
      if (endpoint.has_own_limits)
        collect_changes(endpoint.own_scope, {&endpoint}, max_entries, now, returned);
    } else {
      DestinationState& destination = registry.at(due.destination);
      destination.scope.checkpoint.due_at_ = kNever;
      collect_changes(destination.scope, destination.endpoints, max_entries, now, returned);
    }
  }
  return returned;
}

void Checkpoint::collect_changes(ScopeState& scope, const std::vector<EndpointState*>& endpoints,
                                 std::size_t max_entries, Microseconds now,
                                 std::vector<LearnedState>& returned) {
  scope.checkpoint.may_be_stored_ = false;
  scope.checkpoint.examined_at_ = now;
  for (EndpointState* const endpoint : endpoints) {
    if (&endpoint->scope() != &scope) continue;  // it has its own limits
    EndpointMark& mark = endpoint->checkpoint;
    LearnedState state = state_of(*endpoint, scope, now);
    Microseconds next = due_for_return_at(*endpoint, scope, state, now);
    if (next <= now && returned.size() < max_entries) {
      mark.is_stored_ = !state.blank();
      mark.returned_at_ = now;
      mark.health_since_ = endpoint->health.since();
      mark.retry_after_until_ = now + state.retry_after_left;
      mark.returned_ = state;
      returned.push_back(std::move(state));
      next = kNever;
    }
    scope.checkpoint.may_be_stored_ |= mark.is_stored_;
    if (next == kNever) next = blank_at(*endpoint, scope, now);
    if (next < kNever) schedule(*endpoint, next);
  }
}

void Checkpoint::observe(Microseconds now, Microseconds at, std::size_t max_entries,
                         const EndpointRegistry& registry, std::vector<LearnedState>& states) const {
  constexpr std::size_t kMoreOfThoseWithState = 4;
  for (const auto& [id, destination] : registry.destinations()) {
    for (const EndpointState* const endpoint : destination.endpoints) {
      if (endpoint->info.listing == Listing::gone || endpoint->info.destination != id) continue;
      const ScopeState& scope = endpoint->has_own_limits ? endpoint->own_scope : destination.scope;
      const bool is_blank = endpoint->health.is_healthy() && scope.limits.is_blank(at);
      if (states.size() >= (is_blank ? max_entries : kMoreOfThoseWithState * max_entries)) continue;
      LearnedState& state = states.emplace_back(state_of(*endpoint, scope, now));
      // The state is as of the last pass, except the Retry-After, which runs out by time alone.
      state.retry_after_left =
          std::max<Microseconds>(0, scope.limits.retry_after_until() - std::max(at, now));
    }
  }
}

void Checkpoint::endpoint_forgotten(const EndpointState& endpoint) {
  due_.erase(Due{endpoint.own_scope.checkpoint.due_at_, true, 0, endpoint.info.id});
  if (!endpoint.checkpoint.is_stored_) return;
  LearnedState& blank = forgotten_.emplace_back();
  blank.endpoint = endpoint.info.id;
  blank.destination = endpoint.info.destination;
}

void Checkpoint::destination_forgotten(DestinationId id, const DestinationState& destination) {
  due_.erase(Due{destination.scope.checkpoint.due_at_, false, id, {}});
}

}  // namespace heronvane::dispatch
