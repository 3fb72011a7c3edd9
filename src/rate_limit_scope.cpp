#include "rate_limit_scope.hpp"

#include <algorithm>
#include <cmath>

#include "fleet_size.hpp"
#include "restored_value.hpp"

namespace heronvane::dispatch {

void RateLimitScope::record_served(Microseconds now, SharedLimits& shared) {
  served_.record(now);
  shared.served_after_rejection.record(kind_, rejections_, true);
  rejections_.clear();
  backoff_.decrease(now);
  send_rate_.raise(now, shared.shortest_latency_objective_s);
}

void RateLimitScope::record_rejected(Microseconds now, SharedLimits& shared) {
  backoff_.increase(now);
  shared.served_after_rejection.record(kind_, rejections_, false);
  rejections_.record(now);
}

void RateLimitScope::slow_down(DecisionPass& pass, const EndpointId& endpoint, SharedLimits& shared) {
  send_rate_.cut(pass.now, served_.per_second(pass.now), least_rate(shared, pass.now));
  if (admission_.cut(pass.now, shared.served_after_rejection.share(kind_))) {
    shared.gossip.announce(pass, endpoint, admission_);
  }
}

void RateLimitScope::slow_down_by_gossip(Microseconds now, const SharedLimits& shared) {
  if (admission_.cut(now, shared.served_after_rejection.share(kind_))) {
    admission_.mark_announced(now);
  }
}

double RateLimitScope::least_rate(const SharedLimits& shared, Microseconds now) const {
  // A relay with few calls has no meaningful served rate: it may make one call per backoff delay, fewer with
  // each consecutive rejection, and fewer still where calls after a rejection are mostly rejected again.
  const double share = shared.served_after_rejection.share(kind_);
  const double delay = std::max(backoff_.value(now), backoff_.scale().initial());
  return std::pow(share, rejections_.count()) / delay;
}

void RateLimitScope::extend_retry_after(Microseconds until) {
  retry_after_until_ = std::max(retry_after_until_, until);
}

bool RateLimitScope::admit(DecisionPass& pass) {
  double probability = admission_.probability(pass.now);
  if (is_presumed_unavailable(pass.settings)) {
    // At most the share of the load that the scope can take right after an outage.
    const Settings& settings = pass.settings;
    probability = std::min(
        probability, settings.collapse_factor * collapse_margin(settings) * settings.slow_start_min_share);
  }
  if (serves_this_relay(pass.now) || pass.random.uniform() < probability) {
    return true;
  }
  admission_.hold_until(pass.now + microseconds(pass.random.jittered(backoff_.scale().most())));
  pass.wake_up.no_later_than(admission_.held_until());
  return false;
}

bool RateLimitScope::is_presumed_unavailable(const Settings& settings) const {
  constexpr int kLeastRejections = 2;
  return rejections_.count() >= kLeastRejections && is_large_fleet(settings);
}

bool RateLimitScope::serves_this_relay(Microseconds now) const {
  constexpr double kLeastServed = 2;  // calls, within the rate's memory
  return served_.per_second(now) * kServedRateMemorySeconds >= kLeastServed;
}

bool RateLimitScope::has_learned(const Settings& settings) const {
  return backoff_.remembers_failure() || stored_rate(settings) > 0 || admission_.was_cut();
}

bool RateLimitScope::is_blank(Microseconds moment) const {
  return retry_after_until_ <= moment && !backoff_.remembers_failure() && !send_rate_.is_bounded() &&
         !admission_.was_cut();
}

Microseconds RateLimitScope::blank_at(Microseconds now, const Settings& settings) const {
  if (stored_rate(settings) > 0) {
    return kNever;
  }
  Microseconds at = std::max(retry_after_until_, now);
  if (const double delay = backoff_.worth_keeping(backoff_.value(now)); delay > 0) {
    at = std::max(at, now + microseconds(backoff_.scale().seconds_until_least(delay)));
  }
  return std::max(at, now + microseconds(admission_.seconds_until_full(now)));
}

double RateLimitScope::stored_rate(const Settings& settings) const {
  constexpr double kNeverReachedPerSlot = 100;  // calls a second per slot; a higher rate limits nothing
  return send_rate_.value() < kNeverReachedPerSlot * settings.max_concurrent_calls ? send_rate_.value() : 0;
}

double RateLimitScope::stored_delay_after(double delay_s, Microseconds age) const {
  return backoff_.worth_keeping(backoff_.scale().aged(delay_s, age));
}

void RateLimitScope::save(Microseconds now, const Settings& settings, LearnedState& state) const {
  state.retry_after_left = std::max<Microseconds>(0, retry_after_until_ - now);
  state.backoff_delay = backoff_.worth_keeping(backoff_.value(now));
  state.send_rate = stored_rate(settings);
  state.admission_probability = admission_.probability(now);
  state.consecutive_rejections = rejections_.count();
  if (rejections_.count() > 0) {
    state.first_rejection_age = now - rejections_.first_at();
  }
}

void RateLimitScope::restore(Microseconds now, Microseconds written, const LearnedState& state) {
  extend_retry_after(written + bounded_duration(state.retry_after_left));
  if (attempt_ended_ || written < restored_written_) {
    return;
  }
  const bool replaces = written > restored_written_;
  admission_.restore(state.admission_probability, written, restored_written_);
  backoff_.restore(state.backoff_delay, written, replaces);
  send_rate_.restore(now, state.send_rate, replaces);
  rejections_.restore(state.consecutive_rejections, state.first_rejection_age, written, replaces, now);
  restored_written_ = written;
}

}  // namespace heronvane::dispatch
