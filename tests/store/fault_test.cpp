// Disk failures: each operation fails once or for a while, or the volume is full. The store must report the
// failure, must not act on records that were not written, and must recover by itself.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "workload.hpp"

namespace heronvane::store::testing {
namespace {

constexpr int kMaxCompactionSteps = 2000;  // more compaction steps than this are an endless loop

// Everything acknowledged by now must be found by a start on the folder as it is.
std::string check_after_kill(const MemoryDisk& disk, const Oracle& oracle, SimulatedRelay& relay,
                             const Setting& setting) {
  const auto image = disk.after(disk.operations());
  ManualSyncer syncer(*image);
  std::string log;
  const Store s(*image, options(setting, relay.clocks(), &log), &syncer);
  const auto wrong = check_store(s, oracle, disk.operations(), false).wrong;
  return wrong.empty() ? wrong : wrong + "\n" + log;
}

void compact_until_idle(SimulatedRelay& relay) {
  int steps = 0;
  while (relay.store().wants_compaction() && steps++ < kMaxCompactionSteps) {
    auto step = relay.store().compact();
    // It may have been waiting for a sync.
    if (step == Store::Step::blocked && relay.syncer().run_one()) step = Store::Step::more;
    relay.syncer().run_all();
    ASSERT_NE(step, Store::Step::blocked) << relay.log();
    if (step == Store::Step::idle) break;
  }
  ASSERT_LT(steps, kMaxCompactionSteps) << relay.log();
}

// Commits alone must end the failure; once all held messages are finished, messages are admitted again.
void expect_recovery(MemoryDisk& disk, SimulatedRelay& relay) {
  Store& s = relay.store();
  for (int i = 0; i < 5 && !s.unavailable_reason().empty(); i++) {
    relay.clocks().pass(1'100'000);
    s.commit();
    relay.syncer().run_all();
  }
  ASSERT_EQ(s.unavailable_reason(), "") << relay.log();
  ASSERT_NO_FATAL_FAILURE(compact_until_idle(relay));
  for (int i = 0; i < 100 && !s.held().empty(); i++) {
    relay.finish_all();
    relay.syncer().run_all();
  }
  ASSERT_EQ(s.held().size(), 0u) << relay.log();
  relay.clocks().pass(5'000'000);
  ASSERT_TRUE(s.commit());
  relay.syncer().run_all();
  ASSERT_NO_FATAL_FAILURE(compact_until_idle(relay));
  Message m;
  m.id = "after", m.deadline = s.clock().now() + 1;
  ASSERT_TRUE(s.admit(m)) << s.bytes() << " of " << s.limit() << "\n" << relay.log();
  s.cancel_admission(m);
  ASSERT_EQ(disk.bytes(), s.bytes()) << relay.log();
}

// Whether a write left all its bytes and failed nevertheless, which no disk does.
bool failed_after_full_write(const MemoryDisk& disk, std::size_t from) {
  for (std::size_t n = from + 1; n <= disk.operations(); n++) {
    const Operation o = disk.operation(n);
    if (o.kind == Kind::write && o.error && o.bytes.size() == o.asked) return true;
  }
  return false;
}

struct FaultCounts {
  std::size_t workloads = 0, failed_commits = 0, refused = 0, kills = 0;
};

void run_with_fault(const Fault& fault, std::uint64_t first, std::uint64_t count, const Setting& setting,
                    std::uint64_t seed, FaultCounts& counts) {
  MemoryDisk disk;
  Oracle oracle;
  SimulatedRelay relay(disk, oracle, setting, seed);
  relay.use_large_bodies(seed % 2 == 0);
  constexpr int kBefore = 12, kDuring = 14, kAfter = 6;
  for (int i = 0; i < kBefore; i++) relay.round();
  const auto from = disk.operations();
  const std::uint64_t done = fault.only ? disk.operations(*fault.only) : disk.operations();
  disk.fail_from(static_cast<std::size_t>(done + first), fault, count);
  for (int i = 0; i < kDuring; i++) {
    relay.round();
    if (failed_after_full_write(disk, from)) return;
    ASSERT_LE(disk.peak_bytes(), setting.limit);
    ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "") << relay.log();
    counts.kills++;
  }
  disk.clear_faults();
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, relay));
  for (int i = 0; i < kAfter; i++) {
    relay.round();
    ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "") << relay.log();
    counts.kills++;
  }
  ASSERT_LE(disk.peak_bytes(), setting.limit);
  counts.workloads++, counts.failed_commits += relay.failed_commits, counts.refused += relay.refused;
}

void print(const char* what, const FaultCounts& counts) {
  std::printf("%s: %zu workloads, %zu kills, %zu failed commits, %zu messages refused\n", what,
              counts.workloads, counts.kills, counts.failed_commits, counts.refused);
}

std::string describe(const Fault& fault, std::uint64_t first, std::uint64_t count) {
  return std::make_error_code(fault.error).message() + ", part " + std::to_string(fault.part) +
         ", operation " + std::to_string(first) + ", " + std::to_string(count) + " times";
}

TEST(Fault, EachOperationFailsOnceOrRepeatedly) {
  FaultCounts counts;
  Setting setting;
  setting.limit = 150'000;
  for (const auto error : {std::errc::no_space_on_device, std::errc::io_error}) {
    for (const std::size_t part : {0, 1, 30, 200}) {
      for (std::uint64_t seed = 1; seed <= scaled(24); seed++) {
        const std::uint64_t first = 1 + seed % 24;
        for (const std::uint64_t count : {1, 2, 9}) {
          Fault fault;
          fault.error = error, fault.part = part;
          SCOPED_TRACE(describe(fault, first, count));
          ASSERT_NO_FATAL_FAILURE(run_with_fault(fault, first, count, setting, seed, counts));
        }
      }
    }
  }
  EXPECT_GT(counts.failed_commits, counts.workloads / 2);
  print("faults", counts);
}

TEST(Fault, EachKindOfOperationFails) {
  FaultCounts counts;
  Setting setting;
  setting.limit = 150'000;
  for (const auto kind : {Kind::create, Kind::write, Kind::truncate, Kind::allocate, Kind::remove}) {
    for (const auto error : {std::errc::no_space_on_device, std::errc::io_error}) {
      for (std::uint64_t first = 1; first <= scaled(6); first++) {
        for (const std::uint64_t count : {1, 3, 1000}) {
          Fault fault;
          fault.error = error, fault.part = 40, fault.only = kind;
          SCOPED_TRACE(describe(fault, first, count) + ", kind " + std::to_string(static_cast<int>(kind)));
          ASSERT_NO_FATAL_FAILURE(run_with_fault(fault, first, count, setting, first + 100, counts));
        }
      }
    }
  }
  print("faults by kind", counts);
}

// A partial write that can't be truncated either.
TEST(Fault, PartialWriteCannotBeTruncated) {
  FaultCounts counts;
  for (std::uint64_t seed = 1; seed <= scaled(40); seed++) {
    MemoryDisk disk;
    Oracle oracle;
    Setting setting;
    setting.limit = 150'000;
    SimulatedRelay relay(disk, oracle, setting, seed);
    for (int i = 0; i < 10; i++) relay.round();
    bool whole = false;
    for (int k = 0; k < 4; k++) {
      const auto from = disk.operations();
      Fault half;
      half.only = Kind::write, half.part = 1 + (seed % 3 == 0 ? seed * 37 % 300 : seed * 7 % 31);
      half.error = seed % 2 == 0 ? std::errc::io_error : std::errc::no_space_on_device;
      disk.fail_from(disk.operations(Kind::write) + 1 + seed % 3, half, 1 + seed % 2);
      Fault cut;
      cut.only = Kind::truncate, cut.error = std::errc::io_error;
      disk.fail_from(disk.operations(Kind::truncate) + 1, cut);
      for (int i = 0; i < 6; i++) {
        relay.round();
        whole = whole || failed_after_full_write(disk, from);
        if (whole) break;
        ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "") << "seed " << seed << "\n"
                                                                      << relay.log();
        counts.kills++;
      }
      if (whole) break;
      disk.clear_faults();
      relay.start();
      ASSERT_EQ(check_store(relay.store(), oracle, disk.operations(), false).wrong, "") << "seed " << seed;
    }
    if (whole) continue;
    ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, relay));
    ASSERT_LE(disk.peak_bytes(), setting.limit);
    counts.workloads++, counts.failed_commits += relay.failed_commits, counts.refused += relay.refused;
  }
  EXPECT_GT(counts.failed_commits, 0u);
  print("partial writes", counts);
}

TEST(Fault, SyncsFail) {
  FaultCounts counts;
  Setting setting;
  setting.limit = 200'000;
  setting.durability = Durability::machine;
  for (const auto kind : {Kind::sync, Kind::sync_folder}) {
    for (std::uint64_t first = 1; first <= scaled(10); first++) {
      for (const std::uint64_t count : {1, 2, 1000}) {
        Fault fault;
        fault.error = std::errc::io_error, fault.only = kind, fault.drops = kind == Kind::sync;
        SCOPED_TRACE(describe(fault, first, count));
        ASSERT_NO_FATAL_FAILURE(run_with_fault(fault, first, count, setting, first + 200, counts));
      }
    }
  }
  print("failed syncs", counts);
}

// The volume is full although the limit is not reached: held messages can be finished, new ones are refused.
TEST(Fault, VolumeIsFull) {
  for (std::uint64_t seed = 1; seed <= scaled(30); seed++) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MemoryDisk disk;
    Oracle oracle;
    Setting setting;
    setting.limit = 400'000;
    setting.durability = seed % 3 == 0 ? Durability::machine : Durability::process;
    SimulatedRelay relay(disk, oracle, setting, seed);
    for (int i = 0; i < 40; i++) relay.round();
    relay.syncer().run_all();
    const auto held = relay.store().held().size();
    ASSERT_GT(held, 5u);
    disk.set_capacity(disk.used() + (seed % 4) * 700);
    const auto accepted = relay.accepted;
    for (int i = 0; i < 10; i++) relay.round();
    ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "") << relay.log();
    for (int i = 0; i < 60 && !relay.store().held().empty(); i++) {
      relay.finish_all();
      relay.syncer().run_all();
      ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "") << relay.log();
    }
    ASSERT_EQ(relay.store().held().size(), 0u)
        << relay.log() << relay.failed_commits << " failed, accepted " << relay.accepted - accepted;
    // Compaction on a full volume must terminate.
    int steps = 0;
    while (relay.store().wants_compaction() && relay.store().compact() == Store::Step::more &&
           steps < kMaxCompactionSteps)
      steps++, relay.syncer().run_all();
    ASSERT_LT(steps, kMaxCompactionSteps);
    disk.set_capacity(MemoryDisk::kEndless);
    ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, relay));
    ASSERT_LE(disk.peak_bytes(), setting.limit);
  }
}

// The limit is lowered below the size of the files.
TEST(Fault, LoweredLimit) {
  for (std::uint64_t seed = 1; seed <= scaled(20); seed++) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MemoryDisk disk;
    Oracle oracle;
    Setting setting;
    setting.limit = 1'000'000;
    std::uint64_t peak = 0;
    {
      SimulatedRelay relay(disk, oracle, setting, seed);
      relay.use_large_bodies(true);
      for (int i = 0; i < 150 || disk.bytes() < 250'000; i++) relay.round();
      peak = disk.bytes();
    }
    Setting low_limit = setting;
    low_limit.limit = 150'000 + 20'000 * (seed % 3);
    ASSERT_GT(peak, low_limit.limit);
    SimulatedRelay relay(disk, oracle, low_limit, seed + 1);
    relay.clocks().pass(10'000'000);
    ASSERT_NE(relay.store().unavailable_reason(), "");
    const auto before = oracle.messages.size();
    for (int i = 0; i < 3; i++) relay.round();
    ASSERT_EQ(oracle.messages.size(), before);  // nothing was admitted
    for (int i = 0; i < 200 && !relay.store().held().empty(); i++) relay.finish_all();
    ASSERT_EQ(relay.store().held().size(), 0u) << relay.log();
    ASSERT_EQ(relay.failed_commits, 0u) << relay.log();
    ASSERT_NO_FATAL_FAILURE(compact_until_idle(relay));
    ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, relay));
    ASSERT_LE(disk.bytes(), low_limit.limit);
    ASSERT_EQ(check_after_kill(disk, oracle, relay, low_limit), "");
  }
}

// The disk fails for hours: the pending records must not outgrow the space of the folder.
TEST(Fault, DiskFailsForHours) {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
  setting.limit = 200'000;
  SimulatedRelay relay(disk, oracle, setting, 5);
  for (int i = 0; i < 30; i++) relay.round();
  disk.fail_from(disk.operations() + 1, {.error = std::errc::io_error});
  for (int i = 0; i < 20; i++) relay.round();
  for (int second = 0; second < 4 * 3600; second++) {
    relay.clocks().pass(1'000'000);
    ASSERT_FALSE(relay.store().commit());
    EXPECT_NE(relay.store().unavailable_reason(), "");
  }
  disk.clear_faults();
  ASSERT_TRUE(relay.store().commit()) << relay.store().unavailable_reason();
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, relay));
  ASSERT_LE(disk.peak_bytes(), setting.limit);
  ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "");
}

// Segments can be begun, but further writes to them fail: not every attempt may leave a segment.
TEST(Fault, WritesToNewSegmentsKeepFailing) {
  for (const auto durability : {Durability::process, Durability::machine}) {
    MemoryDisk disk;
    Oracle oracle;
    Setting setting;
    setting.limit = 200'000;
    setting.durability = durability;
    SimulatedRelay relay(disk, oracle, setting, 7);
    for (int i = 0; i < 30; i++) relay.round();
    relay.syncer().run_all();
    std::size_t segments = 0, files = 0, first = 1;
    for (int i = 0; i < 2000; i++) {
      relay.clocks().pass(50'000);
      disk.fail(disk.operations(Kind::write) + first, {.error = std::errc::io_error, .only = Kind::write});
      if (relay.store().commit()) relay.round();
      relay.syncer().run_all();
      first = 2;  // after the first record of a segment
      segments = std::max(segments, relay.store().segments().size());
      files = std::max(files, disk.open_files());
    }
    EXPECT_LT(segments, 50u);
    EXPECT_LT(files, 10u);
    disk.clear_faults();
    ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, relay));
    ASSERT_LE(disk.peak_bytes(), setting.limit);
    ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "") << relay.log();
  }
}

// A file that can't be removed for a long time is logged once, not at each attempt.
TEST(Fault, FailedRemovalIsLoggedOnce) {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
  setting.limit = 150'000;
  SimulatedRelay relay(disk, oracle, setting, 5);
  disk.fail_from(1, {.error = std::errc::io_error, .only = Kind::remove});
  const auto logged_failures = [&] {
    int n = 0;
    for (auto at = relay.log().find("can't be removed"); at != std::string::npos;
         at = relay.log().find("can't be removed", at + 1))
      n++;
    return n;
  };
  for (int i = 0; i < 300 && logged_failures() == 0; i++) relay.round();
  ASSERT_EQ(logged_failures(), 1);
  for (int i = 0; i < 50; i++) relay.store().compact();
  EXPECT_EQ(logged_failures(), 1);
  disk.clear_faults();
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, relay));
}

// Syncs keep failing: each is retried together with later records, and nothing accumulates.
TEST(Fault, SyncsKeepFailing) {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
  setting.limit = 200'000;
  setting.durability = Durability::machine;
  SimulatedRelay relay(disk, oracle, setting, 5);
  for (int i = 0; i < 30; i++) relay.round();
  relay.syncer().run_all();
  disk.fail_from(disk.operations(Kind::sync) + 1,
                 {.error = std::errc::io_error, .only = Kind::sync, .drops = true});
  std::size_t segments = 0, files = 0;
  int available = 0;
  const auto before = relay.store().written_bytes();
  for (int i = 0; i < 3000; i++) {
    relay.clocks().pass(50'000);
    if (i % 100 == 0) {
      relay.round();
    } else {
      relay.store().commit();
      relay.syncer().run_all();
      if (relay.store().wants_compaction()) relay.store().compact();
      relay.syncer().run_all();
    }
    available += relay.store().unavailable_reason().empty();
    segments = std::max(segments, relay.store().segments().size());
    files = std::max(files, disk.open_files());
  }
  EXPECT_EQ(available, 0) << "the store seemed available between two failures";
  EXPECT_LT(relay.store().written_bytes() - before, 10'000'000u);
  EXPECT_LT(segments, 50u);
  EXPECT_LT(files, 10u);
  ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "");
  disk.clear_faults();
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, relay));
  ASSERT_LE(disk.peak_bytes(), setting.limit);
  ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "");
}

// Allocates a part of the space and fails, as ext4 does.
class PartlyDisk : public MemoryDisk {
 public:
  std::error_code allocate(FileId file, std::uint64_t bytes) override {
    const auto error = MemoryDisk::allocate(file, bytes);
    for (auto part = bytes; error && part > kBlock && MemoryDisk::allocate(file, part - kBlock);)
      part -= kBlock;
    return error;
  }
};

// If only a part of the space can be reserved, that part must not prevent the writes it is meant for.
TEST(Fault, SpaceIsReservedInPart) {
  PartlyDisk disk;
  Oracle oracle;
  const Setting setting;
  SimulatedRelay relay(disk, oracle, setting, 3);
  for (int i = 0; i < 15; i++) relay.round();
  ASSERT_GT(relay.store().held().size(), 5u);
  disk.set_capacity(disk.used() - 40'000);  // of the 64 KB reserved
  relay.start();
  ASSERT_NE(relay.store().unavailable_reason(), "");
  for (int i = 0; i < 50 && !relay.store().held().empty(); i++) relay.finish_all();
  EXPECT_EQ(relay.store().held().size(), 0u);
  EXPECT_EQ(relay.failed_commits, 0u) << relay.log();
  EXPECT_EQ(check_after_kill(disk, oracle, relay, setting), "");
}

// Many starts, each of which leaves a segment: the folder stays below its limit and goes on accepting
// messages.
TEST(Fault, ManyStarts) {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
  setting.limit = 250'000;
  SimulatedRelay relay(disk, oracle, setting, 9);
  std::uint64_t at = 0;
  for (std::uint64_t i = 0; i < 400; i++) {
    relay.start();
    for (std::uint64_t k = 0; k < 1 + i % 3; k++) relay.round();
    ASSERT_LE(disk.peak_bytes(), setting.limit);
    ASSERT_EQ(relay.failed_commits, 0u) << relay.log();
    if (i % 100 != 99) continue;
    ASSERT_EQ(check_after_kill(disk, oracle, relay, setting), "") << relay.log();
    ASSERT_GT(relay.accepted, at + 20) << "start " << i;
    at = relay.accepted;
  }
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, relay));
}

}  // namespace
}  // namespace heronvane::store::testing
