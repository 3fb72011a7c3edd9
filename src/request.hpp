// A request that this relay holds: what its client asked for, and what became of its attempts so far.
//
// Plain data, owned by the request table; it stays at its address for its whole life.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "call_id.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "priority.hpp"
#include "send_queue.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// The first attempt that a destination may have executed.
struct PossibleExecution {
  int zone = 0;  // of the endpoint
  Microseconds sent_at = 0;
};

// The base holds its id, the moment of its latency objective and its order group.
struct Request : SendQueue::Entry {
  const ClassSettings* request_class = nullptr;
  DestinationId destination = 0;
  double full_weight = 0;  // priority weight while the latency objective is met
  Microseconds deadline = 0;
  Microseconds ready_at = 0;  // no attempt before: the backoff of a retry
  std::string order_key;      // empty: none
  int attempts_made = 0;
  int cancelled_attempt = -1;  // the last one that was cancelled; -1: none
  // Recovered from a previous incarnation of the relay, and no attempt of it has reached an endpoint.
  bool unattempted = false;
  // When an unattempted request is sent whatever the admission probability; kNever: not drawn yet.
  Microseconds first_attempt_at = kNever;
  std::map<int, CallId> in_flight;  // by attempt
  std::optional<PossibleExecution> possible_execution;
  bool completed = false;            // its final action was decided, or its client withdrew it
  bool reevaluation_queued = false;  // its place in the reevaluation queue
  Microseconds reevaluate_at = kNever;

  WeightCurve weight_curve() const { return {request_class, full_weight, objective_at}; }
};

// The request that an entry of the send queue belongs to.
inline Request& request_of(SendQueue::Entry& entry) { return static_cast<Request&>(entry); }
inline const Request& request_of(const SendQueue::Entry& entry) { return static_cast<const Request&>(entry); }

}  // namespace heronvane::dispatch
