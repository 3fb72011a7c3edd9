#include "latency.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(LatencyEstimate, FollowsTheServedLatencies) {
  LatencyEstimate latency;
  Slowness slowness;
  EXPECT_DOUBLE_EQ(latency.recent(), kAssumedLatencySeconds);
  latency.record_served(kSecond, slowness);
  EXPECT_DOUBLE_EQ(latency.recent(), 0.25 + 0.2 * 0.75);
  for (int i = 0; i < 100; i++) latency.record_served(kSecond, slowness);
  EXPECT_NEAR(latency.recent(), 1, 1e-6);
}

TEST(LatencyEstimate, AtMostDoublesForACallWithoutAnAnswerAndNeverShrinks) {
  LatencyEstimate latency;
  latency.record_unanswered(10 * kSecond);
  EXPECT_DOUBLE_EQ(latency.recent(), 0.5);
  latency.record_unanswered(700 * kMillisecond);
  EXPECT_DOUBLE_EQ(latency.recent(), 0.7);
  latency.record_unanswered(1);
  EXPECT_DOUBLE_EQ(latency.recent(), 0.7);
}

TEST(LatencyEstimate, CallsAreOverdueLongBeforeTheyTimeOut) {
  const LatencyEstimate latency;
  EXPECT_DOUBLE_EQ(latency.overdue_seconds(), 4 * 0.25 + 0.3);
  EXPECT_EQ(latency.overdue_after(), 1'300 * kMillisecond);
  EXPECT_DOUBLE_EQ(latency.timeout_seconds(), 8 * 0.25);
  EXPECT_DOUBLE_EQ(latency.given_up_seconds(), 8 * 0.25 + 0.3);
}

TEST(Slowness, IsOneWhileAnswersTakeWhatIsUsual) {
  LatencyEstimate latency;
  Slowness slowness;
  for (int i = 0; i < 50; i++) latency.record_served(100 * kMillisecond, slowness);
  EXPECT_NEAR(slowness.value(), 1, 1e-9);
  for (int i = 0; i < 5; i++) latency.record_served(kSecond, slowness);
  EXPECT_GT(slowness.value(), 2);
}

TEST(Slowness, CountsOneAnswerAsTwentyTimesTheUsualAtMost) {
  Slowness slowness;
  slowness.record(1'000, 0.1);
  EXPECT_DOUBLE_EQ(slowness.value(), 1 + 0.1 * 19);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
