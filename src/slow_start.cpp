#include "slow_start.hpp"

#include <algorithm>
#include <cmath>

#include "fleet_size.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

constexpr double kMostBudget = 1;    // calls that may be saved up
constexpr double kLeastRate = 1e-9;  // calls a second; keeps divisions finite

}  // namespace

BudgetGrowth::BudgetGrowth(double full, double most, double warmth, double rise)
    : full_(full), most_(most), warmth_(warmth), rise_(rise) {
  if (full * warmth >= most) {
    capped_after_s_ = 0;
  } else if (rise > 0) {
    capped_after_s_ = (most / full - warmth) / rise;  // unbounded where `most` is
  }
}

double BudgetGrowth::calls_after(double elapsed_s) const {
  const double risen = std::min(elapsed_s, capped_after_s_);
  const double capped = elapsed_s > capped_after_s_ ? most_ * (elapsed_s - capped_after_s_) : 0;
  return full_ * risen * (warmth_ + rise_ * risen / 2) + capped;
}

double BudgetGrowth::seconds_until(double calls) const {
  const double while_rising = capped_after_s_ < kUnbounded ? calls_after(capped_after_s_) : kUnbounded;
  if (calls > while_rising) return capped_after_s_ + (calls - while_rising) / most_;
  if (rise_ <= 0) return calls / std::max(full_ * warmth_, kLeastRate);
  // The positive root of full * (warmth * t + rise * t^2 / 2) = calls.
  return (std::sqrt(warmth_ * warmth_ + 2 * rise_ * calls / full_) - warmth_) / rise_;
}

SlowStartPolicy::SlowStartPolicy(const Settings& settings, double shortest_latency_objective_s)
    : settings_(settings),
      window_(std::max(settings.slow_start_window, microseconds(shortest_latency_objective_s))) {}

BudgetGrowth SlowStartPolicy::growth(double baseline_rate, const RecoveryPhase& phase,
                                     Microseconds settled_at) const {
  // The rate has no lower bound: with hundreds of relays that each make one call a minute, a minimum of one
  // call per relay would collapse the endpoint.
  const double baseline = std::max(baseline_rate, kLeastRate);
  const double full = baseline * settings_.collapse_factor * collapse_margin(settings_);
  // An endpoint on trial may have returned only just now: it gets at most the rate from before the outage,
  // whatever the backlog.
  const double most = phase.is_on_trial ? baseline : kUnbounded;
  const double coldest = settings_.slow_start_min_share;
  if (phase.health != Health::slow_start) return {full, most, coldest, 0};
  const double rise = (1 - coldest) / seconds(window_);
  return {full, most, std::min(1.0, coldest + rise * seconds(settled_at - phase.since)), rise};
}

void SlowStart::begin(Microseconds moment, double baseline_rate, double budget) {
  baseline_rate_ = baseline_rate;
  budget_ = budget;
  settled_at_ = moment;
}

void SlowStart::limit_budget(Microseconds now, double most, const SlowStartPolicy& policy,
                             const RecoveryPhase& phase) {
  budget_ = std::min(most, budget(now, policy, phase));
  settled_at_ = now;
}

double SlowStart::budget(Microseconds now, const SlowStartPolicy& policy, const RecoveryPhase& phase) const {
  const BudgetGrowth growth = policy.growth(baseline_rate_, phase, settled_at_);
  return std::min(kMostBudget, budget_ + growth.calls_after(seconds(now - settled_at_)));
}

Microseconds SlowStart::ready_at(const SlowStartPolicy& policy, const RecoveryPhase& phase) const {
  Microseconds ready = settled_at_;
  if (budget_ < 1) {
    const BudgetGrowth growth = policy.growth(baseline_rate_, phase, settled_at_);
    ready = std::min(phase.since + policy.window(),
                     settled_at_ + microseconds(growth.seconds_until(1 - budget_)) + 1);
  }
  return phase.health == Health::ejected ? std::max(ready, health_check_at_) : ready;
}

void SlowStart::settle(Microseconds now, const SlowStartPolicy& policy, const RecoveryPhase& phase) {
  if (phase.health == Health::healthy) return;
  budget_ = budget(now, policy, phase);
  settled_at_ = now;
}

}  // namespace heronvane::dispatch
