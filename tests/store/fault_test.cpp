// The disk fails: each operation once, for a while, or for want of room; the store tells so, acts on nothing
// that is not there, and mends by itself.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "workload.hpp"

namespace heronvane::store::testing {
namespace {

constexpr int kMaxSteps = 2000;  // of compaction without an end: it loops

// What was told by now must be found by a start on the folder as it is.
std::string kill_now(const MemoryDisk& disk, const Oracle& oracle, Life& life, const Setting& setting) {
  const auto image = disk.after(disk.operations());
  LateSyncer syncer(*image);
  std::string log;
  const Store s(*image, options(setting, life.clocks(), &log), &syncer);
  const auto wrong = judge(s, oracle, disk.operations(), false).wrong;
  return wrong.empty() ? wrong : wrong + "\n" + log;
}

void compact_to_the_end(Life& life) {
  int steps = 0;
  while (life.store().wants_compaction() && steps++ < kMaxSteps) {
    auto step = life.store().compact();
    // It may have waited for a sync.
    if (step == Store::Step::blocked && life.syncer().run_one()) step = Store::Step::more;
    life.syncer().run_all();
    ASSERT_NE(step, Store::Step::blocked) << life.log();
    if (step == Store::Step::idle) break;
  }
  ASSERT_LT(steps, kMaxSteps) << life.log();
}

// Commits alone must end the trouble; and once all that is held is ended there is room again.
void expect_recovery(MemoryDisk& disk, Life& life) {
  Store& s = life.store();
  for (int i = 0; i < 5 && !s.unavailable_reason().empty(); i++) {
    life.clocks().pass(1'100'000);
    s.commit();
    life.syncer().run_all();
  }
  ASSERT_EQ(s.unavailable_reason(), "") << life.log();
  ASSERT_NO_FATAL_FAILURE(compact_to_the_end(life));
  for (int i = 0; i < 100 && !s.held().empty(); i++) {
    life.wind_up();
    life.syncer().run_all();
  }
  ASSERT_EQ(s.held().size(), 0u) << life.log();
  life.clocks().pass(5'000'000);
  ASSERT_TRUE(s.commit());
  life.syncer().run_all();
  ASSERT_NO_FATAL_FAILURE(compact_to_the_end(life));
  Message m;
  m.id = "after", m.deadline = s.clock().now() + 1;
  ASSERT_TRUE(s.admit(m)) << s.bytes() << " of " << s.limit() << "\n" << life.log();
  s.cancel_admission(m);
  ASSERT_EQ(disk.bytes(), s.bytes()) << life.log();
}

// Some write left all its bytes and failed nevertheless: no disk does that.
bool failed_whole(const MemoryDisk& disk, std::size_t from) {
  for (std::size_t n = from + 1; n <= disk.operations(); n++) {
    const Operation o = disk.operation(n);
    if (o.kind == Kind::write && o.error && o.bytes.size() == o.asked) return true;
  }
  return false;
}

struct FaultCounts {
  std::size_t lives = 0, failed_commits = 0, refused = 0, kills = 0;
};

void live_with(const Fault& fault, std::uint64_t first, std::uint64_t count, const Setting& setting,
               std::uint64_t seed, FaultCounts& counts) {
  MemoryDisk disk;
  Oracle oracle;
  Life life(disk, oracle, setting, seed);
  life.big_bodies(seed % 2 == 0);
  constexpr int kBefore = 12, kDuring = 14, kAfter = 6;
  for (int i = 0; i < kBefore; i++) life.round();
  const auto from = disk.operations();
  const std::uint64_t done = fault.only ? disk.operations(*fault.only) : disk.operations();
  disk.fail_from(static_cast<std::size_t>(done + first), fault, count);
  for (int i = 0; i < kDuring; i++) {
    life.round();
    if (failed_whole(disk, from)) return;
    ASSERT_LE(disk.peak_bytes(), setting.limit);
    ASSERT_EQ(kill_now(disk, oracle, life, setting), "") << life.log();
    counts.kills++;
  }
  disk.heal();
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, life));
  for (int i = 0; i < kAfter; i++) {
    life.round();
    ASSERT_EQ(kill_now(disk, oracle, life, setting), "") << life.log();
    counts.kills++;
  }
  ASSERT_LE(disk.peak_bytes(), setting.limit);
  counts.lives++, counts.failed_commits += life.commits_failed, counts.refused += life.refused;
}

void print(const char* what, const FaultCounts& c) {
  std::printf("%s: %zu lives, %zu kills, %zu failed commits, %zu messages refused\n", what, c.lives, c.kills,
              c.failed_commits, c.refused);
}

std::string name(const Fault& f, std::uint64_t first, std::uint64_t count) {
  return std::make_error_code(f.error).message() + ", part " + std::to_string(f.part) + ", operation " +
         std::to_string(first) + ", " + std::to_string(count) + " times";
}

TEST(Fault, EachOperationFailsOnceAndForAWhile) {
  FaultCounts c;
  Setting setting;
  setting.limit = 150'000;
  for (const auto error : {std::errc::no_space_on_device, std::errc::io_error}) {
    for (const std::size_t part : {0, 1, 30, 200}) {
      for (std::uint64_t seed = 1; seed <= scaled(24); seed++) {
        const std::uint64_t first = 1 + seed % 24;
        for (const std::uint64_t count : {1, 2, 9}) {
          Fault f;
          f.error = error, f.part = part;
          SCOPED_TRACE(name(f, first, count));
          ASSERT_NO_FATAL_FAILURE(live_with(f, first, count, setting, seed, c));
        }
      }
    }
  }
  EXPECT_GT(c.failed_commits, c.lives / 2);
  print("faults", c);
}

TEST(Fault, EachKindFails) {
  FaultCounts c;
  Setting setting;
  setting.limit = 150'000;
  for (const auto kind : {Kind::create, Kind::write, Kind::truncate, Kind::allocate, Kind::remove}) {
    for (const auto error : {std::errc::no_space_on_device, std::errc::io_error}) {
      for (std::uint64_t first = 1; first <= scaled(6); first++) {
        for (const std::uint64_t count : {1, 3, 1000}) {
          Fault f;
          f.error = error, f.part = 40, f.only = kind;
          SCOPED_TRACE(name(f, first, count) + ", kind " + std::to_string(static_cast<int>(kind)));
          ASSERT_NO_FATAL_FAILURE(live_with(f, first, count, setting, first + 100, c));
        }
      }
    }
  }
  print("faults by kind", c);
}

// Half a write that can't be cut off either.
TEST(Fault, HalfAWriteStays) {
  FaultCounts c;
  for (std::uint64_t seed = 1; seed <= scaled(40); seed++) {
    MemoryDisk disk;
    Oracle oracle;
    Setting setting;
    setting.limit = 150'000;
    Life life(disk, oracle, setting, seed);
    for (int i = 0; i < 10; i++) life.round();
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
        life.round();
        whole = whole || failed_whole(disk, from);
        if (whole) break;
        ASSERT_EQ(kill_now(disk, oracle, life, setting), "") << "seed " << seed << "\n" << life.log();
        c.kills++;
      }
      if (whole) break;
      disk.heal();
      life.start();
      ASSERT_EQ(judge(life.store(), oracle, disk.operations(), false).wrong, "") << "seed " << seed;
    }
    if (whole) continue;
    ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, life));
    ASSERT_LE(disk.peak_bytes(), setting.limit);
    c.lives++, c.failed_commits += life.commits_failed, c.refused += life.refused;
  }
  EXPECT_GT(c.failed_commits, 0u);
  print("half a write", c);
}

TEST(Fault, SyncsFail) {
  FaultCounts c;
  Setting setting;
  setting.limit = 200'000;
  setting.durability = Durability::machine;
  for (const auto kind : {Kind::sync, Kind::sync_folder}) {
    for (std::uint64_t first = 1; first <= scaled(10); first++) {
      for (const std::uint64_t count : {1, 2, 1000}) {
        Fault f;
        f.error = std::errc::io_error, f.only = kind, f.drops = kind == Kind::sync;
        SCOPED_TRACE(name(f, first, count));
        ASSERT_NO_FATAL_FAILURE(live_with(f, first, count, setting, first + 200, c));
      }
    }
  }
  print("failed syncs", c);
}

// The volume is full though the limit is not reached: what is held can be ended, nothing new comes in.
TEST(Fault, VolumeIsFull) {
  for (std::uint64_t seed = 1; seed <= scaled(30); seed++) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MemoryDisk disk;
    Oracle oracle;
    Setting setting;
    setting.limit = 400'000;
    setting.durability = seed % 3 == 0 ? Durability::machine : Durability::process;
    Life life(disk, oracle, setting, seed);
    for (int i = 0; i < 40; i++) life.round();
    life.syncer().run_all();
    const auto held = life.store().held().size();
    ASSERT_GT(held, 5u);
    disk.set_capacity(disk.used() + (seed % 4) * 700);
    const auto accepted = life.accepted;
    for (int i = 0; i < 10; i++) life.round();
    ASSERT_EQ(kill_now(disk, oracle, life, setting), "") << life.log();
    for (int i = 0; i < 60 && !life.store().held().empty(); i++) {
      life.wind_up();
      life.syncer().run_all();
      ASSERT_EQ(kill_now(disk, oracle, life, setting), "") << life.log();
    }
    ASSERT_EQ(life.store().held().size(), 0u)
        << life.log() << life.commits_failed << " failed, accepted " << life.accepted - accepted;
    // Compaction under a full volume comes to an end.
    int steps = 0;
    while (life.store().wants_compaction() && life.store().compact() == Store::Step::more &&
           steps < kMaxSteps)
      steps++, life.syncer().run_all();
    ASSERT_LT(steps, kMaxSteps);
    disk.set_capacity(MemoryDisk::kEndless);
    ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, life));
    ASSERT_LE(disk.peak_bytes(), setting.limit);
  }
}

// The limit is lowered under what is there.
TEST(Fault, LoweredLimit) {
  for (std::uint64_t seed = 1; seed <= scaled(20); seed++) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MemoryDisk disk;
    Oracle oracle;
    Setting setting;
    setting.limit = 1'000'000;
    std::uint64_t peak = 0;
    {
      Life life(disk, oracle, setting, seed);
      life.big_bodies(true);
      for (int i = 0; i < 150 || disk.bytes() < 250'000; i++) life.round();
      peak = disk.bytes();
    }
    Setting low = setting;
    low.limit = 150'000 + 20'000 * (seed % 3);
    ASSERT_GT(peak, low.limit);
    Life life(disk, oracle, low, seed + 1);
    life.clocks().pass(10'000'000);
    ASSERT_NE(life.store().unavailable_reason(), "");
    const auto before = oracle.messages.size();
    for (int i = 0; i < 3; i++) life.round();
    ASSERT_EQ(oracle.messages.size(), before);  // nothing was admitted
    for (int i = 0; i < 200 && !life.store().held().empty(); i++) life.wind_up();
    ASSERT_EQ(life.store().held().size(), 0u) << life.log();
    ASSERT_EQ(life.commits_failed, 0u) << life.log();
    ASSERT_NO_FATAL_FAILURE(compact_to_the_end(life));
    ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, life));
    ASSERT_LE(disk.bytes(), low.limit);
    ASSERT_EQ(kill_now(disk, oracle, life, low), "");
  }
}

// A disk that fails for a long time: what waits does not grow past what the folder can take.
TEST(Fault, LongOutage) {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
  setting.limit = 200'000;
  Life life(disk, oracle, setting, 5);
  for (int i = 0; i < 30; i++) life.round();
  disk.fail_from(disk.operations() + 1, {.error = std::errc::io_error});
  for (int i = 0; i < 20; i++) life.round();
  for (int second = 0; second < 4 * 3600; second++) {
    life.clocks().pass(1'000'000);
    ASSERT_FALSE(life.store().commit());
    EXPECT_NE(life.store().unavailable_reason(), "");
  }
  disk.heal();
  ASSERT_TRUE(life.store().commit()) << life.store().unavailable_reason();
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, life));
  ASSERT_LE(disk.peak_bytes(), setting.limit);
  ASSERT_EQ(kill_now(disk, oracle, life, setting), "");
}

// Segments can be begun and nothing more be written to them: none stays for each try.
TEST(Fault, WritesToFreshSegmentsFailForLong) {
  for (const auto durability : {Durability::process, Durability::machine}) {
    MemoryDisk disk;
    Oracle oracle;
    Setting setting;
    setting.limit = 200'000;
    setting.durability = durability;
    Life life(disk, oracle, setting, 7);
    for (int i = 0; i < 30; i++) life.round();
    life.syncer().run_all();
    std::size_t segments = 0, files = 0, first = 1;
    for (int i = 0; i < 2000; i++) {
      life.clocks().pass(50'000);
      disk.fail(disk.operations(Kind::write) + first, {.error = std::errc::io_error, .only = Kind::write});
      if (life.store().commit()) life.round();
      life.syncer().run_all();
      first = 2;  // behind the first record
      segments = std::max(segments, life.store().segments().size());
      files = std::max(files, disk.open_files());
    }
    EXPECT_LT(segments, 50u);
    EXPECT_LT(files, 10u);
    disk.heal();
    ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, life));
    ASSERT_LE(disk.peak_bytes(), setting.limit);
    ASSERT_EQ(kill_now(disk, oracle, life, setting), "") << life.log();
  }
}

// A file that can't be removed for long is told of once, not each time that is tried.
TEST(Fault, AFileThatStaysIsToldOfOnce) {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
  setting.limit = 150'000;
  Life life(disk, oracle, setting, 5);
  disk.fail_from(1, {.error = std::errc::io_error, .only = Kind::remove});
  const auto told = [&] {
    int n = 0;
    for (auto at = life.log().find("can't be removed"); at != std::string::npos;
         at = life.log().find("can't be removed", at + 1))
      n++;
    return n;
  };
  for (int i = 0; i < 300 && told() == 0; i++) life.round();
  ASSERT_EQ(told(), 1);
  for (int i = 0; i < 50; i++) life.store().compact();
  EXPECT_EQ(told(), 1);
  disk.heal();
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, life));
}

// Syncs that fail for long: each is tried again with all that came with it, and nothing piles up by that.
TEST(Fault, SyncsFailForLong) {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
  setting.limit = 200'000;
  setting.durability = Durability::machine;
  Life life(disk, oracle, setting, 5);
  for (int i = 0; i < 30; i++) life.round();
  life.syncer().run_all();
  disk.fail_from(disk.operations(Kind::sync) + 1,
                 {.error = std::errc::io_error, .only = Kind::sync, .drops = true});
  std::size_t segments = 0, files = 0;
  int well = 0;
  const auto before = life.store().written_bytes();
  for (int i = 0; i < 3000; i++) {
    life.clocks().pass(50'000);
    if (i % 100 == 0) {
      life.round();
    } else {
      life.store().commit();
      life.syncer().run_all();
      if (life.store().wants_compaction()) life.store().compact();
      life.syncer().run_all();
    }
    well += life.store().unavailable_reason().empty();
    segments = std::max(segments, life.store().segments().size());
    files = std::max(files, disk.open_files());
  }
  EXPECT_EQ(well, 0) << "a moment between two failures looks well";
  EXPECT_LT(life.store().written_bytes() - before, 10'000'000u);
  EXPECT_LT(segments, 50u);
  EXPECT_LT(files, 10u);
  ASSERT_EQ(kill_now(disk, oracle, life, setting), "");
  disk.heal();
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, life));
  ASSERT_LE(disk.peak_bytes(), setting.limit);
  ASSERT_EQ(kill_now(disk, oracle, life, setting), "");
}

// Sets part of the room aside and fails, as ext4 does.
class PartlyDisk : public MemoryDisk {
 public:
  std::error_code allocate(FileId file, std::uint64_t bytes) override {
    const auto bad = MemoryDisk::allocate(file, bytes);
    for (auto part = bytes; bad && part > kBlock && MemoryDisk::allocate(file, part - kBlock);)
      part -= kBlock;
    return bad;
  }
};

// Where not all of the room can be set aside, the part that was must not hold up the ends it is meant for.
TEST(Fault, RoomIsSetAsideInPart) {
  PartlyDisk disk;
  Oracle oracle;
  const Setting setting;
  Life life(disk, oracle, setting, 3);
  for (int i = 0; i < 15; i++) life.round();
  ASSERT_GT(life.store().held().size(), 5u);
  disk.set_capacity(disk.used() - 40'000);  // of the 64 KB that are set aside
  life.start();
  ASSERT_NE(life.store().unavailable_reason(), "");
  for (int i = 0; i < 50 && !life.store().held().empty(); i++) life.wind_up();
  EXPECT_EQ(life.store().held().size(), 0u);
  EXPECT_EQ(life.commits_failed, 0u) << life.log();
  EXPECT_EQ(kill_now(disk, oracle, life, setting), "");
}

// Starts upon starts, each leaving a segment: the folder stays under its limit and goes on taking messages.
TEST(Fault, ManyStarts) {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
  setting.limit = 250'000;
  Life life(disk, oracle, setting, 9);
  std::uint64_t at = 0;
  for (std::uint64_t i = 0; i < 400; i++) {
    life.start();
    for (std::uint64_t k = 0; k < 1 + i % 3; k++) life.round();
    ASSERT_LE(disk.peak_bytes(), setting.limit);
    ASSERT_EQ(life.commits_failed, 0u) << life.log();
    if (i % 100 != 99) continue;
    ASSERT_EQ(kill_now(disk, oracle, life, setting), "") << life.log();
    ASSERT_GT(life.accepted, at + 20) << "start " << i;
    at = life.accepted;
  }
  ASSERT_NO_FATAL_FAILURE(expect_recovery(disk, life));
}

}  // namespace
}  // namespace heronvane::store::testing
