#include "wake_up_timer.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

class WakeUpTimerTest : public ::testing::Test {
 protected:
  // Runs a pass that requests a wake-up at `wake_up_at`; returns the durations of all timers requested so
  // far.
  std::vector<Microseconds> durations_after(Microseconds now, Microseconds wake_up_at) {
    harness_.at(now, [&](DecisionPass& pass) {
      pass.wake_up.no_later_than(wake_up_at);
      timer_.set(pass);
    });
    std::vector<Microseconds> durations;
    for (const auto& timer : harness_.all<action::SetTimer>()) durations.push_back(timer.after);
    return durations;
  }

  PassHarness harness_;
  WakeUpTimer timer_;
};

TEST_F(WakeUpTimerTest, IsSetOnlyWhereItComesBeforeTheOneThatRuns) {
  EXPECT_EQ(durations_after(0, kSecond), (std::vector<Microseconds>{kSecond}));
  EXPECT_EQ(durations_after(0, 2 * kSecond).size(), 1U);
  EXPECT_EQ(durations_after(400 * kMillisecond, 900 * kMillisecond),
            (std::vector<Microseconds>{kSecond, 500 * kMillisecond}));
}

TEST_F(WakeUpTimerTest, IsSetAnewOnceItHasExpired) {
  durations_after(0, kSecond);
  timer_.record_expired(kSecond - 1);  // an earlier one, which was replaced
  EXPECT_EQ(durations_after(kSecond - 1, 3 * kSecond).size(), 1U);
  timer_.record_expired(kSecond);
  EXPECT_EQ(durations_after(kSecond, 3 * kSecond).size(), 2U);
}

TEST_F(WakeUpTimerTest, IsNotSetWhereNothingChangesByTime) {
  EXPECT_TRUE(durations_after(0, kNever).empty());
}

TEST_F(WakeUpTimerTest, LastsAnHourAtMost) {
  EXPECT_EQ(durations_after(0, 5 * 3'600 * kSecond), (std::vector<Microseconds>{3'600 * kSecond}));
}

}  // namespace
}  // namespace heronvane::dispatch::testing
