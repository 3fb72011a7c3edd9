// How many requests one call to an endpoint may carry, and the call of this pass that more can join.
#pragma once

#include "call_id.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// The batch size allowed for one endpoint, and its call that still has room.
class Batching {
 public:
  // `most`: requests in one call, by the settings of the destination's kind.
  void set_most(int most) { most_ = most; }
  // A new endpoint may get full calls.
  void reset() { trusted_ = most_; }

  // The most requests that one call may carry now.
  int trusted() const { return trusted_; }
  void record_served();
  // A call that carried `requests` failed, and all of them with it: the next call carries fewer.
  void record_failed(int requests);
  // Takes the size that an earlier incarnation had learned; 0: unknown.
  void restore(int trusted);

  void begin_call(CallId call, Microseconds now);
  void add_request() { open_requests_++; }
  void end_call(CallId call);
  // The call that was begun last; meaningful while has_room().
  CallId open_call() const { return open_call_; }
  // Whether a request can join a call that was begun in this pass.
  bool has_room(Microseconds now) const;

 private:
  static constexpr CallId kNoCall = 0;

  int most_ = 1;
  int trusted_ = 1;
  CallId open_call_ = kNoCall;
  Microseconds opened_at_ = 0;
  int open_requests_ = 0;
};

}  // namespace heronvane::dispatch
