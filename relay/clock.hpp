// The two clocks: intervals run on the steady one, what outlasts the process is written in wall time.
#pragma once

#include <chrono>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

using heronvane::dispatch::Time;

inline Time steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline Time wall_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace heronvane
