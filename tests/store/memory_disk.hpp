// A folder held in memory for tests. It numbers and records the operations that change it, fails planned
// ones, and produces the folder as a killed process or a power loss would leave it after any of them.
//
// Operations are numbered from 1; "after n" means that the first n were done. Failed operations have a
// number, too. One mutex guards all functions; images share content with their origin (copy on write), so two
// threads must not change an image and its origin at the same time. Names, numbers or choices that don't
// exist are errors of the test: std::out_of_range.
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
  std::string name = {};     // the name by which a file was opened; `from` of a rename
  std::string to = {};       // of a rename
  std::uint64_t inode = 0;   // identifies the file or folder, whatever its name; 0 if there was none
  std::uint64_t offset = 0;  // of a write; the size of truncate() and allocate()
  std::string bytes = {};    // the bytes that a write left in the file, also if it failed
  std::size_t asked = 0;     // how many bytes the write was given
  std::error_code error = {};
  bool drops = false;  // see Fault
};
std::string to_string(const Operation& operation);

struct Fault {
  std::errc error = std::errc::no_space_on_device;  // or io_error
  std::size_t part = 0;  // how many bytes a write leaves in the file first; other operations do nothing
  std::optional<Kind> only = {};  // only operations of this kind fail, and only they are counted
  // A failed sync() discards the data that it had to write, as Linux does: no later sync() makes it durable.
  bool drops = false;
};

// Which of the operations not covered by a sync took effect before the power was lost.
struct LossChoice {
  enum class Which { none, all, only, sample };
  Which which = Which::none;
  std::uint64_t value = 0;

  static LossChoice none() { return {}; }
  static LossChoice all() { return {Which::all, 0}; }
  // The k-th of them, 1 <= k <= unsynced(n).
  static LossChoice only(std::size_t k) { return {Which::only, k}; }
  // A random subset, the same for the same seed. A write in it may be torn: truncated, or with only some of
  // its sectors (512 bytes) written and the others unchanged, and the file size updated or not.
  static LossChoice sample(std::uint64_t seed) { return {Which::sample, seed}; }
};

class MemoryDisk : public Disk {
 public:
  static constexpr std::uint64_t kBlock = 512;
  static constexpr std::uint64_t kFileMax = std::uint64_t{1} << 30;  // larger files fail with file_too_large
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

  // --- Space.
  // Bounds used(). A write beyond it leaves the bytes that fit and fails with no_space_on_device.
  void set_capacity(std::uint64_t bytes);
  // Space of the named files: their sizes, each rounded up to kBlock; and the maximum so far.
  std::uint64_t bytes() const;
  std::uint64_t peak_bytes() const;
  // Blocks written or allocated, in bytes; holes take no space, removed files that are open do.
  std::uint64_t used() const;
  std::size_t open_files() const;

  // --- Recorded operations.
  std::size_t operations() const;
  std::size_t operations(Kind kind) const;
  Operation operation(std::size_t n) const;
  std::size_t reads() const;
  // Makes the present folder durable and clears the record: numbers (also those of faults) begin at 1 again.
  void settle();

  // --- Faults.
  // Fails the n-th operation of the record or, with `fault.only`, the n-th of that kind.
  void fail(std::size_t n, const Fault& fault) { fail_from(n, fault, 1); }
  // Fails it and the `count` - 1 after it. The fault planned first applies.
  void fail_from(std::size_t n, const Fault& fault, std::uint64_t count = kEndless);
  // Cancels all planned faults.
  void clear_faults();
  // Makes every read() fail; std::errc{} ends that.
  void fail_reads(std::errc error);
  // `during` is called by each successful sync() after it has covered earlier writes and before it returns,
  // without holding the mutex: writes made by `during` are not covered.
  void on_sync(std::function<void()> during);

  // --- Images: new folders without faults, bounds or open files. This one is not changed.
  // After a kill of the process: n operations are done, and of the next one, if it is a write, the first
  // `partial` bytes. Cheap for increasing n. The image still tracks which operations are not durable: its own
  // power_loss() may lose those, too.
  std::unique_ptr<MemoryDisk> after(std::size_t n, std::size_t partial = 0) const;
  // After a power loss. A file's writes and sizes are durable up to its last sync(), names up to the last
  // sync_folder(); of the other operations the chosen ones are done, too, all in order. An operation on a
  // name that stands for another file by then, or on a file whose name is lost, does nothing.
  std::unique_ptr<MemoryDisk> power_loss(std::size_t n, LossChoice choice) const;
  // The number of operations to choose from: those that changed something and are not durable after n.
  std::size_t unsynced(std::size_t n) const;

  // --- Damage, and files written by the test. Each change calls settle().
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
  struct PlannedFault;
  struct UnsyncedHistory;
  using OperationLog = std::vector<std::shared_ptr<const Operation>>;

  MemoryDisk(const Folder& start, std::shared_ptr<const UnsyncedHistory> unsynced_history);

  const Fault* planned(Kind kind);
  Handle* handle(FileId file, bool write);
  std::error_code record(Operation&& operation);
  void require(std::size_t n) const;
  const OperationLog& history() const;
  std::size_t unsynced_history_size() const;
  std::vector<bool> durable(const OperationLog& log, std::size_t from, std::size_t to) const;
  void damage(const std::string& name, const std::function<void(Content&)>& change);
  void settle_locked();

  mutable std::mutex mutex_;
  std::unique_ptr<Folder> current_, start_;  // start_: before operation 1
  std::map<FileId, Handle> handles_;
  FileId next_file_ = 0;
  std::uint64_t capacity_ = kEndless, peak_ = 0;
  std::size_t reads_ = 0;
  std::errc read_error_{};
  std::function<void()> during_sync_;
  OperationLog log_;
  std::vector<std::size_t> done_per_kind_;  // per kind
  std::vector<PlannedFault> planned_faults_;

  // Operations before start_ that are not durable; null if start_ is durable.
  std::shared_ptr<const UnsyncedHistory> unsynced_history_;
  // The state of the last images, from which the next ones continue.
  mutable std::shared_ptr<const OperationLog> history_;  // operations of past_ and log_, shared with images
  mutable std::unique_ptr<Folder> applied_folder_, durable_folder_;
  mutable std::size_t applied_count_ = 0, durable_applied_ = 0, durable_upto_ = 0;
};

}  // namespace heronvane::store::testing
