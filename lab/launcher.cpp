#include "launcher.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <cstring>
#include <deque>
#include <system_error>

namespace heronvane::lab {

namespace {

constexpr std::size_t kMostCommand = 64 << 10;
constexpr rlim_t kChildDescriptors = 4096;

// A command as bytes: counts and texts, each ended by a zero byte.
std::string packed(const Command& c) {
  std::string out =
      std::to_string(c.arguments.size()) + '\0' + std::to_string(c.environment.size()) + '\0' + c.log + '\0';
  for (const auto* const list : {&c.arguments, &c.environment})
    for (const auto& text : *list) out += text + '\0';
  return out;
}

// In the child, after its fork: only calls that are safe there.
[[noreturn]] void become(char* bytes, pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(125);
  char* at = bytes;
  const auto next = [&at] {
    char* const text = at;
    at += std::strlen(at) + 1;
    return text;
  };
  const auto arguments = static_cast<std::size_t>(std::atoi(next()));
  const auto variables = static_cast<std::size_t>(std::atoi(next()));
  const char* const log = next();
  static std::array<char*, 256> argv{}, envp{};
  if (arguments + 1 > argv.size() || variables + 1 > envp.size()) ::_exit(125);
  for (std::size_t i = 0; i < arguments; i++) argv[i] = next();
  for (std::size_t i = 0; i < variables; i++) envp[i] = next();
  const int out = ::open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  const int in = ::open("/dev/null", O_RDONLY);
  if (out < 0 || in < 0) ::_exit(126);
  ::dup2(in, STDIN_FILENO), ::dup2(out, STDOUT_FILENO), ::dup2(out, STDERR_FILENO);
  ::close_range(3, ~0U, 0);
  ::setpgid(0, 0);  // a Ctrl-C is the lab's alone
  ::signal(SIGCHLD, SIG_DFL);
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = std::min(limit.rlim_cur, kChildDescriptors);
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  ::execve(argv[0], argv.data(), envp.data());
  ::_exit(127);
}

[[noreturn]] void serve(int socket, pid_t lab) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != lab) ::_exit(0);
  ::signal(SIGINT, SIG_IGN), ::signal(SIGTERM, SIG_IGN);
  ::signal(SIGCHLD, SIG_IGN);  // nobody waits for what it starts
  static std::array<char, kMostCommand> command;
  for (;;) {
    const auto n = ::recv(socket, command.data(), command.size(), 0);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) ::_exit(0);  // what it started ends by its parent's death
    const pid_t self = ::getpid();
    pid_t pid = ::fork();
    if (pid == 0) become(command.data(), self);
    // One that has ended already is gone, and so is its number: then there is no descriptor.
    const int descriptor = pid > 0 ? static_cast<int>(::syscall(SYS_pidfd_open, pid, 0)) : -1;
    iovec part{&pid, sizeof pid};
    msghdr message{};
    message.msg_iov = &part, message.msg_iovlen = 1;
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    if (descriptor >= 0) {
      message.msg_control = control.data(), message.msg_controllen = control.size();
      cmsghdr* const c = CMSG_FIRSTHDR(&message);
      c->cmsg_level = SOL_SOCKET, c->cmsg_type = SCM_RIGHTS, c->cmsg_len = CMSG_LEN(sizeof(int));
      std::memcpy(CMSG_DATA(c), &descriptor, sizeof(int));
    }
    if (::sendmsg(socket, &message, MSG_NOSIGNAL) < 0) ::_exit(0);
    if (descriptor >= 0) ::close(descriptor);
  }
}

}  // namespace

class Launcher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  int socket = -1;
  pid_t pid = -1;
  std::unique_ptr<boost::asio::posix::stream_descriptor> descriptor;
  std::deque<std::function<void(Process)>> waiting;
  std::deque<std::string> unsent;  // while the socket holds no more

  void send() {
    for (; !unsent.empty(); unsent.pop_front())
      if (::send(socket, unsent.front().data(), unsent.front().size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
        return;
  }

  void wait() {
    descriptor->async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [self = shared_from_this()](boost::system::error_code bad) {
                             if (bad) return;
                             self->take();
                             self->wait();
                           });
  }
  void take() {
    for (;;) {
      pid_t started = -1;
      iovec part{&started, sizeof started};
      msghdr message{};
      message.msg_iov = &part, message.msg_iovlen = 1;
      alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
      message.msg_control = control.data(), message.msg_controllen = control.size();
      const auto n = ::recvmsg(socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
      if (n != sizeof started || waiting.empty()) return;
      int process = -1;
      if (const cmsghdr* const c = CMSG_FIRSTHDR(&message); c != nullptr && c->cmsg_type == SCM_RIGHTS)
        std::memcpy(&process, CMSG_DATA(c), sizeof(int));
      const auto told = std::move(waiting.front());
      waiting.pop_front();
      send();
      told(process < 0 ? Process() : Process(started, process));
    }
  }
};

Launcher::Launcher() : impl_(std::make_shared<Impl>()) {
  std::array<int, 2> pair{};
  if (::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, pair.data()) != 0)
    throw std::system_error(errno, std::generic_category(), "launcher: socketpair");
  const pid_t lab = ::getpid();
  impl_->pid = ::fork();
  if (impl_->pid < 0) throw std::system_error(errno, std::generic_category(), "launcher: fork");
  if (impl_->pid == 0) {
    ::close(pair[0]);
    serve(pair[1], lab);
  }
  ::close(pair[1]);
  impl_->socket = pair[0];
}

Launcher::~Launcher() {
  if (impl_->descriptor) {
    boost::system::error_code ignored;
    impl_->descriptor->close(ignored);
  } else {
    ::close(impl_->socket);
  }
  impl_->waiting.clear();
  ::kill(impl_->pid, SIGKILL);
  ::waitpid(impl_->pid, nullptr, 0);
}

void Launcher::attach(boost::asio::io_context& io) {
  impl_->descriptor = std::make_unique<boost::asio::posix::stream_descriptor>(io, impl_->socket);
  impl_->wait();
}

void Launcher::detach() {
  if (impl_->descriptor) impl_->descriptor->release();
  impl_->descriptor.reset();
  impl_->waiting.clear();
}

void Launcher::start(const Command& command, std::function<void(Process)> started) {
  const auto bytes = packed(command);
  if (bytes.size() > kMostCommand) return started(Process());
  impl_->waiting.push_back(std::move(started));
  impl_->unsent.push_back(bytes);
  impl_->send();
}

}  // namespace heronvane::lab
