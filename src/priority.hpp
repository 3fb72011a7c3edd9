// What a message is worth as time passes, and how that orders messages of one class. No clock.
#pragma once

#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "send_queue.hpp"

namespace heronvane::dispatch {

// The share of its full worth that a message has so long past its aim (before it: below 0).
double remaining_weight(const ClassSettings& c, WeightDecay decay, Microseconds past);

// The stretches of time past the aim in which messages of one class and one full worth keep their order by
//   a * remaining_weight(past) - remaining_weight(past + ahead)
// for any `a` above 1. `ahead`: from 0 to the class's aim (far beyond it rounding hides what order there is).
// The first stretch begins before any time.
std::vector<OrderPhase> order_phases(const ClassSettings& c, WeightDecay decay, Microseconds ahead);

}  // namespace heronvane::dispatch
