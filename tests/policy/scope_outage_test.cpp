#include "scope_outage.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

constexpr Microseconds kWindow = 10 * kSecond;

TEST(ScopeOutage, KnowsHowLongCallsAreUnansweredFromTheFirstFailedOneOn) {
  ScopeOutage outage;
  EXPECT_EQ(outage.unanswered_for(5 * kSecond), 0);
  outage.record_failed(Outcome::timeout, kSecond);
  outage.record_failed(Outcome::timeout, 2 * kSecond);
  EXPECT_EQ(outage.unanswered_for(5 * kSecond), 4 * kSecond);
  outage.record_served(6 * kSecond);
  EXPECT_EQ(outage.unanswered_for(7 * kSecond), 0);
}

TEST(ScopeOutage, NeedsOneFailureWhereNothingWasServedForLong) {
  const BackgroundFailureRate none;
  ScopeOutage outage;
  outage.start(0);
  for (Microseconds at = 0; at < 20 * kSecond; at += kSecond / 10) outage.record_first_attempt(at);
  outage.record_failed(Outcome::timeout, 20 * kSecond);
  EXPECT_FALSE(outage.is_outlier(22 * kSecond, 0, none));
  EXPECT_TRUE(outage.is_outlier(24 * kSecond, 0, none));
}

TEST(ScopeOutage, IsContradictedByAServedCall) {
  ScopeOutage outage;
  outage.eject(kSecond, 5);
  outage.record_served(2 * kSecond);
  EXPECT_EQ(outage.health(), Health::healthy);
  outage.begin_slow_start(3 * kSecond, 5);
  outage.record_served(4 * kSecond);
  EXPECT_EQ(outage.health(), Health::slow_start);
}

TEST(ScopeOutage, KeepsTheRateFromBeforeTheOutageUntilItIsWarm) {
  ScopeOutage outage;
  outage.eject(kSecond, 5);
  outage.eject(2 * kSecond, 1);
  outage.advance(2 * kSecond + kWindow, kWindow);
  EXPECT_EQ(outage.health(), Health::slow_start);
  outage.eject(2 * kSecond + kWindow, 1);
  EXPECT_DOUBLE_EQ(outage.baseline_rate(), 5);
  outage.begin_slow_start(3 * kSecond + kWindow, 1);
  outage.advance(3 * kSecond + 2 * kWindow, kWindow);
  EXPECT_EQ(outage.health(), Health::healthy);
  outage.eject(4 * kSecond + 2 * kWindow, 1);
  EXPECT_DOUBLE_EQ(outage.baseline_rate(), 1);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
