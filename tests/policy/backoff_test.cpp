#include "backoff.hpp"

#include <gtest/gtest.h>

#include <limits>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

// With a shortest latency objective of 1 s the unit is 0.1 s.
const BackoffScale kScale(1);

TEST(Backoff, GrowsByAFixedStepUpToItsMost) {
  Backoff backoff(kScale);
  EXPECT_EQ(backoff.value(0), 0);
  Microseconds now = kSecond;
  backoff.increase(now);
  EXPECT_DOUBLE_EQ(backoff.value(now), kScale.initial());
  backoff.increase(++now);
  EXPECT_NEAR(backoff.value(now), 0.6, 1e-6);
  for (int i = 0; i < 20; i++) backoff.increase(++now);
  EXPECT_NEAR(backoff.value(now), kScale.most(), 1e-5);
}

TEST(Backoff, CountsFailuresOfOneMomentOnce) {
  Backoff backoff(kScale);
  backoff.increase(kSecond);
  backoff.increase(kSecond);
  EXPECT_DOUBLE_EQ(backoff.value(kSecond), kScale.initial());
}

TEST(Backoff, ShrinksByAFactorDownToItsLeast) {
  Backoff backoff(kScale);
  Microseconds now = kSecond;
  for (int i = 0; i < 10; i++) backoff.increase(++now);
  const double before = backoff.value(now);
  backoff.decrease(now);
  EXPECT_NEAR(backoff.value(now), before * 0.2, 1e-9);
  for (int i = 0; i < 10; i++) backoff.decrease(now);
  EXPECT_DOUBLE_EQ(backoff.value(now), kScale.least());
}

TEST(Backoff, HalvesWhileUnusedAndIsForgottenUnderHalfItsLeast) {
  Backoff backoff(kScale);
  backoff.increase(0);
  EXPECT_NEAR(backoff.value(2 * kSecond), kScale.initial() / 2, 1e-9);
  EXPECT_GT(backoff.value(4 * kSecond - 1), 0);
  EXPECT_EQ(backoff.value(4 * kSecond + 1), 0);
  EXPECT_TRUE(backoff.remembers_failure());
  backoff.decrease(5 * kSecond);
  EXPECT_FALSE(backoff.remembers_failure());
}

TEST(Backoff, AgesToItsLeastInTheTimeThatItTells) {
  const double delay = 1.4;
  const double wait = kScale.seconds_until_least(delay);
  EXPECT_NEAR(kScale.aged(delay, microseconds(wait)), kScale.least(), 1e-6);
}

TEST(Backoff, RestoresTheLongerOfEquallyOldRecordsAndTheNewestOfOthers) {
  Backoff backoff(kScale);
  backoff.restore(0.5, kSecond, true);
  backoff.restore(0.3, kSecond, false);
  EXPECT_DOUBLE_EQ(backoff.value(kSecond), 0.5);
  backoff.restore(0.3, 2 * kSecond, true);
  EXPECT_DOUBLE_EQ(backoff.value(2 * kSecond), 0.3);
}

TEST(Backoff, BoundsWhatItRestores) {
  Backoff backoff(kScale);
  backoff.restore(1e6, kSecond, true);
  EXPECT_DOUBLE_EQ(backoff.value(kSecond), kScale.most());
  backoff.restore(std::numeric_limits<double>::quiet_NaN(), kSecond, true);
  EXPECT_EQ(backoff.value(kSecond), 0);
}

TEST(Backoff, DoesNotKeepTheDelayThatEveryRetryWaits) {
  const Backoff backoff(kScale);
  EXPECT_EQ(backoff.worth_keeping(kScale.least()), 0);
  EXPECT_EQ(backoff.worth_keeping(0.2), 0.2);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
