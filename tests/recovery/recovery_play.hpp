// A fleet of dispatchers beside a destination that falls out and returns cold, in simulated time.
//
// The destination's endpoints share one limit, or each has its own. It judges the calls after its return as
// the operators' pages do: it collapses when it gets more calls within the collapse period than it stands.
#pragma once

#include <cstdint>
#include <string>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::recovery {

// What the endpoints do with calls during the outage.
enum class Symptom {
  silent,       // no answer; the connections are reset at the return
  held,         // no answer until the return, then the usual one
  refused,      // no connection
  errors,       // an error at once
  most_failing  // four in five calls end with an error
};

// One play: a quiet time, the outage, the return. Rates are messages a second of the whole fleet.
struct Scenario {
  int relays = 3;
  int endpoints = 2;
  bool own_limits = false;  // each endpoint has its own limit and outage
  double rate = 10;         // to the destination
  double headroom = 2;      // the destination's capacity, as a multiple of `rate`
  double other_rate = 30;   // to destinations that stay sound
  int slots = 12;           // of a relay
  Symptom symptom = Symptom::silent;
  int endpoints_out = 0;  // 0: all
  double outage_s = 8.5;  // 0: none
  // New endpoints take the place of `replaced` old ones: those drain 3 s before `replaced_at_s`.
  int replaced = 0;
  double replaced_at_s = 0.3;      // from the return on; below 0: during the outage
  double background_failures = 0;  // share of the calls that are reset although nothing is out
  std::uint64_t seed = 1;
};

struct Result {
  int taken = 0;               // messages to the destination
  double served_share = 0;     // of them, of those handed in from the outage's end on where there is one
  double largest_load = 0;     // after the return: calls in a period, as a share of what collapses it
  bool has_collapsed = false;  // over two thirds of the load came from relays that saw a call fail
};

Result play(const Scenario& scenario);

}  // namespace heronvane::recovery
