// The agent killed at every action of every kind of operation, and made anew from what was recorded while the
// machine went on: the operation completes, and nothing is done twice that does harm.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>

#include "world.hpp"

namespace heronvane::fleet::test {
namespace {

struct Case {
  const char* name;
  std::vector<Kind> before;  // over all, each to its end
  Kind kind;
  int starts;  // processes that the operation may start at each instance
};

void PrintTo(const Case& what, std::ostream* out) { *out << what.name; }

FleetSpec changed_fleet() {
  FleetSpec fleet = fleet_of({"n0", "n1", "n3"});
  fleet.instances[1].own["listen"] = "127.0.0.1:9000";
  return fleet;
}

OperationId begin(World& world, Kind kind) {
  if (kind == Kind::apply) return world.apply(changed_fleet());
  if (kind != Kind::rollback) return world.ask(kind, {});
  event::Command command;
  command.kind = kind;
  command.to = 1;
  const RequestId request = world.command(command);
  world.until([&] { return world.verdict(request) != nullptr; }, 10 * second);
  return world.database.last_operation;
}

// Actions that the operation takes where nobody is killed; -1: it did not complete.
// kill: at which action; -1: never. away: how long no agent is there.
int one(const Case& what, int kill, bool stands, Microseconds away) {
  SCOPED_TRACE(std::string(what.name) + " killed at " + std::to_string(kill) +
               (stands ? ", the record stands" : "") + ", away for " + std::to_string(away / ms) + " ms");
  World world(7);
  EXPECT_NE(world.finish(world.apply(fleet_of({"n0", "n1", "n2"}))), 0U);
  for (Kind kind : what.before) EXPECT_NE(world.finish(begin(world, kind)), 0U);
  world.run(2 * second);
  world.starts.clear();
  int actions = 0;
  world.record_stands = stands;
  const OperationId expected = world.database.last_operation + 1;
  world.kill_here = [&](const Action& action) {
    if (std::holds_alternative<action::SetTimer>(action) || std::holds_alternative<action::Log>(action))
      return false;
    if (world.ended(expected) && kill < 0) return false;
    if (actions++ != kill) return false;
    world.at(world.now + away, [&] { world.start_agent(); });
    return true;
  };
  OperationId id = begin(world, what.kind);
  world.until([&] { return world.agent() && (kill < 0 || actions > kill); }, 60 * second);
  if (!world.database.operations.contains(expected)) {
    // Killed before its record stood: nothing has acted, and it is asked again.
    EXPECT_TRUE(world.starts.empty());
    id = begin(world, what.kind);
  }
  id = expected;
  EXPECT_NE(world.finish(id), 0U) << "it never ended";
  if (!world.ended(id)) return -1;
  EXPECT_EQ(world.operation(id).state, OperationState::done) << world.operation(id).message;
  EXPECT_TRUE(world.until([&] { return world.at_rest(); }, 60 * second));
  world.run(60 * second);
  EXPECT_EQ(world.broken, std::vector<std::string>());
  for (const auto& [name, count] : world.starts)
    EXPECT_LE(count, what.starts) << name << " was started so often";
  if (what.kind == Kind::restart) {
    EXPECT_EQ(world.starts.size(), 3U);
  }
  // A run ends once: no second SIGTERM but by an agent that can't know of the first.
  int terms = 0;
  for (const std::string& line : world.trace) terms += line.starts_with("kill ");
  EXPECT_EQ(terms, 0) << "SIGKILL to an instance that ends in time";
  return actions;
}

class KilledAt : public ::testing::TestWithParam<Case> {};

TEST_P(KilledAt, AnywhereTheOperationStillCompletes) {
  const int actions = one(GetParam(), -1, false, 0);
  ASSERT_GT(actions, 5);
  int runs = 0;
  for (int kill = 0; kill < actions; ++kill) {
    for (bool stands : {false, true}) {
      for (Microseconds away : {50 * ms, 300 * ms, 10 * second}) {
        one(GetParam(), kill, stands, away);
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

TEST(Killed, AgainAndAgainTheRollingRestartCompletes) {
  for (std::uint64_t seed = 1; seed <= 200 && !::testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    Behaviour how;
    how.jitter = 200 * ms;
    World world(seed, how);
    ASSERT_NE(world.finish(world.apply(fleet_of({"n0", "n1", "n2", "n3"}))), 0U);
    world.starts.clear();
    const OperationId id = world.ask(Kind::restart, {});
    world.kill_here = [&](const Action&) {
      if (world.killed >= 12 || world.chance() > 0.08) return false;
      world.record_stands = world.chance() < 0.5;
      world.at(world.now + static_cast<Microseconds>(world.pick(2000)) * ms, [&] { world.start_agent(); });
      return true;
    };
    ASSERT_TRUE(world.finish(id));
    EXPECT_EQ(world.operation(id).state, OperationState::done) << world.operation(id).message;
    for (const auto& [name, count] : world.starts) EXPECT_EQ(count, 1) << name;
    EXPECT_EQ(world.starts.size(), 4U);
    EXPECT_EQ(world.broken, std::vector<std::string>());
  }
}

// A run that was recorded and never started is no run that stands: it is started, once.
TEST(Killed, BetweenTheRecordAndTheSpawn) {
  World world(1);
  world.kill_here = [](const Action& action) { return std::holds_alternative<action::Spawn>(action); };
  world.apply(fleet_of({"n0"}));
  world.run(5 * second);
  ASSERT_FALSE(world.agent());
  ASSERT_TRUE(world.database.instances.at("n0").live);
  world.kill_here = nullptr;
  world.start_agent();
  EXPECT_TRUE(world.until([&] { return world.at_rest(); }, 10 * second));
  EXPECT_EQ(world.starts["n0"], 1);
  EXPECT_EQ(world.broken, std::vector<std::string>());
}

// What ended by a drain while no agent looked is known by its file and stays ended.
TEST(Killed, WhileADrainEnds) {
  World world(1);
  ASSERT_TRUE(world.finish(world.apply(fleet_of({"n0"}))));
  const OperationId id = world.ask(Kind::drain, {"n0"});
  ASSERT_TRUE(world.until([&] { return world.folders["n0"].drain; }, 10 * second));
  world.kill_agent();
  ASSERT_TRUE(world.until([&] { return world.processes.empty(); }, 10 * second));
  world.start_agent();
  ASSERT_TRUE(world.finish(id));
  EXPECT_EQ(world.operation(id).state, OperationState::done);
  world.run(120 * second);
  EXPECT_EQ(world.starts["n0"], 1);
  EXPECT_EQ(world.phase("n0"), Phase::drained);
}

// Adoption is not over: nothing is started, ended or asked before each recorded run was looked for.
TEST(Killed, NothingActsBeforeItsProcessWasLookedFor) {
  World world(1);
  ASSERT_TRUE(world.finish(world.apply(fleet_of({"n0"}))));
  world.kill_agent();
  Decider anew(world.database.restored(), 2);
  std::vector<Action> actions;
  event::Command command;
  command.kind = Kind::restart;
  command.names = {"n0"};
  Microseconds now = world.now;
  anew.handle(now, command, actions);
  RecordId stands = 0;
  auto record = [&] {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const Action action = actions[i];
      auto* out = std::get_if<action::Record>(&action);
      if (out && out->record > stands) anew.handle(now, event::Recorded{stands = out->record}, actions);
    }
  };
  record();
  const std::string run = world.database.instances.at("n0").run;
  anew.handle(now += ms, event::StatusSeen{"n0", run, true, false, false, 0, 0, 0, 1}, actions);
  for (int i = 0; i < 200; ++i) {
    anew.handle(now += 500 * ms, event::TimerExpired{}, actions);
    record();
  }
  for (const Action& action : actions) {
    EXPECT_FALSE(std::holds_alternative<action::Spawn>(action) ||
                 std::holds_alternative<action::Signal>(action));
  }
  EXPECT_EQ(anew.operation(2)->steps[0].state, StepState::waiting);
}

}  // namespace
}  // namespace heronvane::fleet::test
