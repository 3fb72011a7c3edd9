#include "endpoint_calls.hpp"

#include <algorithm>

namespace heronvane::dispatch {

void EndpointCalls::end(CallId call) {
  std::erase_if(in_flight_, [call](const Call& other) { return other.id == call; });
}

void EndpointCalls::record_served(Microseconds now, Microseconds sent_at) {
  served_at_ = now;
  newest_served_sent_at_ = std::max(newest_served_sent_at_, sent_at);
}

int EndpointCalls::overdue(Microseconds now, Microseconds patience, Microseconds sent_from) const {
  const auto sent_before = [](const Call& call, Microseconds moment) { return call.sent_at < moment; };
  const Microseconds first = std::max(served_at_, sent_from);
  const auto from = std::lower_bound(in_flight_.begin(), in_flight_.end(), first, sent_before);
  const auto to = std::lower_bound(from, in_flight_.end(), now - patience, sent_before);
  return static_cast<int>(to - from);
}

}  // namespace heronvane::dispatch
