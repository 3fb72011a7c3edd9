#include "demo_agent.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <system_error>

#include "session.hpp"

namespace heronvane::cli {

namespace {

// Leaves room for the paths of sockets in the folder, which are limited to 107 bytes.
constexpr std::size_t kMaxFolderLength = 50;
constexpr int kFirstPort = 20'000, kLastPort = 31'999;

[[noreturn]] void fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

bool is_free(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) fail("socket");
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_port = htons(port), at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
  ::close(fd);
  return free;
}

}  // namespace

TemporaryFolder::TemporaryFolder() {
  const char* const told = std::getenv("TMPDIR");
  std::string base = told == nullptr ? "" : told;
  if (base.empty() || base.front() != '/' || base.size() > kMaxFolderLength) base = "/tmp";
  path_ = base + "/heronvane-demo-XXXXXX";
  if (::mkdtemp(path_.data()) == nullptr) fail(base);
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::vector<std::uint16_t> free_ports(std::size_t n) {
  std::vector<std::uint16_t> ports;
  std::random_device random;
  for (int tries = 0; tries < 5'000 && ports.size() < n; tries++) {
    const auto port =
        static_cast<std::uint16_t>(kFirstPort + static_cast<int>(random() % (kLastPort - kFirstPort + 1)));
    if (std::find(ports.begin(), ports.end(), port) == ports.end() && is_free(port)) ports.push_back(port);
  }
  if (ports.size() < n) throw std::runtime_error("no free ports on 127.0.0.1 from 20000 to 31999");
  return ports;
}

std::string own_program() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

std::string beside(const std::string& program) {
  const auto path = std::filesystem::path(own_program()).parent_path() / program;
  return ::access(path.c_str(), X_OK) == 0 ? path.string() : program;
}

AgentProcess::~AgentProcess() {
  std::string how;
  signal(SIGTERM);
  for (int turn = 0; turn < 400 && !ended(how); turn++)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  if (!ended(how)) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  end_leftovers(folder_);
}

void AgentProcess::start() {
  if (::symlink("a/agent.sock", socket().c_str()) != 0 && errno != EEXIST) fail(socket());
  const std::string program = beside("heronvane-agent"), folder = data(), out = log();
  const char* const arguments[] = {program.c_str(), "--data",        folder.c_str(),
                                   "--foreground",  "--stop-relays", nullptr};
  int told[2];
  if (::pipe2(told, O_CLOEXEC) != 0) fail("pipe");
  const pid_t parent = ::getpid(), child = ::fork();
  if (child < 0) fail("fork");
  if (child == 0) {
    // No call here may need a lock, since another thread may have held it at the fork.
    ::setsid();
    ::prctl(PR_SET_PDEATHSIG, SIGTERM);
    ::signal(SIGPIPE, SIG_DFL);
    const int null = ::open("/dev/null", O_RDONLY),
              to = ::open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (::getppid() == parent && null >= 0 && to >= 0) {
      ::dup2(null, STDIN_FILENO), ::dup2(to, STDOUT_FILENO), ::dup2(to, STDERR_FILENO);
      // The child must not inherit the sockets of this process.
      ::dup3(told[1], 3, O_CLOEXEC);
      ::close_range(4, ~0u, 0);
      told[1] = 3;
      ::execvp(arguments[0], const_cast<char**>(arguments));
    }
    const int why = errno;
    [[maybe_unused]] const auto n = ::write(told[1], &why, sizeof why);
    ::_exit(127);
  }
  ::close(told[1]);
  int why = 0;
  const bool failed = ::read(told[0], &why, sizeof why) == static_cast<ssize_t>(sizeof why);
  ::close(told[0]);
  if (failed) {
    ::waitpid(child, nullptr, 0);
    throw std::system_error(why, std::generic_category(), program);
  }
  pid_ = child;
}

void AgentProcess::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

bool AgentProcess::ended(std::string& how) {
  if (pid_ <= 0) return true;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
  how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                            : "status " + std::to_string(WEXITSTATUS(status));
  pid_ = 0;
  return true;
}

std::size_t end_leftovers(const std::string& folder) {
  const auto find = [&] {
    std::vector<pid_t> pids;
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator("/proc", ignored)) {
      const std::string name = entry.path().filename().string();
      if (!std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isdigit(c) != 0; }))
        continue;
      std::ifstream in(entry.path() / "cmdline", std::ios::binary);
      std::ostringstream all;  // a process may end while it is read; stream iterators would throw then
      all << in.rdbuf();
      const std::string arguments = all.str();
      const auto pid = static_cast<pid_t>(std::atol(name.c_str()));
      // Only relays and agents, not an operator's tool or editor that has the folder in its arguments.
      const auto program = std::filesystem::path(arguments.c_str()).filename();
      if ((program == "heronvane" || program == "heronvane-agent") &&
          arguments.find(folder + "/") != std::string::npos)
        pids.push_back(pid);
    }
    return pids;
  };
  const auto first = find();
  for (int turn = 0; turn < 100; turn++) {
    const auto left = find();
    if (left.empty()) break;
    for (const pid_t pid : left) ::kill(pid, SIGKILL);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return first.size();
}

FleetWatch::FleetWatch(boost::asio::io_context& io, std::string socket, std::string fleet,
                       std::function<void(State)> on_state)
    : io_(io),
      socket_(std::move(socket)),
      fleet_(std::move(fleet)),
      on_state_(std::move(on_state)),
      thread_([this] { run(); }) {}

FleetWatch::~FleetWatch() {
  *alive_ = false;
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  stop_.stop();
  wake_.notify_all();
  thread_.join();
}

void FleetWatch::drain() {
  {
    const std::lock_guard lock(mutex_);
    drain_ = true;
  }
  wake_.notify_all();
}

FleetWatch::State FleetWatch::read_state(AgentConnection& port) {
  State s;
  s.applied = applied_;
  s.agent = port.as(port.get("/v1/agent"), read_agent);
  std::int64_t generation = 0;
  s.instances = port.as(port.get("/v1/instances"),
                        [&](const std::string& json) { return read_instances(json, generation); });
  for (auto& i : s.instances) {
    if (i.pid == 0) continue;
    try {
      i.status = port.as(port.get("/v1/instances/" + i.name), read_instance).status;
    } catch (const Failure& f) {
      if (!f.not_found) throw;  // removed since the list was read
    }
  }
  return s;
}

void FleetWatch::post(AgentConnection& port, const std::string& body) {
  port.change("POST", "/v1/operations", body);
}

void FleetWatch::run() {
  Global global;
  global.timeout = 2;
  AgentConnection port(global, socket_, stop_);
  const std::string by = ",\"by\":\"heronvanectl demo pid " + std::to_string(::getpid()) + "\"";
  std::unique_lock lock(mutex_);
  while (!ending_) {
    const bool drain = drain_ && !drain_asked_;
    lock.unlock();
    State state;
    try {
      if (!applied_) {
        port.get("/v1/agent");
        post(port, "{\"kind\":\"apply\",\"names\":\"all\",\"fleet\":" + fleet_ + by + "}");
        applied_ = true;
      }
      if (drain) {
        drain_asked_ = true;
        post(port, "{\"kind\":\"drain\",\"names\":\"all\",\"supersede\":true" + by + "}");
      }
      state = read_state(port);
    } catch (const Failure& f) {
      (f.exit == kUnreachable ? state.trouble : state.refused) =
          f.message + (f.hint.empty() ? "" : " (" + f.hint + ")");
      state.applied = applied_;
    } catch (const std::exception& e) {
      state.trouble = e.what();
      state.applied = applied_;
    }
    const bool starting = !applied_;
    boost::asio::post(io_, [alive = alive_, on_state = on_state_, state = std::move(state)] {
      if (*alive) on_state(state);
    });
    lock.lock();
    wake_.wait_for(lock, std::chrono::milliseconds(starting || drain_ ? 50 : 400),
                   [&] { return ending_ || (drain_ && !drain_asked_); });
  }
}

}  // namespace heronvane::cli
