#include "backoff.hpp"

#include <algorithm>
#include <cmath>

#include "restored_value.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

BackoffScale::BackoffScale(double shortest_latency_objective_s)
    : unit_(kUnitOfObjective * shortest_latency_objective_s) {}

double BackoffScale::increased(double delay_s) const {
  return delay_s == 0 ? initial() : std::min(delay_s + kIncrementUnits * unit_, most());
}

double BackoffScale::decreased(double delay_s) const {
  return delay_s == 0 ? 0 : std::max(delay_s * kDecreaseFactor, least());
}

double BackoffScale::aged(double delay_s, Microseconds age) const {
  return delay_s * std::exp2(-seconds(age) / (kHalfLifeUnits * unit_));
}

double BackoffScale::seconds_until_least(double delay_s) const {
  return std::log2(delay_s / least()) * kHalfLifeUnits * unit_;
}

double Backoff::value(Microseconds now) const {
  const double aged = scale_.aged(delay_, now - changed_at_);
  return aged < scale_.least() / 2 ? 0 : aged;
}

void Backoff::increase(Microseconds now) {
  // Failures reported in one pass count once, so that calls that were in flight together do not increase the
  // delay repeatedly.
  if (delay_ > 0 && changed_at_ == now) {
    return;
  }
  delay_ = scale_.increased(value(now));
  changed_at_ = now;
}

void Backoff::decrease(Microseconds now) {
  delay_ = scale_.decreased(value(now));
  changed_at_ = now;
}

double Backoff::worth_keeping(double delay_s) const {
  constexpr double kRoundingMargin = 1.001;
  return delay_s > kRoundingMargin * scale_.least() ? delay_s : 0;
}

void Backoff::restore(double delay_s, Microseconds written, bool replaces) {
  const double present = replaces ? 0 : delay_;
  delay_ = std::max(present, bounded(0.0, delay_s, scale_.most()));
  changed_at_ = written;
}

}  // namespace heronvane::dispatch
