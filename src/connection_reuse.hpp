// When idle connections to an endpoint are closed rather than kept for the next call.
#pragma once

#include "decision_pass.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// How often one endpoint is called, and so whether its idle connections are worth keeping.
class ConnectionReuse {
 public:
  // A new endpoint: until calls tell more, the fleet is taken to make one call a second.
  void start(int relays) { mean_gap_s_ = relays; }

  void record_call_began(Microseconds now);
  void record_call_ended(Microseconds now) { used_at_ = now; }
  void record_served() { closed_in_doubt_ = false; }

  // Closes them once until the next served call: a fresh connection fails before anything is sent, an old one
  // may lose a call in silence.
  void close_in_doubt(DecisionPass& pass, const EndpointId& endpoint);
  // A connection will hardly be used again before it times out, and the idle ones of all relays could fill
  // the endpoint's table.
  bool is_rarely_used(const Settings& settings) const;

 private:
  double mean_gap_s_ = 0;  // between calls
  Microseconds used_at_ = -kNever;
  bool closed_in_doubt_ = false;
};

}  // namespace heronvane::dispatch
