// What a message is worth as time passes, and how that orders messages of one class. No clock.
#pragma once

#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "waiting.hpp"

namespace heronvane::dispatch {

// The share of its full worth that a message has so long past its aim (before it: below 0).
double worth_left(const ClassSettings& c, WeightDecay decay, Microseconds past);

// The stretches of time past the aim in which messages of one class and one full worth keep their order by
//   a * worth_left(past) - worth_left(past + ahead)
// for any `a` above 1. `ahead`: from 0 to the class's aim (far beyond it rounding hides what order there is).
// The first stretch begins before any time.
std::vector<Phase> worth_phases(const ClassSettings& c, WeightDecay decay, Microseconds ahead);

}  // namespace heronvane::dispatch
