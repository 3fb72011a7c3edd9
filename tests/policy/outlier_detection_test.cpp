#include "outlier_detection.hpp"

#include <gtest/gtest.h>

namespace heronvane::dispatch::testing {
namespace {

FailureEvidence::Circumstances busy(Health health, Outcome outcome, int overdue = 0) {
  return {health, outcome, 100, overdue};
}

TEST(FailureEvidence, EjectsABusyEndpointAfterThreeFailuresInARow) {
  const BackgroundFailureRate none;
  FailureEvidence evidence;
  evidence.record_failed(Outcome::timeout);
  evidence.record_failed(Outcome::timeout);
  EXPECT_FALSE(evidence.is_outlier(busy(Health::healthy, Outcome::timeout), none));
  evidence.record_failed(Outcome::timeout);
  EXPECT_TRUE(evidence.is_outlier(busy(Health::healthy, Outcome::timeout), none));
}

TEST(FailureEvidence, CountsOverdueCallsWithTheRun) {
  const BackgroundFailureRate none;
  FailureEvidence evidence;
  evidence.record_failed(Outcome::timeout);
  EXPECT_FALSE(evidence.is_outlier(busy(Health::healthy, Outcome::timeout, 1), none));
  EXPECT_TRUE(evidence.is_outlier(busy(Health::healthy, Outcome::timeout, 2), none));
}

TEST(FailureEvidence, NeedsFewerFailuresWhereThisRelayCallsSeldom) {
  const BackgroundFailureRate none;
  FailureEvidence evidence;
  evidence.record_failed(Outcome::timeout);
  EXPECT_TRUE(evidence.is_outlier({Health::healthy, Outcome::timeout, 0.01, 0}, none));
}

TEST(FailureEvidence, DoesNotEjectForASingleError) {
  const BackgroundFailureRate none;
  FailureEvidence evidence;
  evidence.record_failed(Outcome::error);
  EXPECT_FALSE(evidence.is_outlier({Health::healthy, Outcome::error, 0.01, 0}, none));
  evidence.record_failed(Outcome::error);
  EXPECT_TRUE(evidence.is_outlier({Health::healthy, Outcome::error, 0.01, 0}, none));
}

TEST(FailureEvidence, EjectsAnewAfterTwoFailuresInSlowStartAndOneWhileEjected) {
  const BackgroundFailureRate none;
  FailureEvidence evidence;
  evidence.record_failed(Outcome::reset);
  EXPECT_FALSE(evidence.is_outlier(busy(Health::slow_start, Outcome::reset), none));
  EXPECT_TRUE(evidence.is_outlier(busy(Health::ejected, Outcome::reset), none));
  evidence.record_failed(Outcome::reset);
  EXPECT_TRUE(evidence.is_outlier(busy(Health::slow_start, Outcome::reset), none));
}

TEST(FailureEvidence, EjectsWhereMoreThanHalfOfTheCallsFail) {
  BackgroundFailureRate none;
  FailureEvidence evidence;
  for (int i = 0; i < 40 && evidence.failure_rate() <= 0.5; i++) {
    evidence.record_served(none);
    evidence.record_failed(Outcome::timeout);
    evidence.record_failed(Outcome::timeout);
  }
  EXPECT_EQ(evidence.consecutive_failures(), 2);
  EXPECT_TRUE(evidence.is_outlier(busy(Health::healthy, Outcome::timeout), none));
}

TEST(FailureEvidence, NeedsALongerRunWhereCallsFailEverywhere) {
  BackgroundFailureRate background;
  for (int i = 0; i < 100; i++) background.record_served(1);
  ASSERT_GT(background.run_beyond_chance(), 3);
  FailureEvidence evidence;
  for (int i = 0; i < 3; i++) evidence.record_failed(Outcome::reset);
  EXPECT_FALSE(evidence.is_outlier(busy(Health::healthy, Outcome::reset), background));
  for (int i = 3; i < background.run_beyond_chance(); i++) evidence.record_failed(Outcome::reset);
  EXPECT_TRUE(evidence.is_outlier(busy(Health::healthy, Outcome::reset), background));
}

TEST(FailureEvidence, EndsTheRunAtAServedCall) {
  BackgroundFailureRate background;
  FailureEvidence evidence;
  evidence.record_served(background);
  EXPECT_EQ(evidence.failure_rate(), 0);
  evidence.record_failed(Outcome::timeout);
  const double failure_rate = evidence.failure_rate();
  evidence.record_served(background);
  EXPECT_EQ(evidence.consecutive_failures(), 0);
  EXPECT_GT(evidence.failure_rate(), 0);
  EXPECT_LT(evidence.failure_rate(), failure_rate);
}

TEST(FailureEvidence, KnowsThatACallWithoutConnectionWasNotExecuted) {
  FailureEvidence evidence;
  evidence.record_failed(Outcome::timeout);
  EXPECT_TRUE(evidence.last_failure_possibly_executed());
  evidence.record_failed(Outcome::connect_failed);
  EXPECT_FALSE(evidence.last_failure_possibly_executed());
  evidence.record_failed(Outcome::reset);
  evidence.record_rejected();
  EXPECT_FALSE(evidence.last_failure_possibly_executed());
}

TEST(FailureEvidence, BoundsWhatItRestores) {
  LearnedState state;
  state.consecutive_failures = -5;
  state.failure_rate = 7;
  state.last_failure_possibly_executed = true;
  FailureEvidence evidence;
  evidence.restore(state);
  EXPECT_EQ(evidence.consecutive_failures(), 0);
  EXPECT_EQ(evidence.failure_rate(), 1);
  EXPECT_TRUE(evidence.last_failure_possibly_executed());
}

TEST(BackgroundFailureRate, RisesOnlyWithFailuresAtEndpointsThatServeOn) {
  BackgroundFailureRate background;
  EXPECT_EQ(background.run_beyond_chance(), 1);
  for (int i = 0; i < 100; i++) background.record_served(0);
  EXPECT_EQ(background.value(), 0);
  for (int i = 0; i < 1'000; i++) background.record_served(2);
  EXPECT_GT(background.value(), 0.5);
  EXPECT_EQ(background.run_beyond_chance(), 8);
  for (int i = 0; i < 1'000; i++) background.record_served(0);
  EXPECT_EQ(background.run_beyond_chance(), 1);
}

TEST(BackgroundFailureRate, CountsTwoFailuresOfOneRunAtMost) {
  BackgroundFailureRate long_run;
  FailureEvidence evidence;
  for (int i = 0; i < 10; i++) evidence.record_failed(Outcome::reset);
  evidence.record_served(long_run);
  BackgroundFailureRate two;
  two.record_served(2);
  EXPECT_EQ(long_run.value(), two.value());
}

}  // namespace
}  // namespace heronvane::dispatch::testing
