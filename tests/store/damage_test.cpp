// Damages files: flipped bits, zeroed ranges, truncated or missing files. Records outside the damage must be
// found; only messages that the damaged records may concern may be in doubt.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <set>

#include "store/scan.hpp"
#include "workload.hpp"

namespace heronvane::store::testing {
namespace {

Salt salt_of(const std::string& file) {
  return static_cast<Salt>(std::strtoul(file.c_str() + file.rfind('-') + 1, nullptr, 16));
}

struct FrameInfo {  // a frame in a file
  store::Kind kind = store::Kind::anchor;
  std::uint64_t from = 0, to = 0;
  Sequence sequence = 0;
  MessageId number = 0;  // of its message; 0: none
  bool last = false;
  SegmentNumber drops = 0;  // the segment that this frame declares dropped; 0: none
};
using Files = std::map<std::string, std::vector<FrameInfo>>;

MessageId number_of(const Record& record) {
  return std::visit(
      [](const auto& r) -> MessageId {
        using R = std::decay_t<decltype(r)>;
        if constexpr (std::is_same_v<R, record::Accepted> || std::is_same_v<R, record::Progress> ||
                      std::is_same_v<R, record::AttemptSent> || std::is_same_v<R, record::AttemptEnded> ||
                      std::is_same_v<R, record::GivenUp> || std::is_same_v<R, record::Finished>)
          return r.number;
        return 0;
      },
      record);
}

std::vector<std::string> segments(MemoryDisk& disk) {
  std::vector<Disk::Entry> entries;
  disk.list(entries);
  std::vector<std::string> names;
  for (const auto& e : entries)
    if (e.name.rfind("segment-", 0) == 0) names.push_back(e.name);
  return names;
}

Files frames_of(MemoryDisk& disk) {
  Files files;
  for (const auto& name : segments(disk)) {
    const std::string bytes = disk.contents(name);
    Scan scan(salt_of(name), bytes);
    auto& list = files[name];
    while (const auto found = scan.next()) {
      const auto* const f = std::get_if<Frame>(&*found);
      if (f == nullptr) continue;
      const auto record = decode(f->header.kind, f->payload);
      const auto* const d = record ? std::get_if<record::Dropped>(&*record) : nullptr;
      const SegmentNumber drops = d == nullptr ? 0 : d->segment;
      list.push_back({f->header.kind, f->offset, f->offset + f->bytes(), f->header.sequence,
                      record ? number_of(*record) : 0, f->header.last, drops});
    }
  }
  return files;
}

struct DamageDone {
  std::string file;
  std::uint64_t from = 0, to = 0;  // bytes
  bool truncated = false, removed = false;
};

// Does random damage. Never truncates the newest file, which would look like a torn write, nor removes it,
// which could not be detected.
DamageDone damage_randomly(MemoryDisk& disk, const std::vector<std::string>& names, RandomSource& dice) {
  DamageDone damage;
  const bool newest = dice.chance(30);
  damage.file = newest ? names.back() : names[dice.below(names.size())];
  const std::uint64_t size = disk.contents(damage.file).size();
  if (size == 0) return damage;
  const bool sealed = damage.file != names.back();
  switch (dice.below(sealed ? 7 : 5)) {
    case 0:
    case 1:
      damage.from = dice.below(size), damage.to = damage.from + 1;
      disk.flip(damage.file, damage.from, static_cast<unsigned>(dice.below(8)));
      break;
    case 2:  // the first frame
      damage.from = dice.below(std::min<std::uint64_t>(size, 90)), damage.to = damage.from + 1;
      disk.flip(damage.file, damage.from, static_cast<unsigned>(dice.below(8)));
      break;
    case 3:
      damage.from = dice.below(size);
      damage.to = std::min(size, damage.from + 1 + dice.below(dice.chance(50) ? 60 : 4096));
      disk.zero(damage.file, damage.from, damage.to - damage.from);
      break;
    case 4: {
      damage.from = dice.below(size);
      damage.to = std::min(size, damage.from + 1 + dice.below(700));
      std::string bytes = disk.contents(damage.file);
      for (auto i = damage.from; i < damage.to; i++)
        bytes[i] = static_cast<char>(dice.chance(30) ? 'H' : dice.below(256));
      disk.put(damage.file, bytes);
      break;
    }
    case 5:
      damage.from = dice.below(size), damage.to = size, damage.truncated = true;
      disk.cut(damage.file, damage.from);
      break;
    default:
      damage.to = size, damage.removed = true;
      disk.remove(damage.file);
      disk.settle();
  }
  return damage;
}

std::map<MessageId, std::string> describe(const Store& s) {
  std::map<MessageId, std::string> all;
  for (const auto& [number, h] : s.held()) {
    std::string& t = all[number];
    t = h.message.id + " " + std::to_string(h.message.body.size()) + " " + std::to_string(h.attempts.size()) +
        (h.ending ? " ended" : "") + (h.doubt ? " doubt" : "");
  }
  return all;
}

struct Counts {
  std::size_t images = 0, held = 0, lost = 0, doubtful = 0, renamed = 0;
};

struct Subject {
  MemoryDisk disk;
  Oracle oracle;
  Setting setting;
  Clocks clocks;
  OperationCount end = 0;
  Files files;
  std::vector<std::string> names;
  std::map<MessageId, std::string> whole;  // as found by a start without damage
  std::map<MessageId, bool> risky;         // may have run
};

void prepare(Subject& s, std::uint64_t seed) {
  s.setting.limit = 150'000 + 50'000 * (seed % 4);
  {
    SimulatedRelay relay(s.disk, s.oracle, s.setting, seed);
    RandomSource dice(seed);
    relay.use_large_bodies(seed % 3 == 0);
    for (std::uint64_t i = 0; i < 60 + seed % 7 * 20; i++) {
      relay.round();
      if (dice.chance(2)) relay.start();
    }
    s.clocks = relay.clocks();
  }
  s.end = s.disk.operations();
  s.disk.settle();
  s.files = frames_of(s.disk);
  s.names = segments(s.disk);
  const auto copy = s.disk.after(0);
  const Store store(*copy, options(s.setting, s.clocks));
  s.whole = describe(store);
  for (const auto& [number, h] : store.held()) s.risky[number] = h.possibly_executed();
}

// Checks a store opened after damage: each message whose last whole record is undamaged must be held, and may
// have run if it might have before; only messages that the damage may concern are in doubt.
void check(const Subject& s, const std::vector<DamageDone>& damages, const Store& store, Counts& counts) {
  std::set<std::pair<std::string, std::uint64_t>> hit;  // file, offset of a frame
  Sequence last_hit = 0;
  bool others_hit = false;  // records of no message, of unknown effect on others
  std::set<MessageId> touched;
  for (const auto& damage : damages) {
    for (const auto& frame : s.files.at(damage.file)) {
      if (frame.to <= damage.from || frame.from >= damage.to) continue;
      hit.emplace(damage.file, frame.from);
      last_hit = std::max(last_hit, frame.sequence);
      others_hit = others_hit || frame.number == 0;
      touched.insert(frame.number);
    }
  }
  std::map<MessageId, Sequence> whole_at;  // of the last undamaged Accepted record
  std::map<MessageId, bool> last_sent_hit;
  // The file of a dropped segment may still exist: its live records are stored elsewhere and count there
  // alone.
  std::set<SegmentNumber> dropped;
  for (const auto& [name, list] : s.files)
    for (const auto& frame : list)
      if (frame.drops > 0 && hit.count({name, frame.from}) == 0) dropped.insert(frame.drops);
  for (const auto& [name, list] : s.files) {
    if (dropped.count(std::stoull(name.substr(std::string("segment-").size()))) > 0) continue;
    for (const auto& frame : list) {
      const bool is_hit = hit.count({name, frame.from}) > 0;
      if (frame.kind == store::Kind::accepted && !is_hit)
        whole_at[frame.number] = std::max(whole_at[frame.number], frame.sequence);
    }
  }
  for (const auto& [number, was] : s.whole) {
    const Held* h = store.find(number);
    const auto at = whole_at.find(number);
    if (at == whole_at.end()) {
      counts.lost += h == nullptr;
      continue;
    }
    ASSERT_NE(h, nullptr) << "message " << number << " is lost, but its record is undamaged";
    counts.held++, counts.doubtful += h->doubt;
    if (s.risky.at(number)) {
      ASSERT_TRUE(h->possibly_executed()) << "message " << number << " counts as not executed";
    }
    const bool after = at->second > last_hit;
    if (after && touched.count(number) == 0) {
      ASSERT_FALSE(h->doubt && was.find("doubt") == std::string::npos)
          << "message " << number << " is in doubt without a reason";
    }
    if (touched.count(number) == 0 && !h->doubt) {
      ASSERT_EQ(describe(store).at(number), was);
    }
  }
  for (const auto& [number, story] : s.oracle.messages) {
    // Messages that were refused or never acknowledged must not appear; finished ones may come back only in
    // doubt.
    const Held* h = store.find(number);
    if (h == nullptr || s.whole.count(number) > 0) continue;
    ASSERT_TRUE(h->doubt || touched.count(number) > 0) << "message " << number << " came back";
  }
  // Numbers are not assigned again, unless no record is left that names the highest.
  bool none_left = true;
  for (const auto& [name, list] : s.files)
    for (const auto& frame : list)
      none_left = none_left && (hit.count({name, frame.from}) > 0 ||
                                (frame.number == 0 && frame.kind != store::Kind::segment));
  if (!none_left) {
    ASSERT_GE(store.next_number(), s.whole.empty() ? 0 : s.whole.rbegin()->first + 1);
  }
  (void)others_hit;
}

TEST(Damage, RandomDamage) {
  Counts counts;
  for (std::uint64_t seed = 1; seed <= scaled(40); seed++) {
    Subject s;
    prepare(s, seed);
    RandomSource dice(seed + 1000);
    for (int k = 0; k < 40; k++) {
      const auto image = s.disk.after(0);
      std::vector<DamageDone> damages;
      std::vector<std::string> names = s.names;
      for (auto n = 1 + dice.below(3); n > 0 && names.size() > 1; n--) {
        damages.push_back(damage_randomly(*image, names, dice));
        if (damages.back().removed || damages.back().truncated) std::erase(names, damages.back().file);
      }
      const std::string where = "seed " + std::to_string(seed) + ", " + std::to_string(k);
      std::string damage_text;
      for (const auto& damage : damages)
        damage_text += damage.file + " " + std::to_string(damage.from) + " to " + std::to_string(damage.to) +
                       (damage.truncated ? " cut" : "") + (damage.removed ? " gone" : "") + "; ";
      image->settle();
      std::string log;
      std::map<MessageId, std::string> first;
      {
        const Store store(*image, options(s.setting, s.clocks, &log));
        ASSERT_NO_FATAL_FAILURE(check(s, damages, store, counts)) << where << ": " << damage_text << "\n"
                                                                  << log;
        first = describe(store);
        counts.images++;
      }
      {
        Store store(*image, options(s.setting, s.clocks, &log));
        ASSERT_EQ(describe(store), first) << where << ": " << damage_text;
        if (k % 4 == 0) {
          // The store continues and renames the damaged files.
          ASSERT_TRUE(store.commit()) << where << ": " << damage_text << log;
          for (int i = 0; i < 400 && store.wants_compaction(); i++)
            if (store.compact() != Store::Step::more) break;
          ASSERT_EQ(log.find("were not found"), std::string::npos) << where << ": " << damage_text << log;
          for (const auto& damage : damages) {
            const bool damaged = log.find(damage.file + ": ") != std::string::npos;
            if (!damaged || damage.removed) continue;
            counts.renamed += image->exists("damaged-" + damage.file);
            ASSERT_TRUE(image->exists("damaged-" + damage.file) || image->exists(damage.file))
                << where << ": " << damage_text << log << damage.file << " was removed";
          }
        }
      }
      const Store store(*image, options(s.setting, s.clocks, &log));
      ASSERT_EQ(describe(store), first) << where << ": " << damage_text << log;
    }
  }
  EXPECT_GT(counts.renamed, 0u);
  std::printf(
      "damage: %zu images, %zu messages held, of these %zu in doubt, %zu lost with their records; %zu files "
      "set aside\n",
      counts.images, counts.held, counts.doubtful, counts.lost, counts.renamed);
}

// Numbers must not be assigned again: a truncated sealed file together with a damaged header of the newest
// one hides how many were used.
TEST(Damage, NumbersAreNotReusedAfterATruncationAndADamagedHeader) {
  std::size_t tried = 0;
  for (std::uint64_t seed = 130; seed < 150; seed++) {
    Subject s;
    prepare(s, seed);
    if (s.names.size() < 2 || s.whole.empty()) continue;
    const auto image = s.disk.after(0);
    const std::string& sealed = s.names[s.names.size() - 2];
    image->cut(sealed, image->contents(sealed).size() / 6);
    constexpr std::uint64_t kHead = 324;
    image->zero(s.names.back(), 0, std::min(kHead, image->contents(s.names.back()).size()));
    image->settle();
    const Store store(*image, options(s.setting, s.clocks));
    ASSERT_GT(store.next_number(), s.whole.rbegin()->first) << "seed " << seed;
    tried++;
  }
  EXPECT_GE(tried, 10u);
}

// A truncation of the newest file looks like a torn write: no damage, nothing in doubt. Excluded are
// truncations that remove its first record or a Dropped record: then removed files would count as missing.
TEST(Damage, TruncatedNewestSegmentIsATornWrite) {
  for (std::uint64_t seed = 1; seed <= scaled(10); seed++) {
    Subject s;
    prepare(s, seed);
    const auto size = s.disk.contents(s.names.back()).size();
    std::uint64_t least = 0;
    for (const auto& frame : s.files.at(s.names.back()))
      if (frame.kind == store::Kind::segment || frame.kind == store::Kind::dropped) least = frame.to;
    RandomSource dice(seed);
    for (int k = 0; k < 20; k++) {
      const auto image = s.disk.after(0);
      image->cut(s.names.back(), least + dice.below(size - least));
      const Store store(*image, options(s.setting, s.clocks));
      ASSERT_EQ(store.recovery().damaged.size(), 0u);
      for (const auto& [number, h] : store.held()) ASSERT_FALSE(h.doubt);
    }
  }
}

// Damages each byte of the newest file's last frame in turn: it must be reported as damage, with all earlier
// messages in doubt.
TEST(Damage, LastFrame) {
  MemoryDisk disk;
  Setting setting;
  const Clocks clocks;
  {
    Store s(disk, options(setting, clocks));
    Message m;
    m.id = "one", m.body = "x", m.deadline = 1;
    s.accept(1, m);
    ASSERT_TRUE(s.commit());
    s.sent(1, 5, 0);
    ASSERT_TRUE(s.commit());
  }
  disk.settle();
  const auto name = segments(disk).back();
  const auto last = frames_of(disk).at(name).back();
  ASSERT_EQ(last.kind, store::Kind::attempt_sent);
  for (auto at = last.from; at < last.to; at++) {
    const auto image = disk.after(0);
    image->flip(name, at, static_cast<unsigned>(at % 8));
    const Store s(*image, options(setting, clocks));
    ASSERT_EQ(s.recovery().damaged.size(), 1u) << at - last.from;
    ASSERT_TRUE(s.held().at(1).possibly_executed()) << at - last.from;
    ASSERT_TRUE(s.held().at(1).doubt);
  }
}

// The body of a message contains frames: records forged by a client must not count, wherever the damage is.
TEST(Damage, FramesInABody) {
  MemoryDisk disk;
  Setting setting;
  const Clocks clocks;
  {
    Store s(disk, options(setting, clocks));
    Message m;
    m.id = "victim", m.body = "x", m.deadline = 1;
    s.accept(1, m);
    ASSERT_TRUE(s.commit());
  }
  const auto name = segments(disk).back();
  {
    Store s(disk, options(setting, clocks));
    const Salt salt = salt_of(name);
    for (const Salt other : {Salt{0}, salt + 1, ~salt}) {
      Batch forged(other);
      forged.add(Record(record::Finished{1, "", 0}));
      forged.add(Record(record::Dropped{1}));
      Message m;
      m.id = "forger", m.deadline = 1;
      for (Sequence q = 1; q < 9; q++) m.body += forged.stamped(q);
      s.accept(s.next_number(), m);
    }
    ASSERT_TRUE(s.commit());
  }
  disk.settle();
  const auto file = segments(disk).back();
  ASSERT_NE(file, name);
  const auto size = disk.contents(file).size();
  for (std::uint64_t at = 0; at < size; at++) {
    const auto image = disk.after(0);
    image->flip(file, at, static_cast<unsigned>(at % 8));
    const Store s(*image, options(setting, clocks));
    ASSERT_NE(s.find(1), nullptr) << at;
    ASSERT_GE(s.recovery().damaged.size(), 1u) << at;
    ASSERT_LE(s.held().size(), 4u);
  }
}

// Arbitrary bytes in segment files: the start must succeed or throw StoreError.
TEST(Damage, ArbitraryBytes) {
  std::size_t opened = 0, refused = 0;
  Subject s;
  prepare(s, 3);
  for (std::uint64_t seed = 1; seed <= scaled(600); seed++) {
    RandomSource dice(seed);
    const auto image = s.disk.after(0);
    for (int k = 0; k < 3; k++) {
      const auto& name = s.names[dice.below(s.names.size())];
      std::string bytes = image->contents(name);
      for (int i = 0; i < 30 && !bytes.empty(); i++) {
        const auto at = dice.below(bytes.size()), from = dice.below(bytes.size());
        const auto size = std::min<std::uint64_t>(dice.below(300), bytes.size() - std::max(at, from));
        if (dice.chance(50))
          bytes.replace(at, size, bytes.substr(from, size));  // frames repeated or out of order
        else
          bytes.insert(at, bytes.substr(from, size));
      }
      image->put(name, bytes);
    }
    try {
      Store store(*image, options(s.setting, s.clocks));
      opened++;
      const auto first = describe(store);
      store.commit();
      for (int i = 0; i < 200 && store.wants_compaction(); i++)
        if (store.compact() != Store::Step::more) break;
    } catch (const StoreError&) {
      refused++;
    }
  }
  std::printf("noise: %zu opened, %zu refused\n", opened, refused);
}

}  // namespace
}  // namespace heronvane::store::testing
