// heronvane-agent: manages the relays of one machine. SIGTERM and SIGINT end it; the relays run on unless
// --stop-relays is given.
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <optional>
#include <string>

#include "agent.hpp"
#include "api_server.hpp"
#include "endpoint_list.hpp"
#include "log.hpp"

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using heronvane::log;
using namespace heronvane::fleet;

constexpr std::uint64_t kMaxLogBytes = 10'000'000;
constexpr auto kLogCheckInterval = std::chrono::seconds(10);
constexpr auto kRelayStopGrace = std::chrono::seconds(10);

constexpr const char* kHelp =
    R"(heronvane-agent: keeps the heronvane relays of one machine.

usage: heronvane-agent --data FOLDER [options]

  --data FOLDER         its own folder: database, socket, the instances' files
  --listen-tls ADDRESS  the API also on TLS, such as 10.0.0.4:7443; with --cert,
                        --key and --client-ca
  --cert FILE           its certificate with the chain, PEM
  --key FILE            the certificate's key, PEM
  --client-ca FILE      CA of the clients' certificates, PEM
  --foreground          stay in the foreground and log to standard error, not to
                        FOLDER/agent.log
  --stop-relays         at SIGTERM end the relays too; without it they run on
  --version             print the version
  --help                print this

The API is on the Unix socket FOLDER/agent.sock; heronvanectl speaks to it.
Exit status: 0 ended by SIGTERM or SIGINT (without --foreground: it runs),
1 failed, 2 wrong usage.
)";

struct Arguments {
  std::string data, listen_tls;
  TlsFiles tls;
  bool foreground = false, stop_relays = false;
};

class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// nullopt: --help or --version was given, and its text printed.
std::optional<Arguments> read_arguments(int argc, char** argv) {
  Arguments arguments;
  for (int i = 1; i < argc; i++) {
    const std::string argument = argv[i];
    const auto value = [&]() -> std::string {
      if (i + 1 >= argc || *argv[i + 1] == '\0') throw UsageError(argument + " needs a value");
      return argv[++i];
    };
    if (argument == "--help" || argument == "-h") {
      std::fputs(kHelp, stdout);
      return {};
    }
    if (argument == "--version") {
      std::puts("heronvane-agent " HERONVANE_VERSION);
      return {};
    }
    if (argument == "--data")
      arguments.data = value();
    else if (argument == "--listen-tls")
      arguments.listen_tls = value();
    else if (argument == "--cert")
      arguments.tls.certificate = value();
    else if (argument == "--key")
      arguments.tls.key = value();
    else if (argument == "--client-ca")
      arguments.tls.client_ca = value();
    else if (argument == "--foreground")
      arguments.foreground = true;
    else if (argument == "--stop-relays")
      arguments.stop_relays = true;
    else
      throw UsageError(argument + ": no such option");
  }
  if (arguments.data.empty()) throw UsageError("--data is missing");
  const bool all =
      !arguments.tls.certificate.empty() && !arguments.tls.key.empty() && !arguments.tls.client_ca.empty();
  const bool any =
      !arguments.tls.certificate.empty() || !arguments.tls.key.empty() || !arguments.tls.client_ca.empty();
  if (!arguments.listen_tls.empty() && !all)
    throw UsageError("--listen-tls needs --cert, --key and --client-ca");
  if (arguments.listen_tls.empty() && any)
    throw UsageError("--cert, --key and --client-ca go with --listen-tls");
  // Paths are made absolute, since the agent changes its working directory to /.
  arguments.data = std::filesystem::absolute(arguments.data).lexically_normal().string();
  if (arguments.data.size() > 1 && arguments.data.back() == '/') arguments.data.pop_back();
  for (auto* file : {&arguments.tls.certificate, &arguments.tls.key, &arguments.tls.client_ca})
    if (!file->empty()) *file = std::filesystem::absolute(*file).string();
  return arguments;
}

// Continues in a child process. The parent exits when the child has started or failed.
class Background {
 public:
  // Returns in the child only. The parent exits with 0 after report_started(), with 1 if the child ended
  // before.
  void daemonize() {
    int pipe_ends[2];
    if (::pipe2(pipe_ends, O_CLOEXEC) != 0)
      throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
    const pid_t child = ::fork();
    if (child < 0) throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
    if (child > 0) {
      ::close(pipe_ends[1]);
      char byte = 0;
      const auto n = ::read(pipe_ends[0], &byte, 1);
      ::_exit(n == 1 ? 0 : 1);
    }
    ::close(pipe_ends[0]);
    status_pipe_ = pipe_ends[1];
    ::setsid();
  }
  // Reports success to the parent; standard output and error go to `file` from now on.
  void report_started(const std::string& file) {
    if (status_pipe_ < 0) return;
    const int null = ::open("/dev/null", O_RDWR | O_CLOEXEC);
    const int out = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (null < 0 || out < 0) throw std::runtime_error(file + ": " + std::strerror(errno));
    ::dup2(null, STDIN_FILENO);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::close(null);
    ::close(out);
    [[maybe_unused]] const auto n = ::write(status_pipe_, "y", 1);
    ::close(status_pipe_);
    status_pipe_ = -1;
  }

 private:
  int status_pipe_ = -1;
};

// Each instance takes a descriptor of the agent. Returns the previous soft limit, which the relays get; 0:
// unknown.
std::uint64_t raise_descriptor_limit() {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0) return 0;
  const auto before = files.rlim_cur;
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  return before;
}

#ifdef HERONVANE_AGENT_KILL_POINTS
// For tests: kills the agent with SIGKILL at the n-th call of AgentOptions::on_step.
std::function<void()> kill_point() {
  const char* const at = std::getenv("HERONVANE_AGENT_KILL_AT");
  if (at == nullptr) return {};
  return [remaining = std::atol(at)]() mutable {
    if (--remaining == 0) ::raise(SIGKILL);
  };
}
#endif

void run(const Arguments& arguments) {
  // If a descriptor below 3 were closed, the database would be opened on it.
  heronvane::open_standard_streams();
  Background background;
  if (!arguments.foreground) background.daemonize();
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  net::io_context io(1);
  net::signal_set stop_signals(io, SIGTERM, SIGINT), hangup_signals(io, SIGHUP);
  AgentOptions options;
  options.data = arguments.data;
  options.relay_descriptors = raise_descriptor_limit();
  options.own_program = std::filesystem::read_symlink("/proc/self/exe").string();
#ifdef HERONVANE_AGENT_KILL_POINTS
  options.on_step = kill_point();
  if (const char* pages = std::getenv("HERONVANE_AGENT_MOST_PAGES"))
    options.database.max_pages = std::atoi(pages);
  if (std::getenv("HERONVANE_AGENT_HASTE") != nullptr) {
    options.tuning.stalled_kill_after = 6'000'000;
    options.tuning.term_grace = 500'000;
    options.tuning.backoff_initial = 50'000;
  }
#endif
  Agent agent(io, options);
  Api api(agent);
  ApiServer server(io, api);
  server.listen_local(arguments.data + "/agent.sock");
  if (!arguments.listen_tls.empty())
    server.listen_tls(heronvane::read_address(arguments.listen_tls, "--listen-tls"), arguments.tls);
  if (::chdir("/") != 0) throw std::runtime_error(std::string("/: ") + std::strerror(errno));
  const std::string own_log = arguments.data + "/agent.log";
  background.report_started(own_log);
  heronvane::LostLineReporter lost_line_reporter(io);
  net::steady_timer log_timer(io);
  const std::function<void()> rotate_own_log = [&] {
    rotate_file(own_log, kMaxLogBytes);
    log_timer.expires_after(kLogCheckInterval);
    log_timer.async_wait([&](error_code bad) {
      if (!bad) rotate_own_log();
    });
  };
  if (!arguments.foreground) rotate_own_log();
  stop_signals.async_wait([&](error_code bad, int) {
    if (bad) return;
    if (!arguments.stop_relays) return io.stop();
    log("agent: stopping all relays, then exiting");
    agent.stop_relays(kRelayStopGrace, [&io] { io.stop(); });
  });
  // SIGHUP of a closed terminal does not end the agent.
  const std::function<void()> ignore_hangups = [&] {
    hangup_signals.async_wait([&](error_code bad, int) {
      if (!bad) ignore_hangups();
    });
  };
  ignore_hangups();
  log("agent: " HERONVANE_VERSION ", data in " + arguments.data);
  agent.start();
  io.run();
  log("agent: ended");
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const auto arguments = read_arguments(argc, argv);
    if (!arguments) return 0;
    run(*arguments);
    return 0;
  } catch (const UsageError& error) {
    std::fprintf(stderr, "heronvane-agent: %s\nheronvane-agent --help shows the usage\n", error.what());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronvane-agent: %s\n", error.what());
    return 1;
  }
}
