// The lifecycle of a request: it arrives or is recovered, its attempts are sent and end, it is completed and
// forgotten.
//
// Keeps the tables of RequestState in step with each other, and owns nothing itself. Not synchronised, used
// on the dispatcher's thread only.
#pragma once

#include <optional>
#include <string>

#include "decision_pass.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "request.hpp"
#include "request_state.hpp"

namespace heronvane::dispatch {

// The end of an attempt: the part that concerns its request.
struct AttemptResult {
  Outcome outcome = Outcome::served;
  bool request_completed = false;  // the client has its answer
  int zone = 0;                    // of the endpoint
  Microseconds sent_at = 0;
  double backoff_delay_s = 0;  // before a retry, not jittered
};

// Moves requests from arrival to their end.
class RequestLifecycle {
 public:
  // `state` must outlive it. `rejected_retry_after`: the Retry-After for the client of a rejected request.
  RequestLifecycle(RequestState& state, Microseconds rejected_retry_after);

  void arrive(const event::RequestArrived& arrived, const DecisionPass& pass);
  // Adds a request that a previous incarnation had accepted. One that may not be attempted any more fails at
  // once, because no outcome of the earlier attempts will arrive.
  void recover(const event::RequestRecovered& recovered, DecisionPass& pass);
  // Completes a request that ended outside the dispatcher, without a final action. Unknown ids are ignored.
  void withdraw(MessageId id, Microseconds now);

  // Records that an attempt of the request was sent with the call.
  void record_sent(Request& request, CallId call);
  // Removes the attempt from those in flight and returns its call; empty where it is not in flight.
  std::optional<CallId> take_attempt(Request& request, int attempt);
  // Applies the end of an attempt after take_attempt(): the request is completed, waits for its retry, or
  // fails. May forget the request.
  void record_result(Request& request, const AttemptResult& result, DecisionPass& pass);

  // Complete the request with a final action; a completed request gets none. The request is kept until
  // forget_if_done().
  void fail(Request& request, DecisionPass& pass);
  // Rejects the request, or fails it where submitting it again could do harm.
  void reject(Request& request, DecisionPass& pass);

  // Forgets a request that is completed and has nothing in flight; then the next request with its order key
  // may be sent.
  void forget_if_done(Request& request, Microseconds now);

  // When the order key allows the request to be sent: kNever while others are before it; `now` where it has
  // no key.
  Microseconds turn_at(const Request& request, Microseconds now) const;

 private:
  void join_order_line(Request& request, const std::string& key, Microseconds now);
  // Then the next request with the key may be sent.
  void leave_order_line(const Request& request, Microseconds now);
  void complete(Request& request);
  static void set_unattempted(Request& request, bool unattempted);

  RequestState& state_;
  Microseconds rejected_retry_after_;
};

// The key of the subqueue of requests that are eligible or blocked together with this one.
SendQueue::SubqueueKey subqueue_of(const Request& request);

}  // namespace heronvane::dispatch
