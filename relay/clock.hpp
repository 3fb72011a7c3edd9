// The two clocks, in microseconds: intervals are measured on the steady clock; times that outlast the process
// are stored as wall time.
#pragma once

#include <chrono>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

using heronvane::dispatch::Microseconds;

inline Microseconds steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline Microseconds wall_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace heronvane
