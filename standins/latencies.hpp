// Keeps recent latencies and computes their quantiles.
#pragma once

#include <deque>
#include <utility>

#include "behaviour.hpp"

namespace heronvane::standins {

class Latencies {
 public:
  // Keeps the latencies of the last `window` microseconds, at most the latest 20,000.
  explicit Latencies(Microseconds window = 10'000'000) : window_(window) {}
  // Adds a latency measured at `now`, which must not decrease from call to call.
  void add(Microseconds now, Microseconds latency);
  // Returns the least latency that a share `share` (0 to 1) of the latencies in the window before `now` do
  // not exceed; -1 if there are none.
  Microseconds quantile(Microseconds now, double share) const;

 private:
  Microseconds window_;
  std::deque<std::pair<Microseconds, Microseconds>> samples_;
};

}  // namespace heronvane::standins
