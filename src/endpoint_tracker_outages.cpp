// The part of EndpointTracker that judges outages of whole rate-limit scopes.
#include <algorithm>
#include <vector>

#include "endpoint_tracker.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

// Endpoints of a scope in whose outage the others take part, too: one that is dead alone shows no more.
constexpr int kLeastConcerned = 2;

}  // namespace

void EndpointTracker::join_scope_outage(EndpointState& endpoint, DecisionPass& pass) {
  const ScopeOutage& outage = endpoint.scope().outage;
  endpoint.health.join(outage.health(), outage.since());
  if (outage.is_ejected()) endpoint.evidence.copy_from(outage.evidence());
  endpoint.slow_start.begin(pass.now, 0, pass.random.uniform());
  endpoint.slow_start.schedule_health_check(pass.now);
  checkpoint_by(endpoint, pass.now);
}

// Records tell of endpoints alone: where one is healthy, the others were out on their own.
void EndpointTracker::restore_scope_outage(EndpointState& endpoint, Microseconds now) {
  const std::vector<EndpointState*> active = active_in_scope_of(endpoint);
  Health health = Health::slow_start;
  Microseconds since = -kNever;
  double baseline_rate = 0;
  for (const EndpointState* const sibling : active) {
    if (sibling->health.is_healthy()) return;
    if (sibling->health.is_ejected()) health = Health::ejected;
    since = std::max(since, sibling->health.since());
    baseline_rate += sibling->slow_start.baseline_rate();
  }
  if (active.empty()) return;
  outage_of(endpoint, now).restore(health, since, baseline_rate);
}

ScopeOutage& EndpointTracker::outage_of(EndpointState& endpoint, Microseconds now) const {
  ScopeOutage& outage = endpoint.scope().outage;
  outage.advance(now, slow_start_.window());
  return outage;
}

std::vector<EndpointState*> EndpointTracker::in_scope_of(EndpointState& endpoint) {
  if (endpoint.has_own_limits) return {&endpoint};
  std::vector<EndpointState*> found = registry_.at(endpoint.info.destination).endpoints;
  std::erase_if(found, [](const EndpointState* sibling) { return sibling->has_own_limits; });
  return found;
}

std::vector<EndpointState*> EndpointTracker::active_in_scope_of(EndpointState& endpoint) {
  std::vector<EndpointState*> found = in_scope_of(endpoint);
  std::erase_if(found, [](const EndpointState* sibling) { return sibling->info.listing != Listing::active; });
  return found;
}

// It says nothing where another endpoint served meanwhile, or has served since this one was ejected: then the
// outage is that of this endpoint alone.
bool EndpointTracker::concerns_scope(const EndpointState& endpoint, const ScopeOutage& outage,
                                     Microseconds sent_at) {
  return outage.served_at() <= std::min(sent_at, endpoint.ejected_at);
}

bool EndpointTracker::is_scope_outlier(EndpointState& endpoint, const ScopeOutage& outage, Microseconds now) {
  if (outage.evidence().consecutive_failures() == 0) return false;
  int overdue = 0;
  for (const EndpointState* const sibling : in_scope_of(endpoint))
    overdue += sibling->calls.overdue(now, sibling->latency.overdue_after(), outage.served_at());
  return outage.is_outlier(now, overdue, background_failures_);
}

// Whether the endpoint has a failed or overdue call since the scope last served, and was not out before.
bool EndpointTracker::is_in_outage(const EndpointState& endpoint, const ScopeOutage& outage,
                                   Microseconds now) {
  const Microseconds since = outage.served_at();
  if (endpoint.ejected_at < since) return false;
  return endpoint.failed_at > since ||
         endpoint.calls.overdue(now, endpoint.latency.overdue_after(), since) > 0;
}

// Where only one endpoint is concerned, the others stay: they may still serve.
void EndpointTracker::eject_scope(EndpointState& endpoint, HealthChange reason, DecisionPass& pass) {
  ScopeOutage& outage = outage_of(endpoint, pass.now);
  outage.eject(pass.now, scope_baseline_rate(outage, pass.now));
  const std::vector<EndpointState*> all = in_scope_of(endpoint);
  const auto concerned = std::count_if(all.begin(), all.end(), [&](const EndpointState* sibling) {
    return is_in_outage(*sibling, outage, pass.now);
  });
  for (EndpointState* const sibling : active_in_scope_of(endpoint)) {
    if (sibling->health.is_ejected()) continue;
    if (concerned < kLeastConcerned && !is_in_outage(*sibling, outage, pass.now)) continue;
    settle_budget(*sibling, pass.now);
    sibling->evidence.mark_failing();
    eject(*sibling, reason, pass);
  }
  divide_baseline_rate(endpoint, pass.now);
}

// A scope that an endpoint without any failure serves soon after the others failed was not out: the outage is
// theirs alone.
void EndpointTracker::record_scope_served(EndpointState& endpoint, bool was_ejected,
                                          Microseconds overdue_after, DecisionPass& pass) {
  ScopeOutage& outage = outage_of(endpoint, pass.now);
  const bool was_long = outage.unanswered_for(pass.now) > overdue_after;
  const bool was_out = outage.is_ejected() || is_scope_outlier(endpoint, outage, pass.now);
  if (was_out && (was_ejected || was_long)) start_scope_slowly(endpoint, pass);
  outage.record_served(pass.now);
}

void EndpointTracker::start_scope_slowly(EndpointState& endpoint, DecisionPass& pass) {
  ScopeOutage& outage = outage_of(endpoint, pass.now);
  outage.begin_slow_start(pass.now, scope_baseline_rate(outage, pass.now));
  for (EndpointState* const sibling : active_in_scope_of(endpoint)) {
    if (!sibling->health.is_healthy()) continue;
    sibling->slow_start.begin(pass.now, 0, pass.random.uniform());
    sibling->health.apply(pass, HealthChange::scope_served_again, sibling->info.id);
    update_health_check_slots(*sibling);
    checkpoint_by(*sibling, pass.now);
  }
  divide_baseline_rate(endpoint, pass.now);
}

void EndpointTracker::divide_baseline_rate(EndpointState& endpoint, Microseconds now) {
  const ScopeOutage& outage = outage_of(endpoint, now);
  if (outage.health() == Health::healthy) return;
  const std::vector<EndpointState*> active = active_in_scope_of(endpoint);
  for (EndpointState* const sibling : active) {
    if (sibling->health.is_healthy()) continue;
    settle_budget(*sibling, now);
    sibling->slow_start.set_baseline_rate(outage.baseline_rate() / static_cast<double>(active.size()));
  }
}

double EndpointTracker::scope_baseline_rate(const ScopeOutage& outage, Microseconds now) const {
  return std::max(outage.demand_per_s(now), least_baseline_rate());
}

}  // namespace heronvane::dispatch
