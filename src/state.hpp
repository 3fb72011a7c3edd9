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

#include "heronvane/dispatch/dispatcher.hpp"
#include "rate_limit_scope.hpp"
#include "rates.hpp"
#include "request.hpp"
#include "send_queue.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

constexpr double kLongMemory = 30;      // and of what a relay asks of an endpoint, calls a minute
constexpr double kFirstLatency = 0.25;  // seconds: assumed before the first answer

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

struct OutCall {
  std::uint64_t id = 0;
  Microseconds sent = 0;
};

struct EndpointState {
  explicit EndpointState(const BackoffScale& scale) : own(scale) {}

  Endpoint info;
  Target own;  // used where routes are apart
  bool apart = false;
  int max_batch_size = 1, bundle = 1;            // messages in a call: at most, and as trusted now
  std::vector<OutCall> calls;                    // oldest first
  std::size_t trials = 0;                        // of them, as counted in the state's
  double latency = kFirstLatency;                // recent, stretched by calls without an answer
  double usual = 0;                              // long-run latency of the served ones
  Rate served{kRateMemory}, asked{kLongMemory};  // calls served; first tries while open
  double failure_rate = 0;
  int consecutive_failures = 0;                 // failed calls since the last serve
  int strays = 0;                               // resets and errors among them
  Microseconds served_at = 0, served_sent = 0;  // last serve, and the newest send among those served
  bool doubt_run = false;                       // the last failure may have run
  bool idle_closed = false;                     // idle connections were dropped in this spell
  double use_gap = 0;                           // between calls, in the mean
  Microseconds used_at = -kNever;               // last time a call began or ended
  Health health = Health::healthy;
  double baseline_rate = 0;  // served calls a second before the trouble
  Microseconds since = 0;    // of the present health
  double budget = 0;         // calls allowed while closed or in the ramp
  Microseconds budget_at = 0, next_trial = 0;
  int call_cap = 0;  // calls out at which connects failed; 0: unknown
  Microseconds capped_at = 0;
  std::uint64_t open_call = 0;           // call begun in this round, for bundling
  bool heard = false, recalled = false;  // a call ended in this life; a record of an earlier one was taken
  Given given;
};

struct DestinationState {
  explicit DestinationState(const BackoffScale& scale) : target(scale) {}

  Target target;  // used where endpoints share a limit
  std::vector<EndpointState*> endpoints;
};

}  // namespace heronvane::dispatch
