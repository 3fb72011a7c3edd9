// Whether a request may be attempted once more, until when, and how it may end.
//
// Pure: every result depends only on the settings and the arguments. Refers to the settings, which must
// outlive it.
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

  // Whether attempts are left and `moment` is not too late. Does not check possible executions: a request
  // that must not be executed twice ends after its first attempt with an unknown outcome.
  bool has_attempt_left(const Request& request, Microseconds moment) const;

  // From this moment on no attempt can be made: the deadline is too near, or the destination may have
  // forgotten the idempotency key.
  Microseconds latest_attempt(const Request& request) const;

  // When the request is given up, with or without an attempt in flight.
  Microseconds ends_at(const Request& request) const;

  // Until when the destination certainly knows the idempotency key of a request whose possible_execution is
  // set. A call may be written some time after it was decided, so a key window shorter than that delay allows
  // no retry.
  Microseconds key_known_until(const Request& request) const;

  // The time within which the call of a retry must begin, counted from `now`; empty where there is no limit.
  std::optional<Microseconds> start_within(const Request& request, Microseconds now) const;

  // The only zone whose endpoints may get a retry, because only they know the idempotency key; empty where
  // any may.
  static std::optional<int> required_zone(const Request& request);

  // Whether the request may end as rejected, because its client can submit it again without harm.
  static bool may_be_rejected(const Request& request);

  // Whether the request must not be executed twice and one more attempt could do so.
  static bool possibly_executed_non_idempotent(const Request& request);

 private:
  const Settings& settings_;
  Microseconds least_time_left_;  // before the deadline, for an attempt
};

}  // namespace heronvane::dispatch
