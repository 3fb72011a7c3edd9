// Random commands of two operators, with crashes, stalls, failing records, suspensions and a killed agent.
// Every verdict and the final state of each instance must follow from the accepted commands in the order of
// their ids.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "world.hpp"

namespace heronvane::fleet::test {
namespace {

struct Operator {
  std::optional<Generation> seen_generation;  // the generation that it last read
};

event::Command random_command(World& world, Operator& sender, const std::vector<FleetSpec>& fleets) {
  event::Command command;
  const Kind kinds[] = {Kind::up,      Kind::down,    Kind::drain,   Kind::undrain,
                        Kind::undrain, Kind::restart, Kind::restart, Kind::restart,
                        Kind::up,      Kind::apply,   Kind::rollback};
  command.kind = kinds[world.pick(std::size(kinds))];
  command.by = "user@host pid 1";
  if (world.chance() < 0.3) {
    command.all = true;
  } else {
    for (const InstanceView& view : world.decider().instances()) {
      if (world.chance() < 0.4) command.names.push_back(view.row->name);
    }
    if (command.names.empty()) command.names = {"n0"};
  }
  if (world.chance() < 0.5) command.against = sender.seen_generation;
  if (world.chance() < 0.5) command.max_unavailable = 1 + static_cast<int>(world.pick(2));
  command.supersede = world.chance() < 0.25;
  command.dry_run = world.chance() < 0.05;
  if (command.kind == Kind::apply) command.fleet = fleets[world.pick(fleets.size())];
  if (command.kind == Kind::rollback && world.decider().generation() > 0) {
    command.to = 1 + world.pick(world.decider().generation());
  }
  return command;
}

Desired desired_by(Step::Work work) {
  switch (work) {
    case Step::Work::stop:
      return Desired::stopped;
    case Step::Work::drain:
    case Step::Work::remove:
      return Desired::drained;
    case Step::Work::start:
    case Step::Work::undrain:
    case Step::Work::restart:
    case Step::Work::add:
    case Step::Work::rewrite:
      break;
  }
  return Desired::running;
}

bool was_skipped_on_purpose(const Step& step) {
  return step.state == StepState::skipped && !step.what.empty() && step.what != "not begun";
}

// Each refusal must be true of some time between request and reply; ids ascend in the order of the replies.
void check_refusals(const World& world) {
  OperationId last = 0;
  for (const auto& [request, verdict] : world.replies) {
    auto at = world.commands.find(request);
    if (at == world.commands.end()) continue;  // a cancel
    const event::Command& command = at->second;
    if (auto* yes = std::get_if<verdict::Accepted>(&verdict)) {
      EXPECT_GT(yes->operation.id, last);
      last = yes->operation.id;
      EXPECT_GE(yes->operation.created, world.sent_at.at(request));
      EXPECT_LE(yes->operation.created, world.replied_at.at(request));
    }
    if (auto* conflict = std::get_if<verdict::Conflict>(&verdict)) {
      EXPECT_FALSE(command.supersede);
      auto with = world.database.operations.find(conflict->with);
      ASSERT_NE(with, world.database.operations.end());
      EXPECT_LE(with->second.created, world.replied_at.at(request));
      EXPECT_TRUE(with->second.ended == 0 || with->second.ended + second >= world.sent_at.at(request))
          << "a conflict with what had ended";
      for (const std::string& name : conflict->names) {
        EXPECT_TRUE(std::any_of(with->second.steps.begin(), with->second.steps.end(),
                                [&](const Step& step) { return step.instance == name; }));
      }
    }
    if (auto* stale = std::get_if<verdict::Stale>(&verdict)) {
      ASSERT_TRUE(command.against);
      EXPECT_LT(*command.against, stale->generation);
      for (const std::string& name : stale->names) {
        bool changed = false;
        for (const auto& [id, operation] : world.database.operations) {
          if (operation.generation <= *command.against || operation.generation > stale->generation) continue;
          for (const Step& step : operation.steps)
            changed = changed || (step.instance == name && !was_skipped_on_purpose(step));
        }
        EXPECT_TRUE(changed) << name << " is reported as stale but has not changed since";
      }
    }
  }
}

// Replays the accepted operations in the order of their ids on a model without time, and compares the result.
void check_serializable(const World& world) {
  struct Model {
    Desired desired = Desired::stopped;
    OperationId by = 0;
    Generation changed = 0;
    bool removing = false;
    bool may_be_readded = false;  // removed and added again, but the add never began
  };
  std::map<std::string, Model> model;
  Generation generation = 0;
  std::set<std::string> removed;
  for (const auto& [id, operation] : world.database.operations) {
    ASSERT_EQ(operation.generation, generation + 1) << "operation " << id;
    auto asked = world.accepted.find(id);
    if (asked != world.accepted.end() && asked->second.against) {
      const bool whole = operation.kind == Kind::apply || operation.kind == Kind::rollback;
      if (whole) {
        EXPECT_EQ(*asked->second.against, generation) << "a stale change was accepted: " << id;
      }
      for (const Step& step : operation.steps) {
        if (step.state == StepState::skipped && operation.state == OperationState::done) continue;
        EXPECT_TRUE(whole || model[step.instance].changed <= *asked->second.against)
            << "lost update by " << id;
      }
    }
    generation = operation.generation;
    for (const Step& step : operation.steps) {
      Model& m = model[step.instance];
      if (!was_skipped_on_purpose(step)) m.changed = generation;
      if (step.work == Step::Work::add)
        removed.erase(step.instance);  // its row exists though the step never began
      if (step.work == Step::Work::add && m.removing) m.may_be_readded = true;
      if (step.state == StepState::skipped || step.work == Step::Work::rewrite) continue;
      if (step.what.starts_with("takes effect") || step.what.starts_with("is ")) continue;
      m.desired = desired_by(step.work);
      m.by = id;
      m.removing = step.work == Step::Work::remove;
      m.may_be_readded = false;
      if (step.work == Step::Work::remove && step.state == StepState::done) {
        removed.insert(step.instance);
        model.erase(step.instance);
      } else {
        removed.erase(step.instance);
      }
    }
  }
  EXPECT_EQ(world.database.generation, generation);
  for (const auto& [name, row] : world.database.instances) {
    EXPECT_FALSE(removed.contains(name)) << name;
    if (model[name].may_be_readded && row.fence == 0 && row.desired == Desired::stopped) continue;
    EXPECT_EQ(row.fence, model[name].by)
        << name << " was last acted on by another than the last that was accepted";
    EXPECT_EQ(name_of(row.desired), name_of(model[name].desired)) << name << ": its last change was lost";
  }
  check_refusals(world);
}

// Prints the operations, actions and rows, to analyse a failure.
void print_history(const World& world) {
  for (const auto& [id, operation] : world.database.operations) {
    std::printf("%d %s %s by %d:", static_cast<int>(id), std::string(name_of(operation.kind)).c_str(),
                std::string(name_of(operation.state)).c_str(), static_cast<int>(operation.superseded_by));
    for (const Step& step : operation.steps) {
      std::printf(" [%s %s %s]", step.instance.c_str(), std::string(name_of(step.state)).c_str(),
                  step.what.c_str());
    }
    std::printf("\n");
  }
  for (std::size_t i = 0; i < world.trace.size(); ++i) {
    std::printf("%d %s; ", static_cast<int>(world.trace_at[i] / ms % 1'000'000), world.trace[i].c_str());
  }
  std::printf("\n");
  for (const auto& [name, row] : world.database.instances) {
    std::printf("%s %s fence %d live %d %s\n", name.c_str(), std::string(name_of(row.desired)).c_str(),
                static_cast<int>(row.fence), row.live, row.last_exit.c_str());
  }
}

struct Tally {
  std::map<std::size_t, int> verdicts;
  std::map<OperationState, int> ends;
  int starts = 0, kills = 0, acts = 0;
};

void two_operators(std::uint64_t seed, Tally& tally) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  Behaviour how;
  how.jitter = 300 * ms;
  how.record_takes = seed % 3 == 0 ? 200 * ms : 2 * ms;
  if (seed % 2) how.crash = 0.01;
  if (seed % 5 == 1) how.stall = 0.01;
  if (seed % 4 == 1) how.record_fails = 0.1;
  if (seed % 7 == 1) how.spawn_fails = 0.05;
  World world(seed, how);
  std::vector<FleetSpec> fleets = {fleet_of({"n0", "n1", "n2", "n3"}), fleet_of({"n0", "n1", "n2", "n3"}, 2),
                                   fleet_of({"n0", "n1", "n2"}), fleet_of({"n1", "n2", "n3", "n4"})};
  fleets[1].common["limits.disk_mb"] = "200";
  fleets[2].instances[1].own["listen"] = "127.0.0.1:9000";
  if (seed % 5 == 4) fleets.push_back(fleets[0]);
  if (seed % 5 == 4) fleets.back().common["crashes"] = "1";
  world.apply(fleets[0]);
  world.run(2 * second);
  Operator operators[2];
  std::vector<OperationId> ids;
  for (int i = 0; i < 24; ++i) {
    world.run(static_cast<Microseconds>(world.pick(world.chance() < 0.5 ? 300 : 6000)) * ms);
    if (!world.agent()) {
      world.start_agent();
      continue;
    }
    if (seed % 6 == 2 && world.chance() < 0.15) {
      world.record_survives_kill = world.chance() < 0.5;
      world.kill_agent();
      continue;
    }
    if (seed % 8 == 3 && world.chance() < 0.1) world.suspend(60 * second);
    Operator& sender = operators[world.pick(2)];
    if (world.chance() < 0.4) sender.seen_generation = world.decider().generation();
    if (world.chance() < 0.08 && world.decider().running_operation() != 0) {
      world.cancel(world.decider().running_operation());
    } else {
      world.command(random_command(world, sender, fleets));
    }
  }
  world.start_agent();
  world.how.crash = world.how.stall = world.how.record_fails = world.how.spawn_fails = 0;
  world.run(2 * second);  // pending records are written
  // A crashing instance can't drain, so it is removed only after a repair.
  if (seed % 5 == 4) {
    event::Command repair;
    repair.kind = Kind::apply;
    repair.supersede = true;
    repair.fleet = fleet_of({"n0", "n1", "n2", "n3", "n4"});
    world.command(repair);
  }
  EXPECT_TRUE(world.until([&] { return world.converged(); }, 600 * second)) << "never at rest";
  check_serializable(world);
  EXPECT_EQ(world.violations, std::vector<std::string>());
  if (::testing::Test::HasFailure()) print_history(world);
  for (const auto& [request, verdict] : world.verdicts) ++tally.verdicts[verdict.index()];
  for (const auto& [id, operation] : world.database.operations) ++tally.ends[operation.state];
  for (const auto& [name, count] : world.starts) tally.starts += count;
  tally.kills += world.agent_kills;
  tally.acts += static_cast<int>(world.trace.size());
}

TEST(Interleavings, ResultsForTwoOperatorsAreSerializable) {
  Tally tally;
  const char* from = std::getenv("HERONVANE_FLEET_SEED");
  const std::uint64_t first = from ? std::strtoull(from, nullptr, 10) : 1;
  const std::uint64_t last = from ? first : 1000;
  for (std::uint64_t seed = first; seed <= last && !::testing::Test::HasFailure(); ++seed)
    two_operators(seed, tally);
  if (from || ::testing::Test::HasFailure()) return;
  // The test is of value only if each kind of result occurs.
  const char* const verdicts[] = {"accepted", "conflict", "stale",   "refused", "malformed",
                                  "unknown",  "ended",    "storage", "busy",    "plan"};
  for (const auto& [index, count] : tally.verdicts) std::printf("%s %d, ", verdicts[index], count);
  for (const auto& [state, count] : tally.ends)
    std::printf("%s %d, ", std::string(name_of(state)).c_str(), count);
  std::printf("starts %d, kills of the agent %d, acts %d\n", tally.starts, tally.kills, tally.acts);
  for (std::size_t index : {0U, 1U, 2U, 3U, 5U, 7U, 9U})
    EXPECT_GT(tally.verdicts[index], 20) << verdicts[index];
  for (OperationState state : {OperationState::done, OperationState::failed, OperationState::cancelled,
                               OperationState::superseded}) {
    EXPECT_GT(tally.ends[state], 20) << name_of(state);
  }
}

}  // namespace
}  // namespace heronvane::fleet::test
