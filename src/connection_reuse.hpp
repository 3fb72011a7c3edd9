// When idle connections to an endpoint are closed rather than kept for the next call.
#pragma once

#include "decision_pass.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// How often one endpoint is called, and so whether its idle connections are worth keeping.
class ConnectionReuse {
 public:
  // For a new endpoint: assumes that all relays together make one call a second until calls are measured.
  void start(int relays) { mean_gap_s_ = relays; }

  void record_call_began(Microseconds now);
  void record_call_ended(Microseconds now) { used_at_ = now; }
  void record_served() { closed_in_doubt_ = false; }

  // Closes idle connections once until the next served call: a new connection fails before anything is sent,
  // while an old one may lose a call without an error.
  void close_in_doubt(DecisionPass& pass, const EndpointId& endpoint);
  // Whether a connection is unlikely to be used again before it times out, while the idle connections of all
  // relays could fill the endpoint's connection table.
  bool is_rarely_used(const Settings& settings) const;

 private:
  double mean_gap_s_ = 0;  // between calls
  Microseconds used_at_ = -kNever;
  bool closed_in_doubt_ = false;
};

}  // namespace heronvane::dispatch
