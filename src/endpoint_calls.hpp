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

  // Calls that are out for longer than `patience` and were sent since the last one was served: one lost among
  // many that are answered is no sign of silence.
  int overdue(Microseconds now, Microseconds patience) const;
  // A call sent after one of `sent_at` was served.
  bool is_overtaken(Microseconds sent_at) const { return sent_at < newest_served_sent_at_; }
  // Nothing was served since `sent_at`; else the endpoint is slow, but at work.
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
