// How long a kept connection stays silent before its next request.
#include "backends/reuse_delay.hpp"

#include <gtest/gtest.h>

namespace heronvane {
namespace {

TEST(ReuseDelay, GrowsWithTheDistanceOfTheEndpoint) {
  ReuseDelay near, far;
  near.record_first_answer(200);
  far.record_first_answer(76'000);
  EXPECT_EQ(near.delay(), ReuseDelay::kMinDelay);
  EXPECT_EQ(far.delay(), 76'000);
}

// Guards against slow answers that would keep connections from being reused.
TEST(ReuseDelay, FollowsTheShortestRoundTrip) {
  ReuseDelay delay;
  delay.record_first_answer(160'000);
  delay.record_first_answer(40'000);
  delay.record_first_answer(120'000);
  EXPECT_EQ(delay.delay(), 40'000);
}

// Guards against an endpoint on a short path that writes a second copy long after its answer.
TEST(ReuseDelay, IsLongerThanEveryGapSeenBeforeUnexpectedBytes) {
  ReuseDelay delay;
  delay.record_first_answer(200);
  delay.record_unexpected_bytes(30'000);
  delay.record_unexpected_bytes(10'000);
  EXPECT_EQ(delay.delay(), 60'000);
}

// Guards against servers that write a last message when they end an idle connection.
TEST(ReuseDelay, IgnoresBytesThatArriveLongAfterTheAnswer) {
  ReuseDelay delay;
  delay.record_first_answer(10'000);
  delay.record_unexpected_bytes(2'000'000);
  EXPECT_EQ(delay.delay(), 10'000);
}

TEST(ReuseDelay, IsBounded) {
  ReuseDelay delay;
  EXPECT_EQ(delay.delay(), ReuseDelay::kMinDelay);
  delay.record_first_answer(3'000'000);
  delay.record_unexpected_bytes(390'000);
  EXPECT_EQ(delay.delay(), ReuseDelay::kMaxDelay);
}

// Guards against waits that take longer than a new connection.
TEST(ReuseDelay, LongWaitsAreNotWorthIt) {
  ReuseDelay near, slow;
  near.record_first_answer(200);
  slow.record_first_answer(3'000'000);
  EXPECT_TRUE(near.is_worth_waiting(ReuseDelay::kMinDelay));
  EXPECT_FALSE(near.is_worth_waiting(ReuseDelay::kMinDelay + 1));
  EXPECT_TRUE(slow.is_worth_waiting(100'000));
  EXPECT_FALSE(slow.is_worth_waiting(100'001));
}

}  // namespace
}  // namespace heronvane
