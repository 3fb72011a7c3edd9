#include "latency.hpp"

#include <algorithm>

namespace heronvane::dispatch {

void Slowness::record(double latency_s, double usual_latency_s) {
  constexpr double kNewestWeight = 0.1;
  constexpr double kLeastUsualSeconds = 1e-3;
  constexpr double kMostOfOneAnswer = 20;
  const double multiple =
      std::min(latency_s / std::max(usual_latency_s, kLeastUsualSeconds), kMostOfOneAnswer);
  value_ += kNewestWeight * (multiple - value_);
}

void LatencyEstimate::record_served(Microseconds latency, Slowness& slowness) {
  constexpr double kNewestWeight = 0.2;
  constexpr double kNewestWeightOfUsual = 0.02;
  recent_ += kNewestWeight * (seconds(latency) - recent_);
  if (usual_ == 0) usual_ = seconds(latency);
  slowness.record(seconds(latency), usual_);
  usual_ += kNewestWeightOfUsual * (seconds(latency) - usual_);
}

void LatencyEstimate::record_unanswered(Microseconds elapsed) {
  recent_ = std::max(recent_, std::min(recent_ * 2, seconds(elapsed)));
}

}  // namespace heronvane::dispatch
