#include "slow_start.hpp"

#include <gtest/gtest.h>

#include <random>

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

}  // namespace
}  // namespace heronvane::dispatch::testing
