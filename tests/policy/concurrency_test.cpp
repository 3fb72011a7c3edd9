#include "concurrency.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

Settings with_slots(int slots) {
  Settings settings;
  settings.max_concurrent_calls = slots;
  return settings;
}

TEST(ConcurrencyLimit, AllowsAFewCallsWithoutAServedRate) {
  const ConcurrencyLimit limit;
  EXPECT_EQ(limit.limit(with_slots(100), {false, 0, 0.25}), 3);
}

TEST(ConcurrencyLimit, GrowsWithTheServedRateUpToHalfOfTheSlots) {
  const ConcurrencyLimit limit;
  const Settings settings = with_slots(100);
  EXPECT_EQ(limit.limit(settings, {false, 10, 0.999}), 33);  // 3 + 3 * 10 * (0.999 + 0.001)
  EXPECT_EQ(limit.limit(settings, {false, 1'000, 1}), 50);
}

TEST(ConcurrencyLimit, FallsToAnEighthOfTheSlotsInDoubtAndNeverToNothing) {
  const ConcurrencyLimit limit;
  EXPECT_EQ(limit.limit(with_slots(80), {true, 1'000, 1}), 10);
  EXPECT_EQ(limit.limit(with_slots(1), {true, 0, 1}), 1);
}

TEST(ConcurrencyLimit, KeepsToTheConnectionsThatAnEndpointTook) {
  ConcurrencyLimit limit;
  const Settings settings = with_slots(100);
  limit.record_connections_exhausted(kSecond, 5);
  EXPECT_EQ(limit.limit(settings, {false, 1'000, 1}), 5);
  limit.record_served(3 * kSecond);
  EXPECT_EQ(limit.limit(settings, {false, 1'000, 1}), 5);
  limit.record_served(3 * kSecond + 1);
  EXPECT_EQ(limit.limit(settings, {false, 1'000, 1}), 6);
}

TEST(HealthCheckSlots, AreAQuarterOfAllAndOneAtLeast) {
  HealthCheckSlots slots;
  HealthCheckSlots::Share first;
  HealthCheckSlots::Share second;
  const Settings settings = with_slots(12);
  slots.set(first, 2);
  EXPECT_TRUE(slots.is_any_free(settings));
  slots.set(second, 1);
  EXPECT_FALSE(slots.is_any_free(settings));
  slots.set(first, 0);
  EXPECT_EQ(slots.in_use(), 1u);
  EXPECT_EQ(second.calls(), 1u);
  EXPECT_TRUE(slots.is_any_free(settings));
  slots.set(second, 0);
  EXPECT_TRUE(slots.is_any_free(with_slots(1)));
}

}  // namespace
}  // namespace heronvane::dispatch::testing
