// The calls in flight to one endpoint.
#pragma once

#include <cstddef>
#include <vector>

#include "call_id.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// The calls in flight to one endpoint.
class EndpointCalls {
 public:
  std::size_t size() const { return in_flight_.size(); }
  bool empty() const { return in_flight_.empty(); }

  // Calls begin in the order of time.
  void begin(CallId call, Microseconds now) { in_flight_.push_back({call, now}); }
  void end(CallId call);
  // A call that was sent at `sent_at` was served.
  void record_served(Microseconds now, Microseconds sent_at);

  // The number of calls in flight for longer than `patience` and sent since the last served answer, and since
  // `sent_from`. Earlier ones do not count: one lost call among many answered ones does not show that the
  // endpoint is silent.
  int overdue(Microseconds now, Microseconds patience, Microseconds sent_from = 0) const;
  // Whether a call sent after `sent_at` was served.
  bool is_overtaken(Microseconds sent_at) const { return sent_at < newest_served_sent_at_; }
  // Whether nothing was served since `sent_at`. Otherwise the endpoint is slow but working.
  bool is_silent_since(Microseconds sent_at) const { return sent_at >= served_at_; }

 private:
  struct Call {
    CallId id;
    Microseconds sent_at;
  };

  std::vector<Call> in_flight_;  // oldest first
  Microseconds served_at_ = 0;   // last served answer
  Microseconds newest_served_sent_at_ = 0;
};

}  // namespace heronvane::dispatch
