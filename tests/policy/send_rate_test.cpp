#include "send_rate.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(SendRate, IsUnboundedUntilTheFirstRejection) {
  SendRate rate;
  EXPECT_FALSE(rate.is_bounded());
  for (int i = 0; i < 100; i++) rate.consume(kSecond);
  EXPECT_LE(rate.ready_at(), kSecond);
}

TEST(SendRate, StartsAtTheServedRateWithNothingSavedUp) {
  SendRate rate;
  rate.cut(kSecond, 10, 1);
  EXPECT_DOUBLE_EQ(rate.value(), 10);
  EXPECT_NEAR(static_cast<double>(rate.ready_at()), 1.1 * kSecond, 2);
}

TEST(SendRate, NeverGoesBelowTheLeastRate) {
  SendRate rate;
  rate.cut(kSecond, 0, 2);
  EXPECT_DOUBLE_EQ(rate.value(), 2);
  rate.cut(2 * kSecond, 0, 2);
  EXPECT_DOUBLE_EQ(rate.value(), 2);
}

TEST(SendRate, CutsOnceForRejectionsOfOneEvent) {
  SendRate rate;
  rate.cut(kSecond, 10, 1);
  rate.cut(kSecond + 299 * kMillisecond, 10, 1);
  EXPECT_DOUBLE_EQ(rate.value(), 10);
  rate.cut(kSecond + 300 * kMillisecond, 10, 1);
  EXPECT_DOUBLE_EQ(rate.value(), 8.5);
}

TEST(SendRate, CutsFromTheServedRateWhereItHadGrownFarAboveIt) {
  SendRate rate;
  rate.cut(kSecond, 100, 1);
  rate.cut(2 * kSecond, 10, 1);
  EXPECT_DOUBLE_EQ(rate.value(), 10 * 1.25 * 0.85);
}

TEST(SendRate, AdmitsItsRateOverTimeAndSavesUpNoMoreThanABurst) {
  SendRate rate;
  rate.cut(0, 10, 1);
  int sent = 0;
  for (Microseconds now = 0; now < 10 * kSecond; now += 10 * kMillisecond)
    for (; rate.ready_at() <= now; sent++) rate.consume(now);
  EXPECT_NEAR(sent, 100, 2);
  int burst = 0;
  for (; rate.ready_at() <= 100 * kSecond; burst++) rate.consume(100 * kSecond);
  EXPECT_EQ(burst, 3);  // 0.3 s at 10 calls a second
}

TEST(SendRate, RisesWhileCallsAreServedButNotForIdleTime) {
  SendRate rate;
  rate.cut(0, 10, 1);
  rate.raise(kSecond, 1);
  EXPECT_DOUBLE_EQ(rate.value(), 10 + 0.15 * 10 + 0.25);
  const double before = rate.value();
  rate.raise(100 * kSecond, 1);
  EXPECT_NEAR(rate.value(), before + 0.15 * before + 0.25, 1e-9);
}

TEST(SendRate, RestoresTheLowerOfEquallyOldRates) {
  SendRate rate;
  rate.restore(kSecond, 5, true);
  rate.restore(kSecond, 8, false);
  EXPECT_DOUBLE_EQ(rate.value(), 5);
  rate.restore(kSecond, 0, false);
  EXPECT_DOUBLE_EQ(rate.value(), 5);
  rate.restore(kSecond, 0, true);
  EXPECT_FALSE(rate.is_bounded());
}

}  // namespace
}  // namespace heronvane::dispatch::testing
