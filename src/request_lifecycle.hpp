// The life of a request: it arrives or is recovered, attempts of it are sent and end, and it is completed and
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

// How an attempt ended, as far as it concerns its request.
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
  // `state` must outlive it. `rejected_retry_after`: what a client of a rejected request is told to wait.
  RequestLifecycle(RequestState& state, Microseconds rejected_retry_after);

  void arrive(const event::RequestArrived& arrived, const DecisionPass& pass);
  // A request that a previous incarnation took on. One that may not be attempted any more fails at once, for
  // no outcome of that incarnation will come.
  void recover(const event::RequestRecovered& recovered, DecisionPass& pass);
  // The client does not want it any more. Unknown ids are ignored.
  void withdraw(MessageId id, Microseconds now);

  // One more attempt goes with the call.
  void record_sent(Request& request, CallId call);
  // Takes the attempt out of those in flight; nothing where it is not among them.
  std::optional<CallId> take_attempt(Request& request, int attempt);
  // What follows from the end of an attempt that was taken out: the request is completed, waits for its
  // retry, or fails. May forget the request.
  void record_result(Request& request, const AttemptResult& result, DecisionPass& pass);

  // Final actions; a completed request gets none. It is kept until forget_if_done.
  void fail(Request& request, DecisionPass& pass);
  // Rejects the request, or fails it where handing it in again could do harm.
  void reject(Request& request, DecisionPass& pass);

  // Forgets a request that is completed and has nothing in flight; the next of its order key may go then.
  void forget_if_done(Request& request, Microseconds now);

  // When its order key lets it go: kNever while others are before it; not after `now` where it has none.
  Microseconds turn_at(const Request& request, Microseconds now) const;

 private:
  void join_order_line(Request& request, const std::string& key, Microseconds now);
  // The next one of its key may go then.
  void leave_order_line(const Request& request, Microseconds now);
  void complete(Request& request);
  static void set_unattempted(Request& request, bool unattempted);

  RequestState& state_;
  Microseconds rejected_retry_after_;
};

// The requests that are eligible or blocked like this one.
SendQueue::SubqueueKey subqueue_of(const Request& request);

}  // namespace heronvane::dispatch
