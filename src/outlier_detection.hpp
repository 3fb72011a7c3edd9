// Decides from an endpoint's recent failures whether it is to be ejected.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// The share of calls that fail at endpoints which keep serving, over all endpoints. Where calls fail
// occasionally at all endpoints, only a longer run of failures indicates an outage.
class BackgroundFailureRate {
 public:
  double value() const { return value_; }  // in [0, 1]
  // The length of a run of failures that is unlikely to be chance; 1 where background failures are
  // insignificant.
  int run_beyond_chance() const;

  // A call was served; `isolated_failures` came before it at its endpoint.
  void record_served(int isolated_failures);

 private:
  double value_ = 0;
};

// The failures of one endpoint: the present run, and the share among recent calls.
class FailureEvidence {
 public:
  // The other inputs of is_outlier().
  struct Circumstances {
    Health health = Health::healthy;
    Outcome last_outcome = Outcome::error;
    double demand_per_s = 0;  // first attempts of this relay
    int overdue_calls = 0;
    double unanswered_s = 0;  // how long all calls have failed or are unanswered; 0: not known
  };

  int consecutive_failures() const { return consecutive_failures_; }
  double failure_rate() const { return failure_rate_; }  // of recent calls, in [0, 1]
  bool last_failure_possibly_executed() const { return last_failure_possibly_executed_; }

  void record_served(BackgroundFailureRate& background);
  void record_failed(Outcome outcome);
  // Another call was served: the failures before it do not form a run with later ones.
  void end_run();
  // A rejection is not a failure: the endpoint is reachable.
  void record_rejected() { last_failure_possibly_executed_ = false; }
  // Rejections indicate an outage: mark_failing() makes the run at least one failure long, add_failure() one
  // longer.
  void mark_failing();
  void add_failure() { consecutive_failures_++; }
  // The endpoint has warmed up.
  void clear();

  // Whether the failures are enough to eject.
  bool is_outlier(const Circumstances& circumstances, const BackgroundFailureRate& background) const;
  // A new endpoint takes over that calls failed at its siblings: its first served call shows that they
  // returned, not that it was never out.
  void copy_from(const FailureEvidence& siblings);
  // Takes over what an earlier incarnation had stored.
  void restore(const LearnedState& state);

 private:
  int consecutive_failures_ = 0;
  int isolated_failures_ = 0;  // resets and errors among them
  double failure_rate_ = 0;
  bool last_failure_possibly_executed_ = false;
};

}  // namespace heronvane::dispatch
