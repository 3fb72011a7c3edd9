#include "core/lifecycle.hpp"

#include <gtest/gtest.h>

namespace heronvane {
namespace {

constexpr Microseconds kStop = 5'000'000;
constexpr Microseconds kJustBefore = -1;

Lifecycle stopped() {
  Lifecycle lifecycle;
  lifecycle.begin_stop(kStop);
  return lifecycle;
}

TEST(Lifecycle, RunsUntilBeginStop) {
  Lifecycle lifecycle;
  EXPECT_EQ(lifecycle.phase(), Lifecycle::Phase::running);
  EXPECT_TRUE(lifecycle.rules().reports_ready);
  EXPECT_TRUE(lifecycle.rules().decides);
  EXPECT_FALSE(lifecycle.advance(kStop)) << "nothing asked it to stop";
  EXPECT_TRUE(lifecycle.begin_stop(kStop));
  EXPECT_FALSE(lifecycle.begin_stop(kStop + 1));
  EXPECT_EQ(lifecycle.phase(), Lifecycle::Phase::stopping);
}

TEST(Lifecycle, DecidesWhileStoppingButIsNotReady) {
  const Lifecycle lifecycle = stopped();
  EXPECT_FALSE(lifecycle.rules().reports_ready);
  EXPECT_TRUE(lifecycle.rules().decides);
  EXPECT_FALSE(lifecycle.rules().may_leave_requests);
}

TEST(Lifecycle, BeginsNoCallsAfterBeginCallsTime) {
  Lifecycle lifecycle = stopped();
  EXPECT_FALSE(lifecycle.advance(kStop + Lifecycle::kBeginCallsTime + kJustBefore));
  EXPECT_TRUE(lifecycle.advance(kStop + Lifecycle::kBeginCallsTime));
  EXPECT_EQ(lifecycle.phase(), Lifecycle::Phase::awaiting_calls);
  EXPECT_FALSE(lifecycle.rules().decides);
  EXPECT_FALSE(lifecycle.advance(kStop + Lifecycle::kBeginCallsTime)) << "true only once";
}

TEST(Lifecycle, KeepsIdleConnectionsOpenForIdleTime) {
  const Lifecycle lifecycle = stopped();
  EXPECT_FALSE(lifecycle.idle_time_is_over(kStop + Lifecycle::kIdleTime + kJustBefore));
  EXPECT_TRUE(lifecycle.idle_time_is_over(kStop + Lifecycle::kIdleTime));
}

TEST(Lifecycle, AcceptsConnectionsForAcceptTime) {
  const Lifecycle lifecycle = stopped();
  EXPECT_FALSE(lifecycle.accept_time_is_over(kStop + Lifecycle::kAcceptTime + kJustBefore));
  EXPECT_TRUE(lifecycle.accept_time_is_over(kStop + Lifecycle::kAcceptTime));
}

TEST(Lifecycle, IsDoneOnceNothingIsOpen) {
  const Lifecycle lifecycle = stopped();
  const Microseconds now = kStop + Lifecycle::kAcceptTime;
  EXPECT_FALSE(lifecycle.is_done(now + kJustBefore, {})) << "clients may still connect";
  EXPECT_TRUE(lifecycle.is_done(now, {}));
  EXPECT_FALSE(lifecycle.is_done(now, {.calls_in_flight = 1}));
  EXPECT_FALSE(lifecycle.is_done(now, {.requests_held = 1}));
  EXPECT_FALSE(lifecycle.is_done(now, {.client_connections = 1}));
  EXPECT_FALSE(lifecycle.is_done(now, {.requests_queued = true}));
  EXPECT_FALSE(lifecycle.is_done(now, {.notifications_owed = true}));
  EXPECT_FALSE(lifecycle.is_done(now, {.writes_pending = true}));
}

TEST(Lifecycle, LeavesRequestsInTheStoreOnceNoCallBegins) {
  Lifecycle lifecycle = stopped();
  const Microseconds now = kStop + Lifecycle::kBeginCallsTime;
  EXPECT_FALSE(lifecycle.is_done(now, {.requests_held = 1}));
  lifecycle.advance(now);
  EXPECT_TRUE(lifecycle.is_done(now, {.requests_held = 1}));
  EXPECT_FALSE(lifecycle.is_done(now, {.calls_in_flight = 1, .requests_held = 1}));
}

TEST(Lifecycle, EndsAfterShutdownTimeWithWorkOpen) {
  const Lifecycle lifecycle = stopped();
  const Lifecycle::OpenWork open{.calls_in_flight = 1, .requests_held = 1, .writes_pending = true};
  EXPECT_FALSE(lifecycle.is_done(kStop + Lifecycle::kShutdownTime + kJustBefore, open));
  EXPECT_TRUE(lifecycle.is_done(kStop + Lifecycle::kShutdownTime, open));
}

}  // namespace
}  // namespace heronvane
