// A process that is signalled by descriptor.
#pragma once

#include <sys/types.h>

#include <utility>

namespace heronvane::lab {

// A process by its descriptor (pidfd_open(2)): signals never reach another one that got its number.
class Process {
 public:
  Process() = default;
  Process(pid_t pid, int descriptor) : pid_(pid), descriptor_(descriptor) {}
  Process(Process&& other) noexcept
      : pid_(std::exchange(other.pid_, -1)), descriptor_(std::exchange(other.descriptor_, -1)) {}
  Process& operator=(Process&& other) noexcept {
    std::swap(pid_, other.pid_);
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~Process();
  explicit operator bool() const { return descriptor_ >= 0; }
  pid_t pid() const { return pid_; }
  int descriptor() const { return descriptor_; }
  bool signal(int number) const;  // false: it has ended
  bool ended() const;

 private:
  pid_t pid_ = -1;
  int descriptor_ = -1;
};

}  // namespace heronvane::lab
