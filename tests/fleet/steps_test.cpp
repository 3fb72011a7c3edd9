// The steps of operations, in a simulated fleet of four instances.
#include <gtest/gtest.h>

#include <algorithm>

#include "world.hpp"

namespace heronvane::fleet::test {
namespace {

using Lines = std::vector<std::string>;

struct Fleet : ::testing::Test {
  Fleet() {
    EXPECT_TRUE(world.wait_until_ended(world.apply(fleet_of({"n0", "n1", "n2", "n3"}))));
    EXPECT_TRUE(world.until([&] { return world.converged(); }, 10 * second));
    world.run(second);
    clear();
  }
  ~Fleet() override { EXPECT_EQ(world.violations, Lines()); }
  void clear() {
    world.trace.clear();
    world.trace_at.clear();
    world.starts.clear();
  }
  bool acted(const std::string& line) const {
    return std::find(world.trace.begin(), world.trace.end(), line) != world.trace.end();
  }
  // The highest number of instances that were not ready at the same time, until the operation ends.
  std::size_t max_down(OperationId id) {
    std::size_t max_seen = 0;
    world.until(
        [&] {
          std::size_t ready = 0;
          for (const auto& [name, p] : world.processes) {
            ready += !p.stopping && !p.draining && world.now >= p.ready_at;
          }
          max_seen = std::max(max_seen, world.database.instances.size() - ready);
          return world.ended(id);
        },
        300 * second);
    return max_seen;
  }
  void kill_process(const std::string& name) { world.crash(name); }
  World world{1};
};

TEST_F(Fleet, RollingRestartRestartsOneInstanceAtATime) {
  const OperationId id = world.submit(Kind::restart, {});
  EXPECT_EQ(max_down(id), 1U);
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_EQ(world.trace, (Lines{"fence n0", "term n0", "spawn n0", "fence n1", "term n1", "spawn n1",
                                "fence n2", "term n2", "spawn n2", "fence n3", "term n3", "spawn n3"}));
  EXPECT_EQ(world.folders["n3"].fence, id);
}

TEST_F(Fleet, RollingRestartRestartsUpToMaxUnavailableAtOnce) {
  const OperationId id = world.submit(Kind::restart, {}, 2);
  EXPECT_EQ(max_down(id), 2U);
  EXPECT_EQ(world.operation(id).state, OperationState::done);
}

TEST_F(Fleet, ProcessThatIgnoresSigtermIsKilledAfter5Seconds) {
  world.how.term_takes = 1000 * second;
  const OperationId id = world.wait_until_ended(world.submit(Kind::restart, {"n0"}));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_EQ(world.trace, (Lines{"fence n0", "term n0", "kill n0", "spawn n0"}));
  EXPECT_GE(world.trace_at[2] - world.trace_at[1], 5 * second);
  EXPECT_LE(world.trace_at[2] - world.trace_at[1], 6 * second);
}

TEST_F(Fleet, StalledInstanceIsKilledAfter3SecondsInAnOperation) {
  world.processes["n0"].stalled = true;
  const Microseconds from = world.now;
  const OperationId id = world.wait_until_ended(world.submit(Kind::drain, {"n0"}));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  const auto kill = std::find(world.trace.begin(), world.trace.end(), "kill n0");
  ASSERT_NE(kill, world.trace.end());
  const Microseconds after = world.trace_at[static_cast<std::size_t>(kill - world.trace.begin())] - from;
  EXPECT_GE(after, 2 * second);
  EXPECT_LE(after, 6 * second);
}

TEST_F(Fleet, InstanceThatIsNotReadyInTimeFailsTheStepAndSkipsTheRest) {
  world.how.start_to_ready = 1000 * second;
  const Microseconds from = world.now;
  const OperationId id = world.wait_until_ended(world.submit(Kind::restart, {}));
  const Operation& ended = world.operation(id);
  EXPECT_EQ(ended.state, OperationState::failed);
  EXPECT_EQ(ended.message, "n0: not ready within 30 s");
  EXPECT_EQ(ended.steps[0].state, StepState::failed);
  for (std::size_t i = 1; i < 4; ++i) EXPECT_EQ(ended.steps[i].state, StepState::skipped);
  EXPECT_GE(world.now - from, 30 * second);
  EXPECT_LE(world.now - from, 35 * second);
  EXPECT_EQ(world.starts, (std::map<std::string, int>{{"n0", 1}}));
}

TEST_F(Fleet, CrashingConfigurationStopsAtTheFirstInstanceAndRollbackUndoesIt) {
  FleetSpec bad = fleet_of({"n0", "n1", "n2", "n3"});
  bad.common["crashes"] = "1";
  const OperationId id = world.wait_until_ended(world.apply(bad));
  EXPECT_EQ(world.operation(id).state, OperationState::failed);
  EXPECT_EQ(world.operation(id).message, "n0: crashed 3 times: status 1");
  EXPECT_EQ(world.starts.size(), 1U);
  EXPECT_EQ(world.database.instances.at("n1").wanted, 2U);
  EXPECT_EQ(world.database.instances.at("n1").config, 1U);
  // An instance that crashes now restarts with its earlier configuration.
  kill_process("n1");
  world.run(100 * ms);
  ASSERT_TRUE(world.until([&] { return world.phase("n1") == Phase::ready; }, 10 * second));
  EXPECT_EQ(world.processes["n1"].generation, 1U);
  clear();
  event::Command back;
  back.kind = Kind::rollback;
  back.to = 1;
  world.command(back);
  ASSERT_TRUE(world.wait_until_ended(id + 1, 60 * second));
  EXPECT_EQ(world.operation(id + 1).state, OperationState::done);
  EXPECT_EQ(world.operation(id + 1).steps.size(), 1U);  // the others never ran the bad configuration
  EXPECT_EQ(world.starts.size(), 1U);
  EXPECT_TRUE(world.until([&] { return world.converged(); }, 10 * second));
  EXPECT_EQ(world.database.instances.at("n1").wanted, 1U);
}

TEST_F(Fleet, ReadyInstancesWaitWhileOthersAreDown) {
  ASSERT_TRUE(world.wait_until_ended(
      world.submit(Kind::down, {"n3"})));  // stopped on purpose: does not count as down
  world.how.start_to_ready = 40 * second;
  kill_process("n1");
  kill_process("n2");
  world.run(100 * ms);
  const OperationId id = world.submit(Kind::restart, {"n0"});
  world.run(20 * second);
  EXPECT_EQ(world.operation(id).steps[0].state, StepState::waiting);
  EXPECT_EQ(world.operation(id).message, "waits: more instances are down than max_unavailable");
  world.how.start_to_ready = 100 * ms;
  ASSERT_TRUE(world.wait_until_ended(id));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_EQ(world.operation(id).message, "");
}

// If all instances crash, the change that repairs them must not wait for others to be ready.
TEST_F(Fleet, UnavailableInstanceIsChangedWithoutWaiting) {
  FleetSpec bad = fleet_of({"n0", "n1", "n2", "n3"}, 4);
  bad.common["crashes"] = "1";
  ASSERT_TRUE(world.wait_until_ended(world.apply(bad)));
  const OperationId repair = world.wait_until_ended(world.apply(fleet_of({"n0", "n1", "n2", "n3"})));
  ASSERT_NE(repair, 0U);
  EXPECT_EQ(world.operation(repair).state, OperationState::done);
  EXPECT_TRUE(world.until([&] { return world.converged(); }, 10 * second));
}

TEST_F(Fleet, DrainAllIsConcurrentUnlessMaxUnavailableIsGiven) {
  OperationId id = world.submit(Kind::drain, {});
  EXPECT_EQ(max_down(id), 4U);
  EXPECT_LT(world.now - world.operation(id).created, 3 * second);
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::undrain, {})));
  clear();
  id = world.submit(Kind::drain, {}, 1);
  ASSERT_TRUE(world.wait_until_ended(id));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_GT(world.now - world.operation(id).created, 4 * 700 * ms);
  EXPECT_EQ(world.operation(id).steps[3].what, "drained, 0 held");
}

TEST_F(Fleet, InstanceKilledWhileDrainingContinuesDraining) {
  world.how.drain_takes = 5 * second;
  const OperationId id = world.submit(Kind::drain, {"n0"});
  ASSERT_TRUE(world.until([&] { return world.folders["n0"].drain; }, 5 * second));
  world.run(second);
  kill_process("n0");
  ASSERT_TRUE(world.wait_until_ended(id));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_EQ(world.trace, (Lines{"drain n0", "spawn n0"}));  // no second drain call: the drain is in its store
}

TEST_F(Fleet, DrainIsRepeatedIfTheRelayLostIt) {
  world.how.drain_takes = 5 * second;
  const OperationId id = world.submit(Kind::drain, {"n0"});
  ASSERT_TRUE(world.until([&] { return world.folders["n0"].drain; }, 5 * second));
  world.run(second);
  world.folders["n0"] = {};
  kill_process("n0");
  ASSERT_TRUE(world.wait_until_ended(id));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_EQ(world.trace, (Lines{"drain n0", "spawn n0", "drain n0"}));
}

TEST_F(Fleet, DrainHasNoTimeLimit) {
  world.how.drain_takes = 3600 * second;
  const OperationId id = world.submit(Kind::drain, {"n0"});
  EXPECT_TRUE(world.wait_until_ended(id, 3700 * second));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
}

TEST_F(Fleet, UndrainOfADrainedInstanceStartsItWithTheFence) {
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::drain, {"n0"})));
  clear();
  const OperationId id = world.wait_until_ended(world.submit(Kind::undrain, {"n0"}));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_EQ(world.trace, Lines{"spawn n0 undrain"});
  EXPECT_EQ(world.folders["n0"].fence, id);
  world.run(2 * second);
  EXPECT_FALSE(world.database.instances.at("n0").drain_kept);
}

TEST_F(Fleet, UndrainOfADrainingInstanceIsAnAdminCall) {
  world.how.drain_takes = 100 * second;
  const OperationId drain = world.submit(Kind::drain, {"n0"});
  ASSERT_TRUE(world.until([&] { return world.phase("n0") == Phase::draining; }, 5 * second));
  world.cancel(drain);
  world.run(second);
  const OperationId id = world.wait_until_ended(world.submit(Kind::undrain, {"n0"}));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_EQ(world.trace, (Lines{"drain n0", "undrain n0"}));
  EXPECT_TRUE(world.converged());
}

TEST_F(Fleet, StoppedInstanceIsStartedToDrain) {
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::down, {"n0"})));
  world.folders["n0"].held = 3;
  clear();
  const OperationId id = world.wait_until_ended(world.submit(Kind::drain, {"n0"}));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_EQ(world.trace, (Lines{"spawn n0", "drain n0"}));
  EXPECT_EQ(world.folders["n0"].held, 0);
}

TEST_F(Fleet, DownAndUp) {
  const OperationId down = world.wait_until_ended(world.submit(Kind::down, {"n0", "n1"}));
  EXPECT_EQ(world.operation(down).state, OperationState::done);
  EXPECT_EQ(world.processes.size(), 2U);
  const OperationId up = world.wait_until_ended(world.submit(Kind::up, {}));
  EXPECT_EQ(world.operation(up).state, OperationState::done);
  EXPECT_TRUE(world.converged());
  EXPECT_EQ(world.starts, (std::map<std::string, int>{{"n0", 1}, {"n1", 1}}));
}

// The SIGTERM of the superseded down may have reached the old run.
TEST_F(Fleet, UpThatSupersedesARunningDownStartsANewRun) {
  world.how.term_takes = 2 * second;
  world.submit(Kind::down, {"n0"});
  ASSERT_TRUE(world.until([&] { return acted("term n0"); }, 5 * second));
  event::Command up;
  up.kind = Kind::up;
  up.names = {"n0"};
  up.supersede = true;
  world.command(up);
  const OperationId id = world.wait_until_ended(3);
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  EXPECT_TRUE(world.converged());
  EXPECT_EQ(world.starts["n0"], 1);
  EXPECT_EQ(world.database.instances.at("n0").restarts, 0U);  // the exit was requested, so it is no crash
}

// The instance had drained and its row was about to be deleted when a fleet that contains it again was
// applied.
TEST_F(Fleet, InstanceReaddedDuringItsRemovalIsKept) {
  world.how.record_takes = 200 * ms;
  world.apply(fleet_of({"n0", "n1", "n2"}));
  ASSERT_TRUE(world.until([&] { return !world.processes.contains("n3"); }, 10 * second));
  world.run(10 * ms);  // the record of its end is in progress
  ASSERT_TRUE(world.database.instances.at("n3").live);
  event::Command back;
  back.kind = Kind::apply;
  back.fleet = fleet_of({"n0", "n1", "n2", "n3"});
  back.supersede = true;
  world.command(back);
  ASSERT_TRUE(world.wait_until_ended(3));
  EXPECT_EQ(world.operation(3).state, OperationState::done) << world.operation(3).message;
  EXPECT_TRUE(world.converged());
  EXPECT_TRUE(world.processes.contains("n3"));
}

TEST_F(Fleet, ApplyAddsThenRestartsThenDrainsRemovedInstances) {
  FleetSpec other = fleet_of({"n0", "n1", "n2", "n4"});
  other.instances[1].own["listen"] = "127.0.0.1:9000";
  world.folders["n3"].held = 2;
  const OperationId id = world.submit(Kind::restart, {"n0"});
  ASSERT_TRUE(world.wait_until_ended(id));
  clear();
  const OperationId apply = world.wait_until_ended(world.apply(other));
  EXPECT_EQ(world.operation(apply).state, OperationState::done);
  EXPECT_EQ(world.trace, (Lines{"spawn n4", "fence n1", "term n1", "spawn n1", "drain n3", "removed n3"}));
  EXPECT_FALSE(world.database.instances.contains("n3"));
  EXPECT_EQ(world.processes["n1"].generation, world.operation(apply).generation);
  EXPECT_EQ(world.processes["n2"].generation, 1U);
  EXPECT_EQ(world.database.instances.at("n1").listen, "127.0.0.1:9000");
  clear();
  const OperationId again = world.wait_until_ended(world.apply(other));
  EXPECT_EQ(world.operation(again).state, OperationState::done);
  EXPECT_TRUE(world.operation(again).steps.empty());
  EXPECT_TRUE(world.trace.empty());
}

TEST_F(Fleet, FailedAddLeavesRunningInstancesUnchanged) {
  FleetSpec other = fleet_of({"n0", "n1", "n2", "n3"});
  other.common["limits.disk_mb"] = "200";
  other.instances.push_back({"n4", {{"crashes", "1"}}});
  const OperationId id = world.wait_until_ended(world.apply(other));
  EXPECT_EQ(world.operation(id).state, OperationState::failed);
  EXPECT_FALSE(acted("term n0"));
}

TEST_F(Fleet, StoppedInstanceGetsItsChangeAtItsNextStart) {
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::down, {"n0"})));
  FleetSpec other = fleet_of({"n0", "n1", "n2", "n3"});
  other.instances[0].own["listen"] = "127.0.0.1:9000";
  clear();
  const OperationId id = world.wait_until_ended(world.apply(other));
  EXPECT_EQ(world.operation(id).steps.at(0).what, "takes effect at its next start");
  EXPECT_TRUE(world.trace.empty());
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::up, {"n0"})));
  EXPECT_EQ(world.processes["n0"].generation, world.operation(id).generation);
}

TEST_F(Fleet, HigherFenceOfAnotherClientFailsTheStep) {
  world.folders["n1"].fence = 90;
  world.processes["n1"].stalled = true;  // so the agent does not see the fence yet
  world.run(600 * ms);
  world.processes["n1"].stalled = false;
  const OperationId id = world.wait_until_ended(world.submit(Kind::drain, {"n1"}));
  if (id < 90) {
    EXPECT_EQ(world.operation(id).state, OperationState::failed);
    EXPECT_EQ(world.operation(id).message, "n1: fenced: another client has used fence 90");
    EXPECT_FALSE(world.folders["n1"].drain);
  }
  const OperationId next = world.wait_until_ended(world.submit(Kind::drain, {"n1"}));
  EXPECT_GT(next, 90U);
  EXPECT_EQ(world.operation(next).state, OperationState::done);
}

// Down aborts the removal of an instance that can't be drained.
TEST_F(Fleet, DownAbortsTheRemovalOfACrashingInstance) {
  FleetSpec bad = fleet_of({"n0", "n1", "n2", "n3"});
  bad.instances[3].own["crashes"] = "1";
  ASSERT_TRUE(world.wait_until_ended(world.apply(bad)));
  const OperationId id = world.wait_until_ended(world.apply(fleet_of({"n0", "n1", "n2"})));
  EXPECT_EQ(world.operation(id).state, OperationState::failed);
  EXPECT_EQ(world.submit(Kind::up, {"n3"}), 0U);
  const OperationId down = world.wait_until_ended(world.submit(Kind::down, {"n3"}));
  EXPECT_EQ(world.operation(down).state, OperationState::done);
  EXPECT_FALSE(world.processes.contains("n3"));
  EXPECT_TRUE(world.database.instances.contains("n3"));  // its folder is kept: it may hold messages
}

}  // namespace
}  // namespace heronvane::fleet::test
