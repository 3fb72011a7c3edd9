#include "outlier_detection.hpp"

#include <algorithm>
#include <cmath>

#include "restored_value.hpp"

namespace heronvane::dispatch {
namespace {

constexpr int kEjectingRun = 3;  // failures in a row, calls overdue included
constexpr double kEjectingFailureRate = 0.5;
constexpr double kNewestWeight = 0.15;  // in an endpoint's failure rate
// With few calls of this relay fewer failures suffice: as many as it makes calls in this time. One suffices
// where nothing was served for as long.
constexpr double kEvidenceSeconds = 3;

}  // namespace

int BackgroundFailureRate::run_beyond_chance() const {
  constexpr double kSignificantRate = 0.05;
  constexpr double kLeastLikely = 0.003;  // a run that is likelier than this may be chance
  constexpr int kLongestRun = 8;
  if (value_ < kSignificantRate) return 1;
  return std::min(kLongestRun, static_cast<int>(std::ceil(std::log(kLeastLikely) / std::log(value_))));
}

void BackgroundFailureRate::record_served(int isolated_failures) {
  constexpr double kNewestCallWeight = 0.02;
  for (int i = 0; i < isolated_failures; i++) value_ += kNewestCallWeight * (1 - value_);
  value_ *= 1 - kNewestCallWeight;
}

void FailureEvidence::record_served(BackgroundFailureRate& background) {
  background.record_served(isolated_failures_);
  end_run();
}

void FailureEvidence::end_run() {
  failure_rate_ *= 1 - kNewestWeight;
  isolated_failures_ = 0;
  consecutive_failures_ = 0;
}

void FailureEvidence::record_failed(Outcome outcome) {
  constexpr int kMostIsolated = 2;  // of one run: the rest may be an outage
  consecutive_failures_++;
  if (outcome == Outcome::reset || outcome == Outcome::error)
    isolated_failures_ = std::min(isolated_failures_ + 1, kMostIsolated);
  last_failure_possibly_executed_ = outcome != Outcome::connect_failed;
  failure_rate_ += kNewestWeight * (1 - failure_rate_);
}

void FailureEvidence::mark_failing() { consecutive_failures_ = std::max(consecutive_failures_, 1); }

void FailureEvidence::clear() {
  consecutive_failures_ = 0;
  failure_rate_ = 0;
}

bool FailureEvidence::is_outlier(const Circumstances& circumstances,
                                 const BackgroundFailureRate& background) const {
  const int chance = background.run_beyond_chance();
  int by_demand =
      std::clamp(static_cast<int>(std::ceil(kEvidenceSeconds * circumstances.demand_per_s)), 1, kEjectingRun);
  if (circumstances.unanswered_s >= kEvidenceSeconds) by_demand = 1;
  // A single error is weak evidence: healthy endpoints return some, too.
  const int by_outcome = circumstances.last_outcome == Outcome::error ? 2 : 1;
  if (consecutive_failures_ >= std::max({by_demand, by_outcome, chance})) return true;

  int run = 1;
  if (circumstances.health == Health::healthy) run = std::max(kEjectingRun, chance);
  // Two in a row: a single isolated failure must not restart the slow start.
  if (circumstances.health == Health::slow_start) run = std::max(kEjectingRun - 1, chance);
  if (consecutive_failures_ + circumstances.overdue_calls >= run) return true;

  const double background_rate = chance > 1 ? background.value() : 0;
  return failure_rate_ > kEjectingFailureRate + background_rate;
}

void FailureEvidence::copy_from(const FailureEvidence& siblings) {
  *this = siblings;
  isolated_failures_ = 0;
  mark_failing();
}

void FailureEvidence::restore(const LearnedState& state) {
  constexpr int kMostRestored = 1'000;
  consecutive_failures_ = bounded(0, state.consecutive_failures, kMostRestored);
  failure_rate_ = bounded(0.0, state.failure_rate, 1.0);
  last_failure_possibly_executed_ = state.last_failure_possibly_executed;
}

}  // namespace heronvane::dispatch
