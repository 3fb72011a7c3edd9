// Tests of the decisions of log replication: replica groups and quorums, and a model of one log that is
// checked by exhaustive search and by random walks. Walks over injected defects check that violations are
// detected.
//
// By default only a sample runs; bench/copies/run.sh runs the full counts. HERONVANE_COPIES_STATES, _WALKS
// and _SEED change the number of states, the number of walks and the first seed.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <unordered_set>

#include "copies/defects.hpp"
#include "model.hpp"

namespace heronvane::copies {

std::string_view injected_defect;

namespace test {
namespace {

std::uint64_t environment(const char* name, std::uint64_t absent) {
  const char* const value = std::getenv(name);
  return value == nullptr ? absent : std::strtoull(value, nullptr, 10);
}

struct Exploration {
  std::size_t states = 0, depth = 0;
  bool complete = false;  // every reachable state was visited
  std::string violation;
};

// Breadth-first search. Compares states by their hash.
Exploration explore(const Bounds& bounds, const HostDefects& defects, std::size_t max_states) {
  struct QueuedState {
    Model model;
    std::size_t depth;
  };
  Exploration exploration;
  std::unordered_set<std::uint64_t> visited;
  std::deque<QueuedState> queue;
  Model first(bounds, defects);
  visited.insert(first.fingerprint());
  queue.push_back({std::move(first), 0});
  while (!queue.empty()) {
    const QueuedState current = std::move(queue.front());
    queue.pop_front();
    exploration.depth = current.depth;
    for (const auto& [name, step] : current.model.steps()) {
      Model next = current.model;
      step(next);
      if (!next.violation().empty()) {
        exploration.violation = next.violation() + "\n" + next.describe();
        exploration.states = visited.size();
        return exploration;
      }
      if (!visited.insert(next.fingerprint()).second) continue;
      if (visited.size() >= max_states) {
        exploration.states = visited.size();
        return exploration;
      }
      queue.push_back({std::move(next), current.depth + 1});
    }
  }
  exploration.states = visited.size();
  exploration.complete = true;
  return exploration;
}

struct WalkResult {
  std::size_t walks = 0, steps = 0, unconverged = 0;
  std::string violation;
};

// Each walk draws its own numbers of replicas, quorum rule and faults.
WalkResult walk(std::size_t walks, std::uint64_t seed, const HostDefects& defects) {
  WalkResult result;
  for (; result.walks < walks; result.walks++) {
    std::mt19937_64 random_engine(seed + result.walks);
    Bounds bounds;
    bounds.replicas = 1 + random_engine() % 4;
    bounds.spares = 1 + random_engine() % 2;
    bounds.acks = random_engine() % 3 == 0 ? Acks::all : Acks::majority;
    bounds.entries = 1 + random_engine() % 6;
    bounds.max_in_flight = 2 + random_engine() % 10;
    bounds.epochs = 12;
    bounds.crashes = static_cast<int>(random_engine() % 5),
    bounds.disk_losses = static_cast<int>(random_engine() % 2);
    bounds.changes = static_cast<int>(random_engine() % 3),
    bounds.duplicates = static_cast<int>(random_engine() % 6);
    bounds.takeovers = static_cast<int>(random_engine() % 4);
    bounds.trims = static_cast<int>(random_engine() % 4);
    const bool disk_may_be_lost = bounds.disk_losses > 0;
    Model model(bounds, defects);
    const std::size_t max_states = 40 + random_engine() % 260;
    std::string path;
    for (std::size_t i = 0; i < max_states && model.violation().empty(); i++) {
      const auto steps = model.steps();
      if (steps.empty()) break;
      // Draws again up to three times if the step is a fault, so that faults are rarer than other steps.
      std::size_t step_index = random_engine() % steps.size();
      for (int tries = 0; tries < 3; tries++) {
        const auto& name = steps[step_index].first;
        const bool fault = name.find("crash") != std::string::npos ||
                           name.find("disk") != std::string::npos || name.find("lose") != std::string::npos ||
                           name.find("takes over") != std::string::npos;
        if (!fault) break;
        step_index = random_engine() % steps.size();
      }
      steps[step_index].second(model);
      result.steps++;
    }
    if (model.violation().empty() && !disk_may_be_lost && !model.converges()) {
      result.unconverged++;
      if (result.violation.empty())
        result.violation = "walk " + std::to_string(result.walks) + " did not converge:\n" + model.describe();
    }
    if (!model.violation().empty()) {
      result.violation =
          "walk " + std::to_string(result.walks) + ": " + model.violation() + "\n" + model.describe();
      return result;
    }
  }
  return result;
}

// ---- Groups. ----
TEST(Groups, QuorumsIntersect) {
  for (std::size_t replicas = 1; replicas <= 9; replicas++)
    for (const Acks acks : {Acks::majority, Acks::all}) {
      const auto quorum_sizes = quorum(replicas, acks);
      EXPECT_GT(quorum_sizes.acks + quorum_sizes.claims, replicas);
      EXPECT_GT(2 * quorum_sizes.claims, replicas);
      EXPECT_GE(quorum_sizes.acks, 1u);
      EXPECT_LE(std::max(quorum_sizes.acks, quorum_sizes.claims), replicas);
    }
  // A change replaces a, one of two replicas: every claim on the old replicas needs an answer of b.
  const Member a{"a", 1}, b{"b", 1}, c{"c", 1};
  Config change, complete;
  change.replicas = {a, b}, change.next = {b, c};
  complete.replicas = {a, b, c};
  EXPECT_TRUE(every_claim_reaches(change, {b, c}, Acks::majority));
  EXPECT_TRUE(every_claim_reaches(change, {b}, Acks::majority));
  EXPECT_FALSE(every_claim_reaches(change, {c}, Acks::majority));
  EXPECT_FALSE(every_claim_reaches(complete, {c}, Acks::majority));
  EXPECT_EQ(quorum(2, Acks::majority).acks, 1u);
  EXPECT_EQ(quorum(2, Acks::all).acks, 2u);
  EXPECT_EQ(quorum(0, Acks::all).acks, 0u);
}

std::vector<Placement> placements(std::size_t count) {
  std::vector<Placement> all;
  for (std::size_t i = 0; i < count; i++) {
    Placement& placement = all.emplace_back();
    placement.member.name = "n" + std::to_string(i);
    placement.member.incarnation = 1;
    placement.machine = "m" + std::to_string(i / 2);
    placement.zone = std::string(1, static_cast<char>('a' + i % 3));
  }
  return all;
}

TEST(Groups, ReplicasAreOnOtherMachinesAndInOtherZones) {
  const auto all = placements(30);
  for (const auto& leader : all) {
    const auto replicas = choose_replicas(leader, all, 2);
    ASSERT_EQ(replicas.size(), 2u);
    std::set<std::string> machines{leader.machine}, zones{leader.zone};
    for (const auto& replica : replicas)
      for (const auto& placement : all)
        if (placement.member == replica) machines.insert(placement.machine), zones.insert(placement.zone);
    EXPECT_EQ(machines.size(), 3u);
    EXPECT_EQ(zones.size(), 3u);
  }
  EXPECT_EQ(choose_replicas(all[0], placements(2), 2).size(),
            0u);  // the only other member is on the same machine
  EXPECT_EQ(choose_replicas(all[0], placements(4), 4).size(), 1u);
}

TEST(Groups, GroupsDoNotDependOnMemberOrder) {
  auto all = placements(40);
  const auto leader = all[7];
  const auto before = choose_replicas(leader, all, 3);
  std::mt19937 random_engine(1);
  for (int i = 0; i < 20; i++) {
    std::shuffle(all.begin(), all.end(), random_engine);
    EXPECT_EQ(choose_replicas(leader, all, 3), before);
  }
}

TEST(Groups, RemovedMemberChangesOnlyItsOwnGroups) {
  const auto all = placements(60);
  auto fewer = all;
  fewer.erase(fewer.begin() + 20);
  std::size_t changed = 0, groups_with_member = 0;
  for (const auto& leader : fewer) {
    const auto before = choose_replicas(leader, all, 2), after = choose_replicas(leader, fewer, 2);
    const bool was_replica = std::count(before.begin(), before.end(), all[20].member) > 0;
    groups_with_member += was_replica;
    changed += before != after;
    if (!was_replica) {
      EXPECT_EQ(before, after) << leader.member.name;
    }
  }
  EXPECT_EQ(changed, groups_with_member);
  EXPECT_LT(changed, 10u);
}

// ---- One log. ----
class LogReplicator : public ::testing::Test {
 protected:
  ~LogReplicator() override { injected_defect = {}; }
};

TEST_F(LogReplicator, ExhaustiveSearchPreservesAppliedEntries) {
  const auto out = explore({}, {}, environment("HERONVANE_COPIES_STATES", 60'000));
  std::printf("%zu states, depth %zu%s\n", out.states, out.depth,
              out.complete ? ", all reachable states" : "");
  EXPECT_EQ(out.violation, "");
  EXPECT_GE(out.states, 50'000u);
}

TEST_F(LogReplicator, RandomWalksPreserveAppliedEntriesAndConverge) {
  const auto out =
      walk(environment("HERONVANE_COPIES_WALKS", 3'000), environment("HERONVANE_COPIES_SEED", 1), {});
  std::printf("%zu walks, %zu steps\n", out.walks, out.steps);
  EXPECT_EQ(out.violation, "");
  EXPECT_EQ(out.unconverged, 0u);
}

// A replica is lost with its disk and replaced; then the leader is lost. The new group completes a takeover.
TEST_F(LogReplicator, LostReplicaIsReplacedAndNewGroupTakesOver) {
  const Member old_leader{"O", 1}, a{"A", 1}, b{"B", 1}, c{"C", 1};
  const Epoch first{1, old_leader};
  std::map<Member, Replica> replicas{{b, Replica()}, {c, Replica()}};  // A is lost and does not answer
  Config config;
  config.version.epoch = first, config.version.number = 1;
  config.replicas = {a, b};
  Leader leader(old_leader, first, config, 0, Epoch(), LeaderOptions());
  const auto exchange_messages = [&] {
    for (int i = 0; i < 20; i++)
      for (const auto& replica : leader.replicas()) {
        auto envelope = leader.next_append(replica, true);
        if (!envelope) envelope = leader.snapshot(replica);
        if (!envelope || replicas.count(replica) == 0) continue;
        if (auto result = replicas.at(replica).handle(envelope->message); result.answer)
          leader.handle(replica, *result.answer);
      }
  };
  leader.append("one");
  exchange_messages();
  EXPECT_EQ(leader.durable(), 1u);
  leader.trim(0);  // C needs a snapshot
  ASSERT_TRUE(leader.replace(a, c));
  exchange_messages();
  EXPECT_FALSE(leader.changing());
  EXPECT_EQ(leader.config().replicas, (std::vector<Member>{c, b}));
  leader.append("two");
  exchange_messages();
  EXPECT_EQ(leader.durable(), 2u);

  Claim claim(c, Claim::Purpose::take_over, Epoch{2, c}, replicas.at(c).state().config, c, 0, Epoch(),
              ClaimOptions());
  for (int i = 0; i < 20 && claim.state() != Claim::State::won; i++) {
    for (const auto& envelope : claim.requests())
      if (replicas.count(envelope.to) > 0)
        claim.handle(envelope.to, *replicas.at(envelope.to).handle(envelope.message).answer);
    claim.state_imported();
  }
  EXPECT_EQ(claim.state(), Claim::State::won);
  EXPECT_EQ(claim.last(), 2u);
  // The old leader was only slow. Its later entries must not be committed.
  leader.append("three");
  exchange_messages();
  EXPECT_EQ(leader.durable(), 2u);
  EXPECT_TRUE(leader.fenced());
}

struct InjectedDefect {
  std::string_view decision;  // defect name in the decision sources; empty: a defect of the host
  HostDefects host;
  std::uint64_t seed;  // first seed; a walk soon after it detects the defect
  std::string name;
};

std::vector<InjectedDefect> injected_defects() {
  std::vector<InjectedDefect> all;
  for (const auto& [name, seed] :
       std::vector<std::pair<std::string_view, std::uint64_t>>{{"no fence", 1},
                                                               {"outdated move carried out", 5'600},
                                                               {"earlier epochs count", 1},
                                                               {"own disk is enough", 1},
                                                               {"change unknown to the old", 100},
                                                               {"later config ignored", 1},
                                                               {"one promise is enough", 1},
                                                               {"move ignored", 1},
                                                               {"shortest log read", 100},
                                                               {"snapshot goes back", 4'150}})
    all.push_back({name, {}, seed, std::string(name)});
  HostDefects host_defects;
  host_defects.answers_before_writing = true;
  all.push_back({"", host_defects, 180, "answers before writing"});
  host_defects = {};
  host_defects.loses_promises = true;
  all.push_back({"", host_defects, 5'970, "loses promises in a restart"});
  host_defects = {};
  host_defects.keeps_identity_without_disk = true;
  all.push_back({"", host_defects, 1, "returns with the same identity without its disk"});
  host_defects = {};
  host_defects.skips_import = true;
  all.push_back({"", host_defects, 1, "moves before the import is durable"});
  return all;
}

TEST_F(LogReplicator, InjectedDefectsAreDetected) {
  for (const auto& defect : injected_defects()) {
    injected_defect = defect.decision;
    const auto out = walk(environment("HERONVANE_COPIES_DEFECT_WALKS", 3'000), defect.seed, defect.host);
    std::printf(
        "%s: %s\n", defect.name.c_str(),
        out.violation.empty() ? "not detected" : out.violation.substr(0, out.violation.find('\n')).c_str());
    std::fflush(stdout);
    EXPECT_NE(out.violation, "") << defect.name;
  }
}

}  // namespace
}  // namespace test
}  // namespace heronvane::copies
