// The agent is killed at every action of every kind of operation and restored from the recorded rows while
// the machine runs on. The operation must complete, and no harmful action may be repeated.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>

#include "world.hpp"

namespace heronvane::fleet::test {
namespace {

struct Case {
  const char* name;
  std::vector<Kind> before;  // operations on all instances that are completed first
  Kind kind;
  int starts;  // most processes that the operation may start per instance
};

void PrintTo(const Case& what, std::ostream* out) { *out << what.name; }

FleetSpec changed_fleet() {
  FleetSpec fleet = fleet_of({"n0", "n1", "n3"});
  fleet.instances[1].own["listen"] = "127.0.0.1:9000";
  return fleet;
}

OperationId begin(World& world, Kind kind) {
  if (kind == Kind::apply) return world.apply(changed_fleet());
  if (kind != Kind::rollback) return world.submit(kind, {});
  event::Command command;
  command.kind = kind;
  command.to = 1;
  const RequestId request = world.command(command);
  world.until([&] { return world.verdict(request) != nullptr; }, 10 * second);
  return world.database.last_operation;
}

// Returns the number of actions of the operation, or -1 if it did not complete. `kill`: index of the action
// at which the agent is killed; -1: never. `downtime`: time until the agent is started again.
int run_killed_at(const Case& what, int kill, bool record_survives, Microseconds downtime) {
  SCOPED_TRACE(std::string(what.name) + " killed at " + std::to_string(kill) +
               (record_survives ? ", the record survives" : "") + ", agent down for " +
               std::to_string(downtime / ms) + " ms");
  World world(7);
  EXPECT_NE(world.wait_until_ended(world.apply(fleet_of({"n0", "n1", "n2"}))), 0U);
  for (Kind kind : what.before) EXPECT_NE(world.wait_until_ended(begin(world, kind)), 0U);
  world.run(2 * second);
  world.starts.clear();
  int actions = 0;
  world.record_survives_kill = record_survives;
  const OperationId expected = world.database.last_operation + 1;
  world.kill_before = [&](const Action& action) {
    if (std::holds_alternative<action::SetTimer>(action) || std::holds_alternative<action::Log>(action))
      return false;
    if (world.ended(expected) && kill < 0) return false;
    if (actions++ != kill) return false;
    world.at(world.now + downtime, [&] { world.start_agent(); });
    return true;
  };
  OperationId id = begin(world, what.kind);
  world.until([&] { return world.agent() && (kill < 0 || actions > kill); }, 60 * second);
  if (!world.database.operations.contains(expected)) {
    // Killed before the operation was recorded: no action was taken, and the command is repeated.
    EXPECT_TRUE(world.starts.empty());
    id = begin(world, what.kind);
  }
  id = expected;
  EXPECT_NE(world.wait_until_ended(id), 0U) << "it never ended";
  if (!world.ended(id)) return -1;
  EXPECT_EQ(world.operation(id).state, OperationState::done) << world.operation(id).message;
  EXPECT_TRUE(world.until([&] { return world.converged(); }, 60 * second));
  world.run(60 * second);
  EXPECT_EQ(world.violations, std::vector<std::string>());
  for (const auto& [name, count] : world.starts)
    EXPECT_LE(count, what.starts) << name << " was started so often";
  if (what.kind == Kind::restart) {
    EXPECT_EQ(world.starts.size(), 3U);
  }
  // A restored agent can't know of an earlier SIGTERM and may repeat it, but there is no SIGKILL.
  int terms = 0;
  for (const std::string& line : world.trace) terms += line.starts_with("kill ");
  EXPECT_EQ(terms, 0) << "SIGKILL to an instance that ends in time";
  return actions;
}

class KilledAt : public ::testing::TestWithParam<Case> {};

TEST_P(KilledAt, EveryActionTheOperationStillCompletes) {
  const int actions = run_killed_at(GetParam(), -1, false, 0);
  ASSERT_GT(actions, 5);
  int runs = 0;
  for (int kill = 0; kill < actions; ++kill) {
    for (bool record_survives : {false, true}) {
      for (Microseconds downtime : {50 * ms, 300 * ms, 10 * second}) {
        run_killed_at(GetParam(), kill, record_survives, downtime);
        ++runs;
        if (HasFailure()) return;
      }
    }
  }
  std::printf("%d places, %d runs\n", actions, runs);
}

INSTANTIATE_TEST_SUITE_P(
    Operations, KilledAt,
    ::testing::Values(Case{"restart", {}, Kind::restart, 1}, Case{"drain", {}, Kind::drain, 0},
                      Case{"undrain", {Kind::drain}, Kind::undrain, 1}, Case{"down", {}, Kind::down, 0},
                      Case{"up", {Kind::down}, Kind::up, 1}, Case{"apply", {}, Kind::apply, 1},
                      Case{"rollback", {Kind::apply}, Kind::rollback, 1}),
    [](const auto& param) { return std::string(param.param.name); });

TEST(Killed, RollingRestartCompletesDespiteRepeatedKills) {
  for (std::uint64_t seed = 1; seed <= 200 && !::testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    Behaviour how;
    how.jitter = 200 * ms;
    World world(seed, how);
    ASSERT_NE(world.wait_until_ended(world.apply(fleet_of({"n0", "n1", "n2", "n3"}))), 0U);
    world.starts.clear();
    const OperationId id = world.submit(Kind::restart, {});
    world.kill_before = [&](const Action&) {
      if (world.agent_kills >= 12 || world.chance() > 0.08) return false;
      world.record_survives_kill = world.chance() < 0.5;
      world.at(world.now + static_cast<Microseconds>(world.pick(2000)) * ms, [&] { world.start_agent(); });
      return true;
    };
    ASSERT_TRUE(world.wait_until_ended(id));
    EXPECT_EQ(world.operation(id).state, OperationState::done) << world.operation(id).message;
    for (const auto& [name, count] : world.starts) EXPECT_EQ(count, 1) << name;
    EXPECT_EQ(world.starts.size(), 4U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
  }
}

// The agent is killed between a run's record and its spawn: the run is not found alive, and one process is
// started.
TEST(Killed, RunRecordedButNotSpawnedIsStartedOnce) {
  World world(1);
  world.kill_before = [](const Action& action) { return std::holds_alternative<action::Spawn>(action); };
  world.apply(fleet_of({"n0"}));
  world.run(5 * second);
  ASSERT_FALSE(world.agent());
  ASSERT_TRUE(world.database.instances.at("n0").live);
  world.kill_before = nullptr;
  world.start_agent();
  EXPECT_TRUE(world.until([&] { return world.converged(); }, 10 * second));
  EXPECT_EQ(world.starts["n0"], 1);
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The file `drained` shows that the instance has drained, and it stays down.
TEST(Killed, DrainThatEndsWhileTheAgentIsDownIsRecognised) {
  World world(1);
  ASSERT_TRUE(world.wait_until_ended(world.apply(fleet_of({"n0"}))));
  const OperationId id = world.submit(Kind::drain, {"n0"});
  ASSERT_TRUE(world.until([&] { return world.folders["n0"].drain; }, 10 * second));
  world.kill_agent();
  ASSERT_TRUE(world.until([&] { return world.processes.empty(); }, 10 * second));
  world.start_agent();
  ASSERT_TRUE(world.wait_until_ended(id));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  world.run(120 * second);
  EXPECT_EQ(world.starts["n0"], 1);
  EXPECT_EQ(world.phase("n0"), Phase::drained);
}

// No process is started or signalled before Adopted or NotFound has arrived for each recorded run.
TEST(Killed, NoActionBeforeAdoptionIsDecided) {
  World world(1);
  ASSERT_TRUE(world.wait_until_ended(world.apply(fleet_of({"n0"}))));
  world.kill_agent();
  Decider restarted(world.database.restored(), 2);
  std::vector<Action> actions;
  event::Command command;
  command.kind = Kind::restart;
  command.names = {"n0"};
  Microseconds now = world.now;
  restarted.handle(now, command, actions);
  RecordId record_survives = 0;
  auto record = [&] {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const Action action = actions[i];
      auto* out = std::get_if<action::Record>(&action);
      if (out && out->record > record_survives)
        restarted.handle(now, event::Recorded{record_survives = out->record}, actions);
    }
  };
  record();
  const std::string run = world.database.instances.at("n0").run;
  restarted.handle(now += ms, event::StatusSeen{"n0", run, true, false, false, 0, 0, 0, 1}, actions);
  for (int i = 0; i < 200; ++i) {
    restarted.handle(now += 500 * ms, event::TimerExpired{}, actions);
    record();
  }
  for (const Action& action : actions) {
    EXPECT_FALSE(std::holds_alternative<action::Spawn>(action) ||
                 std::holds_alternative<action::Signal>(action));
  }
  EXPECT_EQ(restarted.operation(2)->steps[0].state, StepState::waiting);
}

}  // namespace
}  // namespace heronvane::fleet::test
