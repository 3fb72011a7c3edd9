// Kills the relay with SIGKILL at random points, and fills its disk: no accepted message may be lost, no
// non-idempotent one may run twice, no refused one may run.
//
// Runs a small seeded sample; bench/kill/run.sh runs as many as requested.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "life_story.hpp"

namespace heronvane::testing {
namespace {

constexpr std::uint64_t kAny = ~std::uint64_t{0}, kEarly = 250;  // number of points after a start

std::uint64_t environment(const char* name, std::uint64_t otherwise) {
  const char* const value = std::getenv(name);
  return value == nullptr || *value == '\0' ? otherwise : std::strtoull(value, nullptr, 10);
}

class Kill : public ::testing::Test {
 protected:
  Counts run_scenario(Scenario scenario) {
    Counts counts;
    KillScenario execution(std::move(scenario));
    all_.add(execution.run(&counts));
    if (!execution.fault_report().empty()) std::printf("%s\n", execution.fault_report().c_str());
    std::fflush(stdout);  // otherwise each forked child would write the buffered text again
    return counts;
  }

  // Chooses half of the points among all that a run passes, and half by name, so that rare ones occur, too.
  // With HERONVANE_KILL_ONLY only points whose names begin with that text.
  KillPoint choose(const Counts& passed, std::uint64_t max_point) {
    const char* const only = std::getenv("HERONVANE_KILL_ONLY");
    Counts counts;
    for (const auto& [name, count] : passed)
      if (only == nullptr || name.rfind(only, 0) == 0) counts[name] = count;
    std::uint64_t total = 0;
    for (const auto& [name, count] : counts) total += count;
    total = std::min(total, max_point);
    if (counts.empty()) return {1, only == nullptr ? "" : only};
    if (only == nullptr && random_() % 2 == 0) return {1 + random_() % total, {}};
    auto it = counts.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random_() % counts.size()));
    return {1 + random_() % it->second, it->first};
  }

  void run_scenarios(bool disk_full, std::uint64_t runs) {
    runs = environment("HERONVANE_KILL_RUNS", runs);
    const std::uint64_t seed = environment("HERONVANE_KILL_SEED", 1);
    random_.seed(seed);
    // Counts the points that a relay passes after a first start, and after a restart.
    const Counts first = run_scenario({seed, {}, disk_full});
    const Counts next = run_scenario({seed, {{0, {}}}, disk_full});
    EXPECT_FALSE(first.empty());
    for (std::uint64_t i = 0; i < runs; i++) {
      Scenario scenario{seed * 100'000 + i, {choose(first, kAny)}, disk_full};
      while (scenario.kills.size() < 3 && random_() % 3 == 0) scenario.kills.push_back(choose(next, kEarly));
      run_scenario(std::move(scenario));
    }
    std::printf("kill: %s\n", all_.text().c_str());
    std::printf("killed at:");
    for (const auto& [name, count] : all_.killed_at)
      std::printf(" %s=%llu", name.c_str(), static_cast<unsigned long long>(count));
    std::printf("\n");
    EXPECT_EQ(all_.faults(), 0u);
  }

  std::mt19937_64 random_;
  Tally all_;
};

TEST_F(Kill, AtChosenPoints) { run_scenarios(false, 3); }
TEST_F(Kill, WithTheDiskFull) { run_scenarios(true, 3); }

}  // namespace
}  // namespace heronvane::testing
