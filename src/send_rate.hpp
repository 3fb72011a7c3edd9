// The rate at which one relay calls a rate-limit scope: unbounded until the first rejection, then a token
// bucket whose rate is cut on further rejections and raised while calls are served.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// The send rate of one rate-limit scope.
class SendRate {
 public:
  // Calls a second; kUnbounded where nothing limits them.
  double value() const { return calls_per_s_; }
  bool is_bounded() const { return calls_per_s_ != kUnbounded; }
  // When the next call is allowed; not after the present where it is allowed at once. Changes nothing: the
  // answer must not depend on how often it was asked for.
  Microseconds ready_at() const;

  // After a rejection. `served_per_s`: calls a second of this relay that the scope served recently.
  // `least_per_s`: no cut goes below it.
  void cut(Microseconds now, double served_per_s, double least_per_s);
  // After a served call.
  void raise(Microseconds now, double shortest_latency_objective_s);
  // A call is sent.
  void consume(Microseconds now);

  // Takes the lower of the present rate and a stored one (0: unbounded). `replaces`: the record is newer than
  // all that were taken before, and the present rate does not count.
  void restore(Microseconds now, double calls_per_s, bool replaces);

 private:
  // Adds the tokens earned at the present rate; required before the rate changes or a token is consumed.
  void settle_tokens(Microseconds now);

  double calls_per_s_ = kUnbounded;
  double tokens_ = 1;  // as of settled_at_
  Microseconds settled_at_ = 0;
  Microseconds cut_at_ = -kNever;
  Microseconds raised_at_ = 0;
};

}  // namespace heronvane::dispatch
