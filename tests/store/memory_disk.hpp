// A folder held in memory that numbers and records what changes it, fails as told, and gives the folder as a
// killed process or a lost machine would leave it at any of those changes.
//
// Operations are numbered from 1; "after n" means that the first n were done. One that failed has a number
// too. All functions are guarded by one mutex; images share content with their origin (copy on write), so an
// image and its origin must not be changed at once by two threads. Names, numbers or choices that don't exist
// are errors of the test: std::out_of_range.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "store/disk.hpp"

namespace heronvane::store::testing {

// The operations that change the folder or make it durable.
enum class Kind { create, write, truncate, allocate, sync, sync_folder, rename, remove, make_folder };
constexpr std::size_t kKinds = 9;

struct Operation {
  Kind kind = Kind::create;
  std::string name = {};     // a file's: the name it was opened by; `from` of a rename
  std::string to = {};       // of a rename
  std::uint64_t inode = 0;   // the file or folder itself, whatever its name; 0 where there was none
  std::uint64_t offset = 0;  // of a write; the size of truncate() and allocate()
  std::string bytes = {};    // what a write left in the file, also one that failed
  std::size_t asked = 0;     // how many bytes the write was given
  std::error_code error = {};
  bool drops = false;  // see Fault
};
std::string to_string(const Operation& operation);

struct Fault {
  std::errc error = std::errc::no_space_on_device;  // or io_error
  std::size_t part = 0;           // how many bytes a write leaves in the file first; others do nothing
  std::optional<Kind> only = {};  // only operations of this kind fail, and only they are counted
  // A failed sync() forgets what it had to write, as Linux does: no later sync() makes that durable.
  bool drops = false;
};

// Which of the operations that no sync covers happened before the power was lost.
struct LossChoice {
  enum class Which { none, all, only, sample };
  Which which = Which::none;
  std::uint64_t value = 0;

  static LossChoice none() { return {}; }
  static LossChoice all() { return {Which::all, 0}; }
  // The k-th of them, 1 <= k <= unsynced(n).
  static LossChoice only(std::size_t k) { return {Which::only, k}; }
  // A random part of them, the same one for the same seed; a write among them may be torn: cut short, or with
  // only some of its sectors (512 bytes) written and the others as before, its size reached or not.
  static LossChoice sample(std::uint64_t seed) { return {Which::sample, seed}; }
};

class MemoryDisk : public Disk {
 public:
  static constexpr std::uint64_t kBlock = 512;
  static constexpr std::uint64_t kFileMax = std::uint64_t{1} << 30;  // file_too_large past it
  static constexpr std::uint64_t kEndless = std::numeric_limits<std::uint64_t>::max();

  MemoryDisk();
  ~MemoryDisk() override;

  std::error_code list(std::vector<Entry>& entries) override;
  std::error_code open(const std::string& name, Access access, FileId& file) override;
  void close(FileId file) override;
  std::error_code read(FileId file, std::uint64_t offset, char* bytes, std::size_t size,
                       std::size_t& got) override;
  std::error_code write(FileId file, std::uint64_t offset, std::string_view bytes,
                        std::size_t& written) override;
  std::error_code truncate(FileId file, std::uint64_t size) override;
  std::error_code allocate(FileId file, std::uint64_t bytes) override;
  std::error_code sync(FileId file) override;
  std::error_code sync_folder() override;
  std::error_code rename(const std::string& from, const std::string& to) override;
  std::error_code remove(const std::string& name) override;
  std::error_code make_folder(const std::string& name) override;

  // --- Room.
  // Bounds used(). A write past it leaves the bytes that fit and tells no_space_on_device.
  void set_capacity(std::uint64_t bytes);
  // What the named files take: their sizes, each rounded up to kBlock; and the most that ever was.
  std::uint64_t bytes() const;
  std::uint64_t peak_bytes() const;
  // Blocks written or set aside, in bytes; holes are free, a removed file that is open is not.
  std::uint64_t used() const;
  std::size_t open_files() const;

  // --- What was done.
  std::size_t operations() const;
  std::size_t operations(Kind kind) const;
  Operation operation(std::size_t n) const;
  std::size_t reads() const;
  // The folder as it is becomes the durable start: the record is empty, numbers (of faults too) begin at 1
  // again.
  void settle();

  // --- Faults.
  // The n-th operation from the start of the record fails; of `fault.only`, the n-th of that kind.
  void fail(std::size_t n, const Fault& fault) { fail_from(n, fault, 1); }
  // It and the `count` - 1 after it. The fault planned first wins.
  void fail_from(std::size_t n, const Fault& fault, std::uint64_t count = kEndless);
  // No fault is planned any more.
  void heal();
  // Every read() fails; none with std::errc{}.
  void fail_reads(std::errc error);
  // Called by each successful sync() when it has covered what was written before it and has not yet returned,
  // without the mutex held: what `during` writes is not covered.
  void on_sync(std::function<void()> during);

  // --- Images: new folders without faults, bounds or open files. This one is not changed.
  // As a process that was killed leaves it: n operations done, and of the next one, where it is a write, the
  // first `partial` bytes. Cheap for rising n. The image still knows what is not durable: its own
  // power_loss() may lose also that.
  std::unique_ptr<MemoryDisk> after(std::size_t n, std::size_t partial = 0) const;
  // As a machine that lost its power leaves it. Durable are a file's writes and sizes up to its last sync()
  // and names up to the last sync_folder(); the chosen ones of the others are done too, all in their order.
  // One on a name that doesn't stand for the same file any more, or on a file whose name is lost, does
  // nothing.
  std::unique_ptr<MemoryDisk> power_loss(std::size_t n, LossChoice choice) const;
  // How many operations there are to choose from: those that changed something and are not durable after n.
  std::size_t unsynced(std::size_t n) const;

  // --- Damage, and files from elsewhere. Each change settles the folder.
  bool exists(const std::string& name) const;
  std::string contents(const std::string& name) const;
  void put(const std::string& name, std::string_view bytes);
  void flip(const std::string& name, std::uint64_t offset, unsigned bit);
  void zero(const std::string& name, std::uint64_t from, std::uint64_t size);
  void cut(const std::string& name, std::uint64_t size);

 private:
  class Content;
  struct Folder;
  struct Handle;
  struct Plan;
  struct Past;
  using Log = std::vector<std::shared_ptr<const Operation>>;

  MemoryDisk(const Folder& start, std::shared_ptr<const Past> past);

  const Fault* planned(Kind kind);
  Handle* handle(FileId file, bool write);
  std::error_code record(Operation&& operation);
  void require(std::size_t n) const;
  const Log& history() const;
  std::size_t past_size() const;
  std::vector<bool> durable(const Log& log, std::size_t from, std::size_t to) const;
  void damage(const std::string& name, const std::function<void(Content&)>& change);
  void settle_locked();

  mutable std::mutex mutex_;
  std::unique_ptr<Folder> now_, start_;  // start_: as before operation 1
  std::map<FileId, Handle> handles_;
  FileId next_file_ = 0;
  std::uint64_t capacity_ = kEndless, peak_ = 0;
  std::size_t reads_ = 0;
  std::errc read_error_{};
  std::function<void()> during_sync_;
  Log log_;
  std::vector<std::size_t> done_;  // per kind
  std::vector<Plan> plans_;

  // What is not durable of the time before start_; none where start_ is durable.
  std::shared_ptr<const Past> past_;
  // Where the last images were taken, for the next ones to go on from.
  mutable std::shared_ptr<const Log> history_;  // past and log_, shared with images
  mutable std::unique_ptr<Folder> replayed_, lasting_;
  mutable std::size_t replayed_to_ = 0, lasting_to_ = 0, lasting_at_ = 0;
};

}  // namespace heronvane::store::testing
