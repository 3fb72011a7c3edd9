#include "fail_points.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include "store/disk.hpp"

namespace heronvane {
namespace {

using Clock = std::chrono::steady_clock;

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : value;
}

class Points {
 public:
  static Points& all() {
    static Points points;
    return points;
  }

  void pass(const std::string& name) {
    const std::lock_guard lock(mutex_);
    counts_[name]++;
    if (!name_.empty() && name != name_) return;
    if (kill_at_ == 0 || ++passed_ != kill_at_) return;
    tell(name);
    ::kill(::getpid(), SIGKILL);
    while (true) ::pause();
  }

 private:
  Points() : name_(environment("HERONVANE_KILL_NAME")), told_(environment("HERONVANE_KILL_TOLD")) {
    kill_at_ = std::strtoull(environment("HERONVANE_KILL_AT").c_str(), nullptr, 10);
  }
  ~Points() { tell({}); }

  void tell(const std::string& killed_by) {
    if (told_.empty()) return;
    std::string text;
    for (const auto& [name, count] : counts_) text += name + " " + std::to_string(count) + "\n";
    if (!killed_by.empty()) text += "killed " + killed_by + "\n";
    std::FILE* const file = std::fopen(told_.c_str(), "w");
    if (file == nullptr) return;
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
  }

  std::mutex mutex_;
  std::string name_, told_;
  std::uint64_t kill_at_ = 0, passed_ = 0;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace

bool has_defect(const char* name) {
  static const std::string planted = environment("HERONVANE_DEFECT");
  return planted == name;
}
bool has_defect_now(const char* name) {
  static std::atomic<unsigned> asked = 0;
  return has_defect(name) && ++asked % 20 == 0;
}
bool second_life() {
  static const bool held = [] {
    std::error_code none;
    for (const auto& f : std::filesystem::directory_iterator(environment("LB_STATE"), none))
      if (f.path().filename().string().rfind("segment-", 0) == 0) return true;
    return false;
  }();
  return held;
}

void fail_point(const char* name) { Points::all().pass(name); }

namespace store {
namespace {

// When operations that need room find none.
class Fullness {
 public:
  Fullness() {
    const std::string text = environment("HERONVANE_DISK_FULL"), ms = environment("HERONVANE_DISK_FULL_MS");
    if (text.empty()) return;
    const auto slash = text.find('/');
    const auto first = std::strtoull(text.c_str(), nullptr, 10);
    if (slash != std::string::npos) {
      from_ = first, count_ = std::strtoull(text.c_str() + slash + 1, nullptr, 10);
      return;
    }
    spells_ = true;
    random_.seed(first);
    heal_at_ = Clock::now() + std::chrono::milliseconds(ms.empty() ? 2000 : std::atoi(ms.c_str()));
    left_ = good();
  }

  bool now() {
    if (!spells_) return ++done_ >= from_ && done_ < from_ + count_;
    if (Clock::now() > heal_at_) return false;
    if (left_ == 0) {
      full_ = !full_;
      left_ = full_ ? 1 + random_() % 12 : good();
    }
    left_--;
    return full_;
  }
  std::size_t part_of(std::size_t size) { return random_() % 3 == 0 ? 0 : random_() % (size + 1); }

 private:
  std::uint64_t good() { return 1 + random_() % 40; }

  bool spells_ = false, full_ = false;
  std::uint64_t from_ = 0, count_ = 0, done_ = 0, left_ = 0;
  std::mt19937_64 random_{1};
  Clock::time_point heal_at_;
};

class Failing : public Disk {
 public:
  explicit Failing(std::unique_ptr<Disk> disk) : disk_(std::move(disk)) {}

  std::error_code list(std::vector<Entry>& entries) override { return disk_->list(entries); }
  std::error_code open(const std::string& name, Access access, FileId& file) override {
    if (access != Access::create) return disk_->open(name, access, file);
    return around("create", [&] { return full_.now() ? kFull : disk_->open(name, access, file); });
  }
  void close(FileId file) override { disk_->close(file); }
  std::error_code read(FileId file, std::uint64_t offset, char* bytes, std::size_t size,
                       std::size_t& got) override {
    return disk_->read(file, offset, bytes, size, got);
  }
  std::error_code write(FileId file, std::uint64_t offset, std::string_view bytes,
                        std::size_t& written) override {
    return around("write", [&] {
      written = 0;
      const bool full = full_.now();
      const std::size_t part = full ? full_.part_of(bytes.size()) : bytes.size() / 2;
      if (part > 0)
        if (const auto bad = disk_->write(file, offset, bytes.substr(0, part), written)) return bad;
      HERONVANE_POINT("disk.write.part");
      if (full) return kFull;
      std::size_t rest = 0;
      const auto bad = disk_->write(file, offset + part, bytes.substr(part), rest);
      written += rest;
      return bad;
    });
  }
  std::error_code truncate(FileId file, std::uint64_t size) override {
    return around("truncate", [&] { return disk_->truncate(file, size); });
  }
  std::error_code allocate(FileId file, std::uint64_t bytes) override {
    return around("allocate", [&] { return full_.now() ? kFull : disk_->allocate(file, bytes); });
  }
  std::error_code sync(FileId file) override {
    return around("sync", [&] { return disk_->sync(file); });
  }
  std::error_code sync_folder() override {
    return around("sync_folder", [&] { return disk_->sync_folder(); });
  }
  std::error_code rename(const std::string& from, const std::string& to) override {
    return around("rename", [&] { return disk_->rename(from, to); });
  }
  std::error_code remove(const std::string& name) override {
    return around("remove", [&] { return disk_->remove(name); });
  }
  std::error_code make_folder(const std::string& name) override {
    return around("make_folder", [&] { return disk_->make_folder(name); });
  }

 private:
  template <class Operation>
  std::error_code around(const std::string& name, Operation operation) {
    HERONVANE_POINT(("disk." + name + ".before").c_str());
    const std::error_code bad = operation();
    HERONVANE_POINT(("disk." + name + ".after").c_str());
    return bad;
  }

  const std::error_code kFull = std::make_error_code(std::errc::no_space_on_device);
  std::unique_ptr<Disk> disk_;
  Fullness full_;
};

}  // namespace
}  // namespace store

std::unique_ptr<store::Disk> failing(std::unique_ptr<store::Disk> disk) {
  return std::make_unique<store::Failing>(std::move(disk));
}

}  // namespace heronvane
