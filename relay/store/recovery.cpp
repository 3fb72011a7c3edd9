// The start: which files are there, what they say, what may be missing.
//
// Nothing is changed before all that could refuse the start has been looked at. A segment is never written to
// again; what a start writes goes to a new one.
#include <algorithm>
#include <cstdlib>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "store/store.hpp"

namespace heronvane::store {
namespace {

const std::string kOldName = "journal", kOldNext = "journal.next";
// What the file of format 1 is called once it is part of the store.
const std::string kOldSegment = "segment-0000000000-00000000.hv1";
const std::string kReserveName = "reserve";
// Stands while files may hold what a failed sync left in memory alone.
const std::string kSyncFailed = "sync-failed";

struct SegmentName {
  SegmentNumber number = 0;
  Salt salt = 0;
  std::string version;
};

// "segment-0000000012-1f2e3d4c.hv2"
std::optional<SegmentName> read_name(const std::string& name) {
  constexpr std::size_t kNumber = 8, kSalt = kNumber + 11, kVersionAt = kSalt + 8;
  if (name.size() <= kVersionAt + 3 || name.compare(0, kNumber, "segment-") != 0 || name[kSalt - 1] != '-' ||
      name.compare(kVersionAt, 3, ".hv") != 0)
    return std::nullopt;
  SegmentName s;
  char* end = nullptr;
  s.number = std::strtoull(name.c_str() + kNumber, &end, 10);
  if (end != name.c_str() + kSalt - 1) return std::nullopt;
  s.salt = static_cast<Salt>(std::strtoul(name.c_str() + kSalt, &end, 16));
  if (end != name.c_str() + kVersionAt) return std::nullopt;
  s.version = name.substr(kVersionAt + 3);
  return s;
}

[[noreturn]] void fail(std::error_code bad, const std::string& what) {
  throw std::system_error(bad, "store: " + what);
}

}  // namespace

struct Store::Listing {
  struct File {
    std::string name;
    std::uint64_t bytes = 0;
    Salt salt = 0;
    bool old = false;
  };
  std::map<SegmentNumber, File> files;
  bool journal = false, journal_next = false, guard = false, reserve = false,
       sync_failed = false;       // that are there
  std::uint64_t other_bytes = 0;  // of all else
  // Of the segments that belong to the store: where they end, as far as that is told. Those without a file
  // are missing; files that are not named here are left of segments that were dropped.
  std::map<SegmentNumber, std::optional<Sequence>> roster;
  std::optional<Anchor> anchor;               // the last one
  std::map<SegmentNumber, std::string> read;  // what was read already
};

Store::Listing Store::list_folder() {
  std::vector<Disk::Entry> entries;
  if (const auto bad = disk_.list(entries)) fail(bad, "the folder can't be listed");
  Listing listing;
  for (const auto& e : entries) {
    if (const auto name = read_name(e.name); name && !e.folder) {
      const bool old = e.name == kOldSegment;
      if (!old && name->version != std::to_string(kVersion))
        throw StoreError("store: " + e.name + " is of format " + name->version +
                         "; this program reads formats 1 and " + std::to_string(kVersion) +
                         ": use the version that wrote it");
      listing.files[name->number] = {e.name, e.bytes, name->salt, old};
      continue;
    }
    if (e.name == kOldNext && e.folder)
      listing.guard = true;
    else if (e.name == kOldNext)
      listing.journal_next = true;
    else if (e.name == kOldName && !e.folder)
      listing.journal = true;
    else if (e.name == kReserveName && !e.folder)
      listing.reserve = true;
    else if (e.name == kSyncFailed && !e.folder)
      listing.sync_failed = true;
    else
      listing.other_bytes += on_disk(e.bytes);
  }
  return listing;
}

std::string Store::read_whole(const std::string& name) {
  FileId file = -1;
  if (const auto bad = disk_.open(name, Disk::Access::read, file)) fail(bad, name);
  std::string all;
  constexpr std::size_t kPiece = 64 * 1024;
  while (true) {
    const std::size_t at = all.size();
    all.resize(at + kPiece);
    std::size_t got = 0;
    const auto bad = disk_.read(file, at, all.data() + at, kPiece, got);
    all.resize(at + got);
    if (bad) {
      disk_.close(file);
      fail(bad, name);
    }
    if (got < kPiece) break;
  }
  disk_.close(file);
  return all;
}

// The file of format 1 becomes the first segment as it is; compaction brings its records into the new form.
// Its times are wall time: lasting time begins with it in a folder that holds nothing else, so they stand for
// both.
void Store::adopt_old(Listing& listing) {
  if (listing.journal) {
    const std::string bytes = read_whole(kOldName);
    const OldScan scan(bytes);
    if (scan.head() == OldScan::Head::unknown_version || scan.head() == OldScan::Head::foreign)
      throw StoreError(
          "store: the file `journal` is of a format that this program does not know: use the version "
          "that wrote it, or move the file away");
    if (!listing.files.empty())
      throw StoreError(
          "store: a file `journal` of an earlier version stands beside files of this one: two programs "
          "wrote here; move one of them away");
    // A copy that was never finished.
    if (listing.journal_next)
      if (const auto bad = disk_.remove(kOldNext)) fail(bad, kOldNext);
  }
  // Guards against an earlier version, which would begin anew beside these files: it can't start over a
  // folder of that name.
  if (!listing.guard && (listing.journal || !listing.journal_next))
    if (const auto bad = disk_.make_folder(kOldNext)) fail(bad, kOldNext);
  if (!listing.journal) return;
  if (const auto bad = disk_.rename(kOldName, kOldSegment)) fail(bad, kOldName);
  std::vector<Disk::Entry> entries;
  if (const auto bad = disk_.list(entries)) fail(bad, "the folder can't be listed");
  for (const auto& e : entries)
    if (e.name == kOldSegment) listing.files[0] = {e.name, e.bytes, 0, true};
  listing.roster.try_emplace(0);
}

// Which segments belong to the store: as the newest readable first record tells, and what was dropped after
// it.
void Store::read_roster(Listing& listing) {
  std::set<SegmentNumber> dropped;
  bool told = false;
  for (auto it = listing.files.rbegin(); it != listing.files.rend() && !told; ++it) {
    const auto& [number, file] = *it;
    listing.roster.try_emplace(number);
    if (file.old) continue;
    const auto& bytes = listing.read[number] = read_whole(file.name);
    Scan scan(file.salt, bytes);
    bool first = true;
    std::optional<Anchor> anchor;
    while (const auto found = scan.next()) {
      const auto* const frame = std::get_if<Frame>(&*found);
      const bool head = std::exchange(first, false);
      const Kind kind = frame == nullptr ? Kind::taken : frame->header.kind;
      if (kind != Kind::segment && kind != Kind::dropped && kind != Kind::anchor) continue;
      const auto record = decode(kind, frame->payload);
      if (!record) continue;
      if (const auto* s = std::get_if<record::Segment>(&*record)) {
        if (s->version != kVersion)
          throw StoreError("store: " + file.name + " is of format " + std::to_string(s->version) +
                           "; this program reads formats 1 and " + std::to_string(kVersion));
        anchor = s->anchor;
        if (!head) continue;
        told = true;
        for (const auto& other : s->others) listing.roster[other.number] = other.end;
      } else if (const auto* d = std::get_if<record::Dropped>(&*record)) {
        dropped.insert(d->segment);
      } else if (const auto* a = std::get_if<Anchor>(&*record)) {
        anchor = *a;
      }
    }
    if (anchor && !listing.anchor) listing.anchor = anchor;
  }
  // Without a word of the newest ones all that is there counts.
  if (!told)
    for (const auto& [number, file] : listing.files) listing.roster.try_emplace(number);
  for (const SegmentNumber number : dropped) listing.roster.erase(number);
}

void Store::apply(Record&& r, Sequence sequence, std::size_t bytes, SegmentNumber segment) {
  ledger_.note(note_of(r, bytes), segment);
  struct Visit {
    Store& s;
    Sequence sequence;
    void operator()(record::Segment& x) const { s.table_.reserve_numbers(x.next_message); }
    void operator()(record::Taken& x) const {
      // Written once more after a failed sync, and the process ended before its end was.
      if (s.ledger_.is_over(x.number)) return;
      s.whole_state_[x.number] = sequence;
      s.table_.taken(x.number, std::move(x.held));
    }
    void operator()(record::Progress& x) const {
      s.whole_state_[x.number] = sequence;
      s.table_.progress(x);
    }
    void operator()(record::Sent& x) const { s.table_.sent(x); }
    void operator()(record::Ended& x) const { s.table_.ended(x); }
    void operator()(record::GivenUp& x) const { s.table_.given_up(x); }
    void operator()(record::Over& x) const {
      s.whole_state_.erase(x.number);
      if (const auto other = s.table_.over(x)) s.ledger_.forget_id(*other);
    }
    void operator()(record::Fact& x) const { s.table_.fact(x); }
    void operator()(record::Dropped&) const {}
    void operator()(Anchor&) const {}
  };
  std::visit(Visit{*this, sequence}, r);
}

void Store::read_segment(const Listing& listing, SegmentNumber number, const std::string& bytes,
                         Replay& replay) {
  const auto& file = listing.files.at(number);
  const auto damaged = [&](const DamagedStretch& d) {
    ledger_.damaged(number);
    recovery_.damaged.push_back(file.name + ": bytes " + std::to_string(d.from) + " to " +
                                std::to_string(d.to));
  };
  const auto upto = listing.roster.at(number);
  replay.begin(number);
  const std::uint64_t missing_before = replay.counts().missing;
  const std::size_t stretches_before = recovery_.damaged.size();
  if (file.old) {
    OldScan scan(bytes);
    while (auto found = scan.next()) {
      if (auto* r = std::get_if<OldRecord>(&*found)) {
        replay.found(std::move(*r));
      } else if (const auto* d = std::get_if<DamagedStretch>(&*found)) {
        damaged(*d);
        replay.old_damage(*d);
      }
    }
    replay.old_end(bytes.size());
  } else {
    Scan scan(file.salt, bytes);
    while (const auto found = scan.next()) {
      if (const auto* d = std::get_if<DamagedStretch>(&*found)) damaged(*d);
      std::visit([&](const auto& what) { replay.found(what); }, *found);
    }
  }
  replay.end(upto);
  if (upto && replay.counts().missing > missing_before && recovery_.damaged.size() == stretches_before) {
    ledger_.damaged(number);
    recovery_.damaged.push_back(file.name + ": cut off at byte " + std::to_string(bytes.size()));
  }
}

void Store::read_segments(Listing& listing) {
  Replay replay([this](Record&& r, Sequence sequence, std::size_t bytes, SegmentNumber segment) {
    apply(std::move(r), sequence, bytes, segment);
  });
  for (const auto& [number, upto] : listing.roster) {
    last_number_ = std::max(last_number_, number);
    const auto file = listing.files.find(number);
    if (file == listing.files.end()) {
      recovery_.damaged.push_back("segment " + std::to_string(number) + ": its file is gone");
      replay.gone(upto);
      continue;
    }
    names_[number] = file->second.name;
    ledger_.add_segment(number);
    if (file->second.old) ledger_.old(number);
    const auto read = listing.read.extract(number);
    const std::string bytes = read.empty() ? read_whole(file->second.name) : read.mapped();
    ledger_.grow(number, bytes.size());
    read_segment(listing, number, bytes, replay);
    if (upto) ledger_.closed(number, *upto);
    // Torn before its first record: none is missing in it, whatever is dropped before it.
    if (!upto && bytes.size() < kFrameBytes) ledger_.closed(number, 1);
  }
  replay.finish();
  next_ = replay.next();
  for (const auto& [number, segment] : ledger_.segments())
    if (segment.end == 0) ledger_.closed(number, next_);
  recovery_.counts = replay.counts();
  if (replay.last_missing() > 0) {
    // Numbers that stood in what is missing must not be given again.
    table_.reserve_numbers(table_.next_number() + replay.counts().missing);
    settle_doubt(replay.last_missing());
  }
}

// What is missing may have been of any message whose whole state was written before it.
void Store::settle_doubt(Sequence last_missing) {
  for (const auto& [number, sequence] : whole_state_) {
    const Held* h = find(number);
    if (h == nullptr || sequence >= last_missing) continue;
    recovery_.doubtful++;
    if (h->doubt) continue;
    table_.doubt(number);
    add(record::Progress{number, h->attempts, h->ending, true});
  }
}

// A kill may hide a failed sync: the files read well, from memory, and a second sync of them succeeds, though
// it writes nothing. Then they are written once more, as they read.
void Store::mark_sync_failed() {
  FileId file = -1;
  if (!disk_.open(kSyncFailed, Disk::Access::create, file)) disk_.close(file);
}

void Store::sync_all(bool write_again) {
  // Written by an earlier life, and perhaps never synced.
  for (const auto& [number, name] : names_) {
    FileId file = -1;
    if (const auto bad = disk_.open(name, Disk::Access::write, file)) fail(bad, name);
    std::error_code bad;
    std::size_t done = 0;
    if (write_again) bad = disk_.write(file, 0, read_whole(name), done);
    if (!bad && (bad = disk_.sync(file))) mark_sync_failed();
    disk_.close(file);
    if (bad) fail(bad, name);
  }
  if (const auto bad = disk_.sync_folder()) fail(bad, "the folder can't be synced");
  if (write_again) disk_.remove(kSyncFailed);
}

void Store::recover() {
  Listing listing = list_folder();
  read_roster(listing);
  adopt_old(listing);
  salt_ = listing.files.empty() || listing.files.rbegin()->second.old ? std::random_device{}()
                                                                      : listing.files.rbegin()->second.salt;
  pending_ = Batch(salt_);
  if (listing.anchor) clock_.resume(*listing.anchor);
  for (const auto& [number, file] : listing.files) last_number_ = std::max(last_number_, number);
  read_segments(listing);

  // Before what was dropped goes: that it was dropped must last longer than its file.
  if (options_.durability == Durability::machine) sync_all(listing.sync_failed);

  used_ = listing.other_bytes;
  for (const auto& [number, file] : listing.files) {
    if (names_.count(number) > 0) {
      used_ += on_disk(file.bytes);
      continue;
    }
    // Left of a segment that was dropped, by an end between that and its file's. One that was to be set aside
    // for damage is.
    const std::string bytes = file.old ? std::string() : read_whole(file.name);
    Scan scan(file.salt, bytes);
    bool damage = false;
    while (const auto found = scan.next()) damage = damage || std::holds_alternative<DamagedStretch>(*found);
    const auto bad = damage ? disk_.rename(file.name, "damaged-" + file.name) : disk_.remove(file.name);
    if (damage || bad) used_ += on_disk(file.bytes);
  }
  const auto opened =
      disk_.open(kReserveName, listing.reserve ? Disk::Access::write : Disk::Access::create, reserve_);
  if (opened) reserve_ = -1, reserve_off_ = true;
  release_reserve();
  for (const auto& gone : table_.expire(clock_.now())) ledger_.forget_id(gone.number);
  for (const auto& [number, h] : held()) {
    const Booked c = cost(h.message);
    booked_.messages += c.messages, booked_.later += c.later, booked_.ids += c.ids;
  }
  booked_.ids += table_.remembered_bytes();
  whole_state_.clear();
  synced_ = next_ - 1;
  ceiling_ = std::max(options_.limit_bytes,
                      used_ + pending_.bytes() + booked_.later + headroom(options_.limit_bytes));
  if (!reserve_off_ && booked_.later > 0) ensure_reserve(booked_.later);
  recovery_.messages = held().size();
  recovery_.segments = ledger_.segments().size();
  recovery_.bytes = used_;
  tell_recovery();
}

void Store::tell_recovery() {
  constexpr std::size_t kMostLines = 20;
  for (std::size_t i = 0; i < recovery_.damaged.size() && i < kMostLines; i++)
    options_.log("store: damage: " + recovery_.damaged[i]);
  if (recovery_.damaged.size() > kMostLines)
    options_.log("store: damage: " + std::to_string(recovery_.damaged.size() - kMostLines) +
                 " more stretches");
  const auto& c = recovery_.counts;
  if (!recovery_.damaged.empty())
    options_.log(
        "store: about " + std::to_string(c.missing) + " records are missing; " +
        std::to_string(recovery_.doubtful) + " of " + std::to_string(recovery_.messages) +
        " messages held may have been called without a record; what was damaged is kept as damaged-*");
  if (c.torn > 0)
    options_.log("store: " + std::to_string(c.torn) + " records of a write that was cut off do not count");
  if (over_limit()) options_.log("store: " + trouble() + ": nothing is taken on until it holds less");
}

}  // namespace heronvane::store
