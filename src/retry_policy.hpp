// Whether a request may be attempted once more, until when, and how it may end.
//
// Pure: every function is a function of the settings, the request and the moments it is handed. Refers to the
// settings, which must outlive it.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"
#include "request.hpp"

namespace heronvane::dispatch {

// The rules on attempts, for one dispatcher's settings.
class RetryPolicy {
 public:
  // `shortest_objective_s`: the shortest latency objective of all classes, in seconds.
  RetryPolicy(const Settings& settings, double shortest_objective_s);

  // Whether a first attempt or retry at `moment` keeps the rules: attempts left, not too late, and no second
  // execution of a request that is not idempotent.
  bool may_attempt(const Request& request, Microseconds moment) const;

  // Whether attempts are left and `moment` is not too late. Says nothing of possible executions: a request
  // that must not run twice ends when its first attempt is in doubt.
  bool has_attempt_left(const Request& request, Microseconds moment) const;

  // From this moment on no attempt can be made: the deadline is too near, or the destination may have
  // forgotten the idempotency key.
  Microseconds latest_attempt(const Request& request) const;

  // When a request with nothing in flight is given up, or one that still waits for an outcome.
  Microseconds ends_at(const Request& request) const;

  // Until when the destination surely knows the idempotency key of a request with a possible execution (which
  // must be set). A call may be written a while after it was decided on, so a window shorter than that allows
  // no retry.
  Microseconds key_known_until(const Request& request) const;

  // The time within which the call of a retry must begin, counted from `now`; nothing where it may begin
  // whenever.
  std::optional<Microseconds> start_within(const Request& request, Microseconds now) const;

  // The zone whose endpoints alone may get a retry, because only they know the idempotency key.
  static std::optional<int> required_zone(const Request& request);

  // Whether the request may end as rejected, so that its client can hand it in again without harm.
  static bool may_be_rejected(const Request& request);

  // Whether one more attempt could execute a request twice that must not be.
  static bool possibly_executed_non_idempotent(const Request& request);

 private:
  const Settings& settings_;
  Microseconds least_time_left_;  // before the deadline, for an attempt
};

}  // namespace heronvane::dispatch
