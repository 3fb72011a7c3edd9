#include "connection_reuse.hpp"

#include <algorithm>

namespace heronvane::dispatch {

void ConnectionReuse::record_call_began(Microseconds now) {
  constexpr double kNewestWeight = 0.3;
  constexpr double kLongestGapSeconds = 100;
  mean_gap_s_ += kNewestWeight * (std::min(seconds(now - used_at_), kLongestGapSeconds) - mean_gap_s_);
  used_at_ = now;
}

void ConnectionReuse::close_in_doubt(DecisionPass& pass, const EndpointId& endpoint) {
  if (closed_in_doubt_) return;
  closed_in_doubt_ = true;
  pass.actions.add(action::CloseIdle{endpoint});
}

bool ConnectionReuse::is_rarely_used(const Settings& settings) const {
  constexpr double kIdleConnectionsSpared = 8;  // of all relays, that an endpoint can afford
  return mean_gap_s_ * settings.relays > seconds(settings.connection_idle_timeout) * kIdleConnectionsSpared;
}

}  // namespace heronvane::dispatch
