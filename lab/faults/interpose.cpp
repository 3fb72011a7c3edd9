// The C library's functions as the program finds them: each asks the injector, then makes the system call, or
// calls the C library's own function where that does more than the system call.
#include <dirent.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/file.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdint>

#include "faults/injector.hpp"

namespace {

using heronvane::faults::Injector;

// Whether the call fails; errno is set then.
bool fails(const char* call, const char* path = nullptr) {
  Injector* const injector = Injector::instance();
  const int error = injector == nullptr ? 0 : injector->error_of(call, path);
  if (error == 0) return false;
  errno = error;
  return true;
}

std::size_t most(const char* call, std::size_t size) {
  Injector* const injector = Injector::instance();
  return injector == nullptr ? size : injector->most_bytes(call, size);
}

// The result of a call, behind the time that it takes longer.
template <class Result>
Result slowed(const char* call, Result result) {
  const int error = errno;
  if (Injector* const injector = Injector::instance()) injector->after(call);
  errno = error;
  return result;
}

void before_write() {
  if (Injector* const injector = Injector::instance()) injector->before_write();
}

// The next function of that name: the C library's own.
template <class Function>
Function next(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

int open_at(int folder, const char* path, int flags, mode_t mode) {
  if (fails("open", path)) return -1;
  return static_cast<int>(::syscall(SYS_openat, folder, path, flags, mode));
}

// A gathering call moves no more than its first buffer's share of what is allowed.
msghdr cut(const char* call, const msghdr* message, iovec* first) {
  msghdr shorter = *message;
  if (message->msg_iovlen == 0) return shorter;
  *first = message->msg_iov[0];
  const std::size_t allowed = most(call, first->iov_len);
  if (allowed == first->iov_len) return shorter;
  first->iov_len = allowed;
  shorter.msg_iov = first;
  shorter.msg_iovlen = 1;
  return shorter;
}

}  // namespace

extern "C" {

// ---- Sockets. ----
int socket(int domain, int type, int protocol) {
  if (fails("socket")) return -1;
  return static_cast<int>(::syscall(SYS_socket, domain, type, protocol));
}
int bind(int fd, const sockaddr* address, socklen_t size) {
  if (fails("bind")) return -1;
  return slowed("bind", static_cast<int>(::syscall(SYS_bind, fd, address, size)));
}
int listen(int fd, int backlog) {
  if (fails("listen")) return -1;
  return static_cast<int>(::syscall(SYS_listen, fd, backlog));
}
// "accept" fails before a connection is taken from the queue, as for want of descriptors; "accepted" loses
// one that was taken, as where its client has gone.
int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  if (fails("accept")) return -1;
  const int taken = static_cast<int>(::syscall(SYS_accept4, fd, address, size, flags));
  if (taken < 0 || !fails("accepted")) return taken;
  const int error = errno;
  ::syscall(SYS_close, taken);
  errno = error;
  return -1;
}
int accept(int fd, sockaddr* address, socklen_t* size) { return accept4(fd, address, size, 0); }
int connect(int fd, const sockaddr* address, socklen_t size) {
  if (fails("connect")) return -1;
  return static_cast<int>(::syscall(SYS_connect, fd, address, size));
}
int setsockopt(int fd, int level, int option, const void* value, socklen_t size) noexcept {
  if (fails("setsockopt")) return -1;
  return static_cast<int>(::syscall(SYS_setsockopt, fd, level, option, value, size));
}
// Requests with one argument or none, as all of sockets are.
int ioctl(int fd, unsigned long request, ...) noexcept {
  va_list more;
  va_start(more, request);
  void* const argument = va_arg(more, void*);
  va_end(more);
  if (fails("ioctl")) return -1;
  return slowed("ioctl", static_cast<int>(::syscall(SYS_ioctl, fd, request, argument)));
}
int shutdown(int fd, int how) noexcept {
  if (fails("shutdown")) return -1;
  return static_cast<int>(::syscall(SYS_shutdown, fd, how));
}
ssize_t recv(int fd, void* bytes, std::size_t size, int flags) {
  if (fails("recv")) return -1;
  return ::syscall(SYS_recvfrom, fd, bytes, most("recv", size), flags, nullptr, nullptr);
}
ssize_t recvmsg(int fd, msghdr* message, int flags) {
  if (fails("recv")) return -1;
  iovec first{};
  msghdr shorter = cut("recv", message, &first);
  const auto moved = ::syscall(SYS_recvmsg, fd, &shorter, flags);
  message->msg_namelen = shorter.msg_namelen;
  message->msg_controllen = shorter.msg_controllen;
  message->msg_flags = shorter.msg_flags;
  return moved;
}
ssize_t send(int fd, const void* bytes, std::size_t size, int flags) {
  before_write();
  if (fails("send")) return -1;
  return ::syscall(SYS_sendto, fd, bytes, most("send", size), flags, nullptr, 0);
}
ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  before_write();
  if (fails("send")) return -1;
  iovec first{};
  const msghdr shorter = cut("send", message, &first);
  return ::syscall(SYS_sendmsg, fd, &shorter, flags);
}

// ---- Files. ----
int open(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const auto mode = static_cast<mode_t>(va_arg(more, unsigned));
  va_end(more);
  return open_at(AT_FDCWD, path, flags, mode);
}
int open64(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const auto mode = static_cast<mode_t>(va_arg(more, unsigned));
  va_end(more);
  return open_at(AT_FDCWD, path, flags, mode);
}
int openat(int folder, const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const auto mode = static_cast<mode_t>(va_arg(more, unsigned));
  va_end(more);
  return open_at(folder, path, flags, mode);
}
int openat64(int folder, const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const auto mode = static_cast<mode_t>(va_arg(more, unsigned));
  va_end(more);
  return open_at(folder, path, flags, mode);
}
int flock(int fd, int operation) noexcept {
  if (fails("flock")) return -1;
  return static_cast<int>(::syscall(SYS_flock, fd, operation));
}
ssize_t pread(int fd, void* bytes, std::size_t size, off_t at) {
  if (fails("pread")) return -1;
  return slowed("pread", ::syscall(SYS_pread64, fd, bytes, most("pread", size), at));
}
ssize_t pread64(int fd, void* bytes, std::size_t size, off64_t at) { return pread(fd, bytes, size, at); }
ssize_t pwrite(int fd, const void* bytes, std::size_t size, off_t at) {
  if (fails("pwrite")) return -1;
  return slowed("pwrite", ::syscall(SYS_pwrite64, fd, bytes, most("pwrite", size), at));
}
ssize_t pwrite64(int fd, const void* bytes, std::size_t size, off64_t at) {
  return pwrite(fd, bytes, size, at);
}
int ftruncate(int fd, off_t size) noexcept {
  if (fails("ftruncate")) return -1;
  return static_cast<int>(::syscall(SYS_ftruncate, fd, size));
}
int ftruncate64(int fd, off64_t size) noexcept { return ftruncate(fd, size); }
int fallocate(int fd, int mode, off_t at, off_t size) {
  if (fails("fallocate")) return -1;
  return static_cast<int>(::syscall(SYS_fallocate, fd, mode, at, size));
}
int fallocate64(int fd, int mode, off64_t at, off64_t size) { return fallocate(fd, mode, at, size); }
int fdatasync(int fd) {
  if (fails("fdatasync")) return -1;
  return slowed("fdatasync", static_cast<int>(::syscall(SYS_fdatasync, fd)));
}
int fsync(int fd) {
  if (fails("fsync")) return -1;
  return static_cast<int>(::syscall(SYS_fsync, fd));
}
int renameat(int from_folder, const char* from, int to_folder, const char* to) noexcept {
  if (fails("rename", to)) return -1;
  return static_cast<int>(::syscall(SYS_renameat2, from_folder, from, to_folder, to, 0));
}
int unlinkat(int folder, const char* path, int flags) noexcept {
  if (fails("unlink", path)) return -1;
  return static_cast<int>(::syscall(SYS_unlinkat, folder, path, flags));
}

// ---- The event loop. ----
int epoll_create1(int flags) noexcept {
  if (fails("epoll_create")) return -1;
  return static_cast<int>(::syscall(SYS_epoll_create1, flags));
}
int epoll_ctl(int fd, int operation, int which, epoll_event* event) noexcept {
  if (fails("epoll_ctl")) return -1;
  return static_cast<int>(::syscall(SYS_epoll_ctl, fd, operation, which, event));
}
int epoll_wait(int fd, epoll_event* events, int most_events, int timeout) {
  if (fails("epoll_wait")) return -1;
  return static_cast<int>(::syscall(SYS_epoll_pwait, fd, events, most_events, timeout, nullptr, 0));
}
int eventfd(unsigned value, int flags) noexcept {
  if (fails("eventfd")) return -1;
  return static_cast<int>(::syscall(SYS_eventfd2, value, flags));
}
int timerfd_create(clockid_t clock, int flags) noexcept {
  if (fails("timerfd_create")) return -1;
  return static_cast<int>(::syscall(SYS_timerfd_create, clock, flags));
}
int pipe2(int* ends, int flags) noexcept {
  if (fails("pipe")) return -1;
  return static_cast<int>(::syscall(SYS_pipe2, ends, flags));
}
int pipe(int* ends) noexcept { return pipe2(ends, 0); }

// ---- Clocks. ----
int clock_gettime(clockid_t clock, timespec* now) noexcept {
  static const auto own = next<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int got = own(clock, now);
  if (got != 0) return got;
  Injector* const injector = Injector::instance();
  if (injector == nullptr) return 0;
  if (clock != CLOCK_REALTIME) {
    injector->clock_read();
    return 0;
  }
  constexpr std::int64_t kSecond = 1'000'000'000;
  const std::int64_t stepped =
      static_cast<std::int64_t>(now->tv_sec) * kSecond + now->tv_nsec + injector->wall_step_ns();
  now->tv_sec = static_cast<time_t>(stepped / kSecond);
  now->tv_nsec = static_cast<long>(stepped % kSecond);
  return 0;
}

}  // extern "C"
