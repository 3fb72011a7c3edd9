// Cancels attempts whose answer is overdue, so that calls that were taken and never answered hold neither the
// slots nor the requests until their long time-outs.
//
// An attempt is overdue when a later call to its endpoint was served or, while all slots are taken, when the
// endpoint has served nothing since the attempt was sent. It may be a call that is merely heavy. Owns
// nothing.
#pragma once

#include <vector>

#include "decision_pass.hpp"
#include "endpoint_tracker.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "request.hpp"
#include "request_state.hpp"

namespace heronvane::dispatch {

// Finds overdue attempts and cancels them. Refers to its owners, keeps nothing.
class CallCancellation {
 public:
  // Both must outlive it.
  CallCancellation(const RequestState& state, const EndpointTracker& endpoints);

  // The requests whose first attempt in flight is overdue, in no particular order, some perhaps twice.
  // `slots_short`: all slots are taken.
  std::vector<MessageId> overdue(bool slots_short) const;

  // Cancels the request's first attempt in flight, of which there must be one, if it has been overdue for
  // long enough and was not cancelled yet; else sees to it that it is looked at again in time.
  void cancel_if_overdue(Request& request, bool slots_short, DecisionPass& pass) const;

 private:
  static bool is_overdue(const Call& call, bool slots_short);
  Microseconds cancel_at(const Request& request, const Call& call, bool slots_short) const;

  const RequestState& state_;
  const EndpointTracker& endpoints_;
};

}  // namespace heronvane::dispatch
