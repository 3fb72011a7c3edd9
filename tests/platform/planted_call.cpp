// Loaded before the relay as a defect that the test of refused calls must find: the process makes the call
// that HERONVANE_PLANTED_CALL names whenever it opens a socket to listen on.
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>

extern "C" int listen(int fd, int backlog) {
  const char* const planted = std::getenv("HERONVANE_PLANTED_CALL");
  if (planted != nullptr) {
    if (std::strcmp(planted, "fork") == 0 && ::fork() == 0) ::_exit(0);
    if (std::strcmp(planted, "program") == 0 && std::system("true") == 0) ::write(STDERR_FILENO, "ran\n", 4);
    if (std::strcmp(planted, "sendfile") == 0) ::syscall(SYS_sendfile, -1, -1, nullptr, 0);
    if (std::strcmp(planted, "splice") == 0) ::syscall(SYS_splice, -1, nullptr, -1, nullptr, 0, 0);
    if (std::strcmp(planted, "io_uring") == 0) ::syscall(SYS_io_uring_setup, 1, nullptr);
  }
  return static_cast<int>(::syscall(SYS_listen, fd, backlog));
}
