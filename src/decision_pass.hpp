// What one call of Dispatcher::handle() hands to the owners of state: the time, the settings, the source of
// randomness, and where actions and the next wake-up go.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// The module's only source of randomness. The order of draws is part of the decisions: equal seeds and events
// give equal actions only while every draw stays in its place.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, 1).
  double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  // `value` times a factor drawn uniformly from 1 - kJitter to 1 + kJitter, so that relays that saw the same
  // event do not act at the same time.
  double jittered(double value) { return value * (1 + kJitter * (2 * uniform() - 1)); }

 private:
  static constexpr double kJitter = 0.25;

  std::mt19937_64 engine_;
};

// Collects the actions of one pass in the order in which they are decided. Does not own the vector.
class ActionSink {
 public:
  explicit ActionSink(std::vector<Action>& actions) : actions_(&actions) {}

  template <class ActionType>
  void add(ActionType&& action) {
    actions_->emplace_back(std::forward<ActionType>(action));
  }
  void log(std::string text) { add(action::Log{std::move(text)}); }

 private:
  std::vector<Action>* actions_;
};

// The earliest moment at which time alone can change a decision.
class WakeUp {
 public:
  // No wake-up comes before `earliest`: the shortest time between two passes has to elapse.
  explicit WakeUp(Microseconds earliest) : earliest_(earliest) {}

  void no_later_than(Microseconds moment) { at_ = std::min(at_, std::max(moment, earliest_)); }

  // kNever where nothing changes by time alone.
  Microseconds at() const { return at_; }

 private:
  Microseconds earliest_;
  Microseconds at_ = kNever;
};

// Valid during one call of Dispatcher::handle() only; refers to its owners, copies nothing.
struct DecisionPass {
  Microseconds now;  // monotonic
  const Settings& settings;
  Random& random;
  ActionSink& actions;
  WakeUp& wake_up;
};

}  // namespace heronvane::dispatch
