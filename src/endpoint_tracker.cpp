#include "endpoint_tracker.hpp"

#include <algorithm>
#include <utility>

#include "restored_value.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

HealthChange ejection_by(Outcome outcome) {
  if (outcome == Outcome::connect_failed) return HealthChange::ejected_connect_failed;
  if (outcome == Outcome::error) return HealthChange::ejected_errors;
  return HealthChange::ejected_unanswered;
}

}  // namespace

EndpointTracker::EndpointTracker(const Settings& settings, double shortest_latency_objective_s)
    : settings_(settings),
      backoff_scale_(shortest_latency_objective_s),
      registry_(settings, backoff_scale_),
      slow_start_(settings, shortest_latency_objective_s),
      checkpoint_(settings, slow_start_),
      // The additional last position is that of all endpoints of an unknown kind.
      shared_limits_(settings.kinds.size() + 1, shortest_latency_objective_s) {}

Microseconds EndpointTracker::health_ends_at(const EndpointState& endpoint) const {
  return endpoint.health.ends_at(slow_start_.window());
}

Microseconds EndpointTracker::budget_ready_at(const EndpointState& endpoint, Microseconds now) const {
  if (endpoint.health.is_healthy()) return now;
  return endpoint.slow_start.ready_at(slow_start_, endpoint.recovery_phase());
}

int EndpointTracker::call_limit(const EndpointState& endpoint, Microseconds now) const {
  // Health checks of one endpoint are spaced in time; those of all endpoints together may hold only a part of
  // the slots.
  if (endpoint.is_on_trial())
    return health_check_slots_.is_any_free(settings_) ? settings_.max_concurrent_calls : 0;
  const bool is_doubtful = endpoint.overdue_calls(now) > 0 || endpoint.evidence.consecutive_failures() > 0 ||
                           endpoint.scope().outage.is_ejected();
  return endpoint.concurrency.limit(
      settings_, {is_doubtful, endpoint.served.per_second(now), endpoint.latency.recent()});
}

void EndpointTracker::apply(const event::EndpointListSnapshot& list, DecisionPass& pass) {
  registry_.begin_snapshot();
  for (const Endpoint& listed : list.endpoints) apply(listed, pass);
  registry_.end_snapshot();
}

void EndpointTracker::apply(const event::EndpointListUpdate& change, DecisionPass& pass) {
  for (const Endpoint& listed : change.endpoints) apply(listed, pass);
}

void EndpointTracker::apply(const Endpoint& listed, DecisionPass& pass) {
  const EndpointRegistry::Applied applied = registry_.apply(listed, pass.now);
  EndpointState& endpoint = *applied.endpoint;
  ScopeOutage& outage = outage_of(endpoint, pass.now);
  outage.start(pass.now);
  if (applied.is_new && !endpoint.has_own_limits && outage.health() != Health::healthy) {
    join_scope_outage(endpoint, pass);
  } else if (applied.model != nullptr) {
    endpoint.health.copy_from(applied.model->health);
    endpoint.evidence.copy_from(applied.model->evidence);
    endpoint.slow_start.begin(pass.now, applied.model->slow_start.baseline_rate(), pass.random.uniform());
    endpoint.slow_start.schedule_health_check(pass.now);
    checkpoint_by(endpoint, pass.now);
  }
  divide_baseline_rate(endpoint, pass.now);
}

void EndpointTracker::apply(const event::GossipReceived& gossip, const DecisionPass& pass) {
  const std::optional<EndpointId> rejecting = RejectionGossip::parse(gossip.body);
  EndpointState* const endpoint = rejecting ? registry_.find(*rejecting) : nullptr;
  if (endpoint == nullptr) return;
  endpoint->limits().slow_down_by_gossip(pass.now, shared_limits_);
  checkpoint_.schedule_after_outcome(*endpoint, pass.now);
}

EndpointState* EndpointTracker::apply(const event::LearnedStateRestored& record, DecisionPass& pass) {
  const LearnedState& state = record.state;
  EndpointState* const endpoint = registry_.find(state.endpoint);
  if (endpoint == nullptr || endpoint->info.listing == Listing::gone || endpoint->is_restored) return nullptr;
  endpoint->is_restored = true;
  const Microseconds written = pass.now - bounded_duration(record.age);
  if (endpoint->has_own_limits || state.destination == endpoint->info.destination)
    endpoint->limits().restore(pass.now, written, state);
  const bool is_known = state.health == Health::ejected || state.health == Health::slow_start;
  const bool has_newer = endpoint->has_attempt_ended || !endpoint->health.is_healthy() ||
                         endpoint->evidence.consecutive_failures() > 0;
  if (is_known && !has_newer) {
    restore_health(*endpoint, state, written, pass);
    restore_scope_outage(*endpoint, pass.now);
  }
  update_health_check_slots(*endpoint);
  Checkpoint::mark_stored(*endpoint);
  checkpoint_.schedule(*endpoint, pass.now);
  return endpoint;
}

void EndpointTracker::restore_health(EndpointState& endpoint, const LearnedState& state, Microseconds written,
                                     DecisionPass& pass) {
  constexpr double kMostBaselineRate = 1e9;  // calls a second
  // A slow start went on while this relay was down, because an endpoint warms up whichever relay calls it. An
  // ejection did not age: this relay made no health checks that could have confirmed it. And it may have been
  // confirmed once more in the last kCheckpointGapSeconds before the relay went down, which no record tells.
  const Microseconds time_in_health = bounded_duration(state.time_in_health);
  const Microseconds ejected_for =
      std::max<Microseconds>(0, time_in_health - microseconds(kCheckpointGapSeconds));
  const Microseconds since =
      state.health == Health::slow_start ? written - time_in_health : pass.now - ejected_for;
  endpoint.health.restore(pass, state.health, since, endpoint.info.id);
  endpoint.evidence.restore(state);
  if (endpoint.health.is_ejected()) endpoint.evidence.mark_failing();
  endpoint.batching.restore(state.batch_size);
  // The budget is at most what the stored one could have grown to, and at most a random value drawn as in
  // eject().
  endpoint.slow_start.begin(written, bounded(0.0, state.baseline_rate, kMostBaselineRate),
                            bounded(0.0, state.slow_start_budget, 1.0));
  endpoint.slow_start.limit_budget(pass.now, pass.random.uniform(), slow_start_, endpoint.recovery_phase());
  endpoint.slow_start.schedule_health_check(pass.now + draw_health_check_gap(endpoint, pass));
}

bool EndpointTracker::record_attempt(EndpointState& endpoint, const event::AttemptEnded& ended,
                                     const EndedAttempt& result, DecisionPass& pass) {
  if (ended.retry_after > 0) {
    endpoint.limits().extend_retry_after(pass.now + ended.retry_after);
    checkpoint_by(endpoint, pass.now);
  }
  if (result.is_last_of_call) endpoint.calls.end(result.call);
  // A cancelled call is a failure where the endpoint has served nothing since the call was sent; otherwise it
  // says nothing of the endpoint.
  const bool was_overtaken =
      ended.outcome == Outcome::cancelled && !endpoint.calls.is_silent_since(result.sent_at);
  const bool counts = !result.is_call_judged && ended.outcome != Outcome::not_sent && !was_overtaken;
  if (counts) {
    record_outcome(endpoint, ended, result, pass);
    checkpoint_.schedule_after_outcome(endpoint, pass.now);
  }
  if (result.is_last_of_call) {
    endpoint.batching.end_call(result.call);
    endpoint.connections.record_call_ended(pass.now);
    call_ended_at_.insert(endpoint.info.id);
  }
  update_health_check_slots(endpoint);
  return counts;
}

void EndpointTracker::record_outcome(EndpointState& endpoint, const event::AttemptEnded& ended,
                                     const EndedAttempt& result, DecisionPass& pass) {
  endpoint.has_attempt_ended = true;
  endpoint.limits().note_attempt_ended();
  if (ended.outcome == Outcome::served) {
    record_served(endpoint, result.sent_at, ended.latency, pass);
  } else if (ended.outcome == Outcome::rejected) {
    record_rejected(endpoint, pass);
  } else {
    record_failed(endpoint, ended, result, pass);
  }
}

void EndpointTracker::record_served(EndpointState& endpoint, Microseconds sent_at, Microseconds latency,
                                    DecisionPass& pass) {
  settle_budget(endpoint, pass.now);
  endpoint.calls.record_served(pass.now, sent_at);
  endpoint.limits().record_served(pass.now, shared_limits_);
  endpoint.served.record(pass.now);
  const Microseconds overdue_after = endpoint.latency.overdue_after();  // this answer may be late itself
  endpoint.latency.record_served(latency, slowness_);
  endpoint.evidence.record_served(background_failures_);
  endpoint.ejected_at = kNever;
  const bool was_ejected = endpoint.health.is_ejected();
  if (was_ejected) {
    endpoint.health.apply(pass, HealthChange::served_after_ejection, endpoint.info.id);
    checkpoint_by(endpoint, pass.now);
  }
  record_scope_served(endpoint, was_ejected, overdue_after, pass);
  endpoint.connections.record_served();
  endpoint.batching.record_served();
  endpoint.concurrency.record_served(pass.now);
}

void EndpointTracker::record_rejected(EndpointState& endpoint, DecisionPass& pass) {
  RateLimitScope& limits = endpoint.limits();
  settle_budget(endpoint, pass.now);
  limits.record_rejected(pass.now, shared_limits_);
  if (!endpoint.health.is_ejected()) limits.slow_down(pass, endpoint.info.id, shared_limits_);
  endpoint.evidence.record_rejected();
  const bool is_outage = limits.is_outage(pass.now);
  if (!is_outage && endpoint.health.is_healthy()) return;
  endpoint.evidence.mark_failing();
  ScopeOutage& outage = outage_of(endpoint, pass.now);
  if (is_outage || outage.is_ejected()) outage.eject(pass.now, scope_baseline_rate(outage, pass.now));
  if (endpoint.has_own_limits) {
    if (is_outage || endpoint.health.is_ejected()) eject(endpoint, HealthChange::ejected_rejections, pass);
    return;
  }
  for (EndpointState* const sibling : registry_.at(endpoint.info.destination).endpoints) {
    if (!is_outage && !sibling->health.is_ejected()) continue;
    settle_budget(*sibling, pass.now);
    sibling->evidence.add_failure();
    eject(*sibling, HealthChange::ejected_rejections, pass);
  }
  divide_baseline_rate(endpoint, pass.now);
}

void EndpointTracker::record_failed(EndpointState& endpoint, const event::AttemptEnded& ended,
                                    const EndedAttempt& result, DecisionPass& pass) {
  const Outcome outcome = ended.outcome;
  endpoint.limits().record_failed(pass.now);
  settle_budget(endpoint, pass.now);
  note_connections_exhausted(endpoint, outcome, pass.now);
  endpoint.evidence.record_failed(outcome);
  endpoint.failed_at = pass.now;
  if (outcome == Outcome::timeout || outcome == Outcome::cancelled) {
    endpoint.latency.record_unanswered(ended.latency);
    endpoint.connections.close_in_doubt(pass, endpoint.info.id);
  }
  // A failure that may be chance does not reduce the batch size: with a limit on calls, small batches would
  // starve the other requests.
  if (background_failures_.run_beyond_chance() == 1 || endpoint.evidence.consecutive_failures() > 1)
    endpoint.batching.record_failed(result.batch_size);
  const FailureEvidence::Circumstances circumstances{endpoint.health.state(), outcome,
                                                     endpoint.demand.per_second(pass.now),
                                                     endpoint.overdue_calls(pass.now)};
  ScopeOutage& outage = outage_of(endpoint, pass.now);
  const bool concerns_all = concerns_scope(endpoint, outage, result.sent_at);
  if (endpoint.evidence.is_outlier(circumstances, background_failures_))
    eject(endpoint, ejection_by(outcome), pass);
  if (!concerns_all) return;
  outage.record_failed(outcome, result.sent_at);
  if (is_scope_outlier(endpoint, outage, pass.now)) eject_scope(endpoint, ejection_by(outcome), pass);
}

void EndpointTracker::note_connections_exhausted(EndpointState& endpoint, Outcome outcome, Microseconds now) {
  // A connection failed while other calls are in flight and being answered: the endpoint's connection table
  // may be full.
  if (outcome == Outcome::connect_failed && endpoint.evidence.consecutive_failures() == 0 &&
      !endpoint.calls.empty() && endpoint.overdue_calls(now) == 0 && endpoint.health.is_healthy())
    endpoint.concurrency.record_connections_exhausted(now, endpoint.calls.size());
}

void EndpointTracker::eject(EndpointState& endpoint, HealthChange reason, DecisionPass& pass) {
  if (endpoint.health.is_healthy()) {
    const double baseline = std::max(endpoint.demand.per_second(pass.now), least_baseline_rate());
    endpoint.slow_start.begin(pass.now, baseline, pass.random.uniform());
  } else {
    settle_budget(endpoint, pass.now);
  }
  if (!endpoint.health.is_ejected()) checkpoint_by(endpoint, pass.now);
  if (endpoint.ejected_at == kNever) endpoint.ejected_at = pass.now;
  endpoint.health.apply(pass, reason, endpoint.info.id);
  endpoint.slow_start.schedule_health_check(pass.now + draw_health_check_gap(endpoint, pass));
  update_health_check_slots(endpoint);
}

double EndpointTracker::least_baseline_rate() const {
  constexpr double kLeastOfFleet = 3;  // calls a second of all relays
  return kLeastOfFleet / settings_.relays;
}

void EndpointTracker::advance_health(EndpointState& endpoint, DecisionPass& pass) {
  if (endpoint.health.is_healthy() || pass.now < health_ends_at(endpoint)) return;
  settle_budget(endpoint, pass.now);
  if (endpoint.health.is_slow_start()) {
    endpoint.health.apply(pass, HealthChange::warmed_up, endpoint.info.id);
    endpoint.evidence.clear();
    endpoint.ejected_at = kNever;
    // Its health-check slots are freed for the next pass only: the order of requests in this pass was decided
    // without them.
    warmed_up_.push_back(&endpoint);
  } else {
    // Slow start follows even where the budget allowed no health check, so that waiting requests are not all
    // sent at once.
    endpoint.health.apply(pass, HealthChange::outage_expired, endpoint.info.id);
  }
  checkpoint_by(endpoint, pass.now);
}

void EndpointTracker::record_call_began(EndpointState& endpoint, CallId call, bool is_first_attempt,
                                        DecisionPass& pass) {
  endpoint.calls.begin(call, pass.now);
  endpoint.batching.begin_call(call, pass.now);
  update_health_check_slots(endpoint);
  if (endpoint.health.is_healthy() && is_first_attempt) {
    endpoint.demand.record(pass.now);
    endpoint.scope().outage.record_first_attempt(pass.now);
  }
  endpoint.connections.record_call_began(pass.now);
  endpoint.limits().consume(pass.now);
  if (!endpoint.health.is_healthy()) {
    settle_budget(endpoint, pass.now);
    endpoint.slow_start.consume();
  }
  if (endpoint.health.is_ejected())
    endpoint.slow_start.schedule_health_check(pass.now + draw_health_check_gap(endpoint, pass));
  if (endpoint.overdue_calls(pass.now) > 0) endpoint.connections.close_in_doubt(pass, endpoint.info.id);
}

void EndpointTracker::release_warmed_up(DecisionPass& pass) {
  if (!warmed_up_.empty()) pass.wake_up.no_later_than(pass.now);
  for (EndpointState* const endpoint : std::exchange(warmed_up_, {})) update_health_check_slots(*endpoint);
}

void EndpointTracker::close_rarely_used(DecisionPass& pass) {
  for (const EndpointId& id : std::exchange(call_ended_at_, {}))
    if (registry_.at(id).connections.is_rarely_used(settings_)) pass.actions.add(action::CloseIdle{id});
}

Microseconds EndpointTracker::draw_health_check_gap(EndpointState& endpoint, DecisionPass& pass) {
  const double least = std::max(endpoint.limits().backoff_delay(pass.now), backoff_scale_.initial());
  return microseconds(pass.random.jittered(least));
}

void EndpointTracker::update_health_check_slots(EndpointState& endpoint) {
  health_check_slots_.set(endpoint.health_check_slots, endpoint.is_on_trial() ? endpoint.calls.size() : 0);
}

void EndpointTracker::settle_budget(EndpointState& endpoint, Microseconds now) {
  endpoint.slow_start.settle(now, slow_start_, endpoint.recovery_phase());
}

void EndpointTracker::checkpoint_by(EndpointState& endpoint, Microseconds moment) {
  checkpoint_.schedule(endpoint, moment);
}

}  // namespace heronvane::dispatch
