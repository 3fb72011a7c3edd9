#include "rate_limit_scope.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(RejectionRun, IsAnOutageAfterFourRejectionsOverASecondAndAHalf) {
  RejectionRun run;
  for (int i = 0; i < 4; i++) run.record(i * 400 * kMillisecond);
  EXPECT_FALSE(run.is_outage(1'499 * kMillisecond));
  EXPECT_TRUE(run.is_outage(1'500 * kMillisecond));
  run.clear();
  EXPECT_FALSE(run.is_outage(1'500 * kMillisecond));
}

TEST(RejectionRun, RestoresTheLongerOfEquallyOldRuns) {
  RejectionRun run;
  run.restore(3, kSecond, 10 * kSecond, true, 20 * kSecond);
  run.restore(2, 4 * kSecond, 10 * kSecond, false, 20 * kSecond);
  EXPECT_EQ(run.count(), 3);
  EXPECT_EQ(run.first_at(), 6 * kSecond);
  run.restore(-5, 0, 11 * kSecond, true, 20 * kSecond);
  EXPECT_EQ(run.count(), 0);
}

TEST(ServedAfterRejection, CountsOnlyCallsThatFollowARejection) {
  ServedAfterRejection served(2);
  RejectionRun run;
  const double assumed = served.share(0);
  served.record(0, run, true);
  EXPECT_EQ(served.share(0), assumed);
  run.record(0);
  served.record(0, run, true);
  EXPECT_GT(served.share(0), assumed);
  served.record(1, run, false);
  EXPECT_LT(served.share(1), assumed);
}

class RateLimitScopeTest : public ::testing::Test {
 protected:
  void reject(Microseconds now) {
    scope_.record_rejected(now, shared_);
    harness_.at(now, [&](DecisionPass& pass) { scope_.slow_down(pass, "s-1", shared_); });
  }

  PassHarness harness_;
  SharedLimits shared_{1, 1};
  RateLimitScope scope_{BackoffScale(1)};
};

TEST_F(RateLimitScopeTest, IsBlankUntilSomethingIsLearnedAndAgainWhenItRanOut) {
  EXPECT_TRUE(scope_.is_blank(0));
  scope_.extend_retry_after(2 * kSecond);
  EXPECT_FALSE(scope_.is_blank(kSecond));
  EXPECT_TRUE(scope_.is_blank(2 * kSecond));
  EXPECT_FALSE(scope_.has_learned(harness_.settings));
  scope_.record_failed(kSecond);
  EXPECT_TRUE(scope_.has_learned(harness_.settings));
  EXPECT_EQ(scope_.blank_at(kSecond, harness_.settings), 3 * kSecond);  // backoff: one half-life of 2 s
}

TEST_F(RateLimitScopeTest, KeepsTheLatestRetryAfter) {
  scope_.extend_retry_after(5 * kSecond);
  scope_.extend_retry_after(3 * kSecond);
  EXPECT_EQ(scope_.retry_after_until(), 5 * kSecond);
  EXPECT_EQ(scope_.held_until(), 5 * kSecond);
}

TEST_F(RateLimitScopeTest, CutsRateAndAdmissionOnARejection) {
  for (int i = 0; i < 40; i++) scope_.record_served(i * 100 * kMillisecond, shared_);
  EXPECT_EQ(scope_.send_rate_ready_at(), 0);
  reject(4 * kSecond);
  EXPECT_GT(scope_.send_rate_ready_at(), 4 * kSecond);
  EXPECT_LT(scope_.admission().probability(4 * kSecond), 1);
}

TEST_F(RateLimitScopeTest, AdmitsWithoutADrawWhereThisRelayIsServed) {
  for (int i = 0; i < 4; i++) scope_.record_served(kSecond, shared_);
  reject(kSecond);
  Random untouched{1};
  harness_.at(kSecond, [&](DecisionPass& pass) { EXPECT_TRUE(scope_.admit(pass)); });
  EXPECT_EQ(harness_.random.uniform(), untouched.uniform());
}

TEST_F(RateLimitScopeTest, HoldsTheScopeAndAsksToBeWokenWhereAnAttemptIsNotAdmitted) {
  for (int i = 0; i < 10; i++) reject(kSecond + i * 300 * kMillisecond);
  const Microseconds now = 4 * kSecond;
  bool admitted = true;
  Microseconds wake_at = kNever;
  while (admitted) wake_at = harness_.at(now, [&](DecisionPass& pass) { admitted = scope_.admit(pass); });
  EXPECT_EQ(scope_.held_until(), wake_at);
  EXPECT_GE(wake_at, now + microseconds(0.75 * 2));  // the longest backoff, jittered by a quarter
  EXPECT_LE(wake_at, now + microseconds(1.25 * 2));
  EXPECT_EQ(scope_.retry_after_until(), 0);
}

TEST_F(RateLimitScopeTest, IsPresumedUnavailableAfterTwoRejectionsInALargeFleetOnly) {
  reject(kSecond);
  harness_.settings.relays = 9;
  EXPECT_FALSE(scope_.is_presumed_unavailable(harness_.settings));
  reject(2 * kSecond);
  EXPECT_TRUE(scope_.is_presumed_unavailable(harness_.settings));
  harness_.settings.relays = 8;
  EXPECT_FALSE(scope_.is_presumed_unavailable(harness_.settings));
}

TEST_F(RateLimitScopeTest, SavesAndRestoresWhatItLearned) {
  for (int i = 0; i < 4; i++) reject(kSecond + i * 300 * kMillisecond);
  scope_.extend_retry_after(9 * kSecond);
  const Microseconds now = 3 * kSecond;
  LearnedState saved;
  scope_.save(now, harness_.settings, saved);
  RateLimitScope next{BackoffScale(1)};
  next.restore(now, now, saved);
  LearnedState again;
  next.save(now, harness_.settings, again);
  EXPECT_EQ(again.retry_after_left, saved.retry_after_left);
  EXPECT_EQ(again.backoff_delay, saved.backoff_delay);
  EXPECT_EQ(again.send_rate, saved.send_rate);
  EXPECT_EQ(again.admission_probability, saved.admission_probability);
  EXPECT_EQ(again.consecutive_rejections, saved.consecutive_rejections);
  EXPECT_EQ(again.first_rejection_age, saved.first_rejection_age);
}

TEST_F(RateLimitScopeTest, TakesOnlyTheRetryAfterOfARecordOnceAnAttemptHasEnded) {
  scope_.note_attempt_ended();
  LearnedState stored;
  stored.backoff_delay = 1;
  stored.retry_after_left = 2 * kSecond;
  scope_.restore(5 * kSecond, 4 * kSecond, stored);
  EXPECT_EQ(scope_.backoff_delay(5 * kSecond), 0);
  EXPECT_EQ(scope_.retry_after_until(), 6 * kSecond);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
