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
  EXPECT_EQ(far.delay(), 152'000);
}

// Guards against one slow answer that would keep connections from being reused.
TEST(ReuseDelay, FollowsTheShortestRoundTripAndRisesSlowly) {
  ReuseDelay delay;
  delay.record_first_answer(160'000);
  delay.record_first_answer(40'000);
  EXPECT_EQ(delay.delay(), 80'000);
  delay.record_first_answer(120'000);
  EXPECT_EQ(delay.delay(), 100'000);
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
  EXPECT_EQ(delay.delay(), 20'000);
}

TEST(ReuseDelay, IsBounded) {
  ReuseDelay delay;
  EXPECT_EQ(delay.delay(), ReuseDelay::kMinDelay);
  delay.record_first_answer(3'000'000);
  delay.record_unexpected_bytes(390'000);
  EXPECT_EQ(delay.delay(), ReuseDelay::kMaxDelay);
  EXPECT_EQ(delay.longest_wait(), ReuseDelay::kMaxDelay);
}

}  // namespace
}  // namespace heronvane
