// The verdicts on commands, and when they are given.
#include <gtest/gtest.h>

#include <algorithm>

#include "world.hpp"

namespace heronvane::fleet::test {
namespace {

template <class T>
std::vector<T> actions_of(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (auto* one = std::get_if<T>(&action)) found.push_back(*one);
  }
  return found;
}

template <class V>
const V* verdict_as(const World& world, RequestId request) {
  const Verdict* verdict = world.verdict(request);
  return verdict ? std::get_if<V>(verdict) : nullptr;
}

event::Command command(Kind kind, std::vector<std::string> names = {}) {
  event::Command made;
  made.kind = kind;
  made.all = names.empty();
  made.names = std::move(names);
  made.by = "user@host pid 1";
  return made;
}

event::Command apply_of(FleetSpec fleet) {
  event::Command made = command(Kind::apply);
  made.fleet = std::move(fleet);
  return made;
}

struct ThreeInstances : ::testing::Test {
  ThreeInstances() {
    EXPECT_TRUE(world.wait_until_ended(world.apply(fleet_of({"n0", "n1", "n2"}))));
    EXPECT_TRUE(world.until([&] { return world.converged(); }, 10 * second));
  }
  ~ThreeInstances() override { EXPECT_EQ(world.violations, std::vector<std::string>()); }
  RequestId send(event::Command request_to_send) {
    const RequestId request = world.command(std::move(request_to_send));
    world.until([&] { return world.verdict(request) != nullptr; }, 5 * second);
    return request;
  }
  World world{1};
};

TEST(Commands, NoActionBeforeItsRecordIsAcknowledged) {
  Decider decider({}, 1);
  std::vector<Action> actions;
  event::Command apply = apply_of(fleet_of({"n0"}));
  apply.request = 9;
  Microseconds now = second;
  decider.handle(now, apply, actions);
  ASSERT_EQ(actions_of<action::Record>(actions).size(), 1U);
  EXPECT_TRUE(actions_of<action::Record>(actions)[0].fleet.has_value());
  for (int i = 0; i < 20; ++i) decider.handle(now += second, event::TimerExpired{}, actions);
  EXPECT_EQ(actions_of<action::Record>(actions).size(), 1U);  // at most one is unacknowledged
  EXPECT_TRUE(actions_of<action::Reply>(actions).empty());
  EXPECT_EQ(decider.generation(), 0U);
  EXPECT_TRUE(decider.instances().empty());
  // Three records, each before the actions that it describes: the operation, its step, the run.
  actions.clear();
  decider.handle(now, event::Recorded{1}, actions);
  ASSERT_EQ(actions_of<action::Reply>(actions).size(), 1U);
  EXPECT_TRUE(std::holds_alternative<verdict::Accepted>(actions_of<action::Reply>(actions)[0].verdict));
  ASSERT_EQ(actions_of<action::Record>(actions).size(), 1U);
  EXPECT_EQ(actions_of<action::Record>(actions)[0].operations.at(0).steps.at(0).state, StepState::acting);
  EXPECT_TRUE(actions_of<action::Spawn>(actions).empty());
  actions.clear();
  decider.handle(now, event::Recorded{2}, actions);
  EXPECT_TRUE(actions_of<action::Spawn>(actions).empty());
  const std::string run = actions_of<action::Record>(actions).at(0).instances.at(0).run;
  EXPECT_EQ(run.size(), 16U);
  actions.clear();
  decider.handle(now, event::Recorded{3}, actions);
  ASSERT_EQ(actions_of<action::Spawn>(actions).size(), 1U);
  EXPECT_EQ(actions_of<action::Spawn>(actions)[0].run, run);
  ASSERT_EQ(actions_of<action::WriteConfig>(actions).size(), 1U);
  EXPECT_EQ(actions_of<action::WriteConfig>(actions)[0].generation, 1U);
}

TEST(Commands, EqualEventsGiveEqualActions) {
  std::vector<std::string> traces[2];
  for (auto& trace : traces) {
    Behaviour how;
    how.crash = 0.1;
    how.jitter = 100 * ms;
    World world(5, how);
    world.apply(fleet_of({"n0", "n1", "n2"}));
    world.run(30 * second);
    world.submit(Kind::restart, {});
    world.run(60 * second);
    trace = world.trace;
  }
  EXPECT_GT(traces[0].size(), 20U);
  EXPECT_EQ(traces[0], traces[1]);
}

TEST_F(ThreeInstances, FullDiskIsReportedAndNothingChanges) {
  world.disk_full = true;
  const std::size_t before = world.trace.size();
  const RequestId request = send(command(Kind::restart));
  ASSERT_NE(verdict_as<verdict::Storage>(world, request), nullptr);
  EXPECT_EQ(world.decider().generation(), 1U);
  world.crash("n1");
  world.run(20 * second);
  EXPECT_EQ(world.trace.size(),
            before);  // the crashed instance is not restarted either: its new run could not be recorded
  world.disk_full = false;
  EXPECT_TRUE(world.until([&] { return world.converged(); }, 10 * second));
  EXPECT_NE(verdict_as<verdict::Accepted>(world, send(command(Kind::restart, {"n0"}))), nullptr);
}

TEST_F(ThreeInstances, EveryCommandOnAFullDiskIsAnswered) {
  world.disk_full = true;
  std::vector<RequestId> requests;
  for (int i = 0; i < 100; ++i) requests.push_back(world.command(command(Kind::restart, {"n0"})));
  world.run(5 * second);
  int storage = 0, busy = 0;
  for (RequestId request : requests) {
    storage += verdict_as<verdict::Storage>(world, request) != nullptr;
    busy += verdict_as<verdict::Busy>(world, request) != nullptr;
  }
  EXPECT_EQ(storage, 65);  // one in the failing record, 64 in the queue
  EXPECT_EQ(busy, 35);
}

TEST_F(ThreeInstances, IdsAndGenerationsAscendAndIdsAreTheFences) {
  const OperationId restart = world.wait_until_ended(world.submit(Kind::restart, {"n0"}));
  const OperationId drain = world.wait_until_ended(world.submit(Kind::drain, {"n0"}));
  EXPECT_EQ(restart, 2U);
  EXPECT_EQ(drain, 3U);
  EXPECT_EQ(world.decider().generation(), 3U);
  EXPECT_EQ(world.folders["n0"].fence, drain);
  EXPECT_EQ(world.folders["n1"].fence, 0U);
}

TEST_F(ThreeInstances, SecondOperationOnAnInstanceIsAConflictNamingTheFirst) {
  const OperationId first = world.submit(Kind::drain, {"n0", "n1"});
  const RequestId second_one = send(command(Kind::restart, {"n1", "n2"}));
  auto* conflict = verdict_as<verdict::Conflict>(world, second_one);
  ASSERT_NE(conflict, nullptr);
  EXPECT_EQ(conflict->with, first);
  EXPECT_EQ(conflict->kind, Kind::drain);
  EXPECT_EQ(conflict->by, "user@host pid 1");
  EXPECT_EQ(conflict->names, std::vector<std::string>{"n1"});
  EXPECT_NE(verdict_as<verdict::Accepted>(world, send(command(Kind::restart, {"n2"}))), nullptr);
}

TEST_F(ThreeInstances, ConcurrentFleetChangesConflict) {
  FleetSpec more = fleet_of({"n0", "n1", "n2", "n3"});
  const OperationId first = world.apply(more);
  more.instances.push_back({"n4", {}});
  const RequestId request = send(apply_of(more));
  ASSERT_NE(verdict_as<verdict::Conflict>(world, request), nullptr);
  EXPECT_EQ(verdict_as<verdict::Conflict>(world, request)->with, first);
}

TEST_F(ThreeInstances, SupersedeEndsTheEarlierOperationAndSkipsItsWaitingSteps) {
  const OperationId first = world.submit(Kind::restart, {});
  ASSERT_TRUE(
      world.until([&] { return world.operation(first).steps[0].state == StepState::acting; }, second));
  event::Command over = command(Kind::drain, {"n1", "n2"});
  over.supersede = true;
  ASSERT_NE(verdict_as<verdict::Accepted>(world, send(over)), nullptr);
  const Operation& ended = world.operation(first);
  EXPECT_EQ(ended.state, OperationState::superseded);
  EXPECT_EQ(ended.superseded_by, first + 1);
  EXPECT_EQ(ended.steps[1].state, StepState::skipped);
  EXPECT_EQ(ended.steps[2].state, StepState::skipped);
  ASSERT_TRUE(world.wait_until_ended(first + 1));
  EXPECT_TRUE(world.until([&] { return world.converged(); }, 20 * second));
  EXPECT_EQ(world.starts["n0"], 2);  // the acting step was not interrupted
}

TEST_F(ThreeInstances, CommandAgainstAnOlderGenerationIsStale) {
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::restart, {"n0"})));  // generation 2
  event::Command old = command(Kind::drain, {"n0", "n1"});
  old.against = 1;
  auto* stale = verdict_as<verdict::Stale>(world, send(old));
  ASSERT_NE(stale, nullptr);
  EXPECT_EQ(stale->generation, 2U);
  EXPECT_EQ(stale->names, std::vector<std::string>{"n0"});
  old.names = {"n1"};  // n1 has not changed since
  EXPECT_NE(verdict_as<verdict::Accepted>(world, send(old)), nullptr);
  ASSERT_TRUE(world.wait_until_ended(3));
  event::Command apply = apply_of(fleet_of({"n0"}));
  apply.against = 2;  // for an apply every change counts
  EXPECT_NE(verdict_as<verdict::Stale>(world, send(apply)), nullptr);
  event::Command future = command(Kind::up, {"n2"});
  future.against = 99;
  EXPECT_NE(verdict_as<verdict::Stale>(world, send(future)), nullptr);
}

TEST_F(ThreeInstances, InvalidFieldsAreMalformed) {
  auto malformed = [&](event::Command c) {
    return verdict_as<verdict::Malformed>(world, send(std::move(c))) != nullptr;
  };
  EXPECT_TRUE(malformed(command(Kind::up, {"N0"})));
  EXPECT_TRUE(malformed(command(Kind::up, {""})));
  EXPECT_TRUE(malformed(command(Kind::up, {std::string(65, 'a')})));
  event::Command none = command(Kind::up);
  none.all = false;
  EXPECT_TRUE(malformed(none));
  event::Command bound = command(Kind::restart);
  bound.max_unavailable = 0;
  EXPECT_TRUE(malformed(bound));
  EXPECT_TRUE(malformed(command(Kind::apply)));
  EXPECT_TRUE(malformed(apply_of(fleet_of({"n0", "n0"}))));
  EXPECT_TRUE(malformed(apply_of(fleet_of({"../n0"}))));
  std::vector<std::string> many;
  for (int i = 0; i < 1001; ++i) many.push_back("n" + std::to_string(i));
  EXPECT_TRUE(malformed(apply_of(fleet_of(many))));
  EXPECT_NE(verdict_as<verdict::Unknown>(world, send(command(Kind::up, {std::string(64, 'a')}))), nullptr);
}

TEST_F(ThreeInstances, ImpossibleStepsAreRefusedByNameAndSkippedByAll) {
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::drain, {"n0"})));
  ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::down, {"n1"})));
  auto refused = [&](Kind kind, const char* name) {
    return verdict_as<verdict::Refused>(world, send(command(kind, {name}))) != nullptr;
  };
  EXPECT_TRUE(refused(Kind::up, "n0"));
  EXPECT_TRUE(refused(Kind::restart, "n0"));
  EXPECT_TRUE(refused(Kind::restart, "n1"));
  EXPECT_TRUE(refused(Kind::undrain, "n1"));
  event::Command back = command(Kind::rollback);
  back.to = 0;
  EXPECT_NE(verdict_as<verdict::Refused>(world, send(back)), nullptr);
  const OperationId all = world.wait_until_ended(world.submit(Kind::restart, {}));
  ASSERT_NE(all, 0U);
  EXPECT_EQ(world.operation(all).state, OperationState::done);
  EXPECT_EQ(world.operation(all).steps[0].state, StepState::skipped);
  EXPECT_EQ(world.operation(all).steps[0].what, "is drained: undrain it");
  EXPECT_EQ(world.operation(all).steps[2].state, StepState::done);
}

TEST_F(ThreeInstances, DryRunReturnsPlanAndDiffAndChangesNothing) {
  FleetSpec other = fleet_of({"n0", "n1", "n3"});
  other.instances[1].own["listen"] = "127.0.0.1:9000";
  other.agent_parts["platform.listen"] = "127.0.0.1:8500";
  other.max_unavailable = 2;
  event::Command dry = apply_of(other);
  dry.dry_run = true;
  auto* plan = verdict_as<verdict::Plan>(world, send(dry));
  ASSERT_NE(plan, nullptr);
  EXPECT_EQ(plan->operation.id, 0U);
  EXPECT_EQ(
      plan->operation.diff,
      (std::vector<std::string>{"~ n1: listen 127.0.0.1:8082 -> 127.0.0.1:9000", "+ n3", "- n2",
                                "~ platform.listen none -> 127.0.0.1:8500", "~ max_unavailable 1 -> 2"}));
  ASSERT_EQ(plan->operation.steps.size(), 3U);
  EXPECT_EQ(plan->operation.steps[0].work, Step::Work::add);
  EXPECT_EQ(plan->operation.steps[1].work, Step::Work::restart);
  EXPECT_EQ(plan->operation.steps[2].work, Step::Work::remove);
  EXPECT_EQ(world.decider().generation(), 1U);
  EXPECT_EQ(world.database.operations.size(), 1U);
}

TEST_F(ThreeInstances, CancelSkipsWaitingStepsAndLeavesActingOnes) {
  const OperationId id = world.submit(Kind::restart, {});
  ASSERT_TRUE(world.until([&] { return world.operation(id).steps[0].state == StepState::acting; }, second));
  const RequestId request = world.cancel(id);
  world.run(second);
  ASSERT_NE(verdict_as<verdict::Accepted>(world, request), nullptr);
  EXPECT_EQ(verdict_as<verdict::Accepted>(world, request)->operation.state, OperationState::cancelled);
  EXPECT_TRUE(world.until([&] { return world.converged(); }, 20 * second));
  EXPECT_EQ(world.starts, (std::map<std::string, int>{{"n0", 2}, {"n1", 1}, {"n2", 1}}));
  const RequestId again = world.cancel(id);
  const RequestId unknown_id = world.cancel(77);
  EXPECT_NE(verdict_as<verdict::Ended>(world, again), nullptr);
  EXPECT_NE(verdict_as<verdict::Unknown>(world, unknown_id), nullptr);
}

TEST_F(ThreeInstances, Last200EndedOperationsAreKept) {
  for (int i = 0; i < 230; ++i) ASSERT_TRUE(world.wait_until_ended(world.submit(Kind::up, {"n0"})));
  EXPECT_EQ(world.decider().operations(1000).size(), 200U);
  EXPECT_EQ(world.decider().operations(1)[0]->id, 231U);
  EXPECT_EQ(world.decider().operation(31), nullptr);
  EXPECT_NE(world.decider().operation(32), nullptr);
}

}  // namespace
}  // namespace heronvane::fleet::test
