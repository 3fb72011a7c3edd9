// What names a call in flight: one exchange with an endpoint, which may carry several requests.
#pragma once

#include <cstdint>

namespace heronvane::dispatch {

// Counts from 1; never given twice.
using CallId = std::uint64_t;

}  // namespace heronvane::dispatch
