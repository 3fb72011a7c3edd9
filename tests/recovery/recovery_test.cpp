#include <gtest/gtest.h>

#include <string>

#include "recovery_play.hpp"

namespace heronvane::recovery {
namespace {

// Plays of each scenario; large fleets take long.
std::uint64_t seeds_for(int relays) { return relays >= 300 ? 1 : 3; }

void expect_no_collapse(Scenario scenario, const std::string& name) {
  for (scenario.seed = 1; scenario.seed <= seeds_for(scenario.relays); scenario.seed++) {
    const Result result = play(scenario);
    EXPECT_FALSE(result.has_collapsed)
        << name << ", seed " << scenario.seed << ": " << result.largest_load << " of what it stands";
  }
}

// Guards against relays that saw too few calls fail at each endpoint and return to all of them at once.
class Return : public ::testing::TestWithParam<int> {};

TEST_P(Return, OfADestinationIsNoCollapse) {
  for (const int endpoints : {1, 2, 3, 4}) {
    for (const Symptom symptom :
         {Symptom::silent, Symptom::held, Symptom::refused, Symptom::errors, Symptom::most_failing}) {
      Scenario scenario{.relays = GetParam(), .endpoints = endpoints, .symptom = symptom};
      scenario.slots = GetParam() <= 3 ? 12 : 6;
      const std::string name =
          std::to_string(endpoints) + " endpoints, symptom " + std::to_string(static_cast<int>(symptom));
      expect_no_collapse(scenario, name + ", thin traffic");
      scenario.rate = 30;
      scenario.headroom = 1.3;
      expect_no_collapse(scenario, name + ", full traffic");
    }
  }
}

TEST_P(Return, OfEndpointsWithTheirOwnLimitsIsNoCollapse) {
  for (const double rate : {10.0, 30.0}) {
    Scenario scenario{.relays = GetParam(), .endpoints = 3, .own_limits = true, .rate = rate};
    expect_no_collapse(scenario, std::to_string(rate) + " a second");
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, Return, ::testing::Values(1, 3, 30, 300, 900));

// Guards against new endpoints of a destination that is out or cold being taken for sound ones.
class Replacement : public ::testing::TestWithParam<int> {};

TEST_P(Replacement, AroundTheReturnOfADestinationIsNoCollapse) {
  for (const int endpoints : {1, 2, 4}) {
    for (const int replaced : {1, endpoints}) {
      for (const double moment : {-5.0, -1.0, 0.3, 1.5, 4.0}) {
        Scenario scenario{.relays = GetParam(), .endpoints = endpoints, .outage_s = 12, .replaced = replaced};
        scenario.replaced_at_s = moment;
        scenario.slots = GetParam() <= 3 ? 12 : 6;
        expect_no_collapse(scenario, std::to_string(replaced) + " of " + std::to_string(endpoints) + " at " +
                                         std::to_string(moment));
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, Replacement, ::testing::Values(1, 3, 30, 300, 900));

}  // namespace
}  // namespace heronvane::recovery
