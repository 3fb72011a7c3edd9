// The share of attempts that all relays together may make at a rate-limit scope after rejections. It replaces
// the send rate where each relay makes so few calls that its own rate is not meaningful.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// The admission probability of one rate-limit scope.
class Admission {
 public:
  // The share of attempts admitted at `now`, in (0, 1]; recovers with time.
  double probability(Microseconds now) const;
  // The share that `probability` has recovered to after `age`.
  static double recovered(double probability, Microseconds age);
  // Whether it was ever cut, whatever it recovered to since.
  bool was_cut() const { return probability_ < 1; }
  // When the probability is 1 again.
  Microseconds full_at() const;
  double seconds_until_full(Microseconds now) const;

  // Nothing is sent before this moment.
  Microseconds held_until() const { return held_until_; }
  void hold_until(Microseconds moment) { held_until_ = moment; }

  // Cuts the share after a rejection of a call of this relay or a peer. `served_after_rejection`:
  // ServedAfterRejection::share(). Returns false where nothing was cut: the rejection belongs to the event of
  // the last cut, or the backoff suffices.
  bool cut(Microseconds now, double served_after_rejection);

  // When peers, or a peer this relay, were last told of a cut.
  Microseconds announced_at() const { return announced_at_; }
  void mark_announced(Microseconds now) { announced_at_ = now; }

  // Takes a share that was stored at `written`. `last_restored`: when the newest record taken before was
  // written; records of the same moment leave the lower share. Ignored where a cut is newer.
  void restore(double probability, Microseconds written, Microseconds last_restored);

 private:
  double probability_ = 1;  // as of changed_at_
  Microseconds changed_at_ = -kNever;
  Microseconds announced_at_ = -kNever;
  Microseconds held_until_ = 0;
};

}  // namespace heronvane::dispatch
