#include "admission.hpp"

#include <algorithm>
#include <cmath>

#include "rejections.hpp"
#include "restored_value.hpp"

namespace heronvane::dispatch {
namespace {

constexpr double kLeastProbability = 0.02;
constexpr double kStrongestCut = 0.5;
constexpr double kRecoveryPerSecond = 0.15;  // exponential growth

}  // namespace

double Admission::probability(Microseconds now) const { return recovered(probability_, now - changed_at_); }

double Admission::recovered(double probability, Microseconds age) {
  return std::min(1.0, probability * std::exp(kRecoveryPerSecond * seconds(age)));
}

Microseconds Admission::full_at() const {
  return changed_at_ + microseconds(-std::log(probability_) / kRecoveryPerSecond) + 1;
}

double Admission::seconds_until_full(Microseconds now) const {
  return -std::log(probability(now)) / kRecoveryPerSecond;
}

bool Admission::cut(Microseconds now, double served_after_rejection) {
  const double factor = std::clamp(2 * served_after_rejection, kStrongestCut, 1.0);
  if (factor >= 1 || now - changed_at_ < microseconds(kRejectionEventSeconds)) {
    return false;
  }
  probability_ = std::max(kLeastProbability, probability(now) * factor);
  changed_at_ = now;
  return true;
}

void Admission::restore(double probability, Microseconds written, Microseconds last_restored) {
  if (changed_at_ > last_restored) {
    return;
  }
  const double stored = bounded(kLeastProbability, probability, 1.0);
  probability_ = written > last_restored ? stored : std::min(probability_, stored);
  changed_at_ = written;
}

}  // namespace heronvane::dispatch
