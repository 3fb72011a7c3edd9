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
#include "heronvane/dispatch/dispatcher.hpp"
#include "latency.hpp"
#include "rate_limit_scope.hpp"
#include "rates.hpp"
#include "request.hpp"
#include "send_queue.hpp"
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
  double failure_rate = 0;
  int consecutive_failures = 0;  // failed calls since the last serve
  int strays = 0;                // resets and errors among them
  bool doubt_run = false;        // the last failure may have run
  Health health = Health::healthy;
  double baseline_rate = 0;  // served calls a second before the trouble
  Microseconds since = 0;    // of the present health
  double budget = 0;         // calls allowed while closed or in the ramp
  Microseconds budget_at = 0, next_trial = 0;
  bool heard = false, recalled = false;  // a call ended in this life; a record of an earlier one was taken
  Given given;
};

struct DestinationState {
  explicit DestinationState(const BackoffScale& scale) : target(scale) {}

  Target target;  // used where endpoints share a limit
  std::vector<EndpointState*> endpoints;
};

}  // namespace heronvane::dispatch
