#include "list_polling.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

class ListPollingTest : public ::testing::Test {
 protected:
  Microseconds poll(Microseconds now) {
    return harness_.at(now, [&](DecisionPass& pass) { polling_.poll_when_due(pass); });
  }
  void fail(Microseconds now) {
    harness_.at(now, [&](DecisionPass& pass) { polling_.record_failure(pass); });
  }
  std::size_t polls() const { return harness_.all<action::Subscribe>().size(); }

  PassHarness harness_;
  ListPolling polling_;
};

TEST_F(ListPollingTest, DoesNotPollUnasked) {
  EXPECT_EQ(poll(kSecond), kNever);
  EXPECT_EQ(polls(), 0u);
}

TEST_F(ListPollingTest, PollsOnceWhenItIsTime) {
  polling_.poll_at(kSecond);
  EXPECT_EQ(poll(0), kSecond);
  EXPECT_EQ(polls(), 0u);
  poll(kSecond);
  EXPECT_EQ(polls(), 1u);
  EXPECT_EQ(poll(2 * kSecond), kNever);
  EXPECT_EQ(polls(), 1u);
}

// Guards against pauses that take up the time within which a change must be known.
TEST_F(ListPollingTest, WaitsTwiceAsLongAfterEachFailureUpToItsMost) {
  for (const double gap : {0.5, 1.0, 2.0, 2.0, 2.0}) {
    fail(kSecond);
    const Microseconds at = poll(kSecond);
    EXPECT_GE(at, kSecond + microseconds(0.75 * gap));
    EXPECT_LE(at, kSecond + microseconds(1.25 * gap));
  }
}

TEST_F(ListPollingTest, StartsAnewWithTheShortestGapAfterAList) {
  for (int i = 0; i < 5; i++) fail(kSecond);
  const Microseconds due = poll(kSecond);
  polling_.record_list();
  EXPECT_EQ(poll(kSecond), due);  // a poll that is due stays due
  fail(kSecond);
  EXPECT_LE(poll(kSecond), kSecond + microseconds(1.25 * 0.5));
}

}  // namespace
}  // namespace heronvane::dispatch::testing
