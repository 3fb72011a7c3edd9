// Convergence of instances to their desired state, outside of operations.
#include <gtest/gtest.h>

#include <algorithm>

#include "world.hpp"

namespace heronvane::fleet::test {
namespace {

struct SingleInstance : ::testing::Test {
  SingleInstance() {
    EXPECT_TRUE(world.wait_until_ended(world.apply(fleet_of({"n0"}))));
    world.trace.clear();
    world.trace_at.clear();
  }
  ~SingleInstance() override { EXPECT_EQ(world.violations, std::vector<std::string>()); }
  std::vector<Microseconds> times_of(const std::string& what) const {
    std::vector<Microseconds> times;
    for (std::size_t i = 0; i < world.trace.size(); ++i) {
      if (world.trace[i] == what) times.push_back(world.trace_at[i]);
    }
    return times;
  }
  bool until_phase(Phase phase, Microseconds within) {
    return world.until([&] { return world.phase("n0") == phase; }, within);
  }
  World world{1};
};

TEST_F(SingleInstance, CrashedInstanceRestartsWithGrowingJitteredBackoff) {
  std::vector<Microseconds> delays;
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(world.until([&] { return !world.processes.empty(); }, 40 * second));
    world.run(30 * ms);
    const Microseconds crashed = world.now;
    const std::size_t starts = times_of("spawn n0").size();
    world.crash("n0");
    ASSERT_TRUE(world.until([&] { return times_of("spawn n0").size() > starts; }, 40 * second));
    delays.push_back(world.now - crashed);
  }
  Microseconds full = 500 * ms;
  bool jitter = false;
  for (Microseconds delay : delays) {
    EXPECT_GE(delay, full / 2);
    EXPECT_LE(delay, full + 100 * ms);  // time for the records and the exit event
    jitter = jitter || delay < full * 9 / 10;
    full = std::min(2 * full, 30 * second);
  }
  EXPECT_TRUE(jitter);
  EXPECT_EQ(world.database.instances.at("n0").restarts, 10U);
}

TEST_F(SingleInstance, BackoffResetsAfterOneMinuteReady) {
  for (int i = 0; i < 6; ++i) {
    ASSERT_TRUE(world.until([&] { return !world.processes.empty(); }, 40 * second));
    world.crash("n0");
    world.run(50 * ms);
  }
  EXPECT_EQ(world.phase("n0"), Phase::looping);
  EXPECT_GT(world.decider().instance("n0")->next_start, world.now);
  ASSERT_TRUE(until_phase(Phase::ready, 60 * second));
  world.run(50 * second);
  world.crash("n0");  // before backoff_reset
  world.run(50 * ms);
  EXPECT_EQ(world.phase("n0"), Phase::looping);
  ASSERT_TRUE(until_phase(Phase::ready, 60 * second));
  world.run(62 * second);
  const Microseconds crashed = world.now;
  world.crash("n0");
  world.run(50 * ms);
  EXPECT_EQ(world.phase("n0"), Phase::backoff);
  EXPECT_LE(world.decider().instance("n0")->next_start, crashed + 550 * ms);
}

TEST_F(SingleInstance, FiveCrashesWithinAMinuteAreReportedAsLooping) {
  for (int i = 0; i < 4; ++i) {
    ASSERT_TRUE(world.until([&] { return !world.processes.empty(); }, 40 * second));
    world.crash("n0");
    world.run(50 * ms);
    EXPECT_EQ(world.phase("n0"), Phase::backoff) << i;
  }
  ASSERT_TRUE(world.until([&] { return !world.processes.empty(); }, 40 * second));
  world.crash("n0");
  world.run(50 * ms);
  EXPECT_EQ(world.phase("n0"), Phase::looping);
  EXPECT_EQ(world.database.instances.at("n0").last_exit, "signal 11");
}

TEST_F(SingleInstance, SilentInstanceIsStalledAfter3AndKilledAfter10Seconds) {
  world.processes["n0"].stalled = true;
  const Microseconds from = world.now;
  world.run(2 * second);
  EXPECT_EQ(world.phase("n0"), Phase::ready);
  ASSERT_TRUE(until_phase(Phase::stalled, 4 * second));
  EXPECT_GE(world.now - from, 2500 * ms);
  ASSERT_TRUE(world.until([&] { return !times_of("kill n0").empty(); }, 20 * second));
  EXPECT_GE(world.now - from, 9 * second);
  EXPECT_LE(world.now - from, 12 * second);
  EXPECT_TRUE(times_of("term n0").empty());  // a stalled process would not handle it
  ASSERT_TRUE(until_phase(Phase::ready, 10 * second));
}

TEST_F(SingleInstance, StalledInstanceThatAnswersAgainIsNotKilled) {
  world.processes["n0"].stalled = true;
  ASSERT_TRUE(until_phase(Phase::stalled, 6 * second));
  world.processes["n0"].stalled = false;
  ASSERT_TRUE(until_phase(Phase::ready, 2 * second));
  world.run(30 * second);
  EXPECT_TRUE(world.trace.empty());
}

// A decider with scripted events, whose records are acknowledged at once.
struct Script {
  explicit Script(Desired desired, bool draining = false) {
    Restored state;
    state.fleet = fleet_of({"n0"});
    state.generation = state.last_operation = 1;
    InstanceRow row;
    row.name = "n0";
    row.desired = desired;
    row.wanted = row.config = row.changed = row.fence = 1;
    row.run = run;
    row.live = true;
    row.drain_kept = draining;
    state.instances.push_back(row);
    decider = std::make_unique<Decider>(state, 1);
  }
  void handle(const Event& event) {
    std::vector<Event> events{event};
    while (!events.empty()) {
      std::vector<Action> actions;
      decider->handle(now, events.back(), actions);
      events.pop_back();
      for (const Action& action : actions) {
        if (auto* record = std::get_if<action::Record>(&action))
          events.push_back(event::Recorded{record->record});
        if (auto* signal = std::get_if<action::Signal>(&action)) {
          (signal->signal == Signum::kill ? kills : terms) += 1;
        }
        spawns += std::holds_alternative<action::Spawn>(action);
      }
    }
  }
  void advance(Microseconds time) {
    for (const Microseconds end = now + time; now < end;) {
      now += 500 * ms;
      handle(event::TimerExpired{});
    }
  }
  void status_seen(OperationId fence, bool draining = false) {
    handle(event::StatusSeen{"n0", run, !draining, draining, false, 0, 0, fence, 1});
  }
  const std::string run = "0123456789abcdef";
  std::unique_ptr<Decider> decider;
  Microseconds now = second;
  int terms = 0, kills = 0, spawns = 0;
};

// A second process on one state folder would corrupt it. World reports a Spawn during an earlier run; here
// the exit of the killed process takes minutes.
TEST(Decider, StalledInstanceIsNotStartedTwice) {
  Script script(Desired::running);
  script.handle(event::Adopted{"n0", 7, script.run});
  script.status_seen(1);
  for (int i = 0; i < 600; ++i) {
    script.advance(500 * ms);
    script.handle(event::StatusMissed{"n0", script.run});
  }
  EXPECT_GE(script.kills, 2);
  EXPECT_EQ(script.spawns, 0);
  script.handle(event::Exited{"n0", "fedcba9876543210", 0, 9, std::nullopt});  // of another run
  script.advance(60 * second);
  EXPECT_EQ(script.spawns, 0);
  script.handle(event::Exited{"n0", script.run, 0, 9, std::nullopt});
  script.advance(2 * second);
  EXPECT_EQ(script.spawns, 1);
  script.handle(event::Exited{"n0", script.run, 0, 9, std::nullopt});  // reported twice
  script.advance(60 * second);
  EXPECT_EQ(script.spawns, 1);
}

TEST(Decider, NoActionBeforeAdoptionIsDecided) {
  Script script(Desired::stopped);
  script.advance(60 * second);
  EXPECT_EQ(script.terms + script.kills + script.spawns, 0);
  script.handle(event::Adopted{"n0", 7, script.run});
  EXPECT_EQ(script.terms, 1);
}

// An earlier drain request may still be in flight, so a status without the undrain's fence proves nothing.
// Once the relay has that fence, it refuses the drain.
TEST(Decider, UndrainIsDoneOnlyWhenTheRelayReportsItsFence) {
  Script script(Desired::drained, true);
  script.handle(event::Adopted{"n0", 7, script.run});
  script.status_seen(0);
  event::Command undrain;
  undrain.kind = Kind::undrain;
  undrain.names = {"n0"};
  script.handle(undrain);
  script.status_seen(0);
  script.status_seen(0);
  EXPECT_EQ(script.decider->operation(2)->state, OperationState::running);
  script.status_seen(1, true);
  script.status_seen(2);
  EXPECT_EQ(script.decider->operation(2)->state, OperationState::done);
}

TEST_F(SingleInstance, SuspensionDoesNotCountAsSilence) {
  world.run(second);
  world.processes["n0"].stalled = true;
  world.run(1500 * ms);
  world.suspend(3600 * second);
  world.run(1200 * ms);
  EXPECT_NE(world.phase("n0"), Phase::stalled);
  world.processes["n0"].stalled = false;
  world.run(30 * second);
  EXPECT_TRUE(world.trace.empty());
}

TEST_F(SingleInstance, DrainedInstanceStaysDown) {
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::drain, {"n0"})));
  EXPECT_EQ(world.phase("n0"), Phase::drained);
  world.run(300 * second);
  EXPECT_TRUE(times_of("spawn n0").empty());
  EXPECT_EQ(world.database.instances.at("n0").last_exit, "drained");
}

TEST_F(SingleInstance, InstanceDrainedByAnotherClientWithAHigherFenceStaysDown) {
  world.folders["n0"].fence = 40;
  world.folders["n0"].drain = world.processes["n0"].draining = true;
  world.run(2 * second);
  EXPECT_EQ(world.phase("n0"), Phase::draining);
  world.folders["n0"].drained = {40, world.processes["n0"].run};
  const std::string run = world.processes["n0"].run;
  world.processes.erase("n0");
  std::vector<Action> actions;
  // The agent learns of it at its restart.
  world.at(world.now, [&] { world.kill_agent(); });
  world.at(world.now + second, [&] { world.start_agent(); });
  world.run(30 * second);
  EXPECT_TRUE(times_of("spawn n0").empty());
  EXPECT_TRUE(times_of("undrain n0").empty());
  EXPECT_EQ(world.phase("n0"), Phase::drained);
  // The agent's next operation gets a higher fence.
  const OperationId id = world.wait_until_ended(world.submit(Kind::undrain, {"n0"}));
  EXPECT_GT(id, 40U);
  EXPECT_EQ(world.operation(id).state, OperationState::done);
}

TEST_F(SingleInstance, DrainWithALowerFenceThanTheAgentsIsUndone) {
  world.folders["n0"].drain = world.processes["n0"].draining = true;
  ASSERT_TRUE(world.until([&] { return !times_of("undrain n0").empty(); }, 5 * second));
  ASSERT_TRUE(until_phase(Phase::ready, 5 * second));
}

TEST_F(SingleInstance, AdoptedInstanceIsNotDisturbed) {
  const std::string run = world.processes["n0"].run;
  world.kill_agent();
  world.run(10 * second);
  world.start_agent();
  EXPECT_TRUE(until_phase(Phase::ready, 5 * second));
  world.run(30 * second);
  EXPECT_TRUE(world.trace.empty());
  EXPECT_EQ(world.processes["n0"].run, run);
}

TEST_F(SingleInstance, InstanceThatEndedWhileTheAgentWasDownRestartsAtOnce) {
  world.kill_agent();
  world.crash("n0");
  world.run(10 * second);
  world.start_agent();
  EXPECT_TRUE(until_phase(Phase::ready, 2 * second));
  EXPECT_EQ(world.database.instances.at("n0").last_exit, "gone");
}

TEST_F(SingleInstance, FailedSpawnCountsAsACrash) {
  world.how.spawn_fails = 1;
  world.crash("n0");
  world.run(60 * second);
  EXPECT_EQ(world.phase("n0"), Phase::looping);
  EXPECT_EQ(world.database.instances.at("n0").last_exit, "not started: no such program");
  world.how.spawn_fails = 0;
  EXPECT_TRUE(until_phase(Phase::ready, 60 * second));
}

TEST_F(SingleInstance, StoppedInstanceStaysStopped) {
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::down, {"n0"})));
  EXPECT_EQ(world.phase("n0"), Phase::stopped);
  world.run(120 * second);
  EXPECT_TRUE(times_of("spawn n0").empty());
}

TEST(Decider, InstanceWithoutStateFolderIsRestarted) {
  World world(1);
  ASSERT_TRUE(world.wait_until_ended(world.apply(fleet_of({"n0"}))));
  world.run(second);
  const std::string run = world.processes["n0"].run;
  std::vector<Action> actions;
  Decider& decider = world.decider();
  decider.handle(world.now, event::StateFolderMissing{"n0"}, actions);
  ASSERT_FALSE(actions.empty());
  auto* record = std::get_if<action::Record>(&actions[0]);
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->instances.at(0).retire, run);
  actions.clear();
  decider.handle(world.now, event::Recorded{record->record}, actions);
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [](const Action& action) {
    auto* signal = std::get_if<action::Signal>(&action);
    return signal && signal->signal == Signum::term;
  }));
}

// Handling of an event must not cost time quadratic in the instances: a thousand would run into the test's
// timeout.
TEST(Decider, HandlesAThousandInstances) {
  World world(1);
  std::vector<std::string> names;
  for (int i = 0; i < 1000; ++i) names.push_back("n" + std::to_string(i));
  const OperationId id = world.wait_until_ended(world.apply(fleet_of(names, 50)));
  ASSERT_NE(id, 0U);
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  ASSERT_EQ(world.processes.size(), 1000U);
  const OperationId restart = world.wait_until_ended(world.submit(Kind::restart, {}));
  ASSERT_NE(restart, 0U);
  EXPECT_EQ(world.operation(restart).state, OperationState::done);
  EXPECT_EQ(world.decider().instances().size(), 1000U);
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

}  // namespace
}  // namespace heronvane::fleet::test
