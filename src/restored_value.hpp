// Bounds for values of learned state that another version of the program may have written.
#pragma once

#include <algorithm>

#include "time_units.hpp"

namespace heronvane::dispatch {

// `value` brought into [least, most]; not a number counts as `least`.
template <class Number>
Number bounded(Number least, Number value, Number most) {
  return value > least ? std::min(value, most) : least;
}

// A restored duration: not negative, and short enough that a moment minus it does not overflow.
inline Microseconds bounded_duration(Microseconds duration) {
  return bounded(Microseconds{0}, duration, kNever / 4);
}

}  // namespace heronvane::dispatch
