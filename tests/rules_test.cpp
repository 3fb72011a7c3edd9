// Tests of the six rules, each with events that break the rule if the code that guards it is
// removed.
#include "harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(FinalAnswer, AWaitingMessageEndsByItsDeadline) {
  Relay r;
  const auto id = r.arrive(kSafe, 99);  // a destination with no endpoint
  r.run_to(10 * kS);
  ASSERT_EQ(r.refused.count(id) + r.failed.count(id), 1u);
  const Microseconds at = r.refused.count(id) ? r.refused[id] : r.failed[id];
  EXPECT_LE(at, 1 * kS + 6 * kS + 20 * kMs);
  EXPECT_EQ(r.sends_of(id), 0);
}
TEST(FinalAnswer, ATimeoutAtTheDeadlineIsAnswered) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kSafe, 1, "", 300 * kMs);
  ASSERT_EQ(r.sends_of(id), 1);
  EXPECT_LE(r.sent[0].timeout, 300 * kMs);
  r.run_to(r.now + 300 * kMs);
  if (!r.out.empty()) r.end(id, Outcome::timeout);
  EXPECT_EQ(r.failed.count(id), 1u);
  r.run_to(r.now + 5 * kS);
  EXPECT_EQ(r.sends_of(id), 1);
}
TEST(FinalAnswer, NothingIsSentForACompletedMessage) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kSafe);
  r.round({event::RequestWithdrawn{id}});
  r.end(id, Outcome::rejected);
  r.run_to(r.now + 5 * kS);
  EXPECT_EQ(r.sends_of(id), 1);
  EXPECT_TRUE(r.failed.empty() && r.refused.empty());
}
TEST(FinalAnswer, TheAttemptLimitHolds) {
  auto s = plain();
  s.max_attempts = 2;
  Relay r(s);
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kSafe);
  r.end(id, Outcome::error);
  r.run_to(r.now + 2 * kS);
  r.end(id, Outcome::error);
  r.run_to(r.now + 2 * kS);
  EXPECT_EQ(r.sends_of(id), 2);
  EXPECT_EQ(r.failed.count(id), 1u);
}

TEST(Repeats, ANonIdempotentMessageIsNotRetriedWhenItMayHaveRun) {
  for (auto o : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    Relay r;
    r.list({{.id = "a", .destination = 1}});
    const auto id = r.arrive(kUnsafe);
    r.end(id, o);
    r.run_to(r.now + 20 * kS);
    EXPECT_EQ(r.sends_of(id), 1);
    EXPECT_EQ(r.failed.count(id), 1u);
    EXPECT_EQ(r.refused.count(id), 0u);
  }
}
TEST(Repeats, ANonIdempotentMessageIsRetriedWhenItNeverRan) {
  for (auto o : {Outcome::rejected, Outcome::connect_failed, Outcome::not_sent}) {
    Relay r;
    r.list({{.id = "a", .destination = 1}});
    const auto id = r.arrive(kUnsafe);
    r.end(id, o);
    r.run_to(r.now + 5 * kS);
    EXPECT_EQ(r.sends_of(id), 2);
  }
}
TEST(Repeats, AKeyedMessageIsRetriedOnlyInItsKeyWindow) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kKeyed);
  const Microseconds first = r.now;
  r.run_to(r.now + 2 * kS);
  r.end(id, Outcome::timeout);
  r.run_to(r.now + 2 * kS);
  ASSERT_EQ(r.sends_of(id), 2);  // inside the window
  // A relay may be delayed for 150 ms between its decision and its write.
  r.run_to(first + 5 * kS - 149 * kMs);
  r.end(id, Outcome::timeout);
  r.run_to(r.now + 15 * kS);
  for (const auto& s : r.sent) EXPECT_LE(s.at, first + 5 * kS - 150 * kMs);
  EXPECT_EQ(r.failed.count(id) + r.refused.count(id), 1u);
}
// Whenever the attempt that may have run ends, the last retries come shortly before the margin and none after
// it.
TEST(Repeats, RetriesOfAKeyedMessageLeaveTimeForALateWrite) {
  constexpr Microseconds kWindow = 5 * kS, kMargin = 150 * kMs;
  Microseconds latest = 0;
  for (std::uint64_t seed = 1; seed <= 20; seed++)
    for (Microseconds ends = kWindow - 2 * kS; ends < kWindow; ends += 20 * kMs) {
      Relay r(plain(), seed);
      r.list({{.id = "a", .destination = 1}});
      const auto id = r.arrive(kKeyed);
      const Microseconds first = r.now;
      r.run_to(first + ends);
      r.end(id, Outcome::error);
      r.run_to(first + 2 * kWindow);
      for (const auto& s : r.sent) latest = std::max(latest, s.at - first);
    }
  EXPECT_LE(latest, kWindow - kMargin);
  EXPECT_GT(latest, kWindow - 2 * kMargin) << "nothing came near the end of the window";
}
TEST(Repeats, TheKeyWindowCountsFromTheAttemptThatMayHaveRun) {
  Relay r;
  r.list({{.id = "a", .destination = 1}});
  const auto id = r.arrive(kKeyed);
  r.run_to(r.now + 4 * kS);
  r.end(id, Outcome::rejected);  // not executed: the key window does not begin
  r.run_to(r.now + 4 * kS);
  ASSERT_EQ(r.sends_of(id), 2);
  const Microseconds second = r.sent.back().at;
  r.end(id, Outcome::error);
  r.run_to(second + 4 * kS + 900 * kMs);
  EXPECT_EQ(r.sends_of(id), 3);
}
TEST(Repeats, AMessageKeyedByZoneStaysInItsZone) {
  auto s = plain();
  s.classes[kKeyed].key_scope = KeyScope::zone;
  for (int seed = 1; seed < 6; seed++) {
    Relay r(s, static_cast<std::uint64_t>(seed));
    r.list({{.id = "a", .destination = 1, .zone = 0},
            {.id = "b", .destination = 1, .zone = 1},
            {.id = "c", .destination = 1, .zone = 1}});
    const auto id = r.arrive(kKeyed);
    const EndpointId first = r.sent[0].endpoint;
    for (int i = 0; i < 2; i++) {
      r.end(id, Outcome::error);
      r.run_to(r.now + 2 * kS);
      if (r.out.empty()) break;
    }
    for (const auto& sent : r.sent) EXPECT_EQ(sent.endpoint == "a", first == "a");
    EXPECT_EQ(r.refused.count(id), 0u);
    r.run_to(r.now + 20 * kS);
    EXPECT_EQ(r.refused.count(id), 0u);  // it may have run, and not every endpoint drops repeats
  }
}

TEST(EndpointRemoval, ADrainingOrRemovedEndpointGetsNothingNew) {
  for (auto listing : {Listing::draining, Listing::gone}) {
    Relay r;
    r.list({{.id = "a", .destination = 1}});
    r.change({.id = "a", .destination = 1, .listing = listing});
    r.run_to(r.now + 100 * kMs);
    const auto id = r.arrive(kSafe);
    r.run_to(r.now + 3 * kS);
    EXPECT_EQ(r.sends_of(id), 0);
    r.change({.id = "b", .destination = 1});
    EXPECT_EQ(r.sends_of(id), 1);
  }
}
TEST(EndpointRemoval, AnEndpointMissingFromACompleteListIsRemoved) {
  Relay r;
  r.list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}});
  r.list({{.id = "b", .destination = 1}});
  for (int i = 0; i < 6; i++) r.arrive(kSafe);
  for (const auto& s : r.sent) EXPECT_EQ(s.endpoint, "b");
  EXPECT_FALSE(r.sent.empty());
}

// After any outage, no window of time may contain many more calls than this relay's share of what a cold
// destination can handle.
void expect_limited_load_after_outage(Outcome symptom) {
  auto s = plain();
  s.collapse_factor = 2, s.slow_start_min_share = 0.2, s.slow_start_window = 8 * kS;
  Relay r(s);
  r.list({{.id = "a", .destination = 1}});
  const auto serve = [](const Sent&) -> std::optional<Outcome> { return Outcome::served; };
  r.live(10 * kS, 10, kSafe, 1, serve);
  const auto fail = [&](const Sent&) -> std::optional<Outcome> { return symptom; };
  r.live(8 * kS, 10, kSafe, 1, fail);
  EXPECT_LE(r.sends_between(r.now - 3 * kS, r.now), 8) << "calls during the outage";
  const Microseconds back = r.now;
  r.live(14 * kS, 10, kSafe, 1, serve);
  Microseconds first = 0;
  for (const auto& sent : r.sent)
    if (sent.at >= back - 100 * kMs && first == 0) first = sent.at;
  ASSERT_GT(first, 0);
  for (Microseconds t = back; t < first + 8 * kS; t += 250 * kMs) {
    const double warm = 0.2 + 0.8 * std::max(0.0, static_cast<double>(t + 2 * kS - first) / (8.0 * kS));
    EXPECT_LE(r.sends_between(t, t + 2 * kS), 2 * 10 * std::min(1.0, warm) * 2 + 2) << (t - back) / kMs;
  }
  EXPECT_GE(r.sends_between(r.now - 2 * kS, r.now), 16) << "served in full again";
}
TEST(LoadAfterOutage, IsLimitedAfterFailedConnects) {
  expect_limited_load_after_outage(Outcome::connect_failed);
}
TEST(LoadAfterOutage, IsLimitedAfterErrors) { expect_limited_load_after_outage(Outcome::error); }
TEST(LoadAfterOutage, IsLimitedAfterRejections) { expect_limited_load_after_outage(Outcome::rejected); }

TEST(RetryAfter, BlocksEverySendToTheDestination) {
  Relay r;
  r.list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}, {.id = "c", .destination = 2}});
  const auto id = r.arrive(kSafe);
  const Microseconds told = r.now;
  r.end(id, Outcome::rejected, 2 * kS);
  r.arrive(kUnsafe);
  r.run_to(told + 1500 * kMs);
  r.arrive(kSafe);
  EXPECT_EQ(r.sends_between(told + 1, told + 2 * kS), 0);
  r.arrive(kSafe, 2);  // others are not blocked
  EXPECT_EQ(r.sent.back().endpoint, "c");
  r.run_to(told + 4 * kS);
  EXPECT_GE(r.sends_between(told + 2 * kS, told + 4 * kS), 1);
}
TEST(RetryAfter, BlocksOneEndpointWhereEndpointsHaveTheirOwnLimits) {
  auto s = plain();
  s.kinds[0].per_endpoint_limits = true;
  Relay r(s);
  r.list({{.id = "a", .destination = 1}, {.id = "b", .destination = 1}});
  const auto id = r.arrive(kSafe);
  const EndpointId held = r.sent[0].endpoint;
  const Microseconds told = r.now;
  r.end(id, Outcome::rejected, 3 * kS);
  for (int i = 0; i < 4; i++) r.arrive(kSafe);
  r.run_to(told + 2900 * kMs);
  EXPECT_EQ(r.sends_between(told + 1, told + 3 * kS, held), 0);
  EXPECT_GT(r.sends_between(told, told + 3 * kS, held == "a" ? "b" : "a"), 0);
}

Settings ordered() {
  auto s = plain();
  s.classes[kSafe].ordered = s.classes[kUnsafe].ordered = true;
  s.key_quiet_period = 700 * kMs;
  return s;
}
TEST(OrderKey, OneMessageAtATimeInTheOrderOfArrival) {
  Relay r(ordered());
  r.list({{.id = "a", .destination = 1}, {.id = "b", .destination = 2}});
  const auto first = r.arrive(kSafe, 1, "k");
  const auto second = r.arrive(kUnsafe, 2, "k");
  const auto third = r.arrive(kSafe, 1, "k");
  const auto other = r.arrive(kSafe, 1, "k2");
  EXPECT_EQ(r.sends_of(second) + r.sends_of(third), 0);
  EXPECT_EQ(r.sends_of(other), 1);
  r.end(first, Outcome::served);
  EXPECT_EQ(r.sends_of(second), 1);
  EXPECT_EQ(r.sends_of(third), 0);
  r.end(second, Outcome::served);
  EXPECT_EQ(r.sends_of(third), 1);
}
TEST(OrderKey, AWithdrawnMessageStillBlocksWhileItsAttemptIsInFlight) {
  Relay r(ordered());
  r.list({{.id = "a", .destination = 1}});
  const auto first = r.arrive(kSafe, 1, "k");
  const auto second = r.arrive(kSafe, 1, "k");
  r.round({event::RequestWithdrawn{first}});
  EXPECT_EQ(r.sends_of(second), 0);
  r.end(first, Outcome::served);
  EXPECT_EQ(r.sends_of(second), 1);
}
TEST(OrderKey, HasAQuietPeriodAfterAnUnknownOutcome) {
  for (auto o : {Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    Relay r(ordered());
    r.list({{.id = "a", .destination = 1}});
    const auto first = r.arrive(kUnsafe, 1, "k");
    const auto second = r.arrive(kSafe, 1, "k");
    r.end(first, o);
    const Microseconds at = r.now;
    EXPECT_EQ(r.failed.count(first), 1u);
    r.run_to(at + 699 * kMs);
    EXPECT_EQ(r.sends_of(second), 0);
    r.run_to(at + 2 * kS);
    EXPECT_EQ(r.sends_of(second), 1);
  }
}

}  // namespace
}  // namespace heronvane::dispatch::testing
