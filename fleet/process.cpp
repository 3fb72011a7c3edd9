#include "process.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace heronvane::fleet {

namespace {

// Direct system calls, since glibc 2.36 declares its wrappers without extern "C".
int open_pidfd(pid_t pid) { return static_cast<int>(::syscall(SYS_pidfd_open, pid, 0)); }
int signal_pidfd(int fd, int number) {
  return static_cast<int>(::syscall(SYS_pidfd_send_signal, fd, number, nullptr, 0));
}

std::error_code last_error() { return {errno, std::generic_category()}; }

class Descriptor {
 public:
  explicit Descriptor(int fd = -1) : fd_(fd) {}
  ~Descriptor() { reset(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }
  void reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

 private:
  int fd_;
};

// The file's content; "" if it can't be read. Reading fails if the process is reaped after the open: stream
// iterators would throw then, operator<< does not.
std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream all;
  all << in.rdbuf();
  return all ? all.str() : "";
}

std::string proc(pid_t pid, const char* name) { return "/proc/" + std::to_string(pid) + "/" + name; }

// Runs in the child between fork and exec: async-signal-safe calls only. Writes errno to `error_pipe` on
// failure.
[[noreturn]] void exec_child(const char* program, char* const* arguments, char* const* environment,
                             const char* folder, const char* log, rlim_t descriptors, int error_pipe) {
  const auto fail = [error_pipe] {
    const int why = errno;
    [[maybe_unused]] const auto n = ::write(error_pipe, &why, sizeof why);
    ::_exit(127);
  };
  struct sigaction default_action {};
  default_action.sa_handler = SIG_DFL;
  for (int s = 1; s < NSIG; s++) ::sigaction(s, &default_action, nullptr);
  sigset_t none;
  ::sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  rlimit files{};
  if (descriptors > 0 && ::getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = descriptors;
    ::setrlimit(RLIMIT_NOFILE, &files);
  }
  if (::setsid() < 0) fail();
  if (::chdir(folder) != 0) fail();
  const int in = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  const int out = ::open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (in < 0 || out < 0) fail();
  // Move the descriptors above 2, so that no dup2 below closes one that is still needed.
  const int high_in = ::fcntl(in, F_DUPFD_CLOEXEC, 10), high_out = ::fcntl(out, F_DUPFD_CLOEXEC, 10);
  const int high_error_pipe = ::fcntl(error_pipe, F_DUPFD_CLOEXEC, 10);
  if (high_in < 0 || high_out < 0 || high_error_pipe < 0) fail();
  error_pipe = high_error_pipe;
  const auto fail_high = [high_error_pipe] {
    const int why = errno;
    [[maybe_unused]] const auto n = ::write(high_error_pipe, &why, sizeof why);
    ::_exit(127);
  };
  if (::dup2(high_in, STDIN_FILENO) < 0 || ::dup2(high_out, STDOUT_FILENO) < 0 ||
      ::dup2(high_out, STDERR_FILENO) < 0)
    fail_high();
  // Close all others at exec and not earlier: the agent's lock is among them.
  if (::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC) != 0) fail_high();
  ::execve(program, arguments, environment);
  fail_high();
  ::_exit(127);
}

}  // namespace

std::string boot_id() {
  std::string id = read_file("/proc/sys/kernel/random/boot_id");
  while (!id.empty() && id.back() == '\n') id.pop_back();
  return id;
}

std::optional<ProcessId> identify(pid_t pid) {
  if (pid <= 0) return {};
  const std::string stat = read_file(proc(pid, "stat"));
  // The program name in parentheses may itself contain parentheses.
  const auto name_end = stat.rfind(')');
  if (name_end == std::string::npos || name_end + 2 >= stat.size()) return {};
  const char state = stat[name_end + 2];
  if (state == 'Z' || state == 'X' || state == 'x') return {};
  // The start time is field 22; the state is field 3.
  std::size_t at = name_end + 2;
  for (int field = 3; field < 22; field++) {
    at = stat.find(' ', at);
    if (at == std::string::npos) return {};
    at++;
  }
  ProcessId id{pid, 0, boot_id()};
  const auto read = std::from_chars(stat.data() + at, stat.data() + stat.size(), id.start_time);
  if (read.ec != std::errc()) return {};
  return id;
}

std::error_code start_detached(const Command& command, pid_t& pid) {
  std::vector<std::string> arguments_read{command.program};
  arguments_read.insert(arguments_read.end(), command.arguments.begin(), command.arguments.end());
  std::vector<char*> arguments, environment;
  for (auto& w : arguments_read) arguments.push_back(w.data());
  arguments.push_back(nullptr);
  for (char** e = environ; *e != nullptr; e++) {
    const std::string_view entry(*e);
    const auto name = entry.substr(0, entry.find('='));
    if (std::find(command.hidden.begin(), command.hidden.end(), name) == command.hidden.end())
      environment.push_back(*e);
  }
  environment.push_back(nullptr);

  int pipe_ends[2];
  if (::pipe2(pipe_ends, O_CLOEXEC) != 0) return last_error();
  Descriptor read_end(pipe_ends[0]), write_end(pipe_ends[1]);
  // The caller's signal handlers must not run in the child.
  sigset_t all, before;
  ::sigfillset(&all);
  ::pthread_sigmask(SIG_SETMASK, &all, &before);
  const pid_t child = ::fork();
  if (child == 0)
    exec_child(command.program.c_str(), arguments.data(), environment.data(), command.folder.c_str(),
               command.log.c_str(), command.descriptors, write_end.get());
  const auto forked = last_error();
  ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
  if (child < 0) return forked;
  write_end.reset();
  int why = 0;
  ssize_t bytes_read = 0;
  do bytes_read = ::read(read_end.get(), &why, sizeof why);
  while (bytes_read < 0 && errno == EINTR);
  if (bytes_read == sizeof why) {
    while (::waitpid(child, nullptr, 0) < 0 && errno == EINTR) {
    }
    return {why, std::generic_category()};
  }
  pid = child;
  return {};
}

std::unique_ptr<Process> Process::open(boost::asio::io_context& io, const ProcessId& id, EndHandler ended,
                                       std::error_code& error) {
  Descriptor descriptor(open_pidfd(id.pid));
  if (descriptor.get() < 0) {
    error = last_error();
    return nullptr;
  }
  // The pidfd refers to the process that had the pid when it was opened, so identify() after that shows which
  // one it is. A child keeps its pid until it is waited for.
  siginfo_t info{};
  const bool child =
      ::waitid(P_PIDFD, static_cast<id_t>(descriptor.get()), &info, WEXITED | WNOHANG | WNOWAIT) == 0;
  if (!child && identify(id.pid) != id) {
    error = std::make_error_code(std::errc::no_such_process);
    return nullptr;
  }
  error.clear();
  return std::unique_ptr<Process>(new Process(io, id, descriptor.release(), std::move(ended)));
}

Process::Process(boost::asio::io_context& io, ProcessId id, int descriptor, EndHandler ended)
    : id_(std::move(id)),
      descriptor_(io, descriptor),
      on_end_(std::move(ended)),
      alive_(std::make_shared<bool>(true)) {
  watch();
}

Process::~Process() { *alive_ = false; }

void Process::watch() {
  descriptor_.async_wait(boost::asio::posix::descriptor_base::wait_read, [this, alive = alive_](
                                                                             boost::system::error_code bad) {
    if (!*alive || bad) return;
    ExitStatus ending;
    siginfo_t info{};
    if (::waitid(P_PIDFD, static_cast<id_t>(descriptor_.native_handle()), &info, WEXITED | WNOHANG) == 0) {
      if (info.si_pid == 0) return watch();
      ending.known = true;
      (info.si_code == CLD_EXITED ? ending.status : ending.signal) = info.si_status;
    }
    const auto ended = std::move(on_end_);
    ended(ending);
  });
}

std::error_code Process::signal(int number) {
  if (signal_pidfd(descriptor_.native_handle(), number) != 0) return last_error();
  return {};
}

std::optional<std::string> argument_of(pid_t pid, const std::string& option) {
  std::string line = read_file(proc(pid, "cmdline"));
  // During exec the command line is empty for a moment.
  for (int attempt = 0; line.empty() && attempt < 20 && identify(pid); attempt++) {
    char program[8];
    if (::readlink(proc(pid, "exe").c_str(), program, sizeof program) < 0) return {};  // a kernel thread
    ::usleep(200);
    line = read_file(proc(pid, "cmdline"));
  }
  std::vector<std::string_view> arguments_read;
  for (std::string_view rest(line); !rest.empty();) {
    const auto end = std::min(rest.find('\0'), rest.size());
    arguments_read.push_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  for (std::size_t i = 1; i + 1 < arguments_read.size(); i++)
    if (arguments_read[i] == option) return std::string(arguments_read[i + 1]);
  return {};
}

std::multimap<std::string, ProcessId> find_by_option(const std::string& option) {
  std::multimap<std::string, ProcessId> found;
  const std::unique_ptr<DIR, int (*)(DIR*)> directory(::opendir("/proc"), ::closedir);
  if (!directory) return found;
  while (const dirent* entry = ::readdir(directory.get())) {
    pid_t pid = 0;
    const char* const end = entry->d_name + std::strlen(entry->d_name);
    if (std::from_chars(entry->d_name, end, pid).ptr != end || pid <= 0) continue;
    struct stat info {};
    if (::fstatat(::dirfd(directory.get()), entry->d_name, &info, 0) != 0 || info.st_uid != ::geteuid())
      continue;
    // Identified before and after, so that the arguments are not those of a process that reused the pid.
    const auto before = identify(pid);
    if (!before) continue;
    const auto value = argument_of(pid, option);
    if (value && identify(pid) == before) found.emplace(*value, *before);
  }
  return found;
}

}  // namespace heronvane::fleet
