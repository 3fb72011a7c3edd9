#include "slow_start.hpp"

#include <gtest/gtest.h>

#include <random>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(BudgetGrowth, IsTheIntegralOfItsRateAndUntilIsItsInverse) {
  std::mt19937_64 random(1);
  const auto part = [&] { return static_cast<double>(random() % 1'000) / 1'000; };
  for (int i = 0; i < 2'000; i++) {
    const double full = 0.001 + 20 * part(), warm = part(), rise = random() % 3 == 0 ? 0 : part();
    const double most = random() % 3 == 0 ? kUnbounded : 0.001 + 20 * part();
    const BudgetGrowth g(full, most, warm, rise);
    double sum = 0, t = 0;
    constexpr double kStep = 0.001;
    for (int j = 0; j < 3'000; j++, t += kStep)
      sum += std::min(full * (warm + rise * (t + kStep / 2)), most) * kStep;
    EXPECT_NEAR(g.calls_after(t), sum, 1e-3 * std::max(1.0, sum));
    const double calls = 0.01 + part();
    const double s = g.seconds_until(calls);
    if (s > 1e6) continue;  // never, nearly
    EXPECT_NEAR(g.calls_after(s), calls, 1e-6) << full << " " << warm << " " << rise << " " << most;
  }
}

class SlowStartTest : public ::testing::Test {
 protected:
  SlowStartTest() {
    settings_.slow_start_window = 10 * kSecond;
    settings_.slow_start_min_share = 0.2;
    settings_.collapse_factor = 2;
  }
  int sent_until(Microseconds end, const RecoveryPhase& phase) {
    int sent = 0;
    for (Microseconds now = 0; now < end; now += kMillisecond)
      for (; slow_start_.ready_at(policy_, phase) <= now; sent++) {
        slow_start_.settle(now, policy_, phase);
        slow_start_.consume();
      }
    return sent;
  }

  Settings settings_;
  SlowStartPolicy policy_{settings_, 1};
  SlowStart slow_start_;
};

TEST_F(SlowStartTest, LastsTheWindowAndAtLeastTheShortestLatencyObjective) {
  EXPECT_EQ(SlowStartPolicy(settings_, 1).window(), settings_.slow_start_window);
  settings_.slow_start_window = kSecond;
  EXPECT_EQ(SlowStartPolicy(settings_, 3).window(), 3 * kSecond);
}

TEST_F(SlowStartTest, AdmitsNoMoreThanItsBudgetInTheFirstWindow) {
  slow_start_.begin(0, 10, 0);
  // From 0.2 to 1 of 10 calls a second, times the margin under the collapse factor: 18 * 0.6 * 10.
  const int sent = sent_until(10 * kSecond, {Health::slow_start, 0, false});
  EXPECT_LE(sent, 108);
  EXPECT_GE(sent, 106);
}

TEST_F(SlowStartTest, AdmitsNoMoreThanTheBaselineRateWhileNothingIsServed) {
  slow_start_.begin(0, 10, 0);
  const int sent = sent_until(10 * kSecond, {Health::slow_start, 0, true});
  EXPECT_LE(sent, 100);
}

TEST_F(SlowStartTest, SavesUpOneCallAtMost) {
  slow_start_.begin(0, 10, 0.5);
  const RecoveryPhase phase{Health::slow_start, 0, false};
  EXPECT_DOUBLE_EQ(slow_start_.budget(0, policy_, phase), 0.5);
  EXPECT_DOUBLE_EQ(slow_start_.budget(9 * kSecond, policy_, phase), 1);
  slow_start_.settle(9 * kSecond, policy_, phase);
  slow_start_.consume();
  EXPECT_DOUBLE_EQ(slow_start_.budget(9 * kSecond, policy_, phase), 0);
}

TEST_F(SlowStartTest, HoldsCallsBackUntilTheHealthCheckOnlyWhileEjected) {
  slow_start_.begin(0, 10, 1);
  slow_start_.schedule_health_check(5 * kSecond);
  EXPECT_EQ(slow_start_.ready_at(policy_, {Health::ejected, 0, true}), 5 * kSecond);
  EXPECT_EQ(slow_start_.ready_at(policy_, {Health::slow_start, 0, true}), 0);
}

TEST_F(SlowStartTest, LetsACallGoAtTheEndOfTheWindowAtTheLatest) {
  slow_start_.begin(0, 1e-6, 0);
  EXPECT_EQ(slow_start_.ready_at(policy_, {Health::ejected, 3 * kSecond, true}), 13 * kSecond);
}

TEST_F(SlowStartTest, LimitsARestoredBudgetToWhatItCouldHaveGrownTo) {
  const RecoveryPhase phase{Health::ejected, 0, true};
  slow_start_.begin(0, 0.1, 0.25);
  slow_start_.limit_budget(0, 0.9, policy_, phase);
  EXPECT_DOUBLE_EQ(slow_start_.budget(0, policy_, phase), 0.25);
  slow_start_.limit_budget(0, 0.1, policy_, phase);
  EXPECT_DOUBLE_EQ(slow_start_.budget(0, policy_, phase), 0.1);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
