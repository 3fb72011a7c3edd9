// Kills the process, or cuts the machine's power, at each operation of random workloads on the store, and
// again at each operation of the start after it.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "workload.hpp"

namespace heronvane::store::testing {
namespace {

struct Counts {
  std::size_t points = 0, second = 0, messages = 0, needless_doubts = 0, refused_but_held = 0;
  void add(const CheckResult& result) {
    messages += result.held, needless_doubts += result.needless_doubts,
        refused_but_held += result.refused_but_held;
  }
};

class Stopwatch {
 public:
  double seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - started_).count();
  }

 private:
  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
};

void print(const char* what, const Counts& counts, const Stopwatch& stopwatch) {
  std::printf(
      "%s: %zu crash points and %zu second ones, %zu messages found held, %zu needless doubts, %zu refused "
      "in doubt; %.1f s\n",
      what, counts.points, counts.second, counts.messages, counts.needless_doubts, counts.refused_but_held,
      stopwatch.seconds());
}

Clocks clocks_at(const Oracle& oracle, OperationCount n) {
  Clocks counts;
  const Microseconds passed = oracle.time_at(n) - counts.boottime;
  counts.pass(passed);
  return counts;
}

// How many bytes of the next write the file may contain; always includes 0.
std::vector<std::size_t> partial_write_sizes(const MemoryDisk& disk, std::size_t n, RandomSource& dice) {
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

// A message that is accepted after a start.
struct Probe {
  OperationCount acknowledged_at = kNever;
  std::string id;
};

// Starts the store, compacts and accepts a message. Afterwards the store is destroyed, as by a kill.
Probe continue_after_start(MemoryDisk& disk, const Options& store_options, ManualSyncer& syncer, int steps,
                           std::string& wrong) {
  Store store(disk, store_options, &syncer);
  Probe probe;
  if (!store.commit()) wrong = "no commit after a start: " + store.unavailable_reason();
  const auto compact = [&](int most) {
    for (int i = 0; i < most && store.wants_compaction(); i++) {
      const auto step = store.compact();
      syncer.run_one();
      if (step == Store::Step::idle) break;
    }
  };
  compact(steps / 2);
  Message m;
  m.id = "probe", m.body = std::string(100, 'p');
  if (store.admit(m)) {
    store.accept(kFirstProbeNumber, m);
    if (!store.commit()) wrong = "no commit after a start: " + store.unavailable_reason();
    syncer.run_all();
    if (store.durable() < store.written()) wrong = "not durable after all syncs";
    probe.acknowledged_at = disk.operations(), probe.id = m.id;
  }
  compact(steps);
  syncer.forget();
  return probe;
}

std::string check_probe(const Store& store, const Probe& probe, OperationCount m, bool lossy) {
  if (m < probe.acknowledged_at) return {};
  const Held* h = store.find(kFirstProbeNumber);
  if (h == nullptr || h->message.id != probe.id) return "the message accepted after the start is lost";
  return h->doubt && !lossy ? "the message accepted after the start is in doubt" : "";
}

struct Workload {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
};

void run_workload(Workload& workload, std::uint64_t seed, int rounds, std::uint64_t failing_syncs = 0) {
  workload.setting.limit = 150'000 + 50'000 * (seed % 5);
  RandomSource dice(seed);
  SimulatedRelay relay(workload.disk, workload.oracle, workload.setting, seed);
  relay.use_large_bodies(seed % 2 == 0);
  for (int i = 0; i < rounds; i++) {
    if (dice.below(1000) < failing_syncs)
      workload.disk.fail(workload.disk.operations(Kind::sync) + 1 + dice.below(2),
                         {.error = std::errc::io_error, .only = Kind::sync, .drops = true});
    relay.round();
    ASSERT_LE(workload.disk.peak_bytes(), workload.setting.limit);
    ASSERT_EQ(relay.log().find("were not found"), std::string::npos) << relay.log();
    // Sometimes the process is killed and the workload continues after a restart.
    if (!dice.chance(2) || !relay.store().unavailable_reason().empty()) continue;
    workload.disk.clear_faults();
    relay.start();
  }
  ASSERT_GT(relay.accepted, static_cast<std::uint64_t>(rounds) / 4);
  ASSERT_GT(relay.calls, static_cast<std::uint64_t>(rounds) / 8);
}

TEST(Crash, KillAtEachOperation) {
  const Stopwatch stopwatch;
  Counts counts;
  for (std::uint64_t seed = 1; seed <= scaled(4); seed++) {
    Workload workload;
    ASSERT_NO_FATAL_FAILURE(run_workload(workload, seed, 220));
    RandomSource dice(seed + 77);
    for (std::size_t n = 0; n <= workload.disk.operations(); n++) {
      for (const std::size_t partial : partial_write_sizes(workload.disk, n, dice)) {
        const auto image = workload.disk.after(n, partial);
        const Clocks clocks = clocks_at(workload.oracle, n);
        std::string log;
        const Options store_options = options(workload.setting, clocks, &log);
        ManualSyncer syncer(*image);
        {
          const Store store(*image, store_options);
          const CheckResult result = check_store(store, workload.oracle, n, false);
          counts.add(result), counts.points++;
          ASSERT_EQ(result.wrong, "") << "seed " << seed << ", after " << n << " and " << partial << " bytes";
        }
        if (dice.below(40) != 0) continue;
        // A second kill at each operation after that start.
        const auto restarted_image = workload.disk.after(n, partial);
        ManualSyncer again_syncer(*restarted_image);
        std::string wrong;
        const Probe probe = continue_after_start(*restarted_image, store_options, again_syncer, 12, wrong);
        ASSERT_EQ(wrong, "");
        ASSERT_LE(restarted_image->peak_bytes(), workload.setting.limit);
        for (std::size_t m = 0; m <= restarted_image->operations(); m++) {
          for (const std::size_t part : partial_write_sizes(*restarted_image, m, dice)) {
            const auto final_image = restarted_image->after(m, part);
            const Store store(*final_image, store_options);
            const CheckResult result = check_store(store, workload.oracle, n, false);
            counts.add(result), counts.second++;
            ASSERT_EQ(result.wrong + check_probe(store, probe, m, false), "")
                << "seed " << seed << ", after " << n << " and " << partial << " bytes, then " << m << " and "
                << part << "\n"
                << log;
          }
        }
      }
    }
  }
  print("process", counts, stopwatch);
}

std::vector<LossChoice> choices(const MemoryDisk& disk, std::size_t n, RandomSource& dice,
                                std::size_t samples) {
  std::vector<LossChoice> all = {LossChoice::none(), LossChoice::all()};
  const std::size_t open = disk.unsynced(n);
  if (open == 0) return {LossChoice::none()};
  for (std::size_t k = 1; k <= std::min<std::size_t>(open, 3); k++)
    all.push_back(LossChoice::only(open <= 3 ? k : 1 + dice.below(open)));
  for (std::size_t k = 0; k < samples; k++) all.push_back(LossChoice::sample(dice.below(1'000'000'000)));
  return all;
}

// Whether a sync failed and the process was killed before the store could record that: then nothing tells
// that readable data may be in memory only. No test can require that it survives another loss of power.
bool failed_sync_unnoted(const MemoryDisk& disk, std::size_t n) {
  for (; n > 0; n--) {
    const Operation store_options = disk.operation(n);
    if (store_options.name == "sync-failed") return false;
    if (store_options.kind == Kind::sync && store_options.error) return true;
  }
  return false;
}

void test_power_loss(std::uint64_t seeds, std::uint64_t failing_syncs, const char* what) {
  const Stopwatch stopwatch;
  Counts counts;
  for (std::uint64_t seed = 1; seed <= seeds; seed++) {
    Workload workload;
    workload.setting.durability = Durability::machine;
    ASSERT_NO_FATAL_FAILURE(run_workload(workload, seed, 130, failing_syncs));
    RandomSource dice(seed + 99);
    for (std::size_t n = 0; n <= workload.disk.operations(); n++) {
      const Clocks clocks = clocks_at(workload.oracle, n);
      std::string log;
      const Options store_options = options(workload.setting, clocks, &log, "boot after");
      for (const auto& choice : choices(workload.disk, n, dice, 3)) {
        const auto where = ::testing::Message() << "seed " << seed << ", after " << n << ", choice "
                                                << static_cast<int>(choice.which) << "/" << choice.value;
        log.clear();
        const auto image = workload.disk.power_loss(n, choice);
        ManualSyncer syncer(*image);
        {
          Store store(*image, store_options, &syncer);
          const CheckResult result = check_store(store, workload.oracle, n, true);
          counts.add(result), counts.points++;
          ASSERT_EQ(result.wrong, "") << where << "\n" << log;
        }
        if (dice.below(50) != 0) continue;
        // The process is killed or the power lost, then the power is lost during the start.
        const bool killed = dice.chance(50) && !failed_sync_unnoted(workload.disk, n);
        const auto restarted_image = killed ? workload.disk.after(n) : workload.disk.power_loss(n, choice);
        ManualSyncer again_syncer(*restarted_image);
        std::string wrong;
        const Probe probe = continue_after_start(*restarted_image, store_options, again_syncer, 12, wrong);
        ASSERT_EQ(wrong, "") << where << log;
        for (std::size_t m = 0; m <= restarted_image->operations(); m++) {
          for (const auto& second : choices(*restarted_image, m, dice, 2)) {
            const auto final_image = restarted_image->power_loss(m, second);
            log.clear();
            ManualSyncer third_syncer(*final_image);
            const Store store(*final_image, store_options, &third_syncer);
            CheckResult result = check_store(store, workload.oracle, n, true);
            counts.add(result), counts.second++;
            ASSERT_EQ(result.wrong + check_probe(store, probe, m, true), "")
                << where << (killed ? " killed" : "") << ", then " << m << ", choice "
                << static_cast<int>(second.which) << "/" << second.value << "\n"
                << log;
          }
        }
      }
    }
  }
  print(what, counts, stopwatch);
}

TEST(Crash, PowerLossAtEachOperation) { test_power_loss(scaled(2), 0, "power"); }
TEST(Crash, PowerLossWithFailedSyncs) { test_power_loss(scaled(2), 30, "power, syncs failing"); }

// Syncs fail, then the process alone is killed, also while it writes unsynced records again.
TEST(Crash, KillWithFailedSyncs) {
  const Stopwatch stopwatch;
  Counts counts;
  for (std::uint64_t seed = 1; seed <= scaled(4); seed++) {
    Workload workload;
    workload.setting.durability = Durability::machine;
    ASSERT_NO_FATAL_FAILURE(run_workload(workload, seed + 500, 130, 60));
    RandomSource dice(seed + 55);
    for (std::size_t n = 0; n <= workload.disk.operations(); n++) {
      for (const std::size_t partial : partial_write_sizes(workload.disk, n, dice)) {
        const auto image = workload.disk.after(n, partial);
        const Clocks clocks = clocks_at(workload.oracle, n);
        std::string log;
        const Options store_options = options(workload.setting, clocks, &log);
        ManualSyncer syncer(*image);
        std::vector<MessageId> held;
        {
          const Store store(*image, store_options, &syncer);
          const CheckResult result = check_store(store, workload.oracle, n, false);
          counts.add(result), counts.points++;
          ASSERT_EQ(result.wrong, "") << "seed " << seed << ", after " << n << " and " << partial << " bytes";
          for (const auto& [number, h] : store.held()) held.push_back(number);
        }
        if (dice.below(10) != 0) continue;
        // All held messages stay held while everything is compacted.
        std::string wrong;
        continue_after_start(*image, store_options, syncer, 100, wrong);
        ASSERT_EQ(wrong, "");
        const Store store(*image, store_options, &syncer);
        counts.second++;
        for (const MessageId number : held)
          ASSERT_NE(store.find(number), nullptr)
              << "seed " << seed << ", after " << n << ": " << number << log;
      }
    }
  }
  print("process, syncs failing", counts, stopwatch);
}

}  // namespace
}  // namespace heronvane::store::testing
