#include "call_rate.hpp"

#include <gtest/gtest.h>

namespace heronvane::dispatch::testing {
namespace {

TEST(CallRate, LookingChangesNothing) {
  CallRate often(4);
  CallRate seldom(4);
  for (Microseconds now = 0; now < 20'000'000; now += 50'000) {
    often.record(now);
    seldom.record(now);
    for (Microseconds t = now; t < now + 50'000; t += 7'000) (void)often.per_second(t);
  }
  EXPECT_EQ(often.per_second(21'000'000), seldom.per_second(21'000'000));
  EXPECT_NEAR(seldom.per_second(20'000'000), 20, 1);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
