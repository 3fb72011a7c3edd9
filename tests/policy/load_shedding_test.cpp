#include "load_shedding.hpp"

#include <gtest/gtest.h>

namespace heronvane::dispatch::testing {
namespace {

TEST(LoadShedding, ShedsWhatIsBeyondNinetyTwoPercentOfTheBuffer) {
  Settings settings;
  settings.max_in_flight = 100;
  const LoadShedding shedding(settings);
  EXPECT_EQ(shedding.excess(0), 0U);
  EXPECT_EQ(shedding.excess(92), 0U);
  EXPECT_EQ(shedding.excess(95), 3U);
}

TEST(LoadShedding, LeavesOneRequestInTheSmallestBuffer) {
  Settings settings;
  settings.max_in_flight = 1;
  const LoadShedding shedding(settings);
  EXPECT_EQ(shedding.excess(1), 0U);
  EXPECT_EQ(shedding.excess(2), 1U);
}

TEST(LoadShedding, SparesRequestsThatMayNotBeRejectedAndRecoveredOnesBeforeTheirFirstAttempt) {
  ClassSettings request_class;
  Request request;
  request.request_class = &request_class;
  EXPECT_TRUE(LoadShedding::may_shed(request));
  request.unattempted = true;
  EXPECT_FALSE(LoadShedding::may_shed(request));
  request.unattempted = false;
  request_class.idempotency = Idempotency::non_idempotent;
  EXPECT_TRUE(LoadShedding::may_shed(request));
  request.possible_execution = PossibleExecution{0, 0};
  EXPECT_FALSE(LoadShedding::may_shed(request));
}

}  // namespace
}  // namespace heronvane::dispatch::testing
