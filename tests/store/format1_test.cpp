// Migration from format 1: killed at each operation, damaged, and refused if the file is of another format;
// and the persistent clock that stored times rely on.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cstdio>

#include "store/persistent_clock.hpp"
#include "store/scan.hpp"
#include "workload.hpp"

namespace heronvane::store::testing {
namespace {

// Writes a file of format 1.
class Format1File {
 public:
  template <class T>
  Format1File& n(T v) {
    payload_.append(reinterpret_cast<const char*>(&v), sizeof v);
    return *this;
  }
  Format1File& s(const std::string& v) {
    n(static_cast<std::uint32_t>(v.size()));
    payload_ += v;
    return *this;
  }
  void frame() {
    boost::crc_32_type crc;
    crc.process_bytes(payload_.data(), payload_.size());
    const auto size = static_cast<std::uint32_t>(payload_.size());
    const std::uint32_t sum = crc.checksum();
    frame_offsets.push_back(bytes.size());
    bytes.append(reinterpret_cast<const char*>(&size), 4).append(reinterpret_cast<const char*>(&sum), 4);
    bytes += payload_;
    payload_.clear();
  }
  void accept(MessageId number, const Message& m) {
    n('T').n(number).s(m.id).s(m.message_class).s(m.tenant).n(m.destination).n(m.deadline);
    n(static_cast<char>(m.repeat)).s(m.body).frame();
  }
  void sent(MessageId number, Microseconds at, int zone) {
    n('S').n(number).n(at).n(std::int32_t{zone}).frame();
  }
  void outcome(MessageId number, int attempt, Outcome o) {
    n('O').n(number).n(std::int32_t{attempt}).n(static_cast<char>(o)).frame();
  }
  void give_up(MessageId number, bool deferred, Microseconds again) {
    n('E').n(number).n(static_cast<char>(deferred)).n(again).frame();
  }
  void finish(MessageId number) { n('X').n(number).frame(); }

  std::string bytes = "heronvane journal 1\n";
  std::vector<std::size_t> frame_offsets;  // the offset at which each frame begins

 private:
  std::string payload_;
};

constexpr Microseconds kDeadline = 1'700'000'030'000'000;

Message message(MessageId number) {
  Message m;
  m.id = "old" + std::to_string(number), m.message_class = "c", m.tenant = "t", m.destination = 3;
  m.deadline = kDeadline + static_cast<Microseconds>(number), m.repeat = number % 2 == 0;
  m.body = std::string(number * 13 % 300, 'b');
  return m;
}

// Messages 1 to 30 are accepted, every third is finished. 2 was sent without an outcome, 4 was sent and
// rejected, 5 was sent twice, 7 was given up.
Format1File format1_file() {
  Format1File f;
  for (MessageId n = 1; n <= 30; n++) {
    f.accept(n, message(n));
    if (n == 5) f.sent(2, 100, 1), f.sent(4, 101, 0), f.outcome(4, 0, Outcome::rejected);
    if (n > 6 && n % 3 == 0) f.finish(n - 3);
  }
  f.sent(5, 102, 0), f.outcome(5, 0, Outcome::connect_failed), f.sent(5, 103, 1);
  f.give_up(7, true, 77);
  return f;
}

std::string find_mismatch(const Store& s, bool sound = true) {
  for (MessageId n = 1; n <= 30; n++) {
    const bool over = n >= 6 && n <= 27 && n % 3 == 0;
    const Held* held = s.find(n);
    const auto at = " of " + std::to_string(n);
    if (over != (held == nullptr)) return over ? "finished message is held" + at : "loss" + at;
    if (held == nullptr) continue;
    const Message m = message(n);
    if (held->message.id != m.id || held->message.body != m.body || held->message.repeat != m.repeat ||
        held->message.deadline != m.deadline || held->message.destination != 3)
      return "change" + at;
    const std::size_t attempts = n == 2 || n == 4 ? 1 : n == 5 ? 2 : 0;
    if (held->attempts.size() != attempts) return "attempts" + at;
    if (held->possibly_executed() != (n == 2 || n == 5)) return "may have run" + at;
    if (held->ending.has_value() != (n == 7)) return "ending" + at;
    if (n == 5 && (held->attempts[1].sent != 103 || held->attempts[1].zone != 1)) return "attempt" + at;
    if (n == 7 && (!held->ending->deferred || held->ending->again != 77)) return "ending" + at;
  }
  if (sound && s.recovery().counts.missing > 0) return "damage";
  return s.next_number() == 31 ? "" : "next number";
}

void compact_all(Store& s) {
  for (int i = 0; i < 500 && s.wants_compaction(); i++)
    if (s.compact() != Store::Step::more) break;
}

bool format1_file_is_gone(MemoryDisk& disk) {
  std::vector<Disk::Entry> entries;
  disk.list(entries);
  for (const auto& e : entries)
    if (e.name == "journal" || e.name.find(".hv1") != std::string::npos) return false;
  return true;
}

TEST(Format1, IsMigratedThroughAnyCrash) {
  std::size_t points = 0;
  for (const auto durability : {Durability::process, Durability::machine}) {
    Setting setting;
    setting.durability = durability;
    const Clocks clocks;
    const Options o = options(setting, clocks);
    MemoryDisk disk;
    disk.put("journal", format1_file().bytes);
    disk.put("journal.next", format1_file().bytes.substr(0, 300));
    disk.settle();
    ManualSyncer syncer(disk);
    {
      Store s(disk, o, &syncer);
      ASSERT_EQ(find_mismatch(s), "");
      // The earlier version can't start on the migrated folder.
      std::vector<Disk::Entry> entries;
      disk.list(entries);
      ASSERT_TRUE(std::any_of(entries.begin(), entries.end(),
                              [](const auto& e) { return e.name == "journal.next" && e.folder; }));
      for (int i = 0; i < 100 && s.wants_compaction(); i++) compact_all(s), syncer.run_all();
      ASSERT_EQ(find_mismatch(s), "");
      syncer.forget();
    }
    ASSERT_TRUE(format1_file_is_gone(disk));
    for (std::size_t n = 0; n <= disk.operations(); n++) {
      const bool write = n < disk.operations() && disk.operation(n + 1).kind == Kind::write;
      const std::size_t size = write ? disk.operation(n + 1).bytes.size() : 0;
      for (std::size_t partial = 0; partial <= size; partial += 1 + size / 20) {
        const auto image = disk.after(n, partial);
        ManualSyncer syncer_of_image(*image);
        Store s(*image, o, &syncer_of_image);
        ASSERT_EQ(find_mismatch(s), "") << n << " and " << partial;
        ASSERT_TRUE(s.commit());
        for (int i = 0; i < 100 && s.wants_compaction(); i++) compact_all(s), syncer_of_image.run_all();
        ASSERT_EQ(find_mismatch(s), "") << n << " and " << partial;
        ASSERT_TRUE(format1_file_is_gone(*image)) << n << " and " << partial;
        syncer_of_image.forget();
        points++;
      }
      if (durability == Durability::process) continue;
      for (std::uint64_t seed = 0; seed < 8; seed++) {
        const auto choice = seed == 0   ? LossChoice::none()
                            : seed == 1 ? LossChoice::all()
                                        : LossChoice::sample(seed);
        const auto image = disk.power_loss(n, choice);
        ManualSyncer syncer_of_image(*image);
        const Store s(*image, o, &syncer_of_image);
        for (MessageId k = 1; k <= 30; k++) {
          if (k < 6 || k > 27 || k % 3 != 0) {
            ASSERT_NE(s.find(k), nullptr) << n << ", " << seed << ": " << k;
          }
        }
        ASSERT_TRUE(s.held().at(2).possibly_executed() && s.held().at(5).possibly_executed());
        points++;
      }
    }
  }
  std::printf("format 1: %zu crash points\n", points);
}

TEST(Format1, TornEnd) {
  const Clocks clocks;
  const Format1File f = format1_file();
  for (std::size_t size = 0; size <= f.bytes.size(); size++) {
    MemoryDisk disk;
    disk.put("journal", f.bytes.substr(0, size));
    Store s(disk, options({}, clocks));
    ASSERT_EQ(s.recovery().damaged.size(), 0u) << size;
    ASSERT_TRUE(s.commit());
    if (size == f.bytes.size()) {
      ASSERT_EQ(find_mismatch(s), "");
    }
  }
}

TEST(Format1, Damaged) {
  const Clocks clocks;
  const Format1File f = format1_file();
  RandomSource dice(1);
  std::size_t images = 0, held_count = 0, doubtful = 0;
  for (std::uint64_t k = 0; k < scaled(1500); k++) {
    const auto from = dice.below(f.bytes.size());
    const auto to =
        std::min<std::uint64_t>(f.bytes.size(), from + 1 + (dice.chance(50) ? 0 : dice.below(300)));
    std::string bytes = f.bytes;
    for (auto i = from; i < to; i++) bytes[i] = static_cast<char>(dice.chance(50) ? 0 : ~bytes[i]);
    if (bytes == f.bytes) continue;
    MemoryDisk disk;
    disk.put("journal", bytes);
    std::string log;
    std::unique_ptr<Store> opened;
    try {
      opened = std::make_unique<Store>(disk, options({}, clocks, &log));
    } catch (const StoreError&) {
      // Neither the first line nor the first record identifies the format.
      ASSERT_TRUE(from < 20 && to > 20) << from << " to " << to;
      ASSERT_EQ(disk.operations(), 0u);
      continue;
    }
    Store& s = *opened;
    images++;
    std::vector<std::size_t> hit;
    for (std::size_t i = 0; i < f.frame_offsets.size(); i++) {
      const std::size_t end = i + 1 < f.frame_offsets.size() ? f.frame_offsets[i + 1] : f.bytes.size();
      if (f.frame_offsets[i] < to && end > from) hit.push_back(i);
    }
    for (MessageId n = 1; n <= 30; n++) {
      const Held* held = s.find(n);
      // Finds its Accepted record in the file.
      Format1File one;
      one.accept(n, message(n));
      const auto at = f.bytes.find(one.bytes.substr(20));
      const bool taken_hit = at < to && at + one.bytes.size() - 20 > from;
      const bool over = n >= 6 && n <= 27 && n % 3 == 0;
      if (taken_hit || over) continue;
      ASSERT_NE(held, nullptr) << from << " to " << to << ": " << n << "\n" << log;
      held_count++, doubtful += held->doubt;
      if (n == 2 || n == 5) {
        ASSERT_TRUE(held->possibly_executed()) << from << " to " << to << ": " << n << "\n" << log;
      }
      if (at > to && n != 2 && n != 4 && n != 5 && n != 7) {
        ASSERT_FALSE(held->doubt) << from << " to " << to << ": " << n << "\n" << log;
      }
    }
    // Compaction renames the file; all readable records are stored elsewhere.
    const auto before = s.held().size();
    ASSERT_TRUE(s.commit());
    compact_all(s);
    const Store again(disk, options({}, clocks));
    ASSERT_EQ(again.held().size(), before);
    ASSERT_EQ(again.recovery().damaged.size(), 0u);
    if (!s.recovery().damaged.empty()) {
      ASSERT_TRUE(disk.exists("damaged-segment-0000000000-00000000.hv1")) << log;
    }
  }
  std::printf("format 1: %zu damaged files, %zu messages held, %zu in doubt\n", images, held_count, doubtful);
}

// Checksums of format 1 have no salt, so the body of a message can contain valid frames. They must not count
// if the damage leaves the length of the enclosing frame intact.
TEST(Format1, FramesInABody) {
  const Clocks clocks;
  Format1File forged;
  for (int i = 0; i < 5; i++) forged.finish(1);
  Format1File f;
  f.accept(1, message(1));
  Message m = message(2);
  m.body = forged.bytes.substr(20);
  const std::size_t begin = f.bytes.size();
  f.accept(2, m);
  f.accept(3, message(3));
  for (std::size_t at = begin + 4; at < f.frame_offsets[2]; at++) {
    MemoryDisk disk;
    std::string bytes = f.bytes;
    bytes[at] = static_cast<char>(bytes[at] ^ 4);
    disk.put("journal", bytes);
    const Store s(disk, options({}, clocks));
    ASSERT_NE(s.find(1), nullptr) << at - begin;
    ASSERT_NE(s.find(3), nullptr) << at - begin;
  }
}

void expect_refused(MemoryDisk& disk, const std::string& what) {
  disk.settle();
  const Clocks clocks;
  EXPECT_THROW(Store(disk, options({}, clocks)), StoreError) << what;
  EXPECT_EQ(disk.operations(), 0u) << what << ": changed " << to_string(disk.operation(1));
}

TEST(Format1, RefusesUnknownFormats) {
  const std::string rest = format1_file().bytes.substr(20);
  for (const std::string line :
       {"heronvane journal 3\n", "heronvane journal 10\n", "heronvane journal 2\nabcdefgh"}) {
    MemoryDisk disk;
    disk.put("journal", line + std::string(100, 'z'));
    expect_refused(disk, line);
  }
  {
    MemoryDisk disk;
    disk.put("journal", "something else altogether, from another program\n");
    expect_refused(disk, "foreign");
  }
  {
    MemoryDisk disk;
    disk.put("segment-0000000003-1f2e3d4c.hv3", "x");
    expect_refused(disk, "later version");
  }
  {
    MemoryDisk disk;
    disk.put("journal", format1_file().bytes);
    disk.put("segment-0000000003-1f2e3d4c.hv3", "x");
    expect_refused(disk, "both, one of a later version");
  }
  {
    MemoryDisk disk;
    const Clocks clocks;
    {
      Store s(disk, options({}, clocks));
      s.set_fact("a", "b");
      ASSERT_TRUE(s.commit());
    }
    disk.put("journal", format1_file().bytes);
    expect_refused(disk, "both");
  }
}

// ---- Clocks. ----
Microseconds deadline_after(const std::string& boot, Microseconds boottime_passed, Microseconds wall_passed,
                            Microseconds& now, Microseconds& gap) {
  MemoryDisk disk;
  Clocks clocks;
  {
    Store s(disk, options({}, clocks));
    Message m;
    m.id = "a", m.deadline = s.clock().now() + 30'000'000;
    s.accept(1, m);
    EXPECT_TRUE(s.commit());
    now = s.clock().now();
  }
  clocks.boottime = boot == "boot" ? clocks.boottime + boottime_passed : boottime_passed;
  clocks.wall += wall_passed;
  const Store s(disk, options({}, clocks, nullptr, boot));
  now = s.clock().now() - now;
  gap = s.clock().assumed_gap();
  return s.held().at(1).message.deadline - s.clock().now();
}

TEST(Clocks, PersistentTimeOverRestarts) {
  constexpr Microseconds kHour = 3'600'000'000, kSecond = 1'000'000;
  Microseconds now = 0, gap = 0;
  for (const Microseconds step : {-kHour, Microseconds{0}, kHour}) {
    EXPECT_EQ(deadline_after("boot", 2 * kSecond, step, now, gap), 28 * kSecond);
    EXPECT_EQ(now, 2 * kSecond);
    EXPECT_EQ(gap, 0);
  }
  // After a reboot the wall clock counts, but time never goes back.
  EXPECT_EQ(deadline_after("other", 3 * kSecond, 5 * kSecond, now, gap), 25 * kSecond);
  EXPECT_EQ(gap, 5 * kSecond);
  EXPECT_EQ(deadline_after("other", 3 * kSecond, -kHour, now, gap), 30 * kSecond);
  EXPECT_EQ(now, 0);
  EXPECT_EQ(gap, 0);
  // A system that does not identify its boots.
  EXPECT_EQ(deadline_after("", 3 * kSecond, 5 * kSecond, now, gap), 25 * kSecond);
}

// The times of format 1 are wall time: the first start converts them once.
TEST(Clocks, Format1DeadlinesSurviveAWallClockStep) {
  for (const Microseconds step : {Microseconds{-3'600'000'000}, Microseconds{3'600'000'000}}) {
    MemoryDisk disk;
    Clocks clocks;
    disk.put("journal", format1_file().bytes);
    Microseconds left = 0;
    {
      Store s(disk, options({}, clocks));
      left = s.held().at(1).message.deadline - s.clock().now();
      s.set_fact("a", "b");
      ASSERT_TRUE(s.commit());  // killed before anything is migrated
    }
    clocks.boottime += 1'000'000, clocks.wall += 1'000'000 + step;
    const Store s(disk, options({}, clocks));
    EXPECT_EQ(s.held().at(1).message.deadline - s.clock().now(), left - 1'000'000);
  }
}

}  // namespace
}  // namespace heronvane::store::testing
