#include "endpoint_tracker.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

// Two destinations: 1 has the endpoints a and b with shared limits, 2 has c and d with their own.
class EndpointTrackerTest : public ::testing::Test {
 protected:
  EndpointTrackerTest() {
    harness_.at(0, [&](DecisionPass& pass) {
      tracker_.apply(event::EndpointListUpdate{{listed("a", 1, 0), listed("b", 1, 0), listed("c", 2, 1),
                                                listed("d", 2, 1)}},
                     pass);
    });
  }
  // The tracker counts by kind: its settings are complete before it is made.
  static const Settings& with_two_kinds(Settings& settings) {
    settings.classes.emplace_back();
    settings.kinds = {{false, 4}, {true, 1}};
    settings.max_concurrent_calls = 8;
    return settings;
  }
  static Endpoint listed(const EndpointId& id, DestinationId destination, int kind) {
    Endpoint endpoint;
    endpoint.id = id;
    endpoint.destination = destination;
    endpoint.kind = kind;
    return endpoint;
  }
  EndpointState& at(const EndpointId& id) { return tracker_.registry().at(id); }
  // One call that carries one request, sent at `sent_at`.
  void call(const EndpointId& id, Microseconds sent_at, Microseconds ended_at, Outcome outcome,
            Microseconds retry_after = 0) {
    const CallId call = ++last_call_;
    harness_.at(sent_at, [&](DecisionPass& pass) { tracker_.record_call_began(at(id), call, true, pass); });
    event::AttemptEnded ended;
    ended.endpoint = id;
    ended.outcome = outcome;
    ended.latency = ended_at - sent_at;
    ended.retry_after = retry_after;
    harness_.at(ended_at, [&](DecisionPass& pass) {
      tracker_.record_attempt(at(id), ended, {call, sent_at, 1, true, false}, pass);
    });
  }
  void fail(const EndpointId& id, int times, Microseconds from = 0) {
    for (int i = 0; i < times; i++)
      call(id, from + i * kMillisecond, from + i * kMillisecond, Outcome::timeout);
  }
  void advance(const EndpointId& id, Microseconds now) {
    harness_.at(now, [&](DecisionPass& pass) { tracker_.advance_health(at(id), pass); });
  }
  Microseconds window() const { return harness_.settings.slow_start_window; }

  PassHarness harness_;
  EndpointTracker tracker_{with_two_kinds(harness_.settings), 1};
  CallId last_call_ = 0;
};

TEST_F(EndpointTrackerTest, EjectsAnEndpointThatFailsAndLeavesItsSiblingAlone) {
  fail("a", 3);
  EXPECT_TRUE(at("a").health.is_ejected());
  EXPECT_TRUE(at("b").health.is_healthy());
  EXPECT_GT(tracker_.budget_ready_at(at("a"), kSecond / 100), kSecond / 100);
}

TEST_F(EndpointTrackerTest, StartsSlowlyAfterAServedCallAndIsHealthyAfterTheWindow) {
  fail("a", 3);
  call("a", kSecond, kSecond + kMillisecond, Outcome::served);
  EXPECT_TRUE(at("a").health.is_slow_start());
  const Microseconds end = tracker_.health_ends_at(at("a"));
  EXPECT_EQ(end, kSecond + kMillisecond + window());
  advance("a", end - 1);
  EXPECT_TRUE(at("a").health.is_slow_start());
  advance("a", end);
  EXPECT_TRUE(at("a").health.is_healthy());
}

TEST_F(EndpointTrackerTest, ForgetsAnOutageAfterTheWindowAndStartsSlowlyThen) {
  fail("a", 3);
  advance("a", tracker_.health_ends_at(at("a")));
  EXPECT_TRUE(at("a").health.is_slow_start());
}

TEST_F(EndpointTrackerTest, EjectsAllEndpointsOfADestinationThatRejectsEverything) {
  for (int i = 0; i < 4; i++) call("a", i * kSecond, i * kSecond, Outcome::rejected);
  EXPECT_TRUE(at("a").health.is_ejected());
  EXPECT_TRUE(at("b").health.is_ejected());
}

TEST_F(EndpointTrackerTest, EjectsOnlyTheRejectingEndpointWhereLimitsAreSeparate) {
  for (int i = 0; i < 4; i++) call("c", i * kSecond, i * kSecond, Outcome::rejected);
  EXPECT_TRUE(at("c").health.is_ejected());
  EXPECT_TRUE(at("d").health.is_healthy());
}

TEST_F(EndpointTrackerTest, KeepsRetryAfterOfAnyOutcome) {
  call("a", 0, kSecond, Outcome::served, 3 * kSecond);
  EXPECT_EQ(at("b").limits().retry_after_until(), 4 * kSecond);
}

TEST_F(EndpointTrackerTest, GivesANewEndpointTheHealthOfItsEjectedSiblings) {
  fail("a", 3);
  fail("b", 3);
  harness_.at(kSecond, [&](DecisionPass& pass) {
    tracker_.apply(event::EndpointListUpdate{{listed("e", 1, 0)}}, pass);
  });
  EXPECT_TRUE(at("e").health.is_ejected());
}

TEST_F(EndpointTrackerTest, CountsACallOnceAndNothingOfOneThatWasNotSent) {
  event::AttemptEnded ended;
  ended.outcome = Outcome::timeout;
  const auto counts = [&](bool is_judged) {
    bool counted = false;
    harness_.at(kSecond, [&](DecisionPass& pass) {
      counted = tracker_.record_attempt(at("a"), ended, {1, 0, 2, false, is_judged}, pass);
    });
    return counted;
  };
  EXPECT_TRUE(counts(false));
  EXPECT_FALSE(counts(true));
  ended.outcome = Outcome::not_sent;
  EXPECT_FALSE(counts(false));
  EXPECT_EQ(at("a").evidence.consecutive_failures(), 1);
}

TEST_F(EndpointTrackerTest, DoesNotBlameAnEndpointForACancelledCallThatLaterOnesOvertook) {
  call("a", kSecond, 2 * kSecond, Outcome::served);
  call("a", 0, 3 * kSecond, Outcome::cancelled);
  EXPECT_EQ(at("a").evidence.consecutive_failures(), 0);
  call("a", 2 * kSecond, 4 * kSecond, Outcome::cancelled);
  EXPECT_EQ(at("a").evidence.consecutive_failures(), 1);
}

TEST_F(EndpointTrackerTest, LimitsHealthChecksOfAllEndpointsToAPartOfTheSlots) {
  fail("a", 3);
  fail("b", 3);
  const Microseconds now = kSecond;
  EXPECT_EQ(tracker_.call_limit(at("b"), now), 8);
  harness_.at(now, [&](DecisionPass& pass) {
    tracker_.record_call_began(at("a"), 101, true, pass);
    tracker_.record_call_began(at("a"), 102, true, pass);
  });
  EXPECT_EQ(tracker_.health_check_slots().in_use(), 2u);
  EXPECT_EQ(tracker_.call_limit(at("b"), now), 0);
}

TEST_F(EndpointTrackerTest, FreesTheHealthCheckSlotsOfWarmEndpointsAtTheEndOfThePass) {
  fail("a", 3);
  call("a", kSecond, kSecond, Outcome::served);
  call("a", 2 * kSecond, 2 * kSecond, Outcome::timeout);
  harness_.at(3 * kSecond, [&](DecisionPass& pass) { tracker_.record_call_began(at("a"), 99, true, pass); });
  const Microseconds end = tracker_.health_ends_at(at("a"));
  const Microseconds wake_at = harness_.at(end, [&](DecisionPass& pass) {
    tracker_.advance_health(at("a"), pass);
    EXPECT_EQ(tracker_.health_check_slots().in_use(), 1u);
    tracker_.release_warmed_up(pass);
  });
  EXPECT_EQ(tracker_.health_check_slots().in_use(), 0u);
  EXPECT_EQ(wake_at, end + harness_.settings.min_decision_interval);
}

TEST_F(EndpointTrackerTest, TakesAPeersHintForTheWholeScope) {
  harness_.at(kSecond, [&](DecisionPass& pass) {
    tracker_.apply(event::GossipReceived{2, "1ra"}, pass);
    tracker_.apply(event::GossipReceived{2, "1runknown"}, pass);
    tracker_.apply(event::GossipReceived{2, "other"}, pass);
  });
  EXPECT_LT(at("b").limits().admission().probability(kSecond), 1);
  EXPECT_TRUE(at("a").health.is_healthy());
}

TEST_F(EndpointTrackerTest, RestoresOnlyTheFirstRecordAndNothingThatACallHasOvertaken) {
  event::LearnedStateRestored record;
  record.state.endpoint = "a";
  record.state.destination = 1;
  record.state.health = Health::ejected;
  record.state.consecutive_failures = 3;
  const auto restore = [&] {
    const EndpointState* endpoint = nullptr;
    harness_.at(kSecond, [&](DecisionPass& pass) { endpoint = tracker_.apply(record, pass); });
    return endpoint;
  };
  EXPECT_EQ(restore(), &at("a"));
  EXPECT_TRUE(at("a").health.is_ejected());
  EXPECT_EQ(restore(), nullptr);
  call("b", 0, kMillisecond, Outcome::served);
  record.state.endpoint = "b";
  EXPECT_EQ(restore(), &at("b"));
  EXPECT_TRUE(at("b").health.is_healthy());
  record.state.endpoint = "unknown";
  EXPECT_EQ(restore(), nullptr);
}

// ---- Outages of a whole rate-limit scope ----

// A destination whose three endpoints a, b and e share one limit, and an endpoint c with its own limit.
class ScopeOutageTrackerTest : public EndpointTrackerTest {
 protected:
  ScopeOutageTrackerTest() {
    harness_.at(
        0, [&](DecisionPass& pass) { tracker_.apply(event::EndpointListUpdate{{listed("e", 1, 0)}}, pass); });
    for (Microseconds at = 0; at < 10 * kSecond; at += kSecond / 10)
      for (const char* const id : {"a", "b", "c", "e"}) call(id, at, at + kSecond / 20, Outcome::served);
  }
  void fail_between(const EndpointId& id, Microseconds sent_at, Microseconds ended_at) {
    call(id, sent_at, ended_at, Outcome::timeout);
  }
};

// Guards against a burst from relays that saw too few calls fail at each endpoint to eject it.
TEST_F(ScopeOutageTrackerTest, EjectsAllEndpointsWhereFailuresAreSpreadOverThem) {
  fail_between("a", 11 * kSecond, 13 * kSecond);
  fail_between("a", 11 * kSecond, 13 * kSecond);
  EXPECT_TRUE(at("a").health.is_healthy());
  fail_between("b", 11 * kSecond, 13 * kSecond);
  for (const char* const id : {"a", "b", "e"}) EXPECT_TRUE(at(id).health.is_ejected()) << id;
  call("e", 14 * kSecond, 15 * kSecond, Outcome::served);
  EXPECT_TRUE(at("e").health.is_slow_start());
  const ScopeOutage& outage = at("e").scope().outage;
  EXPECT_GT(outage.baseline_rate(), 15);  // of 30 calls a second before
  EXPECT_DOUBLE_EQ(at("e").slow_start.baseline_rate(), outage.baseline_rate() / 3);
}

// Guards against a burst to an endpoint that saw no call fail while its siblings were found to be out.
TEST_F(ScopeOutageTrackerTest, StartsSlowlyAtEveryEndpointOfAScopeThatServedNothingForLong) {
  for (int i = 0; i < 3; i++) fail_between("a", 11 * kSecond, 13 * kSecond);
  EXPECT_TRUE(at("b").health.is_healthy());
  call("b", 19 * kSecond, 19 * kSecond + kSecond / 10, Outcome::served);
  EXPECT_TRUE(at("a").health.is_ejected());
  EXPECT_TRUE(at("b").health.is_slow_start());
  EXPECT_TRUE(at("e").health.is_slow_start());
}

// Guards against the same where a single failed call is all that the relay saw in a long silence.
TEST_F(ScopeOutageTrackerTest, StartsSlowlyAfterOneFailureAndALongSilence) {
  fail_between("a", 11 * kSecond, 13 * kSecond);
  fail_between("c", 11 * kSecond, 13 * kSecond);
  call("a", 12 * kSecond, 19 * kSecond, Outcome::served);
  call("c", 12 * kSecond, 19 * kSecond, Outcome::served);
  for (const char* const id : {"a", "b", "c", "e"}) EXPECT_TRUE(at(id).health.is_slow_start()) << id;
  EXPECT_TRUE(at("d").health.is_healthy());
}

// Guards against one dead endpoint that closes siblings which answer.
TEST_F(ScopeOutageTrackerTest, LeavesEndpointsAloneThatServeWhileOneIsOut) {
  fail("a", 3, 11 * kSecond);
  ASSERT_TRUE(at("a").health.is_ejected());
  call("b", 11 * kSecond, 11 * kSecond + kSecond / 10, Outcome::served);
  for (int second = 12; second < 40; second++) {
    call("a", second * kSecond, second * kSecond + kMillisecond, Outcome::connect_failed);
    call("b", (second + 5) * kSecond, (second + 6) * kSecond, Outcome::served);
    EXPECT_TRUE(at("b").health.is_healthy());
    EXPECT_TRUE(at("e").health.is_healthy());
  }
}

// Guards against calls that time out at one endpoint being taken for an outage of those that served
// meanwhile.
TEST_F(ScopeOutageTrackerTest, CountsNoFailureOfACallDuringWhichAnotherEndpointServed) {
  call("b", 12 * kSecond, 12 * kSecond + kSecond / 10, Outcome::served);
  for (int i = 0; i < 5; i++) fail_between("a", 11 * kSecond, 13 * kSecond);
  EXPECT_EQ(at("b").scope().outage.evidence().consecutive_failures(), 0);
  EXPECT_TRUE(at("b").health.is_healthy());
}

// Guards against the first answer of a new endpoint being taken for the proof that it was never out.
TEST_F(ScopeOutageTrackerTest, StartsSlowlyAtNewEndpointsOfAScopeThatReturns) {
  for (int i = 0; i < 3; i++) fail_between("a", 11 * kSecond, 13 * kSecond);
  ASSERT_TRUE(at("b").health.is_healthy());
  harness_.at(14 * kSecond, [&](DecisionPass& pass) {
    tracker_.apply(event::EndpointListUpdate{{listed("f", 1, 0)}}, pass);
  });
  EXPECT_TRUE(at("f").is_on_trial());
  call("f", 19 * kSecond, 19 * kSecond + kSecond / 10, Outcome::served);
  EXPECT_TRUE(at("f").health.is_slow_start());
  harness_.at(20 * kSecond, [&](DecisionPass& pass) {
    tracker_.apply(event::EndpointListUpdate{{listed("g", 1, 0)}}, pass);
  });
  EXPECT_TRUE(at("g").health.is_slow_start());
  EXPECT_EQ(at("g").health.since(), at("f").health.since());
}

// Guards against a budget that grows with the number of endpoints that replace others.
TEST_F(ScopeOutageTrackerTest, DividesTheRateFromBeforeTheOutageAmongTheEndpointsThatAreListed) {
  for (const char* const id : {"a", "b", "e"}) fail_between(id, 11 * kSecond, 13 * kSecond);
  const double rate = at("a").scope().outage.baseline_rate();
  harness_.at(14 * kSecond, [&](DecisionPass& pass) {
    Endpoint draining = listed("a", 1, 0);
    draining.listing = Listing::draining;
    tracker_.apply(event::EndpointListUpdate{{listed("f", 1, 0), listed("g", 1, 0), draining}}, pass);
  });
  for (const char* const id : {"b", "e", "f", "g"})
    EXPECT_DOUBLE_EQ(at(id).slow_start.baseline_rate(), rate / 4) << id;
}

// Guards against a new endpoint that is closed where only one of its siblings is out.
TEST_F(ScopeOutageTrackerTest, LeavesNewEndpointsAloneWhereOnlyOneSiblingIsOut) {
  fail("a", 3, 11 * kSecond);
  call("b", 11 * kSecond, 11 * kSecond + kSecond / 10, Outcome::served);
  harness_.at(14 * kSecond, [&](DecisionPass& pass) {
    tracker_.apply(event::EndpointListUpdate{{listed("f", 1, 0)}}, pass);
  });
  EXPECT_TRUE(at("f").health.is_healthy());
}

// Guards against a restored endpoint whose record names no failures being taken for one that was only slow.
TEST_F(EndpointTrackerTest, StartsSlowlyAtARestoredEndpointWithoutFailures) {
  event::LearnedStateRestored record;
  record.state.destination = 1;
  record.state.endpoint = "a";
  record.state.health = Health::ejected;
  harness_.at(kSecond, [&](DecisionPass& pass) { tracker_.apply(record, pass); });
  call("a", 2 * kSecond, 2 * kSecond, Outcome::served);
  EXPECT_TRUE(at("a").health.is_slow_start());
}

// Guards against a relay that forgets in a restart that a whole scope was out.
TEST_F(EndpointTrackerTest, RestoresTheOutageOfAScopeWhereAllItsEndpointsWereOut) {
  event::LearnedStateRestored record;
  record.state.destination = 1;
  record.state.health = Health::ejected;
  record.state.consecutive_failures = 3;
  record.state.baseline_rate = 4;
  for (const char* const id : {"a", "b"}) {
    EXPECT_FALSE(at("a").scope().outage.is_ejected());
    record.state.endpoint = id;
    harness_.at(kSecond, [&](DecisionPass& pass) { tracker_.apply(record, pass); });
  }
  EXPECT_TRUE(at("a").scope().outage.is_ejected());
  EXPECT_DOUBLE_EQ(at("a").scope().outage.baseline_rate(), 8);
}

// ---- The checkpoint ----

class CheckpointTest : public EndpointTrackerTest {
 protected:
  std::vector<LearnedState> take(Microseconds now, std::size_t most = 100) {
    return tracker_.checkpoint().take_changed(now, most, tracker_.registry());
  }
  std::vector<LearnedState> observe(Microseconds now, std::size_t most) const {
    std::vector<LearnedState> known;
    tracker_.checkpoint().observe(now, now, most, tracker_.registry(), known);
    return known;
  }
};

TEST_F(CheckpointTest, GivesNothingOfEndpointsThatServe) {
  call("a", 0, kMillisecond, Outcome::served);
  EXPECT_TRUE(take(10 * kSecond).empty());
  EXPECT_EQ(tracker_.checkpoint().size(), 0u);
}

TEST_F(CheckpointTest, GivesAChangeOfHealthAtOnceAndOnlyOnce) {
  fail("a", 3);
  const auto given = take(2 * kMillisecond);
  ASSERT_EQ(given.size(), 2u);  // what the scope learned counts for both endpoints
  EXPECT_EQ(given[0].endpoint, "a");
  EXPECT_EQ(given[0].health, Health::ejected);
  EXPECT_EQ(given[0].consecutive_failures, 3);
  EXPECT_EQ(given[1].endpoint, "b");
  EXPECT_EQ(given[1].health, Health::healthy);
  EXPECT_TRUE(take(3 * kMillisecond).empty());
}

TEST_F(CheckpointTest, GivesOtherChangesOnceASecondAtMost) {
  call("a", 0, 0, Outcome::error);
  call("a", 0, kMillisecond, Outcome::error);
  ASSERT_FALSE(take(kMillisecond).empty());
  call("a", 0, 2 * kMillisecond, Outcome::served);
  EXPECT_TRUE(take(kSecond).empty());
  EXPECT_FALSE(take(kSecond + kMillisecond).empty());
}

TEST_F(CheckpointTest, GivesNoMoreThanAskedForAndTheRestLater) {
  fail("a", 3);
  fail("c", 3);
  EXPECT_EQ(take(kSecond, 1).size(), 1u);
  EXPECT_EQ(take(kSecond, 1).size(), 1u);
  EXPECT_EQ(take(kSecond, 10).size(), 1u);
  EXPECT_TRUE(take(kSecond).empty());
}

TEST_F(CheckpointTest, GivesABlankRecordOnceTimeHasRunOutAndOfForgottenEndpoints) {
  call("c", 0, kMillisecond, Outcome::served, 2 * kSecond);
  auto given = take(kMillisecond);
  ASSERT_EQ(given.size(), 1u);
  EXPECT_EQ(given[0].retry_after_left, 2 * kSecond);
  given = take(3 * kSecond);
  ASSERT_EQ(given.size(), 1u);
  EXPECT_TRUE(given[0].blank());

  call("c", 4 * kSecond, 4 * kSecond, Outcome::served, kSecond);
  ASSERT_EQ(take(4 * kSecond).size(), 1u);
  harness_.at(4 * kSecond, [&](DecisionPass& pass) {
    Endpoint gone = listed("c", 2, 1);
    gone.listing = Listing::gone;
    tracker_.apply(event::EndpointListUpdate{{gone}}, pass);
  });
  tracker_.forget_gone(5 * kSecond);
  given = take(5 * kSecond);
  ASSERT_EQ(given.size(), 1u);
  EXPECT_EQ(given[0].endpoint, "c");
  EXPECT_TRUE(given[0].blank());
}

TEST_F(CheckpointTest, ShowsAnObserverThoseWithStateBeforeTheOthers) {
  EXPECT_EQ(observe(kSecond, 100).size(), 4u);
  EXPECT_EQ(observe(kSecond, 1).size(), 1u);
  fail("d", 3);
  const auto known = observe(kSecond, 1);
  ASSERT_EQ(known.size(), 2u);
  EXPECT_EQ(known[1].endpoint, "d");
  EXPECT_EQ(known[1].health, Health::ejected);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
