#include "decision_pass.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(WakeUp, KeepsTheEarliestMomentButNoneBeforeTheNextPassIsAllowed) {
  WakeUp wake_up(100);
  EXPECT_EQ(wake_up.at(), kNever);
  wake_up.no_later_than(500);
  wake_up.no_later_than(900);
  EXPECT_EQ(wake_up.at(), 500);
  wake_up.no_later_than(20);
  EXPECT_EQ(wake_up.at(), 100);
}

TEST(Random, DrawsEvenlyAndRepeatsWithTheSeed) {
  Random first(7);
  Random second(7);
  double sum = 0;
  constexpr int kDraws = 10'000;
  for (int i = 0; i < kDraws; i++) {
    const double value = first.uniform();
    ASSERT_GE(value, 0);
    ASSERT_LT(value, 1);
    ASSERT_EQ(value, second.uniform());
    sum += value;
  }
  EXPECT_NEAR(sum / kDraws, 0.5, 0.02);
}

TEST(Random, JittersByAQuarterAtMost) {
  Random random(7);
  for (int i = 0; i < 1'000; i++) {
    const double value = random.jittered(8);
    EXPECT_GE(value, 6);
    EXPECT_LE(value, 10);
  }
}

TEST(ActionSink, AppendsInTheOrderOfTheCalls) {
  std::vector<Action> actions;
  actions.reserve(3);
  actions.emplace_back(action::Fail{1});
  ActionSink sink(actions);
  sink.add(action::Fail{2});
  sink.log("text");
  ASSERT_EQ(actions.size(), 3u);
  EXPECT_EQ(std::get<action::Fail>(actions[1]).id, 2u);
  EXPECT_EQ(std::get<action::Log>(actions[2]).text, "text");
}

TEST(TimeUnits, TruncateTowardZeroAndMapLongDurationsToNever) {
  EXPECT_EQ(microseconds(1.9999999e-6), 1);
  EXPECT_EQ(microseconds(-1.9999999e-6), -1);
  EXPECT_EQ(microseconds(2e9), kNever);
  EXPECT_EQ(microseconds(kUnbounded), kNever);
  EXPECT_DOUBLE_EQ(seconds(1'500'000), 1.5);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
