// The calls that are in flight, and the requests that they carry.
//
// Owns them. A call's id is never given twice. Not synchronised, used on the dispatcher's thread only.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "request.hpp"

namespace heronvane::dispatch {

struct EndpointState;

// A call in flight.
struct Call {
  EndpointState* endpoint = nullptr;  // which outlives the call
  Microseconds sent_at = 0;
  int without_outcome = 0;  // how many of its requests have no outcome yet
  bool judged = false;      // an outcome of it was counted as evidence of the endpoint's health
  std::vector<MessageId> requests;

  int batch_size() const { return static_cast<int>(requests.size()); }
};

// All calls in flight.
class CallTable {
 public:
  // `max_concurrent_calls`: calls in flight at once at most.
  explicit CallTable(int max_concurrent_calls);

  // Starts a call that carries nothing yet.
  CallId start(EndpointState& endpoint, Microseconds now);

  // Puts one more request into a call in flight.
  void add_request(CallId id, MessageId request);

  // Null where no such call is in flight. Valid until the next start or finish.
  Call* find(CallId id);
  const Call* find(CallId id) const;

  // Forgets a call whose requests all have an outcome.
  void finish(CallId id) { calls_.erase(id); }

  // Whether no further call may start.
  bool full() const { return calls_.size() >= max_concurrent_calls_; }
  std::size_t size() const { return calls_.size(); }

  // In no particular order.
  const std::unordered_map<CallId, Call>& all() const { return calls_; }

 private:
  std::size_t max_concurrent_calls_;
  std::unordered_map<CallId, Call> calls_;
  CallId next_id_ = 1;
};

}  // namespace heronvane::dispatch
