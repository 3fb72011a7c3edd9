// The start: which files are there, what they say, what may be missing.
//
// Nothing is changed before all that could refuse the start has been looked at. A segment is never written to
// again; what a start writes goes to a new one.
#include <algorithm>
#include <cstdlib>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "fail_points.hpp"
#include "store/store.hpp"

namespace heronvane::store {
namespace {

// More messages than any damage can hide. How many it hid can't be counted: a file that was cut does not tell
// its size once the head of the next one is hurt, too.
constexpr MessageId kMostNumbersHidden = MessageId{1} << 32;

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

constexpr std::uint64_t kUsualMessage = 400;  // bytes that a message takes with its attempt: a guess

[[noreturn]] void fail(std::error_code bad, const std::string& what) {
  throw std::system_error(bad, "store: " + what);
}

// All of a file that held `bytes` when it was listed, in a buffer that serves for many: it grows as needed.
// Valid until the buffer changes.
std::string_view read_whole(Disk& disk, const std::string& name, std::uint64_t bytes, std::string& buffer) {
  FileId file = -1;
  if (const auto bad = disk.open(name, Disk::Access::read, file)) fail(bad, name);
  std::size_t size = 0;
  while (true) {
    // One byte more than is expected shows the end.
    const std::size_t piece = std::max<std::size_t>(bytes + 1 > size ? bytes + 1 - size : 0, 64 * 1024);
    if (buffer.size() < size + piece) buffer.resize(size + piece);
    std::size_t got = 0;
    const auto bad = disk.read(file, size, buffer.data() + size, piece, got);
    size += got;
    if (bad) {
      disk.close(file);
      fail(bad, name);
    }
    if (got < piece) break;
  }
  disk.close(file);
  return std::string_view(buffer).substr(0, size);
}

// Fills a Contents; changes nothing in the folder.
class Reader {
 public:
  Reader(Disk& disk, LastingClock& clock, const ReadClocks& clocks)
      : disk_(disk), clock_(clock), clocks_(clocks) {}
  Contents read();

 private:
  void list_folder();
  void find_old();
  void read_roster();
  void apply(Record&& record, Sequence sequence, std::size_t bytes, SegmentNumber segment);
  void read_segment(SegmentNumber number, std::string_view bytes, Replay& replay);
  void read_segments();
  void settle_doubt(Sequence last_missing);

  Disk& disk_;
  LastingClock& clock_;
  const ReadClocks& clocks_;
  Contents found_;
  std::string buffer_;
  // Where records are missing: of the last record that holds all of a message.
  bool track_ = false;
  std::unordered_map<MessageId, Sequence> whole_state_;
};

void Reader::list_folder() {
  std::vector<Disk::Entry> entries;
  if (const auto bad = disk_.list(entries)) fail(bad, "the folder can't be listed");
  for (const auto& e : entries) {
    if (const auto name = read_name(e.name); name && !e.folder) {
      const bool old = e.name == kOldSegment;
      if (!old && name->version != std::to_string(kVersion))
        throw StoreError("store: " + e.name + " is of format " + name->version +
                         "; this program reads formats 1 and " + std::to_string(kVersion) +
                         ": use the version that wrote it");
      auto& file = found_.files[name->number];
      file.name = e.name, file.bytes = e.bytes, file.salt = name->salt, file.old = old;
      continue;
    }
    if (e.name == kOldNext && e.folder)
      found_.guard = true;
    else if (e.name == kOldNext)
      found_.journal_next = true;
    else if (e.name == kOldName && !e.folder)
      found_.journal = true;
    else if (e.name == kReserveName && !e.folder)
      found_.reserve = true;
    else if (e.name == kSyncFailed && !e.folder)
      found_.sync_failed = true;
    else
      found_.others.push_back(e);
  }
}

// The file of format 1 counts as the first segment as it is. Its times are wall time: lasting time begins
// with it in a folder that holds nothing else, so they stand for both.
void Reader::find_old() {
  if (!found_.journal) return;
  const auto bytes = read_whole(disk_, kOldName, 0, buffer_);
  const OldScan scan(bytes);
  if (scan.head() == OldScan::Head::unknown_version || scan.head() == OldScan::Head::foreign)
    throw StoreError(
        "store: the file `journal` is of a format that this program does not know: use the version "
        "that wrote it, or move the file away");
  if (!found_.files.empty())
    throw StoreError(
        "store: a file `journal` of an earlier version stands beside files of this one: two programs "
        "wrote here; move one of them away");
  auto& file = found_.files[0];
  file.name = kOldName, file.bytes = bytes.size(), file.old = true;
  found_.roster.try_emplace(0);
}

// Which segments belong to the store: as the newest readable first record tells, and what was dropped after
// it.
void Reader::read_roster() {
  std::set<SegmentNumber> dropped;
  bool told = false;
  for (auto it = found_.files.rbegin(); it != found_.files.rend() && !told; ++it) {
    const auto& [number, file] = *it;
    found_.roster.try_emplace(number);
    if (file.old) continue;
    Scan scan(file.salt, read_whole(disk_, file.name, file.bytes, buffer_), true);
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
        for (const auto& other : s->others) found_.roster[other.number] = other.end;
      } else if (const auto* d = std::get_if<record::Dropped>(&*record)) {
        dropped.insert(d->segment);
      } else if (const auto* a = std::get_if<Anchor>(&*record)) {
        anchor = *a;
      }
    }
    if (anchor && !found_.anchor) found_.anchor = anchor;
  }
  // Without a word of the newest ones all that is there counts.
  if (!told)
    for (const auto& [number, file] : found_.files) found_.roster.try_emplace(number);
  for (const SegmentNumber number : dropped) found_.roster.erase(number);
}

void Reader::apply(Record&& r, Sequence sequence, std::size_t bytes, SegmentNumber segment) {
  found_.ledger.note(note_of(r, bytes), segment);
  struct Visit {
    Reader& r;
    Sequence sequence;
    void operator()(record::Segment& x) const { r.found_.table.reserve_numbers(x.next_message); }
    void operator()(record::Taken& x) const {
      // Written once more after a failed sync, and the process ended before its end was.
      if (r.found_.ledger.is_over(x.number)) return;
      if (r.track_) r.whole_state_[x.number] = sequence;
      r.found_.table.taken(x.number, std::move(x.held));
    }
    void operator()(record::Progress& x) const {
      if (r.track_) r.whole_state_[x.number] = sequence;
      r.found_.table.progress(x);
    }
    void operator()(record::Sent& x) const { r.found_.table.sent(x); }
    void operator()(record::Ended& x) const { r.found_.table.ended(x); }
    void operator()(record::GivenUp& x) const { r.found_.table.given_up(x); }
    void operator()(record::Over& x) const {
      if (r.track_) r.whole_state_.erase(x.number);
      if (const auto other = r.found_.table.over(x)) r.found_.ledger.forget_id(*other);
    }
    void operator()(record::Fact& x) const { r.found_.table.fact(x); }
    void operator()(record::Dropped&) const {}
    void operator()(Anchor&) const {}
  };
  std::visit(Visit{*this, sequence}, r);
}

void Reader::read_segment(SegmentNumber number, std::string_view bytes, Replay& replay) {
  auto& file = found_.files.at(number);
  const auto damaged = [&](const DamagedStretch& d) {
    found_.ledger.damaged(number);
    found_.damage.push_back({number, Damage::What::stretch, d.from, d.to});
  };
  const auto upto = found_.roster.at(number);
  replay.begin(number);
  const std::uint64_t missing_before = replay.counts().missing;
  const std::size_t stretches_before = found_.damage.size();
  if (file.old) {
    OldScan scan(bytes);
    while (auto found = scan.next()) {
      if (auto* r = std::get_if<OldRecord>(&*found)) {
        file.records++;
        replay.found(std::move(*r));
      } else if (const auto* d = std::get_if<DamagedStretch>(&*found)) {
        damaged(*d);
        replay.old_damage(*d);
      } else if (const auto* t = std::get_if<TornEnd>(&*found)) {
        file.torn = *t;
      }
    }
    replay.old_end(bytes.size());
  } else {
    Scan scan(file.salt, bytes);
    while (const auto found = scan.next()) {
      if (const auto* d = std::get_if<DamagedStretch>(&*found)) {
        damaged(*d);
      } else if (const auto* t = std::get_if<TornEnd>(&*found)) {
        file.torn = *t;
      } else if (const auto* f = std::get_if<Frame>(&*found)) {
        if (file.records++ == 0) file.first = f->header.sequence;
        file.last = f->header.sequence;
      }
      std::visit([&](const auto& what) { replay.found(what); }, *found);
    }
  }
  replay.end(upto);
  if (upto && replay.counts().missing > missing_before && found_.damage.size() == stretches_before) {
    found_.ledger.damaged(number);
    found_.damage.push_back({number, Damage::What::cut_off, bytes.size(), bytes.size()});
  }
}

void Reader::read_segments() {
  found_.table = {}, found_.ledger = {}, found_.damage.clear();
  std::uint64_t all = 0;
  for (auto& [number, file] : found_.files) {
    all += file.bytes;
    file.records = 0, file.first = file.last = 0, file.torn.reset();
  }
  found_.ledger.expect(all / kUsualMessage);
  Replay replay([this](Record&& r, Sequence sequence, std::size_t bytes, SegmentNumber segment) {
    apply(std::move(r), sequence, bytes, segment);
  });
  for (const auto& [number, upto] : found_.roster) {
    found_.highest = std::max(found_.highest, number);
    const auto file = found_.files.find(number);
    if (file == found_.files.end()) {
      found_.damage.push_back({number, Damage::What::gone, 0, 0});
      replay.begin(number);
      replay.gone(upto);
      continue;
    }
    found_.ledger.add_segment(number);
    if (file->second.old) found_.ledger.old(number);
    const auto bytes = read_whole(disk_, file->second.name, file->second.bytes, buffer_);
    found_.ledger.grow(number, bytes.size());
    read_segment(number, bytes, replay);
    if (upto) found_.ledger.closed(number, *upto);
    // Torn before its first record: none is missing in it, whatever is dropped before it.
    if (!upto && bytes.size() < kFrameBytes) found_.ledger.closed(number, 1);
  }
  replay.finish();
  found_.missing = replay.missing_runs();
  found_.next = replay.next();
  for (const auto& [number, segment] : found_.ledger.segments())
    if (segment.end == 0) found_.ledger.closed(number, found_.next);
  found_.counts = replay.counts();
  if (replay.last_missing() > 0 && !std::exchange(track_, true)) return read_segments();
  if (replay.last_missing() > 0) {
    // Numbers that stood in what is missing must not be given again.
    found_.table.reserve_numbers(found_.table.next_number() + kMostNumbersHidden);
    settle_doubt(replay.last_missing());
  }
}

// What is missing may have been of any message whose whole state was written before it.
void Reader::settle_doubt(Sequence last_missing) {
  for (const auto& [number, sequence] : whole_state_) {
    const Held* h = found_.table.find(number);
    if (h == nullptr || sequence >= last_missing) continue;
    found_.doubtful++;
    if (h->doubt) continue;
    found_.table.doubt(number);
    found_.doubted.push_back(number);
  }
}

Contents Reader::read() {
  list_folder();
  read_roster();
  find_old();
  if (found_.anchor) clock_.resume(*found_.anchor);
  for (const auto& [number, file] : found_.files) found_.highest = std::max(found_.highest, number);
  read_segments();
  return std::move(found_);
}

}  // namespace

Contents read_folder(Disk& disk, LastingClock& clock, const ReadClocks& clocks) {
  return Reader(disk, clock, clocks).read();
}

std::string text(const Damage& d, const std::string& file) {
  switch (d.what) {
    case Damage::What::stretch:
      return file + ": bytes " + std::to_string(d.from) + " to " + std::to_string(d.to);
    case Damage::What::cut_off:
      return file + ": cut off at byte " + std::to_string(d.from);
    case Damage::What::gone:
      return "segment " + std::to_string(d.segment) + ": its file is gone";
  }
  return {};
}

// The file of format 1 becomes the first segment as it is; compaction brings its records into the new form.
void Store::adopt_old(const Contents& found) {
  // A copy that was never finished.
  if (found.journal && found.journal_next)
    if (const auto bad = disk_.remove(kOldNext)) fail(bad, kOldNext);
  // Guards against an earlier version, which would begin anew beside these files: it can't start over a
  // folder of that name.
  if (!found.guard && (found.journal || !found.journal_next))
    if (const auto bad = disk_.make_folder(kOldNext)) fail(bad, kOldNext);
  if (!found.journal) return;
  if (const auto bad = disk_.rename(kOldName, kOldSegment)) fail(bad, kOldName);
  names_[0] = kOldSegment;
}

// A kill may hide a failed sync: the files read well, from memory, and a second sync of them succeeds, though
// it writes nothing. Then they are written once more, as they read.
void Store::mark_sync_failed() {
  FileId file = -1;
  if (!disk_.open(kSyncFailed, Disk::Access::create, file)) disk_.close(file);
}

void Store::sync_all(bool write_again) {
  std::string buffer;
  // Written by an earlier life, and perhaps never synced.
  for (const auto& [number, name] : names_) {
    FileId file = -1;
    if (const auto bad = disk_.open(name, Disk::Access::write, file)) fail(bad, name);
    std::error_code bad;
    std::size_t done = 0;
    if (write_again) bad = disk_.write(file, 0, read_whole(disk_, name, 0, buffer), done);
    if (!bad && (bad = disk_.sync(file))) mark_sync_failed();
    disk_.close(file);
    if (bad) fail(bad, name);
  }
  if (const auto bad = disk_.sync_folder()) fail(bad, "the folder can't be synced");
  if (write_again) disk_.remove(kSyncFailed);
}

void Store::recover() {
  HERONVANE_POINT("recover.begin");
  Contents found = read_folder(disk_, clock_, options_.clocks);
  for (const auto& [number, file] : found.files)
    if (found.roster.count(number) > 0) names_[number] = file.name;
  HERONVANE_POINT("recover.read");
  adopt_old(found);
  salt_ = found.files.empty() || found.files.rbegin()->second.old ? std::random_device{}()
                                                                  : found.files.rbegin()->second.salt;
  pending_ = Batch(salt_);
  table_ = std::move(found.table), ledger_ = std::move(found.ledger);
  next_ = found.next, last_number_ = found.highest;
  for (const MessageId number : found.doubted) {
    const Held& h = held().at(number);
    add(record::Progress{number, h.attempts, h.ending, true});
  }
  recovery_.counts = found.counts, recovery_.doubtful = found.doubtful;
  for (const auto& d : found.damage) {
    const auto name = names_.find(d.segment);
    recovery_.damaged.push_back(text(d, name == names_.end() ? std::string() : name->second));
  }

  // Before what was dropped goes: that it was dropped must last longer than its file.
  if (options_.durability == Durability::machine) sync_all(found.sync_failed);

  for (const auto& other : found.others) used_ += on_disk(other.bytes);
  for (const auto& [number, file] : found.files) {
    if (names_.count(number) > 0) {
      used_ += on_disk(file.bytes);
      continue;
    }
    // Left of a segment that was dropped, by an end between that and its file's. One that was to be set aside
    // for damage is.
    std::string buffer;
    Scan scan(file.salt, file.old ? std::string_view() : read_whole(disk_, file.name, file.bytes, buffer));
    bool damage = false;
    while (const auto f = scan.next()) damage = damage || std::holds_alternative<DamagedStretch>(*f);
    const auto bad = damage ? disk_.rename(file.name, "damaged-" + file.name) : disk_.remove(file.name);
    if (damage || bad) used_ += on_disk(file.bytes);
  }
  HERONVANE_POINT("recover.cleared");
  open_reserve();
  release_reserve();
  for (const auto& gone : table_.expire(clock_.now())) ledger_.forget_id(gone.number);
  for (const auto& [number, h] : held()) {
    const Booked c = cost(h.message);
    booked_.messages += c.messages, booked_.later += c.later, booked_.ids += c.ids;
  }
  booked_.ids += table_.remembered_bytes();
  synced_ = next_ - 1;
  ceiling_ = std::max(options_.limit_bytes,
                      used_ + pending_.bytes() + booked_.later + headroom(options_.limit_bytes));
  if (!reserve_off_ && booked_.later > 0) ensure_reserve(booked_.later);
  recovery_.messages = held().size();
  recovery_.segments = ledger_.segments().size();
  recovery_.bytes = used_;
  tell_recovery();
}

// False where it can't be opened now.
bool Store::open_reserve() {
  if (reserve_ >= 0) return true;
  auto bad = disk_.open(kReserveName, Disk::Access::write, reserve_);
  if (bad == std::errc::no_such_file_or_directory)
    bad = disk_.open(kReserveName, Disk::Access::create, reserve_);
  if (bad) reserve_ = -1;
  return !bad;
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
