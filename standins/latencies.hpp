// The latest of some durations, and what share of them stayed below which.
#pragma once

#include <deque>
#include <utility>

#include "behaviour.hpp"

namespace heronvane::standins {

class Latencies {
 public:
  // Keeps those of the last `window`, the latest 20,000 of them.
  explicit Latencies(Time window = 10'000'000) : window_(window) {}
  void add(Time now, Time latency);
  // The least that `share` (0 to 1) of those kept at `now` do not exceed; -1 where there are none.
  Time quantile(Time now, double share) const;

 private:
  Time window_;
  std::deque<std::pair<Time, Time>> kept_;
};

}  // namespace heronvane::standins
