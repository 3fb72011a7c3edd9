// Preloaded into a program: blocks its syncs while the file named by HERONVANE_HOLD_SYNC exists.
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>

extern "C" int fdatasync(int fd) {
  const char* const hold = std::getenv("HERONVANE_HOLD_SYNC");
  while (hold != nullptr && ::access(hold, F_OK) == 0) ::usleep(1000);
  return static_cast<int>(::syscall(SYS_fdatasync, fd));
}
