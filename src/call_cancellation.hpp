// Cancels attempts whose answer is overdue, so that calls that are never answered do not occupy slots and
// requests until their long time-outs.
//
// An attempt is overdue when a later call to its endpoint was served or, while all slots are taken, when the
// endpoint has served nothing since the attempt was sent. The call may merely be slow to process. Owns
// nothing.
#pragma once

#include <vector>

#include "decision_pass.hpp"
#include "endpoint_tracker.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "request.hpp"
#include "request_state.hpp"

namespace heronvane::dispatch {

// Finds overdue attempts and cancels them. Refers to the owners of requests and endpoints, keeps no state.
class CallCancellation {
 public:
  // Both must outlive it.
  CallCancellation(const RequestState& state, const EndpointTracker& endpoints);

  // The requests whose first attempt in flight is overdue, in no particular order, some perhaps twice.
  // `slots_short`: all slots are taken.
  std::vector<MessageId> overdue(bool slots_short) const;

  // Cancels the request's first attempt in flight, of which there must be one, if it has been overdue for
  // long enough and was not cancelled yet; otherwise schedules a pass in time to check it again.
  void cancel_if_overdue(Request& request, bool slots_short, DecisionPass& pass) const;

 private:
  static bool is_overdue(const Call& call, bool slots_short);
  Microseconds cancel_at(const Request& request, const Call& call, bool slots_short) const;

  const RequestState& state_;
  const EndpointTracker& endpoints_;
};

}  // namespace heronvane::dispatch
