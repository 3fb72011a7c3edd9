// How many calls this relay may make to an endpoint that is ejected or returns from an outage: its share of
// the load that the endpoint can safely take.
#pragma once

#include "decision_pass.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// Calls allowed to an endpoint that warms up, from a moment on. The rate is `full` (above 0, calls a second)
// times the warmth, which rises by `rise` a second from `warmth`; it is at most `most` (calls a second).
class BudgetGrowth {
 public:
  BudgetGrowth(double full, double most, double warmth, double rise);

  // Calls allowed in the first `elapsed_s` seconds.
  double calls_after(double elapsed_s) const;
  // The seconds until `calls` calls are allowed.
  double seconds_until(double calls) const;

 private:
  double full_;
  double most_;
  double warmth_;
  double rise_;
  double capped_after_s_ = kUnbounded;  // when the rate reaches `most`
};

// What the growth of an endpoint's budget follows from, apart from its slow start itself.
struct RecoveryPhase {
  Health health = Health::healthy;
  Microseconds since = 0;    // of that health
  bool is_on_trial = false;  // nothing was served since it was ejected
};

// Derives the growth of budgets from the settings, which must outlive it.
class SlowStartPolicy {
 public:
  SlowStartPolicy(const Settings& settings, double shortest_latency_objective_s);

  // How long an endpoint warms up, and how long an outage is remembered.
  Microseconds window() const { return window_; }
  // `settled_at`: from when on the growth counts.
  BudgetGrowth growth(double baseline_rate, const RecoveryPhase& phase, Microseconds settled_at) const;

 private:
  const Settings& settings_;
  Microseconds window_;
};

// The budget of one endpoint that is ejected or warming up.
class SlowStart {
 public:
  // Calls a second of this relay before the outage.
  double baseline_rate() const { return baseline_rate_; }

  // Begins the budget of an outage, which may be new, restored or copied from a sibling. `budget`: calls
  // allowed at `moment`, at most 1. Each relay draws its own at random, so that the first calls of many
  // relays are spread.
  void begin(Microseconds moment, double baseline_rate, double budget);
  // The budget must have been settled.
  void set_baseline_rate(double rate) { baseline_rate_ = rate; }
  void limit_budget(Microseconds now, double most, const SlowStartPolicy& policy, const RecoveryPhase& phase);
  // While the endpoint is ejected, no call goes there before `moment`.
  void schedule_health_check(Microseconds moment) { health_check_at_ = moment; }

  // Calls allowed at `now`, at most 1; below 0 after calls that were sent regardless of the budget.
  double budget(Microseconds now, const SlowStartPolicy& policy, const RecoveryPhase& phase) const;
  // When the next call is allowed. Changes nothing: the answer must not depend on how often it was asked for.
  Microseconds ready_at(const SlowStartPolicy& policy, const RecoveryPhase& phase) const;
  // Adds the growth until `now` to the budget. Required before anything of `phase` changes; does nothing
  // while healthy.
  void settle(Microseconds now, const SlowStartPolicy& policy, const RecoveryPhase& phase);
  // A call goes out; the budget must have been settled.
  void consume() { budget_ -= 1; }

 private:
  double baseline_rate_ = 0;
  double budget_ = 0;  // as of settled_at_
  Microseconds settled_at_ = 0;
  Microseconds health_check_at_ = 0;
};

}  // namespace heronvane::dispatch
