// Loaded before the relay: refuses the system calls that a platform may refuse (other processes, io_uring,
// splice, sendfile) and notes each in the file that HERONVANE_REFUSED_CALLS names, a line "name pid". A
// filter on this process alone, without special rights (seccomp(2)), so that calls made by the C library
// itself are found too.
#include <fcntl.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sched.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <ucontext.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

struct Refused {
  long number;
  const char* name;
};
constexpr Refused kRefused[] = {
#ifdef __NR_fork
    {__NR_fork, "fork"},
#endif
#ifdef __NR_vfork
    {__NR_vfork, "vfork"},
#endif
    {__NR_execve, "execve"},
    {__NR_execveat, "execveat"},
    {__NR_io_uring_setup, "io_uring_setup"},
    {__NR_io_uring_enter, "io_uring_enter"},
    {__NR_io_uring_register, "io_uring_register"},
    {__NR_splice, "splice"},
    {__NR_tee, "tee"},
    {__NR_vmsplice, "vmsplice"},
    {__NR_sendfile, "sendfile"},
    {__NR_clone, "clone"},  // of a process; threads are let through
};

int notes = -1;

void note(const char* name) {
  std::array<char, 64> line;
  const int n = std::snprintf(line.data(), line.size(), "%s %d\n", name, static_cast<int>(::getpid()));
  if (n > 0 && ::write(notes, line.data(), static_cast<std::size_t>(n)) != n) ::_exit(125);
}

// The call is skipped; it returns ENOSYS.
void refuse(int, siginfo_t* info, void* context) {
  const char* name = "unknown";
  for (const auto& r : kRefused)
    if (r.number == info->si_syscall) name = r.name;
  note(name);
  auto* const registers = &static_cast<ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
  registers->gregs[REG_RAX] = -ENOSYS;
#elif defined(__aarch64__)
  registers->regs[0] = static_cast<unsigned long long>(-ENOSYS);
#endif
}

constexpr sock_filter jump(std::uint32_t value, std::uint8_t same, std::uint8_t other) {
  return {BPF_JMP | BPF_JEQ | BPF_K, same, other, value};
}
constexpr sock_filter answer(std::uint32_t value) { return {BPF_RET | BPF_K, 0, 0, value}; }
constexpr sock_filter load(std::size_t offset) {
  return {BPF_LD | BPF_W | BPF_ABS, 0, 0, static_cast<std::uint32_t>(offset)};
}

[[gnu::constructor]] void arm() {
  const char* const path = std::getenv("HERONVANE_REFUSED_CALLS");
  if (path == nullptr) return;
  notes = ::open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  struct sigaction action {};
  action.sa_sigaction = refuse;
  action.sa_flags = SA_SIGINFO | SA_NODEFER;
  if (notes < 0 || ::sigaction(SIGSYS, &action, nullptr) != 0) ::_exit(125);

  std::array<sock_filter, 2 * std::size(kRefused) + 8> program{};
  std::size_t n = 0;
  program[n++] = load(offsetof(seccomp_data, nr));
  // clone3 has its flags where no filter sees them: the C library then takes clone, which has them in a
  // register.
  program[n++] = jump(__NR_clone3, 0, 1);
  program[n++] = answer(SECCOMP_RET_ERRNO | ENOSYS);
  for (const auto& r : kRefused) {
    if (r.number == __NR_clone) continue;
    program[n++] = jump(static_cast<std::uint32_t>(r.number), 0, 1);
    program[n++] = answer(SECCOMP_RET_TRAP);
  }
  program[n++] = jump(__NR_clone, 0, 3);
  program[n++] = load(offsetof(seccomp_data, args));
  program[n++] = {BPF_JMP | BPF_JSET | BPF_K, 1, 0, CLONE_THREAD};
  program[n++] = answer(SECCOMP_RET_TRAP);
  program[n++] = answer(SECCOMP_RET_ALLOW);
  const sock_fprog filter{static_cast<unsigned short>(n), program.data()};
  if (::prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0 ||
      ::prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &filter) != 0)
    ::_exit(125);
  note("armed");
}

}  // namespace
