#include "batching.hpp"

#include <gtest/gtest.h>

namespace heronvane::dispatch::testing {
namespace {

TEST(Batching, TrustsANewEndpointWithFullCalls) {
  Batching batching;
  batching.set_most(8);
  batching.reset();
  EXPECT_EQ(batching.trusted(), 8);
}

TEST(Batching, HalvesWithAFailedCallAndGrowsByOneWithAServedOne) {
  Batching batching;
  batching.set_most(8);
  batching.reset();
  batching.record_failed(8);
  EXPECT_EQ(batching.trusted(), 4);
  batching.record_failed(2);
  EXPECT_EQ(batching.trusted(), 1);
  batching.record_failed(1);
  EXPECT_EQ(batching.trusted(), 1);
  for (int i = 0; i < 20; i++) batching.record_served();
  EXPECT_EQ(batching.trusted(), 8);
}

TEST(Batching, RestoresNoMoreThanTheKindAllowsAndIgnoresAnUnknownSize) {
  Batching batching;
  batching.set_most(8);
  batching.reset();
  batching.restore(3);
  EXPECT_EQ(batching.trusted(), 3);
  batching.restore(0);
  EXPECT_EQ(batching.trusted(), 3);
  batching.restore(100);
  EXPECT_EQ(batching.trusted(), 8);
}

TEST(Batching, HasRoomInACallOfThisPassUntilItIsFullOrEnds) {
  constexpr Microseconds kNow = 5'000;
  Batching batching;
  batching.set_most(2);
  batching.reset();
  EXPECT_FALSE(batching.has_room(0));
  batching.begin_call(7, kNow);
  batching.add_request();
  EXPECT_TRUE(batching.has_room(kNow));
  EXPECT_EQ(batching.open_call(), 7u);
  EXPECT_FALSE(batching.has_room(kNow + 1));
  batching.end_call(6);
  EXPECT_TRUE(batching.has_room(kNow));
  batching.add_request();
  EXPECT_FALSE(batching.has_room(kNow));
  batching.begin_call(8, kNow);
  EXPECT_TRUE(batching.has_room(kNow));
  batching.end_call(8);
  EXPECT_FALSE(batching.has_room(kNow));
}

}  // namespace
}  // namespace heronvane::dispatch::testing
