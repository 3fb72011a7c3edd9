#include "concurrency.hpp"

#include <algorithm>
#include <cmath>

#include "time_units.hpp"

namespace heronvane::dispatch {

void HealthCheckSlots::set(Share& share, std::size_t calls) {
  in_use_ -= share.calls_;
  share.calls_ = calls;
  in_use_ += calls;
}

bool HealthCheckSlots::is_any_free(const Settings& settings) const {
  constexpr double kShareOfSlots = 0.25;
  return static_cast<double>(in_use_) < std::max(1.0, kShareOfSlots * settings.max_concurrent_calls);
}

int ConcurrencyLimit::limit(const Settings& settings, const Load& load) const {
  constexpr double kShareOfSlots = 0.5;
  constexpr double kShareOfSlotsInDoubt = 0.125;
  constexpr double kCallsWithoutServedRate = 3;
  constexpr double kServedRateMargin = 3;
  const double slots = settings.max_concurrent_calls;
  const double most =
      std::max(1.0, load.is_doubtful ? slots * kShareOfSlotsInDoubt : std::ceil(slots * kShareOfSlots));
  // A slot is free again only in the pass after the answer. Without the decision interval, endpoints that
  // answer at once would get no slots.
  const double slot_turnaround_s = load.latency_s + seconds(settings.min_decision_interval);
  double limit =
      std::min(most, kCallsWithoutServedRate + kServedRateMargin * load.served_per_s * slot_turnaround_s);
  if (connection_limit_ > 0) limit = std::min<double>(limit, connection_limit_);
  return std::max(1, static_cast<int>(limit));
}

void ConcurrencyLimit::record_connections_exhausted(Microseconds now, std::size_t in_flight) {
  connection_limit_ = std::max(1, static_cast<int>(in_flight));
  changed_at_ = now;
}

void ConcurrencyLimit::record_served(Microseconds now) {
  constexpr double kRaiseGapSeconds = 2;
  if (connection_limit_ == 0 || now - changed_at_ <= microseconds(kRaiseGapSeconds)) return;
  connection_limit_++;
  changed_at_ = now;
}

}  // namespace heronvane::dispatch
