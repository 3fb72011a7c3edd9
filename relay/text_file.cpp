#include "text_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <system_error>

namespace heronvane {
namespace {

constexpr std::size_t kReadBytes = 65536;  // by one read()

// Owns a file descriptor; -1: none.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

[[noreturn]] void throw_errno(const std::string& path, const std::string& content) {
  throw std::system_error(errno, std::generic_category(), content + ": can't read " + path);
}

int open_uninterrupted(const std::string& path) {
  int fd = -1;
  do {
    fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  } while (fd < 0 && errno == EINTR);
  return fd;
}

}  // namespace

std::string read_text_file(const std::string& path, const std::string& content) {
  const Descriptor file(open_uninterrupted(path));
  if (file.get() < 0) throw_errno(path, content);
  std::string text;
  std::array<char, kReadBytes> bytes{};
  while (true) {
    const ssize_t size = ::read(file.get(), bytes.data(), bytes.size());
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) throw_errno(path, content);
    if (size == 0) return text;
    text.append(bytes.data(), static_cast<std::size_t>(size));
  }
}

}  // namespace heronvane
