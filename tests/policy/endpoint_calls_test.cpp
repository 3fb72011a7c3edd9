#include "endpoint_calls.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(EndpointCalls, CountsThoseInFlight) {
  EndpointCalls calls;
  calls.begin(1, 0);
  calls.begin(2, 0);
  calls.end(1);
  calls.end(7);
  EXPECT_EQ(calls.size(), 1u);
  calls.end(2);
  EXPECT_TRUE(calls.empty());
}

TEST(EndpointCalls, AreOverdueOnceTheyAreOutForLongerThanThePatience) {
  EndpointCalls calls;
  calls.begin(1, kSecond);
  calls.begin(2, 2 * kSecond);
  EXPECT_EQ(calls.overdue(3 * kSecond, 2 * kSecond), 0);
  EXPECT_EQ(calls.overdue(3 * kSecond + 1, 2 * kSecond), 1);
  EXPECT_EQ(calls.overdue(5 * kSecond, 2 * kSecond), 2);
}

TEST(EndpointCalls, SentBeforeTheLastServedAnswerAreNoSignOfSilence) {
  EndpointCalls calls;
  calls.begin(1, kSecond);
  calls.begin(2, 2 * kSecond);
  calls.record_served(2 * kSecond, kSecond);
  EXPECT_EQ(calls.overdue(9 * kSecond, kSecond), 1);
}

TEST(EndpointCalls, AreOvertakenByServedOnesThatWereSentLater) {
  EndpointCalls calls;
  calls.record_served(5 * kSecond, 3 * kSecond);
  calls.record_served(6 * kSecond, 2 * kSecond);
  EXPECT_TRUE(calls.is_overtaken(3 * kSecond - 1));
  EXPECT_FALSE(calls.is_overtaken(3 * kSecond));
  EXPECT_FALSE(calls.is_silent_since(6 * kSecond - 1));
  EXPECT_TRUE(calls.is_silent_since(6 * kSecond));
}

}  // namespace
}  // namespace heronvane::dispatch::testing
