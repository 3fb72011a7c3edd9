// Updates the state of endpoints from the endpoint list, the outcomes of calls, gossip and restored records.
// Owns the state of all endpoints and destinations, and is the only place where an endpoint is ejected or
// recovers.
//
// Not synchronised, used on the dispatcher's thread only.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "call_id.hpp"
#include "checkpoint.hpp"
#include "concurrency.hpp"
#include "decision_pass.hpp"
#include "endpoint_registry.hpp"
#include "endpoint_state.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "latency.hpp"
#include "outlier_detection.hpp"
#include "rate_limit_scope.hpp"
#include "slow_start.hpp"

namespace heronvane::dispatch {

// Coordinates the owners of endpoint state.
class EndpointTracker {
 public:
  // `settings` must outlive it.
  EndpointTracker(const Settings& settings, double shortest_latency_objective_s);

  // ---- Queries ----

  EndpointRegistry& registry() { return registry_; }
  const EndpointRegistry& registry() const { return registry_; }
  Checkpoint& checkpoint() { return checkpoint_; }
  const Checkpoint& checkpoint() const { return checkpoint_; }
  const BackoffScale& backoff_scale() const { return backoff_scale_; }
  const HealthCheckSlots& health_check_slots() const { return health_check_slots_; }
  double slowness() const { return slowness_.value(); }  // Slowness::value()
  // When the present health of an endpoint that is not healthy ends by time alone.
  Microseconds health_ends_at(const EndpointState& endpoint) const;
  // When its slow-start budget allows the next call; `now` where it is healthy.
  Microseconds budget_ready_at(const EndpointState& endpoint, Microseconds now) const;
  // The most calls that may be in flight to the endpoint.
  int call_limit(const EndpointState& endpoint, Microseconds now) const;

  // ---- Events ----

  void apply(const event::EndpointListSnapshot& list, DecisionPass& pass);
  void apply(const event::EndpointListUpdate& change, DecisionPass& pass);
  void apply(const event::GossipReceived& gossip, const DecisionPass& pass);
  // Returns the endpoint that the record was applied to, or null where the record is ignored.
  EndpointState* apply(const event::LearnedStateRestored& record, DecisionPass& pass);

  struct EndedAttempt {
    CallId call = 0;
    Microseconds sent_at = 0;
    int batch_size = 1;
    bool is_last_of_call = false;  // all its requests have an outcome now
    bool is_call_judged = false;   // an outcome of the call was counted before
  };
  // Returns whether this outcome counted as evidence of the endpoint's health; at most one outcome of a call
  // does.
  bool record_attempt(EndpointState& endpoint, const event::AttemptEnded& ended, const EndedAttempt& result,
                      DecisionPass& pass);

  // ---- Sends ----

  // Ends an ejection or slow start whose time is up. To be called before the endpoint's eligibility is
  // checked.
  void advance_health(EndpointState& endpoint, DecisionPass& pass);
  void record_call_began(EndpointState& endpoint, CallId call, bool is_first_attempt, DecisionPass& pass);

  // ---- The end of a pass ----

  // Frees the health-check slots of endpoints that warmed up in this pass, and schedules the next pass, in
  // which other endpoints may use them.
  void release_warmed_up(DecisionPass& pass);
  // Closes the idle connections of endpoints at which a call ended and which are rarely called.
  void close_rarely_used(DecisionPass& pass);
  void forget_gone(Microseconds now) { registry_.forget_gone(now, slow_start_.window(), checkpoint_); }

 private:
  void apply(const Endpoint& listed, DecisionPass& pass);
  // A new endpoint takes over what is known of the outage of its scope, which is not healthy.
  void join_scope_outage(EndpointState& endpoint, DecisionPass& pass);
  void record_outcome(EndpointState& endpoint, const event::AttemptEnded& ended, const EndedAttempt& result,
                      DecisionPass& pass);
  void record_served(EndpointState& endpoint, Microseconds sent_at, Microseconds latency, DecisionPass& pass);
  void record_rejected(EndpointState& endpoint, DecisionPass& pass);
  void record_failed(EndpointState& endpoint, const event::AttemptEnded& ended, const EndedAttempt& result,
                     DecisionPass& pass);
  static void note_connections_exhausted(EndpointState& endpoint, Outcome outcome, Microseconds now);
  void eject(EndpointState& endpoint, HealthChange reason, DecisionPass& pass);
  // The outage of the endpoint's scope, as of `now`.
  ScopeOutage& outage_of(EndpointState& endpoint, Microseconds now) const;
  // The endpoints that share the scope, `endpoint` among them; all, and those that may get calls.
  std::vector<EndpointState*> in_scope_of(EndpointState& endpoint);
  std::vector<EndpointState*> active_in_scope_of(EndpointState& endpoint);
  // Whether a failed call, sent at `sent_at`, says something of the whole scope.
  static bool concerns_scope(const EndpointState& endpoint, const ScopeOutage& outage, Microseconds sent_at);
  // Whether failed or overdue calls suggest an outage of the scope.
  bool is_scope_outlier(EndpointState& endpoint, const ScopeOutage& outage, Microseconds now);
  static bool is_in_outage(const EndpointState& endpoint, const ScopeOutage& outage, Microseconds now);
  // Ejects the endpoints of the scope that are in its outage, or all of them.
  void eject_scope(EndpointState& endpoint, HealthChange reason, DecisionPass& pass);
  // Decides with the first served call whether the scope returns from an outage. `overdue_after`: how long a
  // call may take.
  void record_scope_served(EndpointState& endpoint, bool was_ejected, Microseconds overdue_after,
                           DecisionPass& pass);
  void start_scope_slowly(EndpointState& endpoint, DecisionPass& pass);
  // Divides the scope's rate from before its outage among its active endpoints.
  void divide_baseline_rate(EndpointState& endpoint, Microseconds now);
  // Calls a second of this relay to the whole scope, as an outage that begins now remembers them.
  double scope_baseline_rate(const ScopeOutage& outage, Microseconds now) const;
  double least_baseline_rate() const;  // whatever the demand was
  void restore_health(EndpointState& endpoint, const LearnedState& state, Microseconds written,
                      DecisionPass& pass);
  // To be called after restore_health().
  void restore_scope_outage(EndpointState& endpoint, Microseconds now);
  // Draws the pause before the next call to an ejected endpoint.
  Microseconds draw_health_check_gap(EndpointState& endpoint, DecisionPass& pass);
  // To be called after each change of an endpoint's health, failures or calls.
  void update_health_check_slots(EndpointState& endpoint);
  void settle_budget(EndpointState& endpoint, Microseconds now);
  void checkpoint_by(EndpointState& endpoint, Microseconds moment);

  const Settings& settings_;
  BackoffScale backoff_scale_;
  EndpointRegistry registry_;
  SlowStartPolicy slow_start_;
  Checkpoint checkpoint_;
  SharedLimits shared_limits_;
  BackgroundFailureRate background_failures_;
  Slowness slowness_;
  HealthCheckSlots health_check_slots_;
  std::vector<EndpointState*> warmed_up_;  // in this pass
  std::set<EndpointId> call_ended_at_;     // in this pass
};

}  // namespace heronvane::dispatch
