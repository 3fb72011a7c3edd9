// The backoff delay of a rate-limit scope: linear increase on failures, multiplicative decrease on successes
// (LIMD), aged while unused.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// The delays that one relay's settings allow. All are in seconds and multiples of one unit, a fixed share of
// the shortest latency objective.
class BackoffScale {
 public:
  explicit BackoffScale(double shortest_latency_objective_s);

  double initial() const { return kInitialUnits * unit_; }  // after the first failure
  double least() const { return kLeastUnits * unit_; }      // before any retry
  double most() const { return kMostUnits * unit_; }

  double increased(double delay_s) const;
  double decreased(double delay_s) const;
  // The delay after `age` without use: it halves every kHalfLifeUnits units.
  double aged(double delay_s, Microseconds age) const;
  // How long `delay_s`, at least least(), takes to age to least().
  double seconds_until_least(double delay_s) const;

 private:
  static constexpr double kUnitOfObjective = 0.1;
  static constexpr double kInitialUnits = 2;
  static constexpr double kIncrementUnits = 4;
  static constexpr double kLeastUnits = 1;
  static constexpr double kMostUnits = 20;
  static constexpr double kHalfLifeUnits = 20;
  static constexpr double kDecreaseFactor = 0.2;

  double unit_;  // seconds
};

// The backoff delay of one rate-limit scope.
class Backoff {
 public:
  explicit Backoff(const BackoffScale& scale) : scale_(scale) {}

  const BackoffScale& scale() const { return scale_; }

  // The delay in seconds, as aged until `now`; 0 where no failure is remembered.
  double value(Microseconds now) const;
  // Whether a delay is kept, even one that has aged to 0; a success after that clears it.
  bool remembers_failure() const { return delay_ > 0; }

  void increase(Microseconds now);
  void decrease(Microseconds now);

  // The delay as it is stored: 0 where it does not exceed least(), which every retry waits anyway.
  double worth_keeping(double delay_s) const;
  // Takes the longer of the present delay and one that was stored at `written`. `replaces`: the record is
  // newer than all that were taken before, and the present delay does not count.
  void restore(double delay_s, Microseconds written, bool replaces);

 private:
  BackoffScale scale_;
  double delay_ = 0;             // seconds, as of changed_at_
  Microseconds changed_at_ = 0;  // last increase or decrease
};

}  // namespace heronvane::dispatch
