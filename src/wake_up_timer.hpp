// The one timer that the dispatcher asks the relay for: it fires when time alone may change a decision.
#pragma once

#include "decision_pass.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// The one timer that the module keeps running.
class WakeUpTimer {
 public:
  // A timer of the relay has expired. One that was replaced by an earlier one is ignored.
  void record_expired(Microseconds now) {
    if (now >= expires_at_) expires_at_ = kNever;
  }

  // At the end of a pass: asks for a timer, unless one that expires early enough is running.
  void set(DecisionPass& pass) {
    const Microseconds wake_up_at = pass.wake_up.at();
    if (wake_up_at >= expires_at_ || wake_up_at >= kNever) return;
    expires_at_ = wake_up_at;
    pass.actions.add(action::SetTimer{std::min(wake_up_at - pass.now, kLongestTimer), 0});
  }

 private:
  static constexpr Microseconds kLongestTimer = 3'600'000'000;

  Microseconds expires_at_ = kNever;
};

}  // namespace heronvane::dispatch
