// The store's start: which files exist, what they contain, what may be missing.
//
// Nothing is changed before every check that could refuse the start has passed. Existing segments are never
// appended to; a start writes to a new one.
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

// More messages than any damage can hide. Their number can't be determined: the size of a truncated file is
// unknown if the first record of the next file is damaged, too.
constexpr MessageId kMaxHiddenNumbers = MessageId{1} << 32;

const std::string kFormat1Name = "journal", kFormat1NextName = "journal.next";
// Name of the file of format 1 once it is part of the store.
const std::string kFormat1SegmentName = "segment-0000000000-00000000.hv1";
const std::string kReserveName = "reserve";
// Exists while files may contain data that a failed sync left in memory only.
const std::string kSyncFailedName = "sync-failed";

struct SegmentName {
  SegmentNumber number = 0;
  Salt salt = 0;
  std::string version;
};

// Parses a name like "segment-0000000012-1f2e3d4c.hv2".
std::optional<SegmentName> read_name(const std::string& name) {
  constexpr std::size_t kNumber = 8, kSalt = kNumber + 11, kVersionAt = kSalt + 8;
  if (name.size() <= kVersionAt + 3 || name.compare(0, kNumber, "segment-") != 0 || name[kSalt - 1] != '-' ||
      name.compare(kVersionAt, 3, ".hv") != 0)
    return std::nullopt;
  SegmentName parsed;
  char* end = nullptr;
  parsed.number = std::strtoull(name.c_str() + kNumber, &end, 10);
  if (end != name.c_str() + kSalt - 1) return std::nullopt;
  parsed.salt = static_cast<Salt>(std::strtoul(name.c_str() + kSalt, &end, 16));
  if (end != name.c_str() + kVersionAt) return std::nullopt;
  parsed.version = name.substr(kVersionAt + 3);
  return parsed;
}

constexpr std::uint64_t kTypicalMessageBytes =
    400;  // a message with its attempt; an estimate, for reserving memory

[[noreturn]] void fail(std::error_code error, const std::string& what) {
  throw std::system_error(error, "store: " + what);
}

// Reads a whole file that had `bytes` bytes when it was listed into `buffer`, which grows as needed. The
// result is valid until the buffer changes.
std::string_view read_whole(Disk& disk, const std::string& name, std::uint64_t bytes, std::string& buffer) {
  FileId file = -1;
  if (const auto error = disk.open(name, Disk::Access::read, file)) fail(error, name);
  std::size_t size = 0;
  while (true) {
    // Asks for one byte more than expected, to detect the end of the file.
    const std::size_t piece = std::max<std::size_t>(bytes + 1 > size ? bytes + 1 - size : 0, 64 * 1024);
    if (buffer.size() < size + piece) buffer.resize(size + piece);
    std::size_t got = 0;
    const auto error = disk.read(file, size, buffer.data() + size, piece, got);
    size += got;
    if (error) {
      disk.close(file);
      fail(error, name);
    }
    if (got < piece) break;
  }
  disk.close(file);
  return std::string_view(buffer).substr(0, size);
}

// Fills a Contents; changes nothing in the folder.
class Reader {
 public:
  Reader(Disk& disk, PersistentClock& clock, const ReadClocks& clocks)
      : disk_(disk), clock_(clock), clocks_(clocks) {}
  Contents read();

 private:
  void list_folder();
  void find_format1();
  void read_members();
  void apply(Record&& record, Sequence sequence, std::size_t bytes, SegmentNumber segment);
  void read_segment(SegmentNumber number, std::string_view bytes, Replay& replay);
  void read_segments();
  void mark_doubtful(Sequence last_missing);

  Disk& disk_;
  PersistentClock& clock_;
  const ReadClocks& clocks_;
  Contents contents_;
  std::string buffer_;
  // Kept only where records are missing: the sequence number of the last record with the whole state of each
  // message.
  bool track_whole_states_ = false;
  std::unordered_map<MessageId, Sequence> whole_state_;
};

void Reader::list_folder() {
  std::vector<Disk::Entry> entries;
  if (const auto error = disk_.list(entries)) fail(error, "the folder can't be listed");
  for (const auto& entry : entries) {
    if (const auto name = read_name(entry.name); name && !entry.folder) {
      const bool old = entry.name == kFormat1SegmentName;
      if (!old && name->version != std::to_string(kVersion))
        throw StoreError("store: " + entry.name + " is of format " + name->version +
                         "; this program reads formats 1 and " + std::to_string(kVersion) +
                         ": use the version that wrote it");
      auto& file = contents_.files[name->number];
      file.name = entry.name, file.bytes = entry.bytes, file.salt = name->salt, file.format1 = old;
      continue;
    }
    if (entry.name == kFormat1NextName && entry.folder)
      contents_.downgrade_guard = true;
    else if (entry.name == kFormat1NextName)
      contents_.journal_next = true;
    else if (entry.name == kFormat1Name && !entry.folder)
      contents_.journal = true;
    else if (entry.name == kReserveName && !entry.folder)
      contents_.reserve = true;
    else if (entry.name == kSyncFailedName && !entry.folder)
      contents_.sync_failed = true;
    else
      contents_.others.push_back(entry);
  }
}

// The file of format 1 counts as the first segment, unchanged. Its times are wall time. They are valid as
// persistent time, too: in a folder that contains nothing else the persistent clock begins at the wall
// clock's time.
void Reader::find_format1() {
  if (!contents_.journal) return;
  const auto bytes = read_whole(disk_, kFormat1Name, 0, buffer_);
  const Format1Scan scan(bytes);
  if (scan.head() == Format1Scan::Head::unknown_version || scan.head() == Format1Scan::Head::foreign)
    throw StoreError(
        "store: the file `journal` is of a format that this program does not know: use the version "
        "that wrote it, or move the file away");
  if (!contents_.files.empty())
    throw StoreError(
        "store: the folder contains a file `journal` of an earlier version and files of this version: two "
        "programs "
        "wrote here; move one of them away");
  auto& file = contents_.files[0];
  file.name = kFormat1Name, file.bytes = bytes.size(), file.format1 = true;
  contents_.members.try_emplace(0);
}

// Determines which segments belong to the store: those named by the newest readable first record, without
// those dropped after it.
void Reader::read_members() {
  std::set<SegmentNumber> dropped;
  bool members_known = false;
  for (auto it = contents_.files.rbegin(); it != contents_.files.rend() && !members_known; ++it) {
    const auto& [number, file] = *it;
    contents_.members.try_emplace(number);
    if (file.format1) continue;
    Scan scan(file.salt, read_whole(disk_, file.name, file.bytes, buffer_), true);
    bool first = true;
    std::optional<Anchor> anchor;
    while (const auto found = scan.next()) {
      const auto* const frame = std::get_if<Frame>(&*found);
      const bool head = std::exchange(first, false);
      const Kind kind = frame == nullptr ? Kind::accepted : frame->header.kind;
      if (kind != Kind::segment && kind != Kind::dropped && kind != Kind::anchor) continue;
      const auto record = decode(kind, frame->payload);
      if (!record) continue;
      if (const auto* segment = std::get_if<record::Segment>(&*record)) {
        if (segment->version != kVersion)
          throw StoreError("store: " + file.name + " is of format " + std::to_string(segment->version) +
                           "; this program reads formats 1 and " + std::to_string(kVersion));
        anchor = segment->anchor;
        if (!head) continue;
        members_known = true;
        for (const auto& other : segment->others) contents_.members[other.number] = other.end;
      } else if (const auto* dropped_record = std::get_if<record::Dropped>(&*record)) {
        dropped.insert(dropped_record->segment);
      } else if (const auto* last_anchor = std::get_if<Anchor>(&*record)) {
        anchor = *last_anchor;
      }
    }
    if (anchor && !contents_.anchor) contents_.anchor = anchor;
  }
  // If no first record is readable, all segments with a file count.
  if (!members_known)
    for (const auto& [number, file] : contents_.files) contents_.members.try_emplace(number);
  for (const SegmentNumber number : dropped) contents_.members.erase(number);
}

void Reader::apply(Record&& record, Sequence sequence, std::size_t bytes, SegmentNumber segment) {
  contents_.ledger.add_record(summary_of(record, bytes), segment);
  struct ApplyRecord {
    Reader& reader;
    Sequence sequence;
    void operator()(record::Segment& record) const {
      reader.contents_.table.reserve_numbers(record.next_message);
    }
    void operator()(record::Accepted& record) const {
      // Written again after a failed sync, but the process ended before the Finished record was written
      // again.
      if (reader.contents_.ledger.is_finished(record.number)) return;
      if (reader.track_whole_states_) reader.whole_state_[record.number] = sequence;
      reader.contents_.table.accepted(record.number, std::move(record.held));
    }
    void operator()(record::Progress& record) const {
      if (reader.track_whole_states_) reader.whole_state_[record.number] = sequence;
      reader.contents_.table.progress(record);
    }
    void operator()(record::AttemptSent& record) const { reader.contents_.table.attempt_sent(record); }
    void operator()(record::AttemptEnded& record) const { reader.contents_.table.attempt_ended(record); }
    void operator()(record::GivenUp& record) const { reader.contents_.table.given_up(record); }
    void operator()(record::Finished& record) const {
      if (reader.track_whole_states_) reader.whole_state_.erase(record.number);
      if (const auto other = reader.contents_.table.finished(record))
        reader.contents_.ledger.forget_id(*other);
    }
    void operator()(record::Fact& record) const { reader.contents_.table.fact(record); }
    void operator()(record::Dropped&) const {}
    void operator()(Anchor&) const {}
  };
  std::visit(ApplyRecord{*this, sequence}, record);
}

void Reader::read_segment(SegmentNumber number, std::string_view bytes, Replay& replay) {
  auto& file = contents_.files.at(number);
  const auto damaged = [&](const DamagedRange& range) {
    contents_.ledger.mark_damaged(number);
    contents_.damage.push_back({number, Damage::Type::corrupt, range.from, range.to});
  };
  const auto upto = contents_.members.at(number);
  replay.begin(number);
  const std::uint64_t missing_before = replay.counts().missing;
  const std::size_t damage_before = contents_.damage.size();
  if (file.format1) {
    Format1Scan scan(bytes);
    while (auto found = scan.next()) {
      if (auto* record = std::get_if<Format1Record>(&*found)) {
        file.records++;
        replay.add(std::move(*record));
      } else if (const auto* range = std::get_if<DamagedRange>(&*found)) {
        damaged(*range);
        replay.format1_damage(*range);
      } else if (const auto* torn = std::get_if<TornEnd>(&*found)) {
        file.torn = *torn;
      }
    }
    replay.format1_end(bytes.size());
  } else {
    Scan scan(file.salt, bytes);
    while (const auto found = scan.next()) {
      if (const auto* range = std::get_if<DamagedRange>(&*found)) {
        damaged(*range);
      } else if (const auto* torn = std::get_if<TornEnd>(&*found)) {
        file.torn = *torn;
      } else if (const auto* frame = std::get_if<Frame>(&*found)) {
        if (file.records++ == 0) file.first = frame->header.sequence;
        file.last = frame->header.sequence;
      }
      std::visit([&](const auto& what) { replay.add(what); }, *found);
    }
  }
  replay.end(upto);
  if (upto && replay.counts().missing > missing_before && contents_.damage.size() == damage_before) {
    contents_.ledger.mark_damaged(number);
    contents_.damage.push_back({number, Damage::Type::truncated, bytes.size(), bytes.size()});
  }
}

void Reader::read_segments() {
  contents_.table = {}, contents_.ledger = {}, contents_.damage.clear();
  std::uint64_t total_bytes = 0;
  for (auto& [number, file] : contents_.files) {
    total_bytes += file.bytes;
    file.records = 0, file.first = file.last = 0, file.torn.reset();
  }
  contents_.ledger.reserve(total_bytes / kTypicalMessageBytes);
  Replay replay([this](Record&& record, Sequence sequence, std::size_t bytes, SegmentNumber segment) {
    apply(std::move(record), sequence, bytes, segment);
  });
  for (const auto& [number, upto] : contents_.members) {
    contents_.highest = std::max(contents_.highest, number);
    const auto file = contents_.files.find(number);
    if (file == contents_.files.end()) {
      contents_.damage.push_back({number, Damage::Type::missing_file, 0, 0});
      replay.begin(number);
      replay.missing_segment(upto);
      continue;
    }
    contents_.ledger.add_segment(number);
    if (file->second.format1) contents_.ledger.mark_format1(number);
    const auto bytes = read_whole(disk_, file->second.name, file->second.bytes, buffer_);
    contents_.ledger.grow(number, bytes.size());
    read_segment(number, bytes, replay);
    if (upto) contents_.ledger.close(number, *upto);
    // Torn before its first record: none is missing in it, whatever segments are dropped before it.
    if (!upto && bytes.size() < kFrameBytes) contents_.ledger.close(number, 1);
  }
  replay.finish();
  contents_.missing = replay.missing_runs();
  contents_.next = replay.next();
  for (const auto& [number, segment] : contents_.ledger.segments())
    if (segment.end == 0) contents_.ledger.close(number, contents_.next);
  contents_.counts = replay.counts();
  if (replay.last_missing() > 0 && !std::exchange(track_whole_states_, true)) return read_segments();
  if (replay.last_missing() > 0) {
    // Numbers used in the missing records must not be assigned again.
    contents_.table.reserve_numbers(contents_.table.next_number() + kMaxHiddenNumbers);
    mark_doubtful(replay.last_missing());
  }
}

// The missing records may concern any message whose whole state was written before them.
void Reader::mark_doubtful(Sequence last_missing) {
  for (const auto& [number, sequence] : whole_state_) {
    const Held* held_message = contents_.table.find(number);
    if (held_message == nullptr || sequence >= last_missing) continue;
    contents_.doubtful++;
    if (held_message->doubt) continue;
    contents_.table.doubt(number);
    contents_.newly_doubtful.push_back(number);
  }
}

Contents Reader::read() {
  list_folder();
  read_members();
  find_format1();
  if (contents_.anchor) clock_.resume(*contents_.anchor);
  for (const auto& [number, file] : contents_.files) contents_.highest = std::max(contents_.highest, number);
  read_segments();
  return std::move(contents_);
}

}  // namespace

Contents read_folder(Disk& disk, PersistentClock& clock, const ReadClocks& clocks) {
  return Reader(disk, clock, clocks).read();
}

std::string text(const Damage& damage, const std::string& file) {
  switch (damage.type) {
    case Damage::Type::corrupt:
      return file + ": bytes " + std::to_string(damage.from) + " to " + std::to_string(damage.to);
    case Damage::Type::truncated:
      return file + ": cut off at byte " + std::to_string(damage.from);
    case Damage::Type::missing_file:
      return "segment " + std::to_string(damage.segment) + ": the file is missing";
  }
  return {};
}

// The file of format 1 becomes the first segment, unchanged; compaction rewrites its records in format 2.
void Store::adopt_format1(const Contents& found) {
  // A copy of the journal that an earlier version never finished.
  if (found.journal && found.journal_next)
    if (const auto error = disk_.remove(kFormat1NextName)) fail(error, kFormat1NextName);
  // An earlier version would start anew beside these files. A folder of this name makes its start fail.
  if (!found.downgrade_guard && (found.journal || !found.journal_next))
    if (const auto error = disk_.make_folder(kFormat1NextName)) fail(error, kFormat1NextName);
  if (!found.journal) return;
  if (const auto error = disk_.rename(kFormat1Name, kFormat1SegmentName)) fail(error, kFormat1Name);
  file_names_[0] = kFormat1SegmentName;
}

// After a failed sync and a kill the files still read correctly, from the page cache, and a second sync of
// them succeeds without writing anything. With this marker the next start writes them again, as they read.
void Store::mark_sync_failed() {
  FileId file = -1;
  if (!disk_.open(kSyncFailedName, Disk::Access::create, file)) disk_.close(file);
}

void Store::sync_all(bool rewrite) {
  std::string buffer;
  // The files were written by an earlier process and may never have been synced.
  for (const auto& [number, name] : file_names_) {
    FileId file = -1;
    if (const auto error = disk_.open(name, Disk::Access::write, file)) fail(error, name);
    std::error_code error;
    std::size_t done = 0;
    if (rewrite) error = disk_.write(file, 0, read_whole(disk_, name, 0, buffer), done);
    if (!error && (error = disk_.sync(file))) mark_sync_failed();
    disk_.close(file);
    if (error) fail(error, name);
  }
  if (const auto error = disk_.sync_folder()) fail(error, "the folder can't be synced");
  if (rewrite) disk_.remove(kSyncFailedName);
}

void Store::recover() {
  HERONVANE_POINT("recover.begin");
  Contents found = read_folder(disk_, clock_, options_.clocks);
  for (const auto& [number, file] : found.files)
    if (found.members.count(number) > 0) file_names_[number] = file.name;
  HERONVANE_POINT("recover.read");
  adopt_format1(found);
  salt_ = found.files.empty() || found.files.rbegin()->second.format1 ? std::random_device{}()
                                                                      : found.files.rbegin()->second.salt;
  pending_ = Batch(salt_);
  table_ = std::move(found.table), ledger_ = std::move(found.ledger);
  next_ = found.next, last_number_ = found.highest;
  for (const MessageId number : found.newly_doubtful) {
    const Held& held_message = held().at(number);
    add(record::Progress{number, held_message.attempts, held_message.ending, true});
  }
  recovery_.counts = found.counts, recovery_.doubtful = found.doubtful;
  for (const auto& damage : found.damage) {
    const auto name = file_names_.find(damage.segment);
    recovery_.damaged.push_back(text(damage, name == file_names_.end() ? std::string() : name->second));
  }

  // Before the files of dropped segments are removed: the Dropped record must be durable first.
  if (options_.durability == Durability::machine) sync_all(found.sync_failed);

  for (const auto& other : found.others) used_ += bytes_on_disk(other.bytes);
  for (const auto& [number, file] : found.files) {
    if (file_names_.count(number) > 0) {
      used_ += bytes_on_disk(file.bytes);
      continue;
    }
    // The file of a dropped segment, left because the process ended before removing it. If it is damaged it
    // is renamed instead of removed.
    std::string buffer;
    Scan scan(file.salt,
              file.format1 ? std::string_view() : read_whole(disk_, file.name, file.bytes, buffer));
    bool damage = false;
    while (const auto item = scan.next()) damage = damage || std::holds_alternative<DamagedRange>(*item);
    const auto error = damage ? disk_.rename(file.name, "damaged-" + file.name) : disk_.remove(file.name);
    if (damage || error) used_ += bytes_on_disk(file.bytes);
  }
  HERONVANE_POINT("recover.cleared");
  open_reserve();
  release_reserve();
  for (const auto& expired : table_.expire(clock_.now())) ledger_.forget_id(expired.number);
  for (const auto& [number, held_message] : held()) {
    const Reservation reservation = cost(held_message.message);
    reserved_.messages += reservation.messages, reserved_.followups += reservation.followups,
        reserved_.ids += reservation.ids;
  }
  reserved_.ids += table_.remembered_bytes();
  synced_ = next_ - 1;
  ceiling_ = std::max(options_.limit_bytes,
                      used_ + pending_.bytes() + reserved_.followups + headroom(options_.limit_bytes));
  if (!reserve_unsupported_ && reserved_.followups > 0) ensure_reserve(reserved_.followups);
  recovery_.messages = held().size();
  recovery_.segments = ledger_.segments().size();
  recovery_.bytes = used_;
  log_recovery();
}

// Returns false if the file can't be opened now.
bool Store::open_reserve() {
  if (reserve_ >= 0) return true;
  auto error = disk_.open(kReserveName, Disk::Access::write, reserve_);
  if (error == std::errc::no_such_file_or_directory)
    error = disk_.open(kReserveName, Disk::Access::create, reserve_);
  if (error) reserve_ = -1;
  return !error;
}

void Store::log_recovery() {
  constexpr std::size_t kMaxLogLines = 20;
  for (std::size_t i = 0; i < recovery_.damaged.size() && i < kMaxLogLines; i++)
    options_.log("store: damage: " + recovery_.damaged[i]);
  if (recovery_.damaged.size() > kMaxLogLines)
    options_.log("store: damage: " + std::to_string(recovery_.damaged.size() - kMaxLogLines) +
                 " more damaged places");
  const auto& counts = recovery_.counts;
  if (!recovery_.damaged.empty())
    options_.log("store: about " + std::to_string(counts.missing) + " records are missing; " +
                 std::to_string(recovery_.doubtful) + " of " + std::to_string(recovery_.messages) +
                 " held messages may have been sent without a record; damaged files are kept as damaged-*");
  if (counts.torn > 0)
    options_.log("store: " + std::to_string(counts.torn) + " records of an incomplete write are ignored");
  if (over_limit())
    options_.log("store: " + unavailable_reason() + ": no messages are admitted until it is below the limit");
}

}  // namespace heronvane::store
