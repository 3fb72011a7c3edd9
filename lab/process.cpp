#include "process.hpp"

#include <poll.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace heronvane::lab {

Process::~Process() {
  if (descriptor_ >= 0) ::close(descriptor_);
}
bool Process::signal(int number) const {
  return descriptor_ >= 0 && ::syscall(SYS_pidfd_send_signal, descriptor_, number, nullptr, 0) == 0;
}
bool Process::ended() const {
  pollfd p{descriptor_, POLLIN, 0};
  return ::poll(&p, 1, 0) == 1;
}

}  // namespace heronvane::lab
