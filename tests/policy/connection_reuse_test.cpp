#include "connection_reuse.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(ConnectionReuse, ClosesIdleConnectionsOnceUntilTheNextServedCall) {
  PassHarness harness;
  ConnectionReuse connections;
  const auto close = [&] {
    harness.at(kSecond, [&](DecisionPass& pass) { connections.close_in_doubt(pass, "s-1"); });
    return harness.all<action::CloseIdle>().size();
  };
  EXPECT_EQ(close(), 1u);
  EXPECT_EQ(close(), 1u);
  connections.record_served();
  EXPECT_EQ(close(), 2u);
  EXPECT_EQ(harness.all<action::CloseIdle>()[0].endpoint, "s-1");
}

TEST(ConnectionReuse, IsRareWhereTheIdleConnectionsOfAllRelaysCouldFillTheEndpointsTable) {
  Settings settings;
  settings.relays = 100;
  settings.connection_idle_timeout = 10 * kSecond;
  ConnectionReuse connections;
  connections.start(settings.relays);
  EXPECT_TRUE(connections.is_rarely_used(settings));  // a call in 100 s
  Microseconds now = 0;
  for (int i = 0; i < 50; i++, now += 100 * kMillisecond) connections.record_call_began(now);
  EXPECT_FALSE(connections.is_rarely_used(settings));  // ten calls a second
}

TEST(ConnectionReuse, MeasuresTheGapFromTheEndOfTheLastCall) {
  Settings settings;
  settings.relays = 1;
  settings.connection_idle_timeout = kSecond;  // rare from 8 s on
  ConnectionReuse connections;
  connections.start(settings.relays);
  Microseconds now = 0;
  for (int i = 0; i < 50; i++) {
    connections.record_call_began(now);
    connections.record_call_ended(now + 9 * kSecond);
    now += 10 * kSecond;
  }
  EXPECT_FALSE(connections.is_rarely_used(settings));
}

}  // namespace
}  // namespace heronvane::dispatch::testing
