// The plain way to choose what goes next: in each pass all requests are walked, and all that wait are sorted
// and tried. What the index of the product is held against.
#pragma once

#include <cstdint>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch::testing {

// A dispatcher that differs from the product in its scheduler alone. Where the tables of the module disagree
// with what the walk counts, it logs so, which no other dispatcher does.
Dispatcher make_full_walk_dispatcher(const Settings& settings, std::uint64_t seed);

}  // namespace heronvane::dispatch::testing
