// Whether an endpoint's failures single it out: evidence in, verdict out.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// The share of calls that fail at endpoints which serve on, over all endpoints: where calls fail everywhere
// now and then, a run of failures must be longer to tell an outage.
class BackgroundFailureRate {
 public:
  double value() const { return value_; }  // in [0, 1]
  // Failures in a row that hardly come by chance; 1 where there are no background failures to speak of.
  int run_beyond_chance() const;

  // A call was served; `isolated_failures` came before it at its endpoint.
  void record_served(int isolated_failures);

 private:
  double value_ = 0;
};

// What speaks against one endpoint since it last served a call.
class FailureEvidence {
 public:
  // What else a verdict takes into account.
  struct Circumstances {
    Health health = Health::healthy;
    Outcome last_outcome = Outcome::error;
    double demand_per_s = 0;  // first attempts of this relay
    int overdue_calls = 0;
  };

  int consecutive_failures() const { return consecutive_failures_; }
  double failure_rate() const { return failure_rate_; }  // of recent calls, in [0, 1]
  bool last_failure_possibly_executed() const { return last_failure_possibly_executed_; }

  // Returns whether nothing but overdue calls spoke against the endpoint: it was slow, not out.
  bool record_served(BackgroundFailureRate& background);
  void record_failed(Outcome outcome);
  // A rejection is no failure: the endpoint is there.
  void record_rejected() { last_failure_possibly_executed_ = false; }
  // Rejections that are an outage: one failure at least, or one more.
  void mark_failing();
  void add_failure() { consecutive_failures_++; }
  // The endpoint has warmed up.
  void clear();

  // Whether the failures are enough to eject.
  bool is_outlier(const Circumstances& circumstances, const BackgroundFailureRate& background) const;
  // Takes what an earlier incarnation had stored.
  void restore(const LearnedState& state);

 private:
  int consecutive_failures_ = 0;
  int isolated_failures_ = 0;  // resets and errors among them
  double failure_rate_ = 0;
  bool last_failure_possibly_executed_ = false;
};

}  // namespace heronvane::dispatch
