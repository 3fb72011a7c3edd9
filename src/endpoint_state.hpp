// The state of one endpoint and of one destination, composed of the owners of its parts.
#pragma once

#include <vector>

#include "batching.hpp"
#include "call_rate.hpp"
#include "checkpoint_marks.hpp"
#include "concurrency.hpp"
#include "connection_reuse.hpp"
#include "endpoint_calls.hpp"
#include "endpoint_health.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "latency.hpp"
#include "outlier_detection.hpp"
#include "rate_limit_scope.hpp"
#include "scope_outage.hpp"
#include "slow_start.hpp"

namespace heronvane::dispatch {

// A rate-limit scope: its limits, its outage and what the checkpoint records about it.
struct ScopeState {
  explicit ScopeState(const BackoffScale& scale) : limits(scale) {}

  RateLimitScope limits;
  ScopeOutage outage;
  ScopeMark checkpoint;
};

// Owned by EndpointRegistry; stays at its address until it is forgotten.
struct EndpointState {
  explicit EndpointState(const BackoffScale& scale) : own_scope(scale) {}

  Endpoint info;                // as listed last
  bool has_own_limits = false;  // own_scope counts, not the destination's
  ScopeState own_scope;
  ScopeState* destination_scope = nullptr;  // set by EndpointRegistry; outlives the endpoint
  EndpointCalls calls;                      // in flight
  HealthCheckSlots::Share health_check_slots;
  ConcurrencyLimit concurrency;
  Batching batching;
  ConnectionReuse connections;
  LatencyEstimate latency;
  CallRate served{kServedRateMemorySeconds};  // calls
  CallRate demand{kDemandMemorySeconds};      // first attempts while healthy
  FailureEvidence evidence;
  EndpointHealth health;
  SlowStart slow_start;
  Microseconds failed_at = -kNever;  // the last failed call
  Microseconds ejected_at = kNever;  // first ejection since a call was served; kNever: not ejected since
  bool has_attempt_ended = false;    // in this incarnation
  bool is_restored = false;          // a record of an earlier incarnation was taken
  EndpointMark checkpoint;

  // The scope whose limits apply. The destination's is kept as a pointer because each call needs it several
  // times.
  ScopeState& scope() { return has_own_limits ? own_scope : *destination_scope; }
  const ScopeState& scope() const { return has_own_limits ? own_scope : *destination_scope; }
  RateLimitScope& limits() { return scope().limits; }
  // Ejected or recovering, and nothing served since the last failure: its calls are health checks.
  bool is_on_trial() const { return !health.is_healthy() && evidence.consecutive_failures() > 0; }
  RecoveryPhase recovery_phase() const { return {health.state(), health.since(), is_on_trial()}; }
  int overdue_calls(Microseconds now) const { return calls.overdue(now, latency.overdue_after()); }

 private:
  static constexpr double kDemandMemorySeconds = 30;  // long: a relay may make few calls a minute
};

// A destination: its scope, and its endpoints in the order of their arrival.
struct DestinationState {
  explicit DestinationState(const BackoffScale& scale) : scope(scale) {}

  ScopeState scope;                       // of the endpoints without own limits
  std::vector<EndpointState*> endpoints;  // in the order of their arrival
};

}  // namespace heronvane::dispatch
