// Copies: groups and quorums; one log among its members in every order of steps, and in random walks; planted
// defects that both must find.
//
// A sample; bench/copies/run.sh takes the full counts. HERONVANE_COPIES_STATES, _WALKS and _SEED change them.
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
  bool complete = false;  // there are no more
  std::string violation;
};

// Breadth first, by hash of states.
Exploration explore(const Bounds& bounds, const HostDefects& defects, std::size_t max_states) {
  struct QueuedState {
    Model model;
    std::size_t depth;
  };
  Exploration out;
  std::unordered_set<std::uint64_t> visited;
  std::deque<QueuedState> queue;
  Model first(bounds, defects);
  visited.insert(first.fingerprint());
  queue.push_back({std::move(first), 0});
  while (!queue.empty()) {
    const QueuedState known = std::move(queue.front());
    queue.pop_front();
    out.depth = known.depth;
    for (const auto& [name, step] : known.model.steps()) {
      Model next = known.model;
      step(next);
      if (!next.violation().empty()) {
        out.violation = next.violation() + "\n" + next.describe();
        out.states = visited.size();
        return out;
      }
      if (!visited.insert(next.fingerprint()).second) continue;
      if (visited.size() >= max_states) {
        out.states = visited.size();
        return out;
      }
      queue.push_back({std::move(next), known.depth + 1});
    }
  }
  out.states = visited.size();
  out.complete = true;
  return out;
}

struct WalkResult {
  std::size_t walks = 0, steps = 0, unconverged = 0;
  std::string violation;
};

// Each walk has holders, quorums and faults of its own.
WalkResult walk(std::size_t walks, std::uint64_t seed, const HostDefects& defects) {
  WalkResult out;
  for (; out.walks < walks; out.walks++) {
    std::mt19937_64 random_engine(seed + out.walks);
    Bounds b;
    b.replicas = 1 + random_engine() % 4;
    b.spares = 1 + random_engine() % 2;
    b.acks = random_engine() % 3 == 0 ? Acks::all : Acks::majority;
    b.entries = 1 + random_engine() % 6;
    b.max_in_flight = 2 + random_engine() % 10;
    b.epochs = 12;
    b.crashes = static_cast<int>(random_engine() % 5), b.disk_losses = static_cast<int>(random_engine() % 2);
    b.changes = static_cast<int>(random_engine() % 3), b.duplicates = static_cast<int>(random_engine() % 6);
    b.take_overs = static_cast<int>(random_engine() % 4);
    b.trims = static_cast<int>(random_engine() % 4);
    const bool one_lost = b.disk_losses > 0;
    Model m(b, defects);
    const std::size_t max_states = 40 + random_engine() % 260;
    std::string path;
    for (std::size_t i = 0; i < max_states && m.violation().empty(); i++) {
      const auto steps = m.steps();
      if (steps.empty()) break;
      // Faults are rare beside what members do.
      std::size_t at = random_engine() % steps.size();
      for (int tries = 0; tries < 3; tries++) {
        const auto& name = steps[at].first;
        const bool fault = name.find("crash") != std::string::npos ||
                           name.find("disk") != std::string::npos || name.find("lose") != std::string::npos ||
                           name.find("takes over") != std::string::npos;
        if (!fault) break;
        at = random_engine() % steps.size();
      }
      steps[at].second(m);
      out.steps++;
    }
    if (m.violation().empty() && !one_lost && !m.converges()) {
      out.unconverged++;
      if (out.violation.empty())
        out.violation = "walk " + std::to_string(out.walks) + " came to no end:\n" + m.describe();
    }
    if (!m.violation().empty()) {
      out.violation = "walk " + std::to_string(out.walks) + ": " + m.violation() + "\n" + m.describe();
      return out;
    }
  }
  return out;
}

// ---- Groups. ----
TEST(Groups, QuorumsMeet) {
  for (std::size_t replicas = 1; replicas <= 9; replicas++)
    for (const Acks acks : {Acks::majority, Acks::all}) {
      const auto q = quorum(replicas, acks);
      EXPECT_GT(q.acks + q.claims, replicas);
      EXPECT_GT(2 * q.claims, replicas);
      EXPECT_GE(q.acks, 1u);
      EXPECT_LE(std::max(q.acks, q.claims), replicas);
    }
  // One of two is lost: the other one's word is in any claim on the old set.
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
    Placement& p = all.emplace_back();
    p.member.name = "n" + std::to_string(i);
    p.member.incarnation = 1;
    p.machine = "m" + std::to_string(i / 2);
    p.zone = std::string(1, static_cast<char>('a' + i % 3));
  }
  return all;
}

TEST(Groups, HoldersStandOnOtherMachinesAndInOtherZones) {
  const auto all = placements(30);
  for (const auto& leader : all) {
    const auto replicas = choose_replicas(leader, all, 2);
    ASSERT_EQ(replicas.size(), 2u);
    std::set<std::string> machines{leader.machine}, zones{leader.zone};
    for (const auto& h : replicas)
      for (const auto& p : all)
        if (p.member == h) machines.insert(p.machine), zones.insert(p.zone);
    EXPECT_EQ(machines.size(), 3u);
    EXPECT_EQ(zones.size(), 3u);
  }
  EXPECT_EQ(choose_replicas(all[0], placements(2), 2).size(), 0u);  // the other one is on its machine
  EXPECT_EQ(choose_replicas(all[0], placements(4), 4).size(), 1u);
}

TEST(Groups, EqualListsInAnyOrderGiveEqualGroups) {
  auto all = placements(40);
  const auto leader = all[7];
  const auto before = choose_replicas(leader, all, 3);
  std::mt19937 random_engine(1);
  for (int i = 0; i < 20; i++) {
    std::shuffle(all.begin(), all.end(), random_engine);
    EXPECT_EQ(choose_replicas(leader, all, 3), before);
  }
}

TEST(Groups, AMemberThatGoesChangesFewGroups) {
  const auto all = placements(60);
  auto fewer = all;
  fewer.erase(fewer.begin() + 20);
  std::size_t changed = 0, held = 0;
  for (const auto& leader : fewer) {
    const auto before = choose_replicas(leader, all, 2), after = choose_replicas(leader, fewer, 2);
    const bool had = std::count(before.begin(), before.end(), all[20].member) > 0;
    held += had;
    changed += before != after;
    if (!had) {
      EXPECT_EQ(before, after) << leader.member.name;
    }
  }
  EXPECT_EQ(changed, held);
  EXPECT_LT(changed, 10u);
}

// ---- One log. ----
class LogReplicator : public ::testing::Test {
 protected:
  ~LogReplicator() override { injected_defect = {}; }
};

TEST_F(LogReplicator, EveryOrderOfStepsKeepsWhatWasActedOn) {
  const auto out = explore({}, {}, environment("HERONVANE_COPIES_STATES", 60'000));
  std::printf("%zu states, depth %zu%s\n", out.states, out.depth, out.complete ? ", all there are" : "");
  EXPECT_EQ(out.violation, "");
  EXPECT_GE(out.states, 50'000u);
}

TEST_F(LogReplicator, RandomWalksKeepWhatWasActedOnAndComeToAnEnd) {
  const auto out =
      walk(environment("HERONVANE_COPIES_WALKS", 3'000), environment("HERONVANE_COPIES_SEED", 1), {});
  std::printf("%zu walks, %zu steps\n", out.walks, out.steps);
  EXPECT_EQ(out.violation, "");
  EXPECT_EQ(out.unconverged, 0u);
}

// A holder is lost with its disk, another takes its place; then the owner is lost: the new group answers.
TEST_F(LogReplicator, ALostHolderIsReplacedAndTheNewGroupTakesOver) {
  const Member o{"O", 1}, a{"A", 1}, b{"B", 1}, c{"C", 1};
  const Epoch first{1, o};
  std::map<Member, Replica> replicas{{b, Replica()}, {c, Replica()}};  // A answers nothing any more
  Config config;
  config.version.epoch = first, config.version.number = 1;
  config.replicas = {a, b};
  Leader leader(o, first, config, 0, Epoch(), LeaderOptions());
  const auto settle = [&] {
    for (int i = 0; i < 20; i++)
      for (const auto& h : leader.replicas()) {
        auto envelope = leader.next_append(h, true);
        if (!envelope) envelope = leader.snapshot(h);
        if (!envelope || replicas.count(h) == 0) continue;
        if (auto result = replicas.at(h).handle(envelope->message); result.answer)
          leader.handle(h, *result.answer);
      }
  };
  leader.append("one");
  settle();
  EXPECT_EQ(leader.durable(), 1u);
  leader.trim(0);  // C needs a snapshot
  ASSERT_TRUE(leader.replace(a, c));
  settle();
  EXPECT_FALSE(leader.changing());
  EXPECT_EQ(leader.config().replicas, (std::vector<Member>{c, b}));
  leader.append("two");
  settle();
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
  // And the owner, which was only slow, writes nothing any more.
  leader.append("three");
  settle();
  EXPECT_EQ(leader.durable(), 2u);
  EXPECT_TRUE(leader.fenced());
}

struct InjectedDefect {
  std::string_view decision;  // in the sources of the decisions; empty: of the host
  HostDefects host;
  std::uint64_t seed;  // from which on a walk finds it soon
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
  HostDefects d;
  d.answers_before_writing = true;
  all.push_back({"", d, 180, "answers before writing"});
  d = {};
  d.forgets_promises = true;
  all.push_back({"", d, 5'970, "forgets promises over a restart"});
  d = {};
  d.comes_back_as_the_same = true;
  all.push_back({"", d, 1, "comes back as the same without its disk"});
  d = {};
  d.forgets_import = true;
  all.push_back({"", d, 1, "moves before the import stands"});
  return all;
}

TEST_F(LogReplicator, PlantedDefectsAreFound) {
  for (const auto& p : injected_defects()) {
    injected_defect = p.decision;
    const auto out = walk(environment("HERONVANE_COPIES_DEFECT_WALKS", 3'000), p.seed, p.host);
    std::printf(
        "%s: %s\n", p.name.c_str(),
        out.violation.empty() ? "not found" : out.violation.substr(0, out.violation.find('\n')).c_str());
    std::fflush(stdout);
    EXPECT_NE(out.violation, "") << p.name;
  }
}

}  // namespace
}  // namespace test
}  // namespace heronvane::copies
