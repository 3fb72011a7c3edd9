#include "memory_disk.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <stdexcept>
#include <utility>

#include "memory_folder.hpp"

namespace heronvane::store::testing {

namespace {

std::error_code code(std::errc e) { return std::make_error_code(e); }

bool is_valid_name(const std::string& name) {
  return !name.empty() && name != "." && name != ".." && name.find('/') == std::string::npos &&
         name.find('\0') == std::string::npos;
}

bool changes_content(Kind k) { return k == Kind::write || k == Kind::truncate || k == Kind::allocate; }

// Whether it changed something that a power loss may undo.
bool can_be_lost(const Operation& o) {
  if (o.kind == Kind::write) return !o.bytes.empty();
  return !o.error && o.kind != Kind::allocate && o.kind != Kind::sync && o.kind != Kind::sync_folder;
}

}  // namespace

std::string to_string(const Operation& o) {
  static constexpr std::array<const char*, kKinds> names = {
      "create", "write", "truncate", "allocate", "sync", "sync_folder", "rename", "remove", "make_folder"};
  std::string s = names[static_cast<std::size_t>(o.kind)];
  if (!o.name.empty()) s += " " + o.name;
  if (o.kind == Kind::rename) s += " to " + o.to;
  if (o.kind == Kind::write) {
    s += " " + std::to_string(o.bytes.size()) + " of " + std::to_string(o.asked) + " bytes";
  }
  if (changes_content(o.kind)) s += " at " + std::to_string(o.offset);
  if (o.error) s += ": " + o.error.message();
  return s;
}

struct MemoryDisk::Handle {
  std::string name;
  std::uint64_t inode;
  bool writes;
};

struct MemoryDisk::PlannedFault {
  std::uint64_t first, count;
  Fault fault;
};

// The operations from a durable folder up to the start of an image.
struct MemoryDisk::UnsyncedHistory {
  Folder start;
  std::shared_ptr<const OperationLog> log;
  std::size_t count;                      // of `log`
  std::shared_ptr<const Operation> torn;  // the truncated write, if any
};

MemoryDisk::MemoryDisk() : MemoryDisk(Folder{}, nullptr) {}
MemoryDisk::MemoryDisk(const Folder& start, std::shared_ptr<const UnsyncedHistory> unsynced_history)
    : current_(std::make_unique<Folder>(start)),
      start_(std::make_unique<Folder>(start)),
      peak_(start.bytes()),
      done_per_kind_(kKinds),
      unsynced_history_(std::move(unsynced_history)) {}
MemoryDisk::~MemoryDisk() = default;

// --- The operations.

const Fault* MemoryDisk::planned(Kind kind) {
  for (const auto& p : planned_faults_) {
    if (p.fault.only && *p.fault.only != kind) continue;
    const std::uint64_t n = 1 + (p.fault.only ? done_per_kind_[static_cast<std::size_t>(kind)] : log_.size());
    if (n >= p.first && n - p.first < p.count) return &p.fault;
  }
  return nullptr;
}

// Applies the operation unless it failed already or a planned fault fails it; the bytes of a write must be
// truncated to those that fit before.
std::error_code MemoryDisk::record(Operation&& o) {
  if (const auto* fault = planned(o.kind)) {
    o.error = code(fault->error);
    o.drops = fault->drops && o.kind == Kind::sync;
    o.bytes.resize(std::min(o.bytes.size(), fault->part));
  }
  ++done_per_kind_[static_cast<std::size_t>(o.kind)];
  log_.push_back(std::make_shared<const Operation>(std::move(o)));
  current_->apply(*log_.back());
  peak_ = std::max(peak_, current_->bytes());
  return log_.back()->error;
}

MemoryDisk::Handle* MemoryDisk::handle(FileId file, bool write) {
  const auto i = handles_.find(file);
  return i == handles_.end() || (write && !i->second.writes) ? nullptr : &i->second;
}

std::error_code MemoryDisk::list(std::vector<Entry>& entries) {
  const std::lock_guard lock(mutex_);
  entries.clear();
  for (const auto& [name, id] : current_->names) {
    const auto& inode = current_->inodes.at(id);
    entries.push_back({name, inode.content.size(), inode.folder});
  }
  return {};
}

std::error_code MemoryDisk::open(const std::string& name, Access access, FileId& file) {
  const std::lock_guard lock(mutex_);
  if (access == Access::create) {
    Operation o{.kind = Kind::create, .name = name};
    if (!is_valid_name(name)) {
      o.error = code(std::errc::invalid_argument);
    } else if (current_->id(name) != 0) {
      o.error = code(std::errc::file_exists);
    } else {
      o.inode = current_->next;
    }
    if (const auto e = record(std::move(o))) return e;
  }
  if (!is_valid_name(name)) return code(std::errc::invalid_argument);
  auto* inode = current_->find(name);
  if (inode == nullptr) return code(std::errc::no_such_file_or_directory);
  if (inode->folder) return code(std::errc::is_a_directory);
  ++inode->open;
  file = next_file_++;
  handles_.emplace(file, Handle{name, current_->id(name), access != Access::read});
  return {};
}

void MemoryDisk::close(FileId file) {
  const std::lock_guard lock(mutex_);
  const auto i = handles_.find(file);
  if (i == handles_.end()) return;
  const auto inode = current_->inodes.find(i->second.inode);
  if (--inode->second.open == 0 && !inode->second.named) current_->inodes.erase(inode);
  handles_.erase(i);
}

std::error_code MemoryDisk::read(FileId file, std::uint64_t offset, char* bytes, std::size_t size,
                                 std::size_t& got) {
  const std::lock_guard lock(mutex_);
  got = 0;
  ++reads_;
  const auto* h = handle(file, false);
  if (h == nullptr) return code(std::errc::bad_file_descriptor);
  if (read_error_ != std::errc{}) return code(read_error_);
  got = current_->inodes.at(h->inode).content.read(offset, bytes, size);
  return {};
}

std::error_code MemoryDisk::write(FileId file, std::uint64_t offset, std::string_view bytes,
                                  std::size_t& written) {
  const std::lock_guard lock(mutex_);
  Operation o{.kind = Kind::write, .offset = offset, .asked = bytes.size()};
  if (const auto* h = handle(file, true); h == nullptr) {
    o.error = code(std::errc::bad_file_descriptor);
  } else {
    o.name = h->name, o.inode = h->inode;
    if (offset > kFileMax || bytes.size() > kFileMax - offset) {
      o.error = code(std::errc::file_too_large);
    } else {
      const auto used = capacity_ == kEndless ? 0 : current_->used();
      const auto free_space = capacity_ - std::min(used, capacity_);
      const auto fits = current_->inodes.at(h->inode).content.fits(offset, bytes.size(), free_space);
      if (fits < bytes.size()) o.error = code(std::errc::no_space_on_device);
      o.bytes = bytes.substr(0, fits);
    }
  }
  const auto e = record(std::move(o));
  written = log_.back()->bytes.size();
  return e;
}

std::error_code MemoryDisk::truncate(FileId file, std::uint64_t size) {
  const std::lock_guard lock(mutex_);
  Operation o{.kind = Kind::truncate, .offset = size};
  if (const auto* h = handle(file, true); h == nullptr) {
    o.error = code(std::errc::bad_file_descriptor);
  } else {
    o.name = h->name, o.inode = h->inode;
    if (size > kFileMax) o.error = code(std::errc::file_too_large);
  }
  return record(std::move(o));
}

std::error_code MemoryDisk::allocate(FileId file, std::uint64_t bytes) {
  const std::lock_guard lock(mutex_);
  Operation o{.kind = Kind::allocate, .offset = bytes};
  if (const auto* h = handle(file, true); h == nullptr) {
    o.error = code(std::errc::bad_file_descriptor);
  } else {
    o.name = h->name, o.inode = h->inode;
    if (bytes > kFileMax) {
      o.error = code(std::errc::file_too_large);
    } else if (capacity_ != kEndless) {
      const auto free_space = capacity_ - std::min(current_->used(), capacity_);
      if (current_->inodes.at(h->inode).content.fits(0, static_cast<std::size_t>(bytes), free_space) <
          bytes) {
        o.error = code(std::errc::no_space_on_device);
      }
    }
  }
  return record(std::move(o));
}

std::error_code MemoryDisk::sync(FileId file) {
  std::function<void()> during;
  {
    const std::lock_guard lock(mutex_);
    Operation o{.kind = Kind::sync};
    if (const auto* h = handle(file, false); h == nullptr) {
      o.error = code(std::errc::bad_file_descriptor);
    } else {
      o.name = h->name, o.inode = h->inode;
    }
    if (const auto e = record(std::move(o))) return e;
    during = during_sync_;
  }
  if (during) during();
  return {};
}

std::error_code MemoryDisk::sync_folder() {
  const std::lock_guard lock(mutex_);
  return record(Operation{.kind = Kind::sync_folder});
}

std::error_code MemoryDisk::rename(const std::string& from, const std::string& to) {
  const std::lock_guard lock(mutex_);
  Operation o{.kind = Kind::rename, .name = from, .to = to, .inode = current_->id(from)};
  const auto *source = current_->find(from), *target = current_->find(to);
  if (!is_valid_name(from) || !is_valid_name(to)) {
    o.error = code(std::errc::invalid_argument);
  } else if (source == nullptr) {
    o.error = code(std::errc::no_such_file_or_directory);
  } else if (target != nullptr && target->folder != source->folder) {
    o.error = code(target->folder ? std::errc::is_a_directory : std::errc::not_a_directory);
  }
  return record(std::move(o));
}

std::error_code MemoryDisk::remove(const std::string& name) {
  const std::lock_guard lock(mutex_);
  Operation o{.kind = Kind::remove, .name = name, .inode = current_->id(name)};
  if (!is_valid_name(name)) {
    o.error = code(std::errc::invalid_argument);
  } else if (const auto* inode = current_->find(name); inode == nullptr) {
    o.error = code(std::errc::no_such_file_or_directory);
  } else if (inode->folder) {
    o.error = code(std::errc::is_a_directory);
  }
  return record(std::move(o));
}

std::error_code MemoryDisk::make_folder(const std::string& name) {
  const std::lock_guard lock(mutex_);
  Operation o{.kind = Kind::make_folder, .name = name};
  if (!is_valid_name(name)) {
    o.error = code(std::errc::invalid_argument);
  } else if (current_->id(name) != 0) {
    o.error = code(std::errc::file_exists);
  } else {
    o.inode = current_->next;
  }
  return record(std::move(o));
}

// --- Space, record, faults.

void MemoryDisk::set_capacity(std::uint64_t bytes) {
  const std::lock_guard lock(mutex_);
  capacity_ = bytes;
}
std::uint64_t MemoryDisk::bytes() const {
  const std::lock_guard lock(mutex_);
  return current_->bytes();
}
std::uint64_t MemoryDisk::peak_bytes() const {
  const std::lock_guard lock(mutex_);
  return peak_;
}
std::uint64_t MemoryDisk::used() const {
  const std::lock_guard lock(mutex_);
  return current_->used();
}
std::size_t MemoryDisk::open_files() const {
  const std::lock_guard lock(mutex_);
  return handles_.size();
}
std::size_t MemoryDisk::operations() const {
  const std::lock_guard lock(mutex_);
  return log_.size();
}
std::size_t MemoryDisk::operations(Kind kind) const {
  const std::lock_guard lock(mutex_);
  return done_per_kind_[static_cast<std::size_t>(kind)];
}
Operation MemoryDisk::operation(std::size_t n) const {
  const std::lock_guard lock(mutex_);
  if (n == 0) throw std::out_of_range("operations are numbered from 1");
  require(n);
  return *log_[n - 1];
}
std::size_t MemoryDisk::reads() const {
  const std::lock_guard lock(mutex_);
  return reads_;
}
void MemoryDisk::settle() {
  const std::lock_guard lock(mutex_);
  settle_locked();
}
void MemoryDisk::settle_locked() {
  *start_ = current_->image();
  start_->next = current_->next;
  log_.clear();
  done_per_kind_.assign(kKinds, 0);
  unsynced_history_.reset(), history_.reset(), applied_folder_.reset(), durable_folder_.reset();
  peak_ = std::max(peak_, current_->bytes());
}
void MemoryDisk::fail_from(std::size_t n, const Fault& fault, std::uint64_t count) {
  const std::lock_guard lock(mutex_);
  planned_faults_.push_back({n, count, fault});
}
void MemoryDisk::clear_faults() {
  const std::lock_guard lock(mutex_);
  planned_faults_.clear();
}
void MemoryDisk::fail_reads(std::errc error) {
  const std::lock_guard lock(mutex_);
  read_error_ = error;
}
void MemoryDisk::on_sync(std::function<void()> during) {
  const std::lock_guard lock(mutex_);
  during_sync_ = std::move(during);
}
void MemoryDisk::require(std::size_t n) const {
  if (n > log_.size()) throw std::out_of_range("no operation " + std::to_string(n));
}

// --- Images.

std::size_t MemoryDisk::unsynced_history_size() const {
  return unsynced_history_ ? unsynced_history_->count + (unsynced_history_->torn ? 1 : 0) : 0;
}

// All operations since the last durable folder.
const MemoryDisk::OperationLog& MemoryDisk::history() const {
  if (!history_ || history_->size() != unsynced_history_size() + log_.size()) {
    auto all = std::make_shared<OperationLog>();
    if (unsynced_history_) {
      all->assign(unsynced_history_->log->begin(),
                  unsynced_history_->log->begin() + static_cast<std::ptrdiff_t>(unsynced_history_->count));
      if (unsynced_history_->torn) all->push_back(unsynced_history_->torn);
    }
    all->insert(all->end(), log_.begin(), log_.end());
    history_ = std::move(all);
  }
  return *history_;
}

std::unique_ptr<MemoryDisk> MemoryDisk::after(std::size_t n, std::size_t partial) const {
  const std::lock_guard lock(mutex_);
  require(n);
  if (!applied_folder_ || applied_count_ > n)
    applied_folder_ = std::make_unique<Folder>(*start_), applied_count_ = 0;
  while (applied_count_ < n) applied_folder_->apply(*log_[applied_count_++]);

  history();
  auto unsynced_history = std::make_shared<UnsyncedHistory>(
      UnsyncedHistory{unsynced_history_ ? unsynced_history_->start : *start_, history_,
                      unsynced_history_size() + n, nullptr});
  if (partial == 0 || n == log_.size() || log_[n]->bytes.empty()) {
    return std::unique_ptr<MemoryDisk>(new MemoryDisk(*applied_folder_, std::move(unsynced_history)));
  }
  auto torn = std::make_shared<Operation>(*log_[n]);
  torn->bytes.resize(std::min(partial, torn->bytes.size()));
  unsynced_history->torn = torn;
  Folder image = *applied_folder_;
  image.apply(*torn);
  return std::unique_ptr<MemoryDisk>(new MemoryDisk(image, std::move(unsynced_history)));
}

// For each operation of log[from, to): whether a sync in that range covers it.
std::vector<bool> MemoryDisk::durable(const OperationLog& log, std::size_t from, std::size_t to) const {
  std::vector<bool> covered(to - from);
  std::set<std::uint64_t> files;
  bool names = false;
  for (std::size_t i = to; i-- > from;) {
    const auto& o = *log[i];
    if (o.kind == Kind::sync && !o.error) files.insert(o.inode);
    if (o.kind == Kind::sync && o.drops) files.erase(o.inode);
    if (o.kind == Kind::sync_folder && !o.error) names = true;
    covered[i - from] = changes_content(o.kind) ? files.contains(o.inode) : names;
  }
  return covered;
}

std::size_t MemoryDisk::unsynced(std::size_t n) const {
  const std::lock_guard lock(mutex_);
  require(n);
  const auto& log = history();
  const auto to = unsynced_history_size() + n;
  const auto from = durable_folder_ && durable_upto_ <= to ? durable_applied_ : 0;
  const auto covered = durable(log, from, to);
  std::size_t count = 0;
  for (std::size_t i = from; i < to; ++i) count += !covered[i - from] && can_be_lost(*log[i]);
  return count;
}

std::unique_ptr<MemoryDisk> MemoryDisk::power_loss(std::size_t n, LossChoice choice) const {
  const std::lock_guard lock(mutex_);
  require(n);
  const auto& log = history();
  const auto to = unsynced_history_size() + n;
  // Durable operations stay durable: the folder up to the first one that isn't is kept for a later n.
  if (!durable_folder_ || durable_upto_ > to) {
    durable_folder_ = std::make_unique<Folder>(unsynced_history_ ? unsynced_history_->start : *start_);
    durable_applied_ = 0;
  }
  durable_upto_ = to;
  const auto from = durable_applied_;
  const auto covered = durable(log, from, to);
  bool whole = true;
  std::vector<std::size_t> open;
  for (std::size_t i = from; i < to; ++i) {
    if (!covered[i - from] && can_be_lost(*log[i])) open.push_back(i);
    whole = whole && open.empty() && (covered[i - from] || log[i]->kind != Kind::allocate);
    if (whole) durable_folder_->apply(*log[i]), durable_applied_ = i + 1;
  }

  enum class LossOutcome : char { lost, done, torn };
  std::vector<LossOutcome> outcomes(open.size(), LossOutcome::lost);
  Random random(choice.value);
  switch (choice.which) {
    case LossChoice::Which::none:
      break;
    case LossChoice::Which::all:
      std::fill(outcomes.begin(), outcomes.end(), LossOutcome::done);
      break;
    case LossChoice::Which::only:
      if (choice.value == 0 || choice.value > open.size()) throw std::out_of_range("no such choice");
      outcomes[static_cast<std::size_t>(choice.value) - 1] = LossOutcome::done;
      break;
    case LossChoice::Which::sample: {
      // All up to some operation, or few, half or most of them.
      const auto mode = random.below(4);
      const auto first = random.below(open.size() + 1);
      constexpr std::array<std::uint64_t, 4> eighths = {0, 1, 4, 7};
      for (std::size_t k = 0; k < open.size(); ++k) {
        const bool done = mode == 0 ? k < first : random.below(8) < eighths[mode];
        const bool torn = log[open[k]]->kind == Kind::write && random.below(4) == 0;
        if (done) outcomes[k] = torn ? LossOutcome::torn : LossOutcome::done;
      }
      break;
    }
  }

  Folder image = *durable_folder_;
  std::size_t k = 0;
  for (std::size_t i = durable_applied_; i < to; ++i) {
    auto outcome = covered[i - from] ? LossOutcome::done : LossOutcome::lost;
    if (k < open.size() && open[k] == i) {
      outcome = outcomes[k++];
    } else if (log[i]->kind == Kind::allocate && choice.which == LossChoice::Which::all) {
      outcome = LossOutcome::done;
    }
    if (outcome == LossOutcome::done) image.apply(*log[i]);
    if (outcome == LossOutcome::torn) image.apply_torn(*log[i], random);
  }
  return std::unique_ptr<MemoryDisk>(new MemoryDisk(image, nullptr));
}

// --- Damage.

bool MemoryDisk::exists(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return current_->id(name) != 0;
}
std::string MemoryDisk::contents(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto* inode = current_->find(name);
  if (inode == nullptr) throw std::out_of_range("no file " + name);
  std::string all(static_cast<std::size_t>(inode->content.size()), '\0');
  inode->content.read(0, all.data(), all.size());
  return all;
}
void MemoryDisk::damage(const std::string& name, const std::function<void(Content&)>& change) {
  const std::lock_guard lock(mutex_);
  auto* inode = current_->find(name);
  if (inode == nullptr || inode->folder) throw std::out_of_range("no file " + name);
  change(inode->content);
  settle_locked();
}
void MemoryDisk::put(const std::string& name, std::string_view bytes) {
  {
    const std::lock_guard lock(mutex_);
    if (!is_valid_name(name)) throw std::out_of_range("no name: " + name);
    if (current_->id(name) == 0)
      current_->apply({.kind = Kind::create, .name = name, .inode = current_->next});
  }
  damage(name, [&](Content& c) { c.resize(0), c.write(0, bytes); });
}
void MemoryDisk::flip(const std::string& name, std::uint64_t offset, unsigned bit) {
  damage(name, [&](Content& c) {
    char byte = 0;
    if (bit > 7 || c.read(offset, &byte, 1) != 1) throw std::out_of_range("no such bit in " + name);
    byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << bit));
    c.write(offset, {&byte, 1});
  });
}
void MemoryDisk::zero(const std::string& name, std::uint64_t from, std::uint64_t size) {
  damage(name, [&](Content& c) {
    if (from > c.size() || size > c.size() - from) throw std::out_of_range("not that long: " + name);
    c.write(from, std::string(static_cast<std::size_t>(size), '\0'));
  });
}
void MemoryDisk::cut(const std::string& name, std::uint64_t size) {
  damage(name, [&](Content& c) {
    if (size > c.size()) throw std::out_of_range("not that long: " + name);
    c.resize(size);
  });
}

}  // namespace heronvane::store::testing
