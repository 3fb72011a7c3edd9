// Times of the decision module: microseconds on a monotonic clock, seconds as double in arithmetic.
#pragma once

#include <limits>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// A moment that is never reached. Small enough that differences of two moments do not overflow.
constexpr Microseconds kNever = std::numeric_limits<Microseconds>::max() / 4;

// A rate or a number of calls without a bound.
constexpr double kUnbounded = std::numeric_limits<double>::infinity();

// A duration in seconds.
inline double seconds(Microseconds duration) { return static_cast<double>(duration) * 1e-6; }

// Truncates toward zero; kNever for what is longer than 1e9 s.
inline Microseconds microseconds(double duration_s) {
  constexpr double kLongestSeconds = 1e9;
  return duration_s > kLongestSeconds ? kNever : static_cast<Microseconds>(duration_s * 1e6);
}

}  // namespace heronvane::dispatch
