// repair: writes a new folder with all records that could be read of another one.
#include <filesystem>
#include <random>

#include "commands.hpp"
#include "store/admission.hpp"
#include "store/store.hpp"

namespace heronvane::store::tool {
namespace {

namespace fs = std::filesystem;

const std::string kGuard = "journal.next";

void check(std::error_code error, const std::string& what) {
  if (error) throw std::system_error(error, what);
}

// Writes the segments of a new store, one after the other.
class Writer {
 public:
  Writer(Disk& disk, const Folder& folder)
      : disk_(disk), source_(folder), max_segment_bytes_(segment_bytes(bytes_of(folder))) {}
  // Removes the files written, unless keep() was called.
  ~Writer() {
    if (kept_) return;
    for (const auto& name : names_) disk_.remove(name);
  }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void put(const Record& record) {
    Batch batch(salt_);
    batch.add(record);
    put(batch);
  }
  void put(MessageId number, const Held& held) {
    Batch batch(salt_);
    batch.add(number, held);
    put(batch);
  }
  void finish() {
    if (segment_bytes_.empty()) begin();
    flush();
  }
  void keep() { kept_ = true; }

 private:
  static std::uint64_t bytes_of(const Folder& folder) {
    std::uint64_t bytes = 0;
    for (const auto& [number, file] : folder.contents.files) bytes += file.bytes;
    return bytes;
  }
  void begin() {
    record::Segment head;
    head.number = ++number_;
    head.next_message = source_.contents.table.next_number();
    // The anchor found in the source: a start on the copy then sees the same time gap as one on the source.
    head.anchor = source_.anchor;
    head.others = finished_segments_;
    Batch batch(salt_);
    batch.add(head);
    segment_bytes_ = batch.stamped(next_++);
  }
  void put(Batch& batch) {
    if (!segment_bytes_.empty() && segment_bytes_.size() + batch.bytes() > max_segment_bytes_) flush();
    if (segment_bytes_.empty()) begin();
    segment_bytes_ += batch.stamped(next_);
    next_ += batch.count();
  }
  void flush() {
    const std::string name = segment_name(number_, salt_);
    FileId file = -1;
    check(disk_.open(name, Disk::Access::create, file), name);
    names_.push_back(name);
    std::size_t written = 0;
    auto error = disk_.write(file, 0, segment_bytes_, written);
    if (!error) error = disk_.sync(file);
    disk_.close(file);
    check(error, name);
    finished_segments_.push_back({number_, next_});
    segment_bytes_.clear();
  }

  Disk& disk_;
  const Folder& source_;
  std::uint64_t max_segment_bytes_;
  Salt salt_ = std::random_device{}();
  SegmentNumber number_ = 0;
  Sequence next_ = 1;
  std::string segment_bytes_;  // frames of the segment being written
  std::vector<record::Segment::Other> finished_segments_;
  std::vector<std::string> names_;
  bool kept_ = false;
};

bool same(const Held& a, const Held& b) {
  const auto attempt = [](const Attempt& x, const Attempt& y) {
    return x.sent == y.sent && x.zone == y.zone && x.outcome == y.outcome;
  };
  const Message &m = a.message, &n = b.message;
  return m.id == n.id && m.message_class == n.message_class && m.tenant == n.tenant &&
         m.destination == n.destination && m.deadline == n.deadline && m.repeat == n.repeat &&
         m.idempotency_key == n.idempotency_key && m.body == n.body && a.doubt == b.doubt &&
         a.ending.has_value() == b.ending.has_value() &&
         (!a.ending || (a.ending->deferred == b.ending->deferred && a.ending->again == b.ending->again)) &&
         std::equal(a.attempts.begin(), a.attempts.end(), b.attempts.begin(), b.attempts.end(), attempt);
}

bool same(const Table& a, const Table& b) {
  const auto held = [](const auto& x, const auto& y) {
    return x.first == y.first && same(x.second, y.second);
  };
  const auto over = [](const record::Finished& x, const record::Finished& y) {
    return x.number == y.number && x.id == y.id && x.remember_until == y.remember_until;
  };
  const auto ids = a.remembered_ids(), others = b.remembered_ids();
  return std::equal(a.held().begin(), a.held().end(), b.held().begin(), b.held().end(), held) &&
         std::equal(ids.begin(), ids.end(), others.begin(), others.end(), over) && a.facts() == b.facts() &&
         a.next_number() <= b.next_number();
}

// The output folder; the destructor removes it if it was created here, unless keep() was called.
class OutputFolder {
 public:
  OutputFolder(const std::string& path, const std::string& from) : path_(path) {
    const auto real = fs::weakly_canonical(path), folder = fs::canonical(from);
    const auto [in, rest] = std::mismatch(folder.begin(), folder.end(), real.begin(), real.end());
    if (in == folder.end())
      throw StoreError(path + " is in " + from + ", which must stay as it is: name another place");
    created_ = fs::create_directory(path);
    if (created_) fs::permissions(path, fs::perms::owner_all);
    if (!fs::is_empty(path))
      throw StoreError(path + " is not empty: name a folder that is, or one that does not exist");
  }
  ~OutputFolder() {
    std::error_code ignored;
    if (kept_) return;
    fs::remove(fs::path(path_) / kGuard, ignored);
    if (created_) fs::remove(path_, ignored);
  }
  OutputFolder(const OutputFolder&) = delete;
  OutputFolder& operator=(const OutputFolder&) = delete;
  void keep() { kept_ = true; }

 private:
  std::string path_;
  bool created_ = false, kept_ = false;
};

}  // namespace

void rewrite(const Folder& folder, const std::string& copy) {
  OutputFolder output_folder(copy, folder.path);
  const auto disk = open_folder(copy);
  Writer writer(*disk, folder);
  const Table& table = folder.contents.table;
  for (const auto& [number, held] : table.held()) writer.put(number, held);
  for (const auto& over : table.remembered_ids()) writer.put(over);
  for (const auto& [key, value] : table.facts()) writer.put(record::Fact{key, value});
  PersistentClock clock;
  writer.finish();
  const Contents reread = read_folder(*disk, clock, system_clocks);
  if (!reread.damage.empty() || reread.counts.missing > 0 || !same(table, reread.table))
    throw StoreError(copy + " does not read back as it was written: keep " + folder.path +
                     ", try another volume, and save the messages with `export`");
  // As the store's start creates it: an earlier version would start anew beside these files.
  check(disk->make_folder(kGuard), kGuard);
  check(disk->sync_folder(), copy);
  writer.keep(), output_folder.keep();
}

}  // namespace heronvane::store::tool
