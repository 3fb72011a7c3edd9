#include "batching.hpp"

#include <algorithm>

namespace heronvane::dispatch {

void Batching::record_served() { trusted_ = std::min(trusted_ + 1, most_); }

void Batching::record_failed(int requests) { trusted_ = std::max(1, std::min(trusted_, requests) / 2); }

void Batching::restore(int trusted) {
  if (trusted > 0) trusted_ = std::min(trusted, most_);
}

void Batching::begin_call(CallId call, Microseconds now) {
  open_call_ = call;
  opened_at_ = now;
  open_requests_ = 0;
}

void Batching::end_call(CallId call) {
  if (call == open_call_) open_call_ = kNoCall;
}

bool Batching::has_room(Microseconds now) const {
  return open_call_ != kNoCall && opened_at_ == now && open_requests_ < trusted_;
}

}  // namespace heronvane::dispatch
