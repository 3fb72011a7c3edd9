// The process is killed, or the machine loses its power, at each operation of lives over the store, and once
// more at each operation of the start after it.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "workload.hpp"

namespace heronvane::store::testing {
namespace {

struct Counts {
  std::size_t points = 0, second = 0, messages = 0, needless = 0, came_back = 0;
  void add(const Verdict& v) { messages += v.held, needless += v.needless, came_back += v.came_back; }
};

class Watch {
 public:
  double seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun_).count();
  }

 private:
  std::chrono::steady_clock::time_point begun_ = std::chrono::steady_clock::now();
};

void print(const char* what, const Counts& c, const Watch& watch) {
  std::printf(
      "%s: %zu crash points and %zu second ones, %zu messages found held, %zu needless doubts, %zu refused "
      "in doubt; %.1f s\n",
      what, c.points, c.second, c.messages, c.needless, c.came_back, watch.seconds());
}

Clocks clocks_at(const Oracle& oracle, Moment n) {
  Clocks c;
  const Microseconds passed = oracle.time_at(n) - c.boottime;
  c.pass(passed);
  return c;
}

// Of the write that follows, how much may stand; always 0 too.
std::vector<std::size_t> partials(const MemoryDisk& disk, std::size_t n, Dice& dice) {
  std::vector<std::size_t> all = {0};
  if (n >= disk.operations()) return all;
  const Operation next = disk.operation(n + 1);
  if (next.kind != Kind::write || next.bytes.size() < 2) return all;
  const std::size_t size = next.bytes.size();
  all.push_back(1 + dice.below(std::min<std::size_t>(size - 1, 30)));
  all.push_back(1 + dice.below(size - 1));
  all.push_back(size - 1);
  return all;
}

// A message that is taken on after a start.
struct Probe {
  Moment told = kNever;
  std::string id;
};

// What a start goes on to do; the store is gone afterwards, as by a kill.
Probe go_on(MemoryDisk& disk, const Options& o, LateSyncer& syncer, int steps, std::string& wrong) {
  Store s(disk, o, &syncer);
  Probe probe;
  if (!s.commit()) wrong = "no commit after a start: " + s.unavailable_reason();
  const auto compact = [&](int most) {
    for (int i = 0; i < most && s.wants_compaction(); i++) {
      const auto step = s.compact();
      syncer.run_one();
      if (step == Store::Step::idle) break;
    }
  };
  compact(steps / 2);
  Message m;
  m.id = "probe", m.body = std::string(100, 'p');
  if (s.admit(m)) {
    s.accept(kProbes, m);
    if (!s.commit()) wrong = "no commit after a start: " + s.unavailable_reason();
    syncer.run_all();
    if (s.durable() < s.written()) wrong = "not durable after all syncs";
    probe.told = disk.operations(), probe.id = m.id;
  }
  compact(steps);
  syncer.forget();
  return probe;
}

std::string check_probe(const Store& s, const Probe& probe, Moment m, bool lossy) {
  if (m < probe.told) return {};
  const Held* h = s.find(kProbes);
  if (h == nullptr || h->message.id != probe.id) return "what the second life took on is lost";
  return h->doubt && !lossy ? "what the second life took on is in doubt" : "";
}

struct Lived {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
};

void live(Lived& l, std::uint64_t seed, int rounds, std::uint64_t failing_syncs = 0) {
  l.setting.limit = 150'000 + 50'000 * (seed % 5);
  Dice dice(seed);
  Life life(l.disk, l.oracle, l.setting, seed);
  life.big_bodies(seed % 2 == 0);
  for (int i = 0; i < rounds; i++) {
    if (dice.below(1000) < failing_syncs)
      l.disk.fail(l.disk.operations(Kind::sync) + 1 + dice.below(2),
                  {.error = std::errc::io_error, .only = Kind::sync, .drops = true});
    life.round();
    ASSERT_LE(l.disk.peak_bytes(), l.setting.limit);
    ASSERT_EQ(life.log().find("were not found"), std::string::npos) << life.log();
    // A kill in the middle of it, after which the life goes on.
    if (!dice.chance(2) || !life.store().unavailable_reason().empty()) continue;
    l.disk.heal();
    life.start();
  }
  ASSERT_GT(life.accepted, static_cast<std::uint64_t>(rounds) / 4);
  ASSERT_GT(life.calls, static_cast<std::uint64_t>(rounds) / 8);
}

TEST(Crash, ProcessAtEachOperation) {
  const Watch watch;
  Counts c;
  for (std::uint64_t seed = 1; seed <= scaled(4); seed++) {
    Lived l;
    ASSERT_NO_FATAL_FAILURE(live(l, seed, 220));
    Dice dice(seed + 77);
    for (std::size_t n = 0; n <= l.disk.operations(); n++) {
      for (const std::size_t partial : partials(l.disk, n, dice)) {
        const auto image = l.disk.after(n, partial);
        const Clocks clocks = clocks_at(l.oracle, n);
        std::string log;
        const Options o = options(l.setting, clocks, &log);
        LateSyncer syncer(*image);
        {
          const Store s(*image, o);
          const Verdict v = judge(s, l.oracle, n, false);
          c.add(v), c.points++;
          ASSERT_EQ(v.wrong, "") << "seed " << seed << ", after " << n << " and " << partial << " bytes";
        }
        if (dice.below(40) != 0) continue;
        // A second end during all that start does.
        const auto again = l.disk.after(n, partial);
        LateSyncer again_syncer(*again);
        std::string wrong;
        const Probe probe = go_on(*again, o, again_syncer, 12, wrong);
        ASSERT_EQ(wrong, "");
        ASSERT_LE(again->peak_bytes(), l.setting.limit);
        for (std::size_t m = 0; m <= again->operations(); m++) {
          for (const std::size_t part : partials(*again, m, dice)) {
            const auto third = again->after(m, part);
            const Store s(*third, o);
            const Verdict v = judge(s, l.oracle, n, false);
            c.add(v), c.second++;
            ASSERT_EQ(v.wrong + check_probe(s, probe, m, false), "")
                << "seed " << seed << ", after " << n << " and " << partial << " bytes, then " << m << " and "
                << part << "\n"
                << log;
          }
        }
      }
    }
  }
  print("process", c, watch);
}

std::vector<LossChoice> choices(const MemoryDisk& disk, std::size_t n, Dice& dice, std::size_t samples) {
  std::vector<LossChoice> all = {LossChoice::none(), LossChoice::all()};
  const std::size_t open = disk.unsynced(n);
  if (open == 0) return {LossChoice::none()};
  for (std::size_t k = 1; k <= std::min<std::size_t>(open, 3); k++)
    all.push_back(LossChoice::only(open <= 3 ? k : 1 + dice.below(open)));
  for (std::size_t k = 0; k < samples; k++) all.push_back(LossChoice::sample(dice.below(1'000'000'000)));
  return all;
}

// A sync failed, and the process was killed before the store could note that: nobody knows then that what
// reads well is in memory alone. A loss of power on top of it loses that; no test can ask for more.
bool failed_sync_unnoted(const MemoryDisk& disk, std::size_t n) {
  for (; n > 0; n--) {
    const Operation o = disk.operation(n);
    if (o.name == "sync-failed") return false;
    if (o.kind == Kind::sync && o.error) return true;
  }
  return false;
}

void lose_power(std::uint64_t seeds, std::uint64_t failing_syncs, const char* what) {
  const Watch watch;
  Counts c;
  for (std::uint64_t seed = 1; seed <= seeds; seed++) {
    Lived l;
    l.setting.durability = Durability::machine;
    ASSERT_NO_FATAL_FAILURE(live(l, seed, 130, failing_syncs));
    Dice dice(seed + 99);
    for (std::size_t n = 0; n <= l.disk.operations(); n++) {
      const Clocks clocks = clocks_at(l.oracle, n);
      std::string log;
      const Options o = options(l.setting, clocks, &log, "boot after");
      for (const auto& choice : choices(l.disk, n, dice, 3)) {
        const auto where = ::testing::Message() << "seed " << seed << ", after " << n << ", choice "
                                                << static_cast<int>(choice.which) << "/" << choice.value;
        log.clear();
        const auto image = l.disk.power_loss(n, choice);
        LateSyncer syncer(*image);
        {
          Store s(*image, o, &syncer);
          const Verdict v = judge(s, l.oracle, n, true);
          c.add(v), c.points++;
          ASSERT_EQ(v.wrong, "") << where << "\n" << log;
        }
        if (dice.below(50) != 0) continue;
        // The process is killed or the power lost, then the power is lost during the start.
        const bool killed = dice.chance(50) && !failed_sync_unnoted(l.disk, n);
        const auto again = killed ? l.disk.after(n) : l.disk.power_loss(n, choice);
        LateSyncer again_syncer(*again);
        std::string wrong;
        const Probe probe = go_on(*again, o, again_syncer, 12, wrong);
        ASSERT_EQ(wrong, "") << where << log;
        for (std::size_t m = 0; m <= again->operations(); m++) {
          for (const auto& second : choices(*again, m, dice, 2)) {
            const auto third = again->power_loss(m, second);
            log.clear();
            LateSyncer third_syncer(*third);
            const Store s(*third, o, &third_syncer);
            Verdict v = judge(s, l.oracle, n, true);
            c.add(v), c.second++;
            ASSERT_EQ(v.wrong + check_probe(s, probe, m, true), "")
                << where << (killed ? " killed" : "") << ", then " << m << ", choice "
                << static_cast<int>(second.which) << "/" << second.value << "\n"
                << log;
          }
        }
      }
    }
  }
  print(what, c, watch);
}

TEST(Crash, PowerAtEachOperation) { lose_power(scaled(2), 0, "power"); }
TEST(Crash, PowerWithFailedSyncs) { lose_power(scaled(2), 30, "power, syncs failing"); }

// Syncs fail, and then the process alone is killed, also while it writes again what was not synced.
TEST(Crash, ProcessWithFailedSyncs) {
  const Watch watch;
  Counts c;
  for (std::uint64_t seed = 1; seed <= scaled(4); seed++) {
    Lived l;
    l.setting.durability = Durability::machine;
    ASSERT_NO_FATAL_FAILURE(live(l, seed + 500, 130, 60));
    Dice dice(seed + 55);
    for (std::size_t n = 0; n <= l.disk.operations(); n++) {
      for (const std::size_t partial : partials(l.disk, n, dice)) {
        const auto image = l.disk.after(n, partial);
        const Clocks clocks = clocks_at(l.oracle, n);
        std::string log;
        const Options o = options(l.setting, clocks, &log);
        LateSyncer syncer(*image);
        std::vector<MessageId> held;
        {
          const Store s(*image, o, &syncer);
          const Verdict v = judge(s, l.oracle, n, false);
          c.add(v), c.points++;
          ASSERT_EQ(v.wrong, "") << "seed " << seed << ", after " << n << " and " << partial << " bytes";
          for (const auto& [number, h] : s.held()) held.push_back(number);
        }
        if (dice.below(10) != 0) continue;
        // All that is held stays so while everything is compacted.
        std::string wrong;
        go_on(*image, o, syncer, 100, wrong);
        ASSERT_EQ(wrong, "");
        const Store s(*image, o, &syncer);
        c.second++;
        for (const MessageId number : held)
          ASSERT_NE(s.find(number), nullptr) << "seed " << seed << ", after " << n << ": " << number << log;
      }
    }
  }
  print("process, syncs failing", c, watch);
}

}  // namespace
}  // namespace heronvane::store::testing
