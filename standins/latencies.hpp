// The latest of some durations, and what share of them stayed below which.
#pragma once

#include <deque>
#include <utility>

#include "behaviour.hpp"

namespace heronvane::standins {

class Latencies {
 public:
  // Keeps those of the last `window`, the latest 20,000 of them.
  explicit Latencies(Microseconds window = 10'000'000) : window_(window) {}
  void add(Microseconds now, Microseconds latency);
  // The least that `share` (0 to 1) of those kept at `now` do not exceed; -1 where there are none.
  Microseconds quantile(Microseconds now, double share) const;

 private:
  Microseconds window_;
  std::deque<std::pair<Microseconds, Microseconds>> kept_;
};

}  // namespace heronvane::standins
