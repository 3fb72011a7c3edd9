// What is known of an outage of a rate-limit scope, from the calls to all of its endpoints.
//
// Endpoints that share a limit mostly share their outages, too, and a relay may see only a few failed calls
// at each. An outage of a single endpoint is not one of the scope: it is contradicted as soon as a sibling
// serves.
#pragma once

#include "call_rate.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "outlier_detection.hpp"

namespace heronvane::dispatch {

// The outage of one rate-limit scope.
class ScopeOutage {
 public:
  // The scope's demand counts from the first call of start() on.
  void start(Microseconds now);

  // `ejected`: an outage is suspected or known. `slow_start`: the scope served again.
  Health health() const { return health_; }
  bool is_ejected() const { return health_ == Health::ejected; }
  // When the health was entered; an ejection counts from its last confirmation.
  Microseconds since() const { return since_; }
  const FailureEvidence& evidence() const { return evidence_; }
  Microseconds served_at() const { return served_at_; }
  // First attempts of this relay a second, while the endpoints that got them were healthy.
  double demand_per_s(Microseconds now) const { return demand_.per_second(now); }
  // Calls a second of this relay to the whole scope before the outage.
  double baseline_rate() const { return baseline_rate_; }

  void record_first_attempt(Microseconds now) { demand_.record(now); }
  // A call that was sent at `sent_at` failed. Not to be called for failures that say nothing of the scope.
  void record_failed(Outcome outcome, Microseconds sent_at);
  // A call was served: whatever failed before it is no evidence any more.
  void record_served(Microseconds now);

  // Whether the failures since the last served call are enough to suspect an outage. `overdue_calls`: of all
  // endpoints, sent since the last served call.
  bool is_outlier(Microseconds now, int overdue_calls, const BackgroundFailureRate& background) const;
  // How long no call was served although calls were made: since the first failed one was sent.
  Microseconds unanswered_for(Microseconds now) const;

  // Begins or confirms an outage. `baseline_rate` counts where the scope was healthy.
  void eject(Microseconds now, double baseline_rate);
  // The scope serves again. `baseline_rate` counts where the scope was healthy.
  void begin_slow_start(Microseconds now, double baseline_rate);
  // Takes over what an earlier incarnation had stored.
  void restore(Health learned, Microseconds since, double baseline_rate);
  // Ends an ejection or slow start that is older than `window`; slow start follows an ejection.
  void advance(Microseconds now, Microseconds window);

 private:
  static constexpr double kDemandMemorySeconds = 30;  // long: a relay may make few calls a minute

  FailureEvidence evidence_;
  CallRate demand_{kDemandMemorySeconds};
  bool is_started_ = false;
  Microseconds served_at_ = -1;
  Microseconds failing_since_ = 0;  // when the first failed call of the present run was sent
  Outcome last_outcome_ = Outcome::error;
  Health health_ = Health::healthy;
  Microseconds since_ = 0;
  double baseline_rate_ = 0;
};

}  // namespace heronvane::dispatch
