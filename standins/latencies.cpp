#include "latencies.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace heronvane::standins {

namespace {
constexpr std::size_t kMaxSamples = 20'000;
}

void Latencies::add(Microseconds now, Microseconds latency) {
  samples_.emplace_back(now, latency);
  while (samples_.size() > kMaxSamples || samples_.front().first < now - window_) samples_.pop_front();
}

Microseconds Latencies::quantile(Microseconds now, double share) const {
  std::vector<Microseconds> latencies;
  for (const auto& [at, latency] : samples_)
    if (at >= now - window_) latencies.push_back(latency);
  if (latencies.empty()) return -1;
  const auto rank =
      static_cast<std::size_t>(std::max(1.0, std::ceil(share * static_cast<double>(latencies.size()))));
  const auto position = latencies.begin() + static_cast<std::ptrdiff_t>(std::min(rank, latencies.size()) - 1);
  std::nth_element(latencies.begin(), position, latencies.end());
  return *position;
}

}  // namespace heronvane::standins
