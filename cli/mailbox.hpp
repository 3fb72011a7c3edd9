// Items from threads to one that waits on descriptors.
#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <mutex>
#include <system_error>
#include <utility>
#include <vector>

namespace heronvane::cli {

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
  std::vector<T> take() {
    const std::lock_guard lock(mutex_);
    std::uint64_t ignored = 0;
    [[maybe_unused]] const auto n = ::read(fd_, &ignored, sizeof ignored);
    return std::exchange(items_, {});
  }
  int descriptor() const { return fd_; }  // readable while something waits

 private:
  std::mutex mutex_;
  std::vector<T> items_;
  int fd_;
};

}  // namespace heronvane::cli
