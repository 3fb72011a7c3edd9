// The reference scheduler: each pass walks all requests, and sorts and tries all that wait. The indexed
// scheduler is compared with it.
#pragma once

#include <cstdint>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch::testing {

// A dispatcher that differs from the product in its scheduler alone. Where the tables of the module disagree
// with what the walk counts, it logs the difference, which no other dispatcher does.
Dispatcher make_full_walk_dispatcher(const Settings& settings, std::uint64_t seed);

}  // namespace heronvane::dispatch::testing
