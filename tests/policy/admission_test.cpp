#include "admission.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"
#include "rejection_gossip.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(Admission, HalvesWhereCallsAfterARejectionAreMostlyRejected) {
  Admission admission;
  EXPECT_TRUE(admission.cut(kSecond, 0.1));
  EXPECT_DOUBLE_EQ(admission.probability(kSecond), 0.5);
  EXPECT_TRUE(admission.was_cut());
}

TEST(Admission, IsNotCutWhereMostCallsAfterARejectionAreServed) {
  Admission admission;
  EXPECT_FALSE(admission.cut(kSecond, 0.5));
  EXPECT_FALSE(admission.was_cut());
}

TEST(Admission, CutsOnceForRejectionsOfOneEventAndNeverToNothing) {
  Admission admission;
  EXPECT_TRUE(admission.cut(kSecond, 0));
  EXPECT_FALSE(admission.cut(kSecond + 299 * kMillisecond, 0));
  for (int i = 1; i < 20; i++) admission.cut(kSecond + i * 300 * kMillisecond, 0);
  EXPECT_DOUBLE_EQ(admission.probability(kSecond + 19 * 300 * kMillisecond), 0.02);
}

TEST(Admission, RecoversWithTimeToAllAttempts) {
  Admission admission;
  admission.cut(kSecond, 0);
  EXPECT_GT(admission.probability(2 * kSecond), 0.5);
  EXPECT_LT(admission.probability(admission.full_at() - kMillisecond), 1);
  EXPECT_DOUBLE_EQ(admission.probability(admission.full_at()), 1);
  EXPECT_NEAR(admission.seconds_until_full(kSecond), seconds(admission.full_at() - kSecond), 1e-5);
}

TEST(Admission, RestoresNothingOlderThanItsLastCut) {
  Admission admission;
  admission.cut(5 * kSecond, 0.25);
  admission.restore(0.1, 3 * kSecond, -kNever);
  EXPECT_DOUBLE_EQ(admission.probability(5 * kSecond), 0.5);
}

TEST(Admission, RestoresTheLowerOfEquallyOldRecords) {
  Admission admission;
  admission.restore(0.3, kSecond, -kNever);
  admission.restore(0.6, kSecond, kSecond);
  EXPECT_DOUBLE_EQ(admission.probability(kSecond), 0.3);
  admission.restore(0.6, 2 * kSecond, kSecond);
  EXPECT_DOUBLE_EQ(admission.probability(2 * kSecond), 0.6);
}

class RejectionGossipTest : public ::testing::Test {
 protected:
  RejectionGossipTest() {
    harness_.settings.gossip = true;
    harness_.settings.relays = 100;
  }
  void announce(Microseconds now, Admission& admission) {
    harness_.at(now, [&](DecisionPass& pass) { gossip_.announce(pass, "s-1", admission); });
  }
  std::size_t sent() const { return harness_.all<action::SendGossip>().size(); }

  PassHarness harness_;
  RejectionGossip gossip_{1};
};

TEST_F(RejectionGossipTest, NamesTheEndpointToEveryPeer) {
  Admission admission;
  announce(kSecond, admission);
  const auto hints = harness_.all<action::SendGossip>();
  ASSERT_EQ(hints.size(), 1u);
  EXPECT_EQ(hints[0].peer, -1);
  EXPECT_EQ(hints[0].body, "1rs-1");
  EXPECT_EQ(RejectionGossip::parse(hints[0].body), "s-1");
}

TEST_F(RejectionGossipTest, IgnoresBodiesOfOtherKinds) {
  EXPECT_EQ(RejectionGossip::parse("2rs-1"), std::nullopt);
  EXPECT_EQ(RejectionGossip::parse(""), std::nullopt);
}

TEST_F(RejectionGossipTest, IsSilentWhereGossipIsOff) {
  harness_.settings.gossip = false;
  Admission admission;
  announce(kSecond, admission);
  EXPECT_EQ(sent(), 0u);
}

TEST_F(RejectionGossipTest, SharesItsRateWithTheWholeFleet) {
  Admission first;
  Admission second;
  announce(kSecond, first);
  announce(3 * kSecond, second);  // 100 relays: one hint in 2.25 to 3.75 s
  EXPECT_EQ(sent(), 1u);
  announce(5 * kSecond, second);
  EXPECT_EQ(sent(), 2u);
}

TEST_F(RejectionGossipTest, DoesNotRepeatWhatPeersHaveJustHeard) {
  Admission admission;
  admission.mark_announced(kSecond);
  announce(kSecond + 999 * kMillisecond, admission);
  EXPECT_EQ(sent(), 0u);
  announce(2 * kSecond, admission);
  EXPECT_EQ(sent(), 1u);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
