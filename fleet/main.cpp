// heronvane-agent: keeps the relays of one machine. SIGTERM and SIGINT end it; the relays run on.
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

constexpr std::uint64_t kMostLog = 10'000'000;
constexpr auto kLookAtLog = std::chrono::seconds(10);
constexpr auto kRelaysGrace = std::chrono::seconds(10);

constexpr const char* kHelp =
    R"(heronvane-agent: keeps the heronvane relays of one machine.

usage: heronvane-agent --data FOLDER [options]

  --data FOLDER         its own folder: database, socket, the instances' files
  --listen-tls ADDRESS  the API also on TLS, such as 10.0.0.4:7443; with --cert,
                        --key and --client-ca
  --cert FILE           its certificate with the chain, PEM
  --key FILE            the certificate's key, PEM
  --client-ca FILE      signs the certificates of those who may ask, PEM
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

class Usage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Nothing: it was asked for --help or --version, and told.
std::optional<Arguments> read_arguments(int count, char** words) {
  Arguments a;
  for (int i = 1; i < count; i++) {
    const std::string word = words[i];
    const auto value = [&]() -> std::string {
      if (i + 1 >= count || *words[i + 1] == '\0') throw Usage(word + " needs a value");
      return words[++i];
    };
    if (word == "--help" || word == "-h") {
      std::fputs(kHelp, stdout);
      return {};
    }
    if (word == "--version") {
      std::puts("heronvane-agent " HERONVANE_VERSION);
      return {};
    }
    if (word == "--data")
      a.data = value();
    else if (word == "--listen-tls")
      a.listen_tls = value();
    else if (word == "--cert")
      a.tls.certificate = value();
    else if (word == "--key")
      a.tls.key = value();
    else if (word == "--client-ca")
      a.tls.client_ca = value();
    else if (word == "--foreground")
      a.foreground = true;
    else if (word == "--stop-relays")
      a.stop_relays = true;
    else
      throw Usage(word + ": no such option");
  }
  if (a.data.empty()) throw Usage("--data is missing");
  const bool all = !a.tls.certificate.empty() && !a.tls.key.empty() && !a.tls.client_ca.empty();
  const bool any = !a.tls.certificate.empty() || !a.tls.key.empty() || !a.tls.client_ca.empty();
  if (!a.listen_tls.empty() && !all) throw Usage("--listen-tls needs --cert, --key and --client-ca");
  if (a.listen_tls.empty() && any) throw Usage("--cert, --key and --client-ca go with --listen-tls");
  // It leaves the folder that it was started in.
  a.data = std::filesystem::absolute(a.data).lexically_normal().string();
  if (a.data.size() > 1 && a.data.back() == '/') a.data.pop_back();
  for (auto* file : {&a.tls.certificate, &a.tls.key, &a.tls.client_ca})
    if (!file->empty()) *file = std::filesystem::absolute(*file).string();
  return a;
}

// The half that goes on in the background tells the one that was started how its start went.
class Background {
 public:
  // Returns in the child alone; the parent ends with the child's word.
  void enter() {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
    const pid_t child = ::fork();
    if (child < 0) throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
    if (child > 0) {
      ::close(ends[1]);
      char byte = 0;
      const auto n = ::read(ends[0], &byte, 1);
      ::_exit(n == 1 ? 0 : 1);
    }
    ::close(ends[0]);
    word_ = ends[1];
    ::setsid();
  }
  // From here on it logs to the file alone.
  void stands(const std::string& file) {
    if (word_ < 0) return;
    const int null = ::open("/dev/null", O_RDWR | O_CLOEXEC);
    const int out = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (null < 0 || out < 0) throw std::runtime_error(file + ": " + std::strerror(errno));
    ::dup2(null, STDIN_FILENO);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::close(null);
    ::close(out);
    [[maybe_unused]] const auto n = ::write(word_, "y", 1);
    ::close(word_);
    word_ = -1;
  }

 private:
  int word_ = -1;
};

// Each instance takes a descriptor. Returns the soft limit as it was, which the relays get.
std::uint64_t raise_descriptor_limit() {
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) != 0) return 0;
  const auto before = files.rlim_cur;
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  return before;
}

#ifdef HERONVANE_AGENT_KILL_POINTS
// Ends the agent at the n-th step that lasts or acts, as a power cut would.
std::function<void()> kill_point() {
  const char* const at = std::getenv("HERONVANE_AGENT_KILL_AT");
  if (at == nullptr) return {};
  return [left = std::atol(at)]() mutable {
    if (--left == 0) ::raise(SIGKILL);
  };
}
#endif

void run(const Arguments& arguments) {
  // Descriptors below 3 that are closed would go to the database.
  heronvane::open_standard_streams();
  Background background;
  if (!arguments.foreground) background.enter();
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  net::io_context io(1);
  net::signal_set ends(io, SIGTERM, SIGINT), hangs(io, SIGHUP);
  AgentOptions options;
  options.data = arguments.data;
  options.relay_descriptors = raise_descriptor_limit();
  options.own_program = std::filesystem::read_symlink("/proc/self/exe").string();
#ifdef HERONVANE_AGENT_KILL_POINTS
  options.point = kill_point();
  if (const char* pages = std::getenv("HERONVANE_AGENT_MOST_PAGES"))
    options.database.most_pages = std::atoi(pages);
  if (std::getenv("HERONVANE_AGENT_HASTE") != nullptr) {
    options.tuning.stalled_kill = 6'000'000;
    options.tuning.term_grace = 500'000;
    options.tuning.backoff_first = 50'000;
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
  background.stands(own_log);
  heronvane::LostLineReporter lost_line_reporter(io);
  net::steady_timer look(io);
  const std::function<void()> keep_log_short = [&] {
    rotate_file(own_log, kMostLog);
    look.expires_after(kLookAtLog);
    look.async_wait([&](error_code bad) {
      if (!bad) keep_log_short();
    });
  };
  if (!arguments.foreground) keep_log_short();
  ends.async_wait([&](error_code bad, int) {
    if (bad) return;
    if (!arguments.stop_relays) return io.stop();
    log("agent: ends, and the relays with it");
    agent.stop_relays(kRelaysGrace, [&io] { io.stop(); });
  });
  // A terminal that goes away ends no agent.
  const std::function<void()> ignore_hangups = [&] {
    hangs.async_wait([&](error_code bad, int) {
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

int main(int count, char** words) {
  try {
    const auto arguments = read_arguments(count, words);
    if (!arguments) return 0;
    run(*arguments);
    return 0;
  } catch (const Usage& e) {
    std::fprintf(stderr, "heronvane-agent: %s\nheronvane-agent --help tells how it is used\n", e.what());
    return 2;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "heronvane-agent: %s\n", e.what());
    return 1;
  }
}
