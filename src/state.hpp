// What the decisions keep of endpoints, targets, calls and messages. Data alone: what it means and how it
// changes stands in dispatcher.cpp.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "batching.hpp"
#include "concurrency.hpp"
#include "connection_reuse.hpp"
#include "endpoint_calls.hpp"
#include "endpoint_health.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "latency.hpp"
#include "outlier_detection.hpp"
#include "rate_limit_scope.hpp"
#include "rates.hpp"
#include "request.hpp"
#include "send_queue.hpp"
#include "slow_start.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

constexpr double kLongMemory = 30;  // and of what a relay asks of an endpoint, calls a minute

struct Target {  // what shares one limit: a destination, or a route apart
  explicit Target(const BackoffScale& scale) : limits(scale) {}

  RateLimitScope limits;
  Microseconds due = kNever;         // when changes are to be given out; its place in `dirty`
  Microseconds looked_at = -kNever;  // and when they were last looked for
  bool given_known = false;          // what was given of one of them may be more than blank
};

struct Given {  // what a store holds of an endpoint
  bool known = false;
  Microseconds at = -kNever;
  Health health = Health::healthy;
  Microseconds since = 0, wait_until = 0;
  double delay = 0, pace = 0, admission_probability = 1;
  int refusals = 0;
};

struct Due {  // names its target by id: endpoints come and go
  Microseconds at = 0;
  bool apart = false;
  DestinationId destination = 0;
  EndpointId endpoint;
  auto operator<=>(const Due&) const = default;
};

struct EndpointState {
  explicit EndpointState(const BackoffScale& scale) : own(scale) {}

  Endpoint info;
  Target own;  // used where routes are apart
  bool apart = false;
  EndpointCalls calls;  // in flight
  HealthCheckSlots::Share health_check_slots;
  ConcurrencyLimit concurrency;
  Batching batching;
  ConnectionReuse connections;
  LatencyEstimate latency;
  Rate served{kRateMemory}, asked{kLongMemory};  // calls served; first tries while open
  FailureEvidence evidence;
  EndpointHealth health;
  SlowStart slow_start;
  bool heard = false, recalled = false;  // a call ended in this life; a record of an earlier one was taken
  Given given;

  // Ejected or recovering, and nothing served since the last failure: its calls are health checks.
  bool is_on_trial() const { return !health.is_healthy() && evidence.consecutive_failures() > 0; }
  RecoveryPhase recovery_phase() const { return {health.state(), health.since(), is_on_trial()}; }
};

struct DestinationState {
  explicit DestinationState(const BackoffScale& scale) : target(scale) {}

  Target target;  // used where endpoints share a limit
  std::vector<EndpointState*> endpoints;
};

}  // namespace heronvane::dispatch
