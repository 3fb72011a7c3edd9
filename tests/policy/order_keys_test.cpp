#include "order_keys.hpp"

#include <gtest/gtest.h>

#include "time_units.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(OrderKeys, LetsOneRequestGoAtATimeInTheOrderOfArrival) {
  OrderKeys keys;
  keys.join("a", 7);
  keys.join("a", 3);
  EXPECT_LE(keys.ready_at("a", 7, false, 100), 100);
  EXPECT_EQ(keys.ready_at("a", 3, false, 100), kNever);
  EXPECT_EQ(keys.leave("a", 7, 100), 3U);
  EXPECT_LE(keys.ready_at("a", 3, false, 100), 100);
  EXPECT_EQ(keys.leave("a", 3, 100), std::nullopt);
}

TEST(OrderKeys, OfOneKeyDoNotHoldThoseOfAnother) {
  OrderKeys keys;
  keys.join("a", 1);
  keys.join("b", 2);
  EXPECT_LE(keys.ready_at("b", 2, false, 0), 0);
}

TEST(OrderKeys, AQuietPeriodHoldsFirstAttemptsButNotRetries) {
  OrderKeys keys;
  keys.join("a", 1);
  keys.begin_quiet_period("a", 100, 50);
  EXPECT_EQ(keys.ready_at("a", 1, false, 120), 150);
  EXPECT_EQ(keys.ready_at("a", 1, true, 120), 120);
}

TEST(OrderKeys, AreForgottenOnceTheirLineIsEmptyAndTheirQuietPeriodIsOver) {
  OrderKeys keys;
  keys.join("a", 1);
  keys.join("b", 2);
  keys.begin_quiet_period("a", 100, 50);
  keys.leave("a", 1, 120);
  keys.leave("b", 2, 120);
  EXPECT_EQ(keys.retained(), 2U);  // the line of a and its quiet period
  keys.forget_quiet(149);
  EXPECT_EQ(keys.retained(), 2U);
  keys.forget_quiet(150);
  EXPECT_EQ(keys.retained(), 0U);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
