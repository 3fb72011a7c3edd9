#include "machine.hpp"

#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace heronvane::lab {

namespace net = boost::asio;
namespace http = boost::beast::http;
namespace fs = std::filesystem;
using boost::system::error_code;
using tcp = net::ip::tcp;
using std::chrono::microseconds;

namespace {

constexpr auto kAskAgain = std::chrono::milliseconds(50);

}  // namespace

class Machine::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(net::io_context& io, Launcher& launcher, MachineOptions options, Hooks hooks)
      : io_(io),
        launcher_(launcher),
        options_(std::move(options)),
        hooks_(std::move(hooks)),
        ask_(io),
        kill_(io) {
    fs::create_directories(state());
    if (!options_.settings.empty()) std::ofstream(options_.folder + "/settings.toml") << options_.settings;
  }
  std::string state() const { return options_.folder + "/state"; }

  void start() {
    if (running_ || ended_) return;
    running_ = true, wanted_ = false, ready_ = false, late_ = false;
    life_++;
    begun_ = std::chrono::steady_clock::now();
    if (successor_) return begun(std::exchange(successor_, Process()));
    launcher_.start(command(life_), [self = shared_from_this(), life = life_](Process process) {
      if (self->ended_ || life != self->life_) return;
      if (!process) return self->over();
      self->begun(std::move(process));
    });
  }
  void overlap(Microseconds killed) {
    if (!running_ || ended_ || successor_) return;
    launcher_.start(command(life_ + 1), [self = shared_from_this(), killed](Process process) {
      if (self->ended_) return process ? void(process.signal(SIGKILL)) : void();
      self->successor_ = std::move(process);
      self->terminate(killed);
    });
  }
  void terminate(Microseconds killed) {
    if (!running_) return;
    wanted_ = true;
    signal(SIGTERM);
    kill_.expires_after(microseconds(killed));
    kill_.async_wait([self = shared_from_this()](error_code bad) {
      if (!bad) self->signal(SIGKILL);
    });
  }
  // The command of a process that reads a configuration of its own.
  Command command(unsigned life) {
    std::ofstream(options_.folder + "/config.json") << options_.config(life);
    Command c;
    c.arguments = {options_.program};
    c.environment = {"LB_CONFIG=" + options_.folder + "/config.json", "LB_STATE=" + state(),
                     "LB_NAME=" + options_.name, "TMPDIR=" + options_.folder};
    if (!options_.settings.empty())
      c.environment.push_back("HERONVANE_SETTINGS=" + options_.folder + "/settings.toml");
    c.environment.insert(c.environment.end(), options_.environment.begin(), options_.environment.end());
    c.log = options_.folder + "/log";
    return c;
  }
  void begun(Process process) {
    process_ = std::move(process);
    if (wanted_) process_.signal(SIGKILL);  // killed before it was there
    watch_ = std::make_unique<net::posix::stream_descriptor>(io_, ::dup(process_.descriptor()));
    watch(life_);
    ask();
  }
  // The descriptor of a process turns readable when it has ended; a loop may also wake for what it had
  // before.
  void watch(unsigned life) {
    watch_->async_wait(net::posix::stream_descriptor::wait_read,
                       [self = shared_from_this(), life](error_code bad) {
                         if (bad || life != self->life_ || !self->watch_) return;
                         self->process_.ended() ? self->over() : self->watch(life);
                       });
  }
  void over() {
    running_ = false;
    watch_.reset();
    process_ = Process();
    ask_.cancel(), kill_.cancel();
    if (ended_) return;
    hooks_.ended(wanted_ ? End::wanted : End::by_itself);
  }
  // Asks for its health until it is 200.
  void ask() {
    if (ended_ || !running_ || ready_) return;
    if (!late_ && std::chrono::steady_clock::now() - begun_ > microseconds(options_.start_at_most)) {
      late_ = true;
      hooks_.no_start();
    }
    struct Question {
      explicit Question(net::io_context& io) : socket(io) {}
      tcp::socket socket;
      boost::beast::flat_buffer buffer;
      http::response<http::string_body> answer;
    };
    const auto q = std::make_shared<Question>(io_);
    const auto life = life_;
    const auto self = shared_from_this();
    const auto again = [self, life] {
      if (life != self->life_) return;
      self->ask_.expires_after(kAskAgain);
      self->ask_.async_wait([self, life](error_code bad) {
        if (!bad && life == self->life_) self->ask();
      });
    };
    q->socket.async_connect(options_.health, [self, q, again, life](error_code bad) {
      if (bad) return again();
      static const std::string kAsk = "GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
      net::async_write(
          q->socket, net::buffer(kAsk), [self, q, again, life](error_code bad_write, std::size_t) {
            if (bad_write) return again();
            http::async_read(q->socket, q->buffer, q->answer,
                             [self, q, again, life](error_code bad_read, std::size_t) {
                               if (bad_read || q->answer.result_int() != 200) return again();
                               if (life != self->life_ || !self->running_ || self->ended_ || self->ready_)
                                 return;
                               self->ready_ = true;
                               self->hooks_.up();
                             });
          });
    });
  }
  void signal(int number) {
    if (process_) process_.signal(number);
  }

  net::io_context& io_;
  Launcher& launcher_;
  MachineOptions options_;
  Hooks hooks_;
  net::steady_timer ask_, kill_;
  Process process_;
  Process successor_;  // started by overlap(), and not taken over yet
  std::unique_ptr<net::posix::stream_descriptor> watch_;
  std::chrono::steady_clock::time_point begun_;
  unsigned life_ = 0;
  bool running_ = false, ready_ = false, wanted_ = false, late_ = false, ended_ = false, stopped_ = false;
};

Machine::Machine(net::io_context& io, Launcher& launcher, MachineOptions options, Hooks hooks)
    : impl_(std::make_shared<Impl>(io, launcher, std::move(options), std::move(hooks))) {}

Machine::~Machine() {
  impl_->ended_ = true;
  impl_->signal(SIGKILL);
  if (impl_->successor_) impl_->successor_.signal(SIGKILL);
  impl_->ask_.cancel(), impl_->kill_.cancel();
  impl_->watch_.reset();
}

void Machine::start() { impl_->start(); }
void Machine::kill() {
  if (!impl_->running_) return;
  impl_->wanted_ = true;
  impl_->signal(SIGKILL);
}
void Machine::terminate(Microseconds killed) { impl_->terminate(killed); }
void Machine::overlap(Microseconds killed) { impl_->overlap(killed); }
void Machine::stop() { impl_->signal(SIGSTOP); }
void Machine::go_on() { impl_->signal(SIGCONT); }
bool Machine::running() const { return impl_->running_; }
pid_t Machine::pid() const { return impl_->process_.pid(); }

void Machine::lose_disk() {
  std::error_code ignored;
  fs::remove_all(impl_->state(), ignored);
  fs::create_directories(impl_->state());
}
void Machine::copy_disk(const std::string& name) {
  const std::string to = impl_->options_.folder + "/" + name;
  const bool was = impl_->running_;
  if (was) impl_->signal(SIGSTOP);
  std::error_code ignored;
  fs::remove_all(to, ignored);
  fs::copy(impl_->state(), to, fs::copy_options::recursive, ignored);
  if (was) impl_->signal(SIGCONT);
}
bool Machine::put_back(const std::string& name) {
  const std::string from = impl_->options_.folder + "/" + name;
  std::error_code bad;
  if (!fs::exists(from, bad)) return false;
  fs::remove_all(impl_->state(), bad);
  fs::copy(from, impl_->state(), fs::copy_options::recursive, bad);
  return !bad;
}
void Machine::fill_disk(bool full) {
  if (!impl_->process_) return;
  const rlimit limit{full ? rlim_t{1} : RLIM_INFINITY, RLIM_INFINITY};
  ::prlimit(impl_->process_.pid(), RLIMIT_FSIZE, &limit, nullptr);
}
std::uint64_t Machine::resident() const {
  if (!impl_->process_) return 0;
  std::ifstream in("/proc/" + std::to_string(impl_->process_.pid()) + "/statm");
  std::uint64_t size = 0, pages = 0;
  in >> size >> pages;
  return pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}
double Machine::cpu_seconds() const {
  if (!impl_->process_) return 0;
  std::ifstream in("/proc/" + std::to_string(impl_->process_.pid()) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  const auto at = text.rfind(')');
  if (at == std::string::npos) return 0;
  std::istringstream fields(text.substr(at + 2));
  std::string field;
  std::uint64_t user = 0, system = 0;
  for (int i = 0; i < 11; i++) fields >> field;
  fields >> user >> system;
  return static_cast<double>(user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

}  // namespace heronvane::lab
