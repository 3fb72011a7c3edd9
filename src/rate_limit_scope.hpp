// What is learned of one rate-limit scope: all endpoints of a destination that share a limit, or a single
// endpoint that has its own.
#pragma once

#include <cstddef>

#include "admission.hpp"
#include "backoff.hpp"
#include "call_rate.hpp"
#include "decision_pass.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "rejection_gossip.hpp"
#include "rejections.hpp"
#include "send_rate.hpp"

namespace heronvane::dispatch {

// What all rate-limit scopes of one dispatcher learn together.
struct SharedLimits {
  SharedLimits(std::size_t kinds, double shortest_latency_objective)
      : shortest_latency_objective_s(shortest_latency_objective),
        served_after_rejection(kinds),
        gossip(shortest_latency_objective) {}

  double shortest_latency_objective_s;
  ServedAfterRejection served_after_rejection;
  RejectionGossip gossip;
};

// The limits of one scope.
class RateLimitScope {
 public:
  explicit RateLimitScope(const BackoffScale& scale) : backoff_(scale) {}

  // Position of the destination's kind, as ServedAfterRejection counts them.
  void set_kind(std::size_t kind) { kind_ = kind; }

  // ---- Outcomes of calls ----

  void record_served(Microseconds now, SharedLimits& shared);
  void record_rejected(Microseconds now, SharedLimits& shared);
  void record_failed(Microseconds now) { backoff_.increase(now); }
  // Lowers the send rate and the admission probability after a rejection by `endpoint`, and may send peers a
  // hint, which draws a random number.
  void slow_down(DecisionPass& pass, const EndpointId& endpoint, SharedLimits& shared);
  // A peer met a rejection.
  void slow_down_by_gossip(Microseconds now, const SharedLimits& shared);
  // From now on records of an earlier incarnation are outdated, except for their Retry-Afters.
  void note_attempt_ended() { attempt_ended_ = true; }

  // ---- Limits on sends ----

  // No call goes there before `until`, the end of a Retry-After.
  void extend_retry_after(Microseconds until);
  Microseconds retry_after_until() const { return retry_after_until_; }
  // The end of the Retry-After, or of the wait after a refused admission where that is later.
  Microseconds held_until() const { return std::max(retry_after_until_, admission_.held_until()); }
  Microseconds send_rate_ready_at() const { return send_rate_.ready_at(); }
  // Whether this attempt is admitted; where not, the scope is blocked for a jittered backoff delay. Draws a
  // random number only where serves_this_relay() is false.
  bool admit(DecisionPass& pass);
  // Whether calls were rejected twice with none served between, in a large fleet, where the longer run of
  // rejections that ejects would come too late.
  bool is_presumed_unavailable(const Settings& settings) const;
  // Enough calls of this relay are served for its own send rate to tell what the scope takes.
  bool serves_this_relay(Microseconds now) const;
  void consume(Microseconds now) { send_rate_.consume(now); }

  bool is_outage(Microseconds now) const { return rejections_.is_outage(now); }
  double backoff_delay(Microseconds now) const { return backoff_.value(now); }  // seconds
  const BackoffScale& backoff_scale() const { return backoff_.scale(); }
  const Admission& admission() const { return admission_; }

  // ---- Stored state. None of these draws random numbers; only restore() affects decisions. ----

  // Whether anything but a Retry-After is worth storing.
  bool has_learned(const Settings& settings) const;
  // Whether nothing is known of the scope at `moment`.
  bool is_blank(Microseconds moment) const;
  // When what is known has run out by time alone; kNever where it takes served calls.
  Microseconds blank_at(Microseconds now, const Settings& settings) const;
  // Fills in the scope's part of `state`.
  void save(Microseconds now, const Settings& settings, LearnedState& state) const;
  // A delay as save() would store it when it is `age` older.
  double stored_delay_after(double delay_s, Microseconds age) const;
  // Takes the scope's part of a record that was written at `written`, at most `now`. Retry-Afters always
  // count. The rest counts until an attempt of this incarnation has ended, and only from the newest record;
  // of equally old records the more cautious values count.
  void restore(Microseconds now, Microseconds written, const LearnedState& state);

 private:
  // Calls a second below which no rejection cuts the send rate.
  double least_rate(const SharedLimits& shared, Microseconds now) const;
  // The send rate as it is stored: 0 where it bounds nothing.
  double stored_rate(const Settings& settings) const;

  Backoff backoff_;
  SendRate send_rate_;
  Admission admission_;
  RejectionRun rejections_;
  CallRate served_{kServedRateMemorySeconds};
  Microseconds retry_after_until_ = 0;
  Microseconds restored_written_ = -kNever;  // when the record that counts was written
  std::size_t kind_ = 0;
  bool attempt_ended_ = false;  // in this incarnation
};

}  // namespace heronvane::dispatch
