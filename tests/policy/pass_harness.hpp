// Provides a DecisionPass, with its settings, random numbers and actions, for tests of single classes.
#pragma once

#include <vector>

#include "decision_pass.hpp"

namespace heronvane::dispatch::testing {

struct PassHarness {
  // Calls `step` with a pass at `now` and returns the wake-up time that the pass requested.
  template <class Step>
  Microseconds at(Microseconds now, const Step& step) {
    ActionSink sink(actions);
    WakeUp wake_up(now + settings.min_decision_interval);
    DecisionPass pass{now, settings, random, sink, wake_up};
    step(pass);
    return wake_up.at();
  }

  template <class ActionType>
  std::vector<ActionType> all() const {
    std::vector<ActionType> found;
    for (const Action& action : actions)
      if (const auto* const wanted = std::get_if<ActionType>(&action)) found.push_back(*wanted);
    return found;
  }

  Settings settings;
  Random random{1};
  std::vector<Action> actions;
};

constexpr Microseconds kSecond = 1'000'000;
constexpr Microseconds kMillisecond = 1'000;

}  // namespace heronvane::dispatch::testing
