// What may come to a cold destination, by forged histories at the bound and one call above it.
#include "lab/recovery_budget.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace heronvane::lab {
namespace {

constexpr Microseconds kSecond = 1'000'000;
constexpr Microseconds kReturn = 10 * kSecond;

// Cold for so long that its warmth stays as it is: N is the limit times 2 * 2 s * 0.25.
Destinations hardly_warming() {
  Destinations options;
  options.cold_from = 0.25;
  options.cold = 1'000'000'000 * kSecond;
  return options;
}
// So many calls with a message each, spread over the window; what came when the last one did.
ColdLoad spread_over_window(RecoveryBudget& budget, int calls, double limit_per_s, Microseconds from) {
  std::optional<ColdLoad> load;
  for (int i = 0; i < calls; i++)
    load = budget.add({from + 2 * kSecond * i / calls, 0, 1, true}, limit_per_s);
  return *load;
}

TEST(RecoveryBudget, SlackIsAsTheTermsHaveIt) {
  EXPECT_DOUBLE_EQ(most_calls(25), 25 + 3 * 5 + 3);
  EXPECT_DOUBLE_EQ(most_calls(29.99), 29.99 + 3 * std::sqrt(29.99) + 3);
  EXPECT_DOUBLE_EQ(most_calls(30), 30 + 2 * std::sqrt(30.0) + 2);
  EXPECT_DOUBLE_EQ(most_calls(100), 100 + 2 * 10 + 2);
}

TEST(RecoveryBudget, OfASmallOneTheBoundMayComeAndNotOneMore) {
  for (const int calls : {43, 44}) {
    RecoveryBudget budget(hardly_warming());
    budget.returned(kReturn);
    const ColdLoad load = spread_over_window(budget, calls, 25, kReturn);
    EXPECT_NEAR(load.allowed, 25, 1e-6);
    EXPECT_EQ(load.share() > 1, calls > 43) << calls;
  }
}

TEST(RecoveryBudget, OfALargeOneTheBoundMayComeAndNotOneMore) {
  for (const int calls : {122, 123}) {
    RecoveryBudget budget(hardly_warming());
    budget.returned(kReturn);
    const ColdLoad load = spread_over_window(budget, calls, 100, kReturn);
    EXPECT_NEAR(load.allowed, 100, 1e-6);
    EXPECT_EQ(load.share() > 1, calls > 122) << calls;
  }
}

TEST(RecoveryBudget, CountsTheWindowThatEndsNow) {
  RecoveryBudget budget(hardly_warming());
  budget.returned(kReturn);
  EXPECT_EQ(spread_over_window(budget, 40, 25, kReturn).calls.size(), 40u);
  const auto later = budget.add({kReturn + 5 * kSecond, 0, 1, true}, 25);
  EXPECT_EQ(later->calls.size(), 1u);
}

TEST(RecoveryBudget, AFurtherMessageOfACallWeighsALittle) {
  RecoveryBudget budget(hardly_warming());
  budget.returned(kReturn);
  const auto load = budget.add({kReturn, 0, 5, true}, 25);
  EXPECT_DOUBLE_EQ(load->weight(), 1 + 4 * kFurtherMessageWeight);
}

// What the settings allow grows with the warmth; of the window before the return nothing is had on top.
TEST(RecoveryBudget, AllowsWhatItCanTakeInTheWindow) {
  Destinations options;
  options.cold_from = 0.2;
  options.cold = 8 * kSecond;
  RecoveryBudget budget(options);
  budget.returned(kReturn);
  EXPECT_NEAR(budget.add({kReturn, 0, 1, true}, 10)->allowed, 2 * 10 * 0.2 * 2, 1e-6);
  EXPECT_NEAR(budget.add({kReturn + 2 * kSecond, 0, 1, true}, 10)->allowed, 2 * 10 * 0.3 * 2, 1e-6);
  EXPECT_NEAR(budget.add({kReturn + 4 * kSecond, 0, 1, true}, 10)->allowed, 2 * 10 * 0.5 * 2, 1e-6);
  EXPECT_FALSE(budget.add({kReturn + 8 * kSecond, 0, 1, true}, 10)) << "warm";
}

TEST(RecoveryBudget, NothingBindsBeforeAnOutage) {
  RecoveryBudget budget(hardly_warming());
  EXPECT_FALSE(budget.add({kReturn, 0, 1, false}, 1));
}

}  // namespace
}  // namespace heronvane::lab
