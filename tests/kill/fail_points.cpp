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
    write_report(name);
    ::kill(::getpid(), SIGKILL);
    while (true) ::pause();
  }

 private:
  Points() : name_(environment("HERONVANE_KILL_NAME")), report_path_(environment("HERONVANE_KILL_TOLD")) {
    kill_at_ = std::strtoull(environment("HERONVANE_KILL_AT").c_str(), nullptr, 10);
  }
  ~Points() { write_report({}); }

  void write_report(const std::string& killed_by) {
    if (report_path_.empty()) return;
    std::string text;
    for (const auto& [name, count] : counts_) text += name + " " + std::to_string(count) + "\n";
    if (!killed_by.empty()) text += "killed " + killed_by + "\n";
    std::FILE* const file = std::fopen(report_path_.c_str(), "w");
    if (file == nullptr) return;
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
  }

  std::mutex mutex_;
  std::string name_, report_path_;
  std::uint64_t kill_at_ = 0, passed_ = 0;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace

bool has_defect(const char* name) {
  static const std::string defect = environment("HERONVANE_DEFECT");
  return defect == name;
}
bool has_defect_now(const char* name) {
  static std::atomic<unsigned> calls = 0;
  return has_defect(name) && ++calls % 20 == 0;
}
bool second_life() {
  static const bool has_segments = [] {
    std::error_code ignored;
    for (const auto& f : std::filesystem::directory_iterator(environment("LB_STATE"), ignored))
      if (f.path().filename().string().rfind("segment-", 0) == 0) return true;
    return false;
  }();
  return has_segments;
}

void fail_point(const char* name) { Points::all().pass(name); }

namespace store {
namespace {

// Decides which operations that need disk space fail with no_space_on_device.
class DiskFullSchedule {
 public:
  DiskFullSchedule() {
    const std::string text = environment("HERONVANE_DISK_FULL"), ms = environment("HERONVANE_DISK_FULL_MS");
    if (text.empty()) return;
    const auto slash = text.find('/');
    const auto first = std::strtoull(text.c_str(), nullptr, 10);
    if (slash != std::string::npos) {
      from_ = first, count_ = std::strtoull(text.c_str() + slash + 1, nullptr, 10);
      return;
    }
    alternating_ = true;
    random_.seed(first);
    ends_at_ = Clock::now() + std::chrono::milliseconds(ms.empty() ? 2000 : std::atoi(ms.c_str()));
    operations_left_ = next_free_operations();
  }

  bool is_full() {
    if (!alternating_) return ++done_ >= from_ && done_ < from_ + count_;
    if (Clock::now() > ends_at_) return false;
    if (operations_left_ == 0) {
      full_ = !full_;
      operations_left_ = full_ ? 1 + random_() % 12 : next_free_operations();
    }
    operations_left_--;
    return full_;
  }
  std::size_t partial_size(std::size_t size) { return random_() % 3 == 0 ? 0 : random_() % (size + 1); }

 private:
  std::uint64_t next_free_operations() { return 1 + random_() % 40; }

  bool alternating_ = false, full_ = false;
  std::uint64_t from_ = 0, count_ = 0, done_ = 0, operations_left_ = 0;
  std::mt19937_64 random_{1};
  Clock::time_point ends_at_;
};

class FailingDisk : public Disk {
 public:
  explicit FailingDisk(std::unique_ptr<Disk> disk) : disk_(std::move(disk)) {}

  std::error_code list(std::vector<Entry>& entries) override { return disk_->list(entries); }
  std::error_code open(const std::string& name, Access access, FileId& file) override {
    if (access != Access::create) return disk_->open(name, access, file);
    return with_fail_points("create",
                            [&] { return full_.is_full() ? kNoSpace : disk_->open(name, access, file); });
  }
  void close(FileId file) override { disk_->close(file); }
  std::error_code read(FileId file, std::uint64_t offset, char* bytes, std::size_t size,
                       std::size_t& got) override {
    return disk_->read(file, offset, bytes, size, got);
  }
  std::error_code write(FileId file, std::uint64_t offset, std::string_view bytes,
                        std::size_t& written) override {
    return with_fail_points("write", [&] {
      written = 0;
      const bool full = full_.is_full();
      const std::size_t part = full ? full_.partial_size(bytes.size()) : bytes.size() / 2;
      if (part > 0)
        if (const auto error = disk_->write(file, offset, bytes.substr(0, part), written)) return error;
      HERONVANE_POINT("disk.write.part");
      if (full) return kNoSpace;
      std::size_t rest = 0;
      const auto error = disk_->write(file, offset + part, bytes.substr(part), rest);
      written += rest;
      return error;
    });
  }
  std::error_code truncate(FileId file, std::uint64_t size) override {
    return with_fail_points("truncate", [&] { return disk_->truncate(file, size); });
  }
  std::error_code allocate(FileId file, std::uint64_t bytes) override {
    return with_fail_points("allocate",
                            [&] { return full_.is_full() ? kNoSpace : disk_->allocate(file, bytes); });
  }
  std::error_code sync(FileId file) override {
    return with_fail_points("sync", [&] { return disk_->sync(file); });
  }
  std::error_code sync_folder() override {
    return with_fail_points("sync_folder", [&] { return disk_->sync_folder(); });
  }
  std::error_code rename(const std::string& from, const std::string& to) override {
    return with_fail_points("rename", [&] { return disk_->rename(from, to); });
  }
  std::error_code remove(const std::string& name) override {
    return with_fail_points("remove", [&] { return disk_->remove(name); });
  }
  std::error_code make_folder(const std::string& name) override {
    return with_fail_points("make_folder", [&] { return disk_->make_folder(name); });
  }

 private:
  template <class Operation>
  std::error_code with_fail_points(const std::string& name, Operation operation) {
    HERONVANE_POINT(("disk." + name + ".before").c_str());
    const std::error_code error = operation();
    HERONVANE_POINT(("disk." + name + ".after").c_str());
    return error;
  }

  const std::error_code kNoSpace = std::make_error_code(std::errc::no_space_on_device);
  std::unique_ptr<Disk> disk_;
  DiskFullSchedule full_;
};

}  // namespace
}  // namespace store

std::unique_ptr<store::Disk> failing(std::unique_ptr<store::Disk> disk) {
  return std::make_unique<store::FailingDisk>(std::move(disk));
}

}  // namespace heronvane
