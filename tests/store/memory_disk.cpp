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

bool is_name(const std::string& name) {
  return !name.empty() && name != "." && name != ".." && name.find('/') == std::string::npos &&
         name.find('\0') == std::string::npos;
}

bool on_content(Kind k) { return k == Kind::write || k == Kind::truncate || k == Kind::allocate; }

// Whether it changed something that a loss of power may undo.
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
  if (on_content(o.kind)) s += " at " + std::to_string(o.offset);
  if (o.error) s += ": " + o.error.message();
  return s;
}

struct MemoryDisk::Handle {
  std::string name;
  std::uint64_t inode;
  bool writes;
};

struct MemoryDisk::Plan {
  std::uint64_t first, count;
  Fault fault;
};

// What happened from a durable folder on, until an image's start.
struct MemoryDisk::Past {
  Folder start;
  std::shared_ptr<const Log> log;
  std::size_t count;                      // of `log`
  std::shared_ptr<const Operation> torn;  // the write that was cut, if any
};

MemoryDisk::MemoryDisk() : MemoryDisk(Folder{}, nullptr) {}
MemoryDisk::MemoryDisk(const Folder& start, std::shared_ptr<const Past> past)
    : now_(std::make_unique<Folder>(start)),
      start_(std::make_unique<Folder>(start)),
      peak_(start.bytes()),
      done_(kKinds),
      past_(std::move(past)) {}
MemoryDisk::~MemoryDisk() = default;

// --- The operations.

const Fault* MemoryDisk::planned(Kind kind) {
  for (const auto& p : plans_) {
    if (p.fault.only && *p.fault.only != kind) continue;
    const std::uint64_t n = 1 + (p.fault.only ? done_[static_cast<std::size_t>(kind)] : log_.size());
    if (n >= p.first && n - p.first < p.count) return &p.fault;
  }
  return nullptr;
}

// Does it, unless it failed already or a fault is planned for it. A write has its bytes cut to what fits
// before.
std::error_code MemoryDisk::record(Operation&& o) {
  if (const auto* fault = planned(o.kind)) {
    o.error = code(fault->error);
    o.drops = fault->drops && o.kind == Kind::sync;
    o.bytes.resize(std::min(o.bytes.size(), fault->part));
  }
  ++done_[static_cast<std::size_t>(o.kind)];
  log_.push_back(std::make_shared<const Operation>(std::move(o)));
  now_->apply(*log_.back());
  peak_ = std::max(peak_, now_->bytes());
  return log_.back()->error;
}

MemoryDisk::Handle* MemoryDisk::handle(FileId file, bool write) {
  const auto i = handles_.find(file);
  return i == handles_.end() || (write && !i->second.writes) ? nullptr : &i->second;
}

std::error_code MemoryDisk::list(std::vector<Entry>& entries) {
  const std::lock_guard lock(mutex_);
  entries.clear();
  for (const auto& [name, id] : now_->names) {
    const auto& inode = now_->inodes.at(id);
    entries.push_back({name, inode.content.size(), inode.folder});
  }
  return {};
}

std::error_code MemoryDisk::open(const std::string& name, Access access, FileId& file) {
  const std::lock_guard lock(mutex_);
  if (access == Access::create) {
    Operation o{.kind = Kind::create, .name = name};
    if (!is_name(name)) {
      o.error = code(std::errc::invalid_argument);
    } else if (now_->id(name) != 0) {
      o.error = code(std::errc::file_exists);
    } else {
      o.inode = now_->next;
    }
    if (const auto e = record(std::move(o))) return e;
  }
  if (!is_name(name)) return code(std::errc::invalid_argument);
  auto* inode = now_->find(name);
  if (inode == nullptr) return code(std::errc::no_such_file_or_directory);
  if (inode->folder) return code(std::errc::is_a_directory);
  ++inode->open;
  file = next_file_++;
  handles_.emplace(file, Handle{name, now_->id(name), access != Access::read});
  return {};
}

void MemoryDisk::close(FileId file) {
  const std::lock_guard lock(mutex_);
  const auto i = handles_.find(file);
  if (i == handles_.end()) return;
  const auto inode = now_->inodes.find(i->second.inode);
  if (--inode->second.open == 0 && !inode->second.named) now_->inodes.erase(inode);
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
  got = now_->inodes.at(h->inode).content.read(offset, bytes, size);
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
      const auto used = capacity_ == kEndless ? 0 : now_->used();
      const auto room = capacity_ - std::min(used, capacity_);
      const auto fits = now_->inodes.at(h->inode).content.fits(offset, bytes.size(), room);
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
      const auto room = capacity_ - std::min(now_->used(), capacity_);
      if (now_->inodes.at(h->inode).content.fits(0, static_cast<std::size_t>(bytes), room) < bytes) {
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
  Operation o{.kind = Kind::rename, .name = from, .to = to, .inode = now_->id(from)};
  const auto *source = now_->find(from), *target = now_->find(to);
  if (!is_name(from) || !is_name(to)) {
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
  Operation o{.kind = Kind::remove, .name = name, .inode = now_->id(name)};
  if (!is_name(name)) {
    o.error = code(std::errc::invalid_argument);
  } else if (const auto* inode = now_->find(name); inode == nullptr) {
    o.error = code(std::errc::no_such_file_or_directory);
  } else if (inode->folder) {
    o.error = code(std::errc::is_a_directory);
  }
  return record(std::move(o));
}

std::error_code MemoryDisk::make_folder(const std::string& name) {
  const std::lock_guard lock(mutex_);
  Operation o{.kind = Kind::make_folder, .name = name};
  if (!is_name(name)) {
    o.error = code(std::errc::invalid_argument);
  } else if (now_->id(name) != 0) {
    o.error = code(std::errc::file_exists);
  } else {
    o.inode = now_->next;
  }
  return record(std::move(o));
}

// --- Room, record, faults.

void MemoryDisk::set_capacity(std::uint64_t bytes) {
  const std::lock_guard lock(mutex_);
  capacity_ = bytes;
}
std::uint64_t MemoryDisk::bytes() const {
  const std::lock_guard lock(mutex_);
  return now_->bytes();
}
std::uint64_t MemoryDisk::peak_bytes() const {
  const std::lock_guard lock(mutex_);
  return peak_;
}
std::uint64_t MemoryDisk::used() const {
  const std::lock_guard lock(mutex_);
  return now_->used();
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
  return done_[static_cast<std::size_t>(kind)];
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
  *start_ = now_->image();
  start_->next = now_->next;
  log_.clear();
  done_.assign(kKinds, 0);
  past_.reset(), history_.reset(), replayed_.reset(), lasting_.reset();
  peak_ = std::max(peak_, now_->bytes());
}
void MemoryDisk::fail_from(std::size_t n, const Fault& fault, std::uint64_t count) {
  const std::lock_guard lock(mutex_);
  plans_.push_back({n, count, fault});
}
void MemoryDisk::heal() {
  const std::lock_guard lock(mutex_);
  plans_.clear();
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

std::size_t MemoryDisk::past_size() const { return past_ ? past_->count + (past_->torn ? 1 : 0) : 0; }

// All since the last durable start.
const MemoryDisk::Log& MemoryDisk::history() const {
  if (!history_ || history_->size() != past_size() + log_.size()) {
    auto all = std::make_shared<Log>();
    if (past_) {
      all->assign(past_->log->begin(), past_->log->begin() + static_cast<std::ptrdiff_t>(past_->count));
      if (past_->torn) all->push_back(past_->torn);
    }
    all->insert(all->end(), log_.begin(), log_.end());
    history_ = std::move(all);
  }
  return *history_;
}

std::unique_ptr<MemoryDisk> MemoryDisk::after(std::size_t n, std::size_t partial) const {
  const std::lock_guard lock(mutex_);
  require(n);
  if (!replayed_ || replayed_to_ > n) replayed_ = std::make_unique<Folder>(*start_), replayed_to_ = 0;
  while (replayed_to_ < n) replayed_->apply(*log_[replayed_to_++]);

  history();
  auto past =
      std::make_shared<Past>(Past{past_ ? past_->start : *start_, history_, past_size() + n, nullptr});
  if (partial == 0 || n == log_.size() || log_[n]->bytes.empty()) {
    return std::unique_ptr<MemoryDisk>(new MemoryDisk(*replayed_, std::move(past)));
  }
  auto torn = std::make_shared<Operation>(*log_[n]);
  torn->bytes.resize(std::min(partial, torn->bytes.size()));
  past->torn = torn;
  Folder image = *replayed_;
  image.apply(*torn);
  return std::unique_ptr<MemoryDisk>(new MemoryDisk(image, std::move(past)));
}

// Of log[from, to): whether a sync within it covers the operation.
std::vector<bool> MemoryDisk::durable(const Log& log, std::size_t from, std::size_t to) const {
  std::vector<bool> covered(to - from);
  std::set<std::uint64_t> files;
  bool names = false;
  for (std::size_t i = to; i-- > from;) {
    const auto& o = *log[i];
    if (o.kind == Kind::sync && !o.error) files.insert(o.inode);
    if (o.kind == Kind::sync && o.drops) files.erase(o.inode);
    if (o.kind == Kind::sync_folder && !o.error) names = true;
    covered[i - from] = on_content(o.kind) ? files.contains(o.inode) : names;
  }
  return covered;
}

std::size_t MemoryDisk::unsynced(std::size_t n) const {
  const std::lock_guard lock(mutex_);
  require(n);
  const auto& log = history();
  const auto to = past_size() + n;
  const auto from = lasting_ && lasting_at_ <= to ? lasting_to_ : 0;
  const auto covered = durable(log, from, to);
  std::size_t count = 0;
  for (std::size_t i = from; i < to; ++i) count += !covered[i - from] && can_be_lost(*log[i]);
  return count;
}

std::unique_ptr<MemoryDisk> MemoryDisk::power_loss(std::size_t n, LossChoice choice) const {
  const std::lock_guard lock(mutex_);
  require(n);
  const auto& log = history();
  const auto to = past_size() + n;
  // What was durable once stays so: the folder up to the first operation that wasn't is kept for a later n.
  if (!lasting_ || lasting_at_ > to) {
    lasting_ = std::make_unique<Folder>(past_ ? past_->start : *start_);
    lasting_to_ = 0;
  }
  lasting_at_ = to;
  const auto from = lasting_to_;
  const auto covered = durable(log, from, to);
  bool whole = true;
  std::vector<std::size_t> open;
  for (std::size_t i = from; i < to; ++i) {
    if (!covered[i - from] && can_be_lost(*log[i])) open.push_back(i);
    whole = whole && open.empty() && (covered[i - from] || log[i]->kind != Kind::allocate);
    if (whole) lasting_->apply(*log[i]), lasting_to_ = i + 1;
  }

  enum class Fate : char { lost, done, torn };
  std::vector<Fate> fates(open.size(), Fate::lost);
  Random random(choice.value);
  switch (choice.which) {
    case LossChoice::Which::none:
      break;
    case LossChoice::Which::all:
      std::fill(fates.begin(), fates.end(), Fate::done);
      break;
    case LossChoice::Which::only:
      if (choice.value == 0 || choice.value > open.size()) throw std::out_of_range("no such choice");
      fates[static_cast<std::size_t>(choice.value) - 1] = Fate::done;
      break;
    case LossChoice::Which::sample: {
      // All up to some one, or few, half or most of them.
      const auto mode = random.below(4);
      const auto first = random.below(open.size() + 1);
      constexpr std::array<std::uint64_t, 4> eighths = {0, 1, 4, 7};
      for (std::size_t k = 0; k < open.size(); ++k) {
        const bool done = mode == 0 ? k < first : random.below(8) < eighths[mode];
        const bool torn = log[open[k]]->kind == Kind::write && random.below(4) == 0;
        if (done) fates[k] = torn ? Fate::torn : Fate::done;
      }
      break;
    }
  }

  Folder image = *lasting_;
  std::size_t k = 0;
  for (std::size_t i = lasting_to_; i < to; ++i) {
    auto fate = covered[i - from] ? Fate::done : Fate::lost;
    if (k < open.size() && open[k] == i) {
      fate = fates[k++];
    } else if (log[i]->kind == Kind::allocate && choice.which == LossChoice::Which::all) {
      fate = Fate::done;
    }
    if (fate == Fate::done) image.apply(*log[i]);
    if (fate == Fate::torn) image.apply_torn(*log[i], random);
  }
  return std::unique_ptr<MemoryDisk>(new MemoryDisk(image, nullptr));
}

// --- Damage.

bool MemoryDisk::exists(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return now_->id(name) != 0;
}
std::string MemoryDisk::contents(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto* inode = now_->find(name);
  if (inode == nullptr) throw std::out_of_range("no file " + name);
  std::string all(static_cast<std::size_t>(inode->content.size()), '\0');
  inode->content.read(0, all.data(), all.size());
  return all;
}
void MemoryDisk::damage(const std::string& name, const std::function<void(Content&)>& change) {
  const std::lock_guard lock(mutex_);
  auto* inode = now_->find(name);
  if (inode == nullptr || inode->folder) throw std::out_of_range("no file " + name);
  change(inode->content);
  settle_locked();
}
void MemoryDisk::put(const std::string& name, std::string_view bytes) {
  {
    const std::lock_guard lock(mutex_);
    if (!is_name(name)) throw std::out_of_range("no name: " + name);
    if (now_->id(name) == 0) now_->apply({.kind = Kind::create, .name = name, .inode = now_->next});
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
