#include "call_table.hpp"

namespace heronvane::dispatch {

CallTable::CallTable(int max_concurrent_calls)
    : max_concurrent_calls_(static_cast<std::size_t>(max_concurrent_calls)) {}

CallId CallTable::start(EndpointState& endpoint, Microseconds now) {
  const CallId id = next_id_++;
  Call& call = calls_[id];
  call.endpoint = &endpoint;
  call.sent_at = now;
  return id;
}

void CallTable::add_request(CallId id, MessageId request) {
  Call& call = calls_.at(id);
  call.without_outcome++;
  call.requests.push_back(request);
}

Call* CallTable::find(CallId id) {
  const auto position = calls_.find(id);
  return position == calls_.end() ? nullptr : &position->second;
}

const Call* CallTable::find(CallId id) const {
  const auto position = calls_.find(id);
  return position == calls_.end() ? nullptr : &position->second;
}

}  // namespace heronvane::dispatch
