#include "instance_folder.hpp"

#include <fcntl.h>
#include <sys/sendfile.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <system_error>

#include "json.hpp"

namespace heronvane::fleet {

namespace {

constexpr std::size_t kMaxDrainedFileBytes = 4096;

[[noreturn]] void fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

class File {
 public:
  File(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~File() {
    if (fd_ >= 0) ::close(fd_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

}  // namespace

void replace_file(const std::string& file, const std::string& text) {
  const std::string temporary = file + ".new";
  {
    const File out(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    if (out.get() < 0) fail(temporary);
    for (std::size_t offset = 0; offset < text.size();) {
      const ssize_t written = ::write(out.get(), text.data() + offset, text.size() - offset);
      if (written < 0 && errno != EINTR) fail(temporary);
      if (written > 0) offset += static_cast<std::size_t>(written);
    }
    if (::fsync(out.get()) != 0) fail(temporary);
  }
  if (::rename(temporary.c_str(), file.c_str()) != 0) fail(file);
}

void rotate_file(const std::string& file, std::uint64_t max_bytes) {
  struct stat info {};
  if (::stat(file.c_str(), &info) != 0 || static_cast<std::uint64_t>(info.st_size) <= max_bytes) return;
  const std::string rotated = file + ".1", temporary = file + ".1.new";
  bool copied = false;
  {
    const File in(file, O_RDONLY), out(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    if (in.get() >= 0 && out.get() >= 0) {
      ssize_t n = 0;
      while ((n = ::sendfile(out.get(), in.get(), nullptr, 1 << 20)) > 0) {
      }
      copied = n == 0;
    }
  }
  if (copied)
    ::rename(temporary.c_str(), rotated.c_str());
  else
    ::unlink(temporary.c_str());
  [[maybe_unused]] const int truncated = ::truncate(file.c_str(), 0);
}

InstanceFolder::InstanceFolder(const std::string& data, std::string name)
    : name_(std::move(name)), path_(data + "/instances/" + name_) {}

void InstanceFolder::make() const {
  for (const auto& folder : {path_, state()})
    if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) fail(folder);
}

void InstanceFolder::write_config(const Fleet& fleet, Generation generation) const {
  make();
  std::random_device random;
  const std::uint64_t seed = (static_cast<std::uint64_t>(random()) << 32) | random();
  replace_file(path_ + "/settings.toml", fleet.settings());
  replace_file(path_ + "/config.json", fleet.config(name_, generation, seed));
}

bool InstanceFolder::has_state() const {
  struct stat info {};
  if (::stat(state().c_str(), &info) == 0) return S_ISDIR(info.st_mode);
  // Other errors may come from a failing disk: they must not end a healthy relay.
  return errno != ENOENT && errno != ENOTDIR;
}

std::optional<OperationId> InstanceFolder::drained(const std::string& run) const {
  std::ifstream in(state() + "/drained", std::ios::binary);
  if (!in) return {};
  std::string text(kMaxDrainedFileBytes, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  try {
    const auto document = parse_json(text);
    if (!document.IsObject() || !document.HasMember("run") || !document["run"].IsString() ||
        document["run"].GetString() != run)
      return {};
    if (!document.HasMember("fence") || !document["fence"].IsUint64()) return {};
    return document["fence"].GetUint64();
  } catch (const std::exception&) {
    return {};
  }
}

void InstanceFolder::rotate(std::uint64_t max_bytes) const { rotate_file(log(), max_bytes); }

void InstanceFolder::remove() const {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace heronvane::fleet
