// The hint that relays send each other when an endpoint rejects a call, so that all of them admit less there.
#pragma once

#include <optional>
#include <string>

#include "admission.hpp"
#include "decision_pass.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// Hints to peers, spaced over the whole fleet.
class RejectionGossip {
 public:
  explicit RejectionGossip(double shortest_latency_objective_s)
      : repeat_after_(microseconds(shortest_latency_objective_s)) {}

  // Tells every peer that `endpoint` rejected, unless gossip is off, this relay sent a hint too recently, or
  // peers know of a recent cut of `admission`, the endpoint's.
  void announce(DecisionPass& pass, const EndpointId& endpoint, Admission& admission);

  // The endpoint that a peer's hint names; nothing where the body is not such a hint.
  static std::optional<EndpointId> parse(const std::string& body);

 private:
  Microseconds repeat_after_;
  Microseconds next_at_ = 0;  // of all hints of this relay
};

}  // namespace heronvane::dispatch
