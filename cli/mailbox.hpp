// A queue from several threads to one thread that polls descriptors.
#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <mutex>
#include <system_error>
#include <utility>
#include <vector>

namespace heronvane::cli {

// put() may be called from any thread. The constructor throws std::system_error if there is no descriptor
// left.
template <class T>
class Mailbox {
 public:
  Mailbox() : fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  ~Mailbox() { ::close(fd_); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  void put(T item) {
    const std::lock_guard lock(mutex_);
    items_.push_back(std::move(item));
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write(fd_, &one, sizeof one);
  }
  // Removes and returns all queued items, oldest first; does not block.
  std::vector<T> take() {
    const std::lock_guard lock(mutex_);
    std::uint64_t ignored = 0;
    [[maybe_unused]] const auto n = ::read(fd_, &ignored, sizeof ignored);
    return std::exchange(items_, {});
  }
  int descriptor() const { return fd_; }  // readable while items are queued

 private:
  std::mutex mutex_;
  std::vector<T> items_;
  int fd_;
};

}  // namespace heronvane::cli
