// Instances kept as they are desired, without an operation.
#include <gtest/gtest.h>

#include <algorithm>

#include "world.hpp"

namespace heronvane::fleet::test {
namespace {

struct One : ::testing::Test {
  One() {
    EXPECT_TRUE(world.finish(world.apply(fleet_of({"n0"}))));
    world.trace.clear();
    world.trace_at.clear();
  }
  ~One() override { EXPECT_EQ(world.broken, std::vector<std::string>()); }
  std::vector<Microseconds> when(const std::string& what) const {
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

TEST_F(One, ACrashedOneStartsAgainLaterAndLaterWithJitter) {
  std::vector<Microseconds> waits;
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(world.until([&] { return !world.processes.empty(); }, 40 * second));
    world.run(30 * ms);
    const Microseconds crashed = world.now;
    const std::size_t starts = when("spawn n0").size();
    world.crash("n0");
    ASSERT_TRUE(world.until([&] { return when("spawn n0").size() > starts; }, 40 * second));
    waits.push_back(world.now - crashed);
  }
  Microseconds full = 500 * ms;
  bool jitter = false;
  for (Microseconds wait : waits) {
    EXPECT_GE(wait, full / 2);
    EXPECT_LE(wait, full + 100 * ms);  // records and the report take theirs
    jitter = jitter || wait < full * 9 / 10;
    full = std::min(2 * full, 30 * second);
  }
  EXPECT_TRUE(jitter);
  EXPECT_EQ(world.database.instances.at("n0").restarts, 10U);
}

TEST_F(One, ReadyForLongTheNextCrashIsAFirstOne) {
  for (int i = 0; i < 6; ++i) {
    ASSERT_TRUE(world.until([&] { return !world.processes.empty(); }, 40 * second));
    world.crash("n0");
    world.run(50 * ms);
  }
  EXPECT_EQ(world.phase("n0"), Phase::looping);
  EXPECT_GT(world.decider().instance("n0")->next_start, world.now);
  ASSERT_TRUE(until_phase(Phase::ready, 60 * second));
  world.run(50 * second);
  world.crash("n0");  // too early
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

TEST_F(One, FiveCrashesWithinAMinuteAreToldAsLooping) {
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

TEST_F(One, ASilentOneIsStalledAfter3AndEndedAfter10Seconds) {
  world.processes["n0"].stalled = true;
  const Microseconds from = world.now;
  world.run(2 * second);
  EXPECT_EQ(world.phase("n0"), Phase::ready);
  ASSERT_TRUE(until_phase(Phase::stalled, 4 * second));
  EXPECT_GE(world.now - from, 2500 * ms);
  ASSERT_TRUE(world.until([&] { return !when("kill n0").empty(); }, 20 * second));
  EXPECT_GE(world.now - from, 9 * second);
  EXPECT_LE(world.now - from, 12 * second);
  EXPECT_TRUE(when("term n0").empty());  // it would not hear it
  ASSERT_TRUE(until_phase(Phase::ready, 10 * second));
}

TEST_F(One, OneThatAnswersAgainIsLeftAlone) {
  world.processes["n0"].stalled = true;
  ASSERT_TRUE(until_phase(Phase::stalled, 6 * second));
  world.processes["n0"].stalled = false;
  ASSERT_TRUE(until_phase(Phase::ready, 2 * second));
  world.run(30 * second);
  EXPECT_TRUE(world.trace.empty());
}

// A decider whose records stand at once.
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
  void give(const Event& event) {
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
  void pass(Microseconds time) {
    for (const Microseconds end = now + time; now < end;) {
      now += 500 * ms;
      give(event::TimerExpired{});
    }
  }
  void seen(OperationId fence, bool draining = false) {
    give(event::StatusSeen{"n0", run, !draining, draining, false, 0, 0, fence, 1});
  }
  const std::string run = "0123456789abcdef";
  std::unique_ptr<Decider> decider;
  Microseconds now = second;
  int terms = 0, kills = 0, spawns = 0;
};

// The world counts a Spawn beside an earlier run; here the end of the killed one is long in coming.
TEST(Decider, AStalledOneIsNeverDoubled) {
  Script script(Desired::running);
  script.give(event::Adopted{"n0", 7, script.run});
  script.seen(1);
  for (int i = 0; i < 600; ++i) {
    script.pass(500 * ms);
    script.give(event::StatusMissed{"n0", script.run});
  }
  EXPECT_GE(script.kills, 2);
  EXPECT_EQ(script.spawns, 0);
  script.give(event::Exited{"n0", "fedcba9876543210", 0, 9, std::nullopt});  // of another run
  script.pass(60 * second);
  EXPECT_EQ(script.spawns, 0);
  script.give(event::Exited{"n0", script.run, 0, 9, std::nullopt});
  script.pass(2 * second);
  EXPECT_EQ(script.spawns, 1);
  script.give(event::Exited{"n0", script.run, 0, 9, std::nullopt});  // told twice
  script.pass(60 * second);
  EXPECT_EQ(script.spawns, 1);
}

TEST(Decider, NothingIsDoneToOneThatWasNotLookedForYet) {
  Script script(Desired::stopped);
  script.pass(60 * second);
  EXPECT_EQ(script.terms + script.kills + script.spawns, 0);
  script.give(event::Adopted{"n0", 7, script.run});
  EXPECT_EQ(script.terms, 1);
}

// An earlier drain may be on its way still: a status from before it says nothing. With the fence it is
// refused.
TEST(Decider, AnUndrainIsDoneOnlyOnceItsFenceIsThere) {
  Script script(Desired::drained, true);
  script.give(event::Adopted{"n0", 7, script.run});
  script.seen(0);
  event::Command undrain;
  undrain.kind = Kind::undrain;
  undrain.names = {"n0"};
  script.give(undrain);
  script.seen(0);
  script.seen(0);
  EXPECT_EQ(script.decider->operation(2)->state, OperationState::running);
  script.seen(1, true);
  script.seen(2);
  EXPECT_EQ(script.decider->operation(2)->state, OperationState::done);
}

TEST_F(One, WhereTheMachineSleptNobodyWasSilent) {
  world.run(second);
  world.processes["n0"].stalled = true;
  world.run(1500 * ms);
  world.sleep(3600 * second);
  world.run(1200 * ms);
  EXPECT_NE(world.phase("n0"), Phase::stalled);
  world.processes["n0"].stalled = false;
  world.run(30 * second);
  EXPECT_TRUE(world.trace.empty());
}

TEST_F(One, OneThatEndedByADrainStaysEnded) {
  ASSERT_TRUE(world.finish(world.ask(Kind::drain, {"n0"})));
  EXPECT_EQ(world.phase("n0"), Phase::drained);
  world.run(300 * second);
  EXPECT_TRUE(when("spawn n0").empty());
  EXPECT_EQ(world.database.instances.at("n0").last_exit, "drained");
}

TEST_F(One, OneThatAnotherDrainedWithALaterFenceStaysEnded) {
  world.folders["n0"].fence = 40;
  world.folders["n0"].drain = world.processes["n0"].draining = true;
  world.run(2 * second);
  EXPECT_EQ(world.phase("n0"), Phase::draining);
  world.folders["n0"].drained = {40, world.processes["n0"].run};
  const std::string run = world.processes["n0"].run;
  world.processes.erase("n0");
  std::vector<Action> actions;
  // The agent hears of it.
  world.at(world.now, [&] { world.kill_agent(); });
  world.at(world.now + second, [&] { world.start_agent(); });
  world.run(30 * second);
  EXPECT_TRUE(when("spawn n0").empty());
  EXPECT_TRUE(when("undrain n0").empty());
  EXPECT_EQ(world.phase("n0"), Phase::drained);
  // And its next operation has a higher fence.
  const OperationId id = world.finish(world.ask(Kind::undrain, {"n0"}));
  EXPECT_GT(id, 40U);
  EXPECT_EQ(world.operation(id).state, OperationState::done);
}

TEST_F(One, ADrainWithALowerFenceThanTheAgentsIsTakenBack) {
  world.folders["n0"].drain = world.processes["n0"].draining = true;
  ASSERT_TRUE(world.until([&] { return !when("undrain n0").empty(); }, 5 * second));
  ASSERT_TRUE(until_phase(Phase::ready, 5 * second));
}

TEST_F(One, AnAdoptedOneIsNotDisturbed) {
  const std::string run = world.processes["n0"].run;
  world.kill_agent();
  world.run(10 * second);
  world.start_agent();
  EXPECT_TRUE(until_phase(Phase::ready, 5 * second));
  world.run(30 * second);
  EXPECT_TRUE(world.trace.empty());
  EXPECT_EQ(world.processes["n0"].run, run);
}

TEST_F(One, OneThatEndedWhileNoAgentWasThereIsStartedAtOnce) {
  world.kill_agent();
  world.crash("n0");
  world.run(10 * second);
  world.start_agent();
  EXPECT_TRUE(until_phase(Phase::ready, 2 * second));
  EXPECT_EQ(world.database.instances.at("n0").last_exit, "gone");
}

TEST_F(One, ThatItsProgramCantBeStartedIsACrash) {
  world.how.spawn_fails = 1;
  world.crash("n0");
  world.run(60 * second);
  EXPECT_EQ(world.phase("n0"), Phase::looping);
  EXPECT_EQ(world.database.instances.at("n0").last_exit, "not started: no such program");
  world.how.spawn_fails = 0;
  EXPECT_TRUE(until_phase(Phase::ready, 60 * second));
}

TEST_F(One, AStoppedOneStaysStopped) {
  ASSERT_TRUE(world.finish(world.ask(Kind::down, {"n0"})));
  EXPECT_EQ(world.phase("n0"), Phase::stopped);
  world.run(120 * second);
  EXPECT_TRUE(when("spawn n0").empty());
}

TEST(Decider, OneThatLostItsFolderIsEndedAndStartedAnew) {
  World world(1);
  ASSERT_TRUE(world.finish(world.apply(fleet_of({"n0"}))));
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

// A thousand instances are no more than a moment for each event. The bound is far above what was seen, and
// catches only a cost that grows with the square.
TEST(Decider, AThousandInstances) {
  World world(1);
  std::vector<std::string> names;
  for (int i = 0; i < 1000; ++i) names.push_back("n" + std::to_string(i));
  const OperationId id = world.finish(world.apply(fleet_of(names, 50)));
  ASSERT_NE(id, 0U);
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  ASSERT_EQ(world.processes.size(), 1000U);
  const OperationId restart = world.finish(world.ask(Kind::restart, {}));
  ASSERT_NE(restart, 0U);
  EXPECT_EQ(world.operation(restart).state, OperationState::done);
  EXPECT_EQ(world.decider().instances().size(), 1000U);
  EXPECT_EQ(world.broken, std::vector<std::string>());
}

}  // namespace
}  // namespace heronvane::fleet::test
