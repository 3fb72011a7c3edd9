#include "latencies.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace heronvane::standins {

namespace {
constexpr std::size_t kMost = 20'000;
}

void Latencies::add(Microseconds now, Microseconds latency) {
  kept_.emplace_back(now, latency);
  while (kept_.size() > kMost || kept_.front().first < now - window_) kept_.pop_front();
}

Microseconds Latencies::quantile(Microseconds now, double share) const {
  std::vector<Microseconds> all;
  for (const auto& [at, latency] : kept_)
    if (at >= now - window_) all.push_back(latency);
  if (all.empty()) return -1;
  const auto rank =
      static_cast<std::size_t>(std::max(1.0, std::ceil(share * static_cast<double>(all.size()))));
  const auto place = all.begin() + static_cast<std::ptrdiff_t>(std::min(rank, all.size()) - 1);
  std::nth_element(all.begin(), place, all.end());
  return *place;
}

}  // namespace heronvane::standins
