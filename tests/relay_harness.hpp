// Runs the relay as a child process, with fake clients, endpoints and a fake platform on loopback sockets.
// One thread and one event loop: tests wait for conditions rather than for fixed times.
#pragma once

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heronvane::testing {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr auto kPatience = std::chrono::seconds(30);

// A loopback address for this process alone, so that tests can run in parallel.
inline std::string own_address() {
  const auto pid = ::getpid();
  return "127." + std::to_string(60 + (pid >> 16) % 60) + "." + std::to_string((pid >> 8) % 256) + "." +
         std::to_string(1 + pid % 254);
}

// Sends a signal to one process. Refuses -1, the mark of a process that has ended: kill() would signal every
// process of this user.
inline void send_signal(pid_t process, int number) {
  if (process > 0)
    ::kill(process, number);
  else
    ADD_FAILURE() << "the process has ended already";
}

// A connection that a server has accepted.
struct Session : std::enable_shared_from_this<Session> {
  explicit Session(tcp::socket s) : socket(std::move(s)) {}
  void write(const std::string& bytes) {
    error_code ignored;
    net::write(socket, net::buffer(bytes), ignored);
  }
  void answer(unsigned status, const std::string& headers = "", const std::string& body = "") {
    write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  void close() {
    error_code ignored;
    socket.close(ignored);
  }
  tcp::socket socket;
  beast::flat_buffer buffer;
  bool ended = false;  // the other side has closed
};
struct Got {  // a request that a server has received, and the connection to answer it on
  Request request;
  std::shared_ptr<Session> session;
};

class Server {  // an HTTP server that passes each request to a handler
 public:
  using Handler = std::function<void(const Got&)>;
  Server(net::io_context& io, Handler handler)
      : acceptor_(io, {net::ip::make_address(own_address()), 0}), handler_(std::move(handler)) {
    accept();
  }
  std::string address() const {
    return own_address() + ":" + std::to_string(acceptor_.local_endpoint().port());
  }
  void on_request(Handler handler) { handler_ = std::move(handler); }
  void shut() {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& s : sessions) s->close();
  }
  // Makes the server unreachable, as behind a network that drops everything: new connections don't come up,
  // since the backlog is full. Open ones stay open.
  void cut() {
    acceptor_.cancel();
    ::listen(acceptor_.native_handle(), 0);
    for (int i = 0; i < 3; i++) {
      backlog_.emplace_back(acceptor_.get_executor());
      backlog_.back().async_connect(acceptor_.local_endpoint(), [](error_code) {});
    }
  }
  void end_cut() {
    backlog_.clear();
    ::listen(acceptor_.native_handle(), SOMAXCONN);
    accept();
  }

  std::vector<Got> got;
  std::vector<std::shared_ptr<Session>> sessions;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
      if (bad) return;
      sessions.push_back(std::make_shared<Session>(std::move(socket)));
      read(sessions.back());
      accept();
    });
  }
  void read(const std::shared_ptr<Session>& session) {
    const auto request = std::make_shared<Request>();
    http::async_read(session->socket, session->buffer, *request,
                     [this, session, request](error_code bad, auto) {
                       if (bad) {
                         session->ended = true;
                         return;
                       }
                       got.push_back({*request, session});
                       handler_(got.back());
                       read(session);
                     });
  }
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> backlog_;  // connections that fill the backlog during a cut
  Handler handler_;
};

inline void answer_ok(const Got& g) { g.session->answer(200); }
inline void stay_silent(const Got&) {}

// One client connection. A pending read keeps it alive, even if the test has released it.
class Client : public std::enable_shared_from_this<Client> {
 public:
  explicit Client(tcp::socket socket) : socket_(std::move(socket)) {}
  void write(const std::string& bytes) {
    error_code ignored;
    net::write(socket_, net::buffer(bytes), ignored);
  }
  void end_sending() { socket_.shutdown(tcp::socket::shutdown_send); }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }
  void read() {
    const auto answer = std::make_shared<Response>();
    http::async_read(socket_, buffer_, *answer, [self = shared_from_this(), answer](error_code bad, auto) {
      self->ended = bool(bad);
      if (bad) return;
      self->answers.push_back(*answer);
      self->read();
    });
  }
  std::vector<Response> answers;
  bool ended = false;

 private:
  tcp::socket socket_;
  beast::flat_buffer buffer_;
};

class RelayTest : public ::testing::Test {
 protected:
  RelayTest() : endpoint(io, answer_ok), platform(io, [this](const Got& g) { on_platform(g); }) {
    const auto base =
        std::filesystem::temp_directory_path() / ("heronvane-test-" + std::to_string(::getpid()));
    folder = base.string();
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder + "/state");
    tcp::acceptor probe(io, {net::ip::make_address(own_address()), 0});
    port = probe.local_endpoint().port();
  }
  ~RelayTest() override {
    if (child > 0) send_signal(child, SIGKILL), ::waitpid(child, nullptr, 0);
    std::filesystem::remove_all(folder);
  }

  // ---- The program. ----
  virtual std::string limits() {
    return R"({"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":)" + disk_mb + "}";
  }
  virtual std::string settings() {
    return R"({"Classes":[{"Name":"load-status","Points":1.0,"Target":1000000,"Deadline":6000000,)"
           R"("Idempotency":"read_like"},{"Name":"pay-and-order","Points":3.0,"Target":2000000,)"
           R"("Deadline":24000000,"Idempotency":"non_idempotent","LateWorth":0.3}],)"
           R"("FamilyInfo":{"Workers":)" +
           std::to_string(workers) +
           R"(,"BundleMax":[20,1],"RoutesApart":[true,false],"Decay":"halves"},)"
           R"("HostTypes":["big","small"],"FailureDomains":["a","b"],"Locality":"a",)"
           R"("Limits":{"OpenCap":40,"MaxAttempts":8,"Cancelling":true,"Peers":true,"ConnIdle":5000000,)"
           R"("ConnectTimeout":1500000,"MaxRetryAfter":2000000},"Discovery":"subscribe","GroupSize":1,)"
           R"("Rules":{"AnswerSlack":20000,"DrainGrace":1000000,"MustAskIn":10000000},"Tick":)" +
           std::to_string(tick) + "}";
  }
  std::string member(const std::string& name, const std::string& address, const std::string& status = "ready",
                     const std::string& type = "small") {
    return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":"a","type":")" + type +
           R"(","group":7,"status":")" + status + R"(","weight":1.0,"since_ms":0})";
  }
  std::string list(const std::string& entries, bool whole = true) {
    return R"({"index":41,"snapshot":)" + std::string(whole ? "true" : "false") + R"(,"endpoints":[)" +
           entries + "]}";
  }
  std::string config() { return config(platform.address()); }
  std::string config(const std::string& discovery) {
    const std::string own = own_address() + ":" + std::to_string(port);
    return R"({"name":"n0","listen":")" + own + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":)" + limits() + R"(,"known":)" + list(members) +
           R"(,"settings":)" + settings() + more + "}";
  }
  void spawn(const std::string& text) {
    std::ofstream(folder + "/config.json") << text;
    if (!own_settings.empty()) std::ofstream(folder + "/own.toml") << own_settings;
    if (!faults.empty()) std::ofstream(folder + "/faults.toml") << faults;
    child = ::fork();
    if (child == 0) {
      // However the test ends, the child must not outlive it nor keep the runner's pipe open.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (std::freopen("/dev/null", "w", stdout) == nullptr) ::_exit(126);
      if (largest_file > 0) {
        const rlimit limit{largest_file, RLIM_INFINITY};
        ::setrlimit(RLIMIT_FSIZE, &limit);
      }
      if (!no_environment) {
        ::setenv("LB_CONFIG", (folder + "/config.json").c_str(), 1);
        ::setenv("LB_STATE", (folder + "/state").c_str(), 1);
        if (!own_settings.empty()) ::setenv("HERONVANE_SETTINGS", (folder + "/own.toml").c_str(), 1);
      }
#ifdef HERONVANE_SLOW_SYNC
      if (slow_disk) {
        ::setenv("LD_PRELOAD", HERONVANE_SLOW_SYNC, 1);
        ::setenv("HERONVANE_HOLD_SYNC", (folder + "/hold").c_str(), 1);
        ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
      }
#endif
#ifdef HERONVANE_FAULTS_LIBRARY
      if (!faults.empty()) {
        ::setenv("LD_PRELOAD", HERONVANE_FAULTS_LIBRARY, 1);
        ::setenv("HERONVANE_FAULTS", (folder + "/faults.toml").c_str(), 1);
        ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
      }
#endif
      if (std::freopen((folder + "/log").c_str(), "a", stderr) == nullptr) ::_exit(126);
      if (output_in_log) ::dup2(STDERR_FILENO, STDOUT_FILENO);
      if (error_pipe >= 0) ::dup2(error_pipe, STDERR_FILENO);
      for (int fd = STDIN_FILENO; no_streams && fd <= STDERR_FILENO; fd++) ::close(fd);
      std::vector<char*> argv{const_cast<char*>(HERONVANE_PROGRAM)};
      for (auto& a : arguments) argv.push_back(a.data());
      argv.push_back(nullptr);
      ::execv(HERONVANE_PROGRAM, argv.data());
      ::_exit(127);
    }
  }
  void start() {
    if (members.empty()) members = member("s-1", endpoint.address());
    spawn(config());
    wait_for([this] { return health() == 200; }, "the relay is ready");
  }
  // Replaces the configuration file and sends SIGHUP.
  void reload(const std::string& text) {
    std::ofstream(folder + "/config.new") << text;
    std::filesystem::rename(folder + "/config.new", folder + "/config.json");
    send_signal(child, SIGHUP);
  }
  void hold_syncs() { std::ofstream(folder + "/hold") << "x"; }
  void release_syncs() { std::filesystem::remove(folder + "/hold"); }
  // Waits for the relay's exit. Returns its exit status, or -1 if a signal ended it.
  int wait_exit() {
    int status = 0;
    if (child <= 0) return -1;
    wait_for([&] { return ::waitpid(child, &status, WNOHANG) == child; }, "the relay ends");
    child = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  void kill_relay() {
    send_signal(child, SIGKILL);
    wait_exit();
  }
  // Suspends the relay for `time` and calls `meanwhile` at the end of it: the events that it causes and all
  // timers that expired are ready in one iteration of the relay's event loop.
  template <class Meanwhile>
  void stop_for(std::chrono::milliseconds time, Meanwhile meanwhile) {
    send_signal(child, SIGSTOP);
    const auto until = std::chrono::steady_clock::now() + time;
    wait_for([&] { return std::chrono::steady_clock::now() >= until; }, "the stop's time is over");
    meanwhile();
    send_signal(child, SIGCONT);
  }
  std::size_t descriptors() const {
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(child) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }
  // The relay's resident memory in KiB; meaningless under sanitizers.
  long resident() const {
    std::ifstream in("/proc/" + std::to_string(child) + "/statm");
    long size = 0, pages = 0;
    in >> size >> pages;
    return pages * (::sysconf(_SC_PAGESIZE) / 1024);
  }
  std::string logged() {
    std::ifstream in(folder + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }

  // ---- Clients. ----
  std::shared_ptr<Client> connect() {
    tcp::socket socket(io);
    error_code bad;
    socket.connect({net::ip::make_address(own_address()), port}, bad);
    if (bad) return nullptr;
    clients.push_back(std::make_shared<Client>(std::move(socket)));
    clients.back()->read();
    return clients.back();
  }
  static std::string request(const std::string& id, const std::string& cls, const std::string& body = "hello",
                             const std::string& deadline = "6000m") {
    return "POST /" + cls + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id + "\r\nX-Class: " + cls +
           "\r\nX-Deadline: " + deadline +
           "\r\nX-Consignee: dest=7\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  unsigned ask(const std::string& bytes) {
    const auto client = connect();
    if (!client) return 0;
    client->write(bytes);
    wait_for([&] { return client->ended || !client->answers.empty(); }, "an answer");
    return client->answers.empty() ? 0 : client->answers[0].result_int();
  }
  unsigned health() {
    const auto before = clients.size();
    const unsigned status = ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    // Called often, so it closes its connections.
    for (; clients.size() > before; clients.pop_back()) clients.back()->close();
    return status;
  }
  unsigned hand_in(const std::string& id, const std::string& cls, const std::string& body = "hello",
                   const std::string& deadline = "6000m") {
    return ask(request(id, cls, body, deadline));
  }

  // The number of calls of a message that the endpoint received; whether a notice has ended the message.
  std::ptrdiff_t calls_of(const std::string& id) const {
    return std::count_if(endpoint.got.begin(), endpoint.got.end(),
                         [&](const Got& g) { return g.request["X-Request-Id"] == id; });
  }
  bool ended(const std::string& id) const { return finals.find("\"" + id + "\"") != std::string::npos; }
  // A rule of the fault plan in which `call` fails with `error`; `rest` is more lines of TOML.
  static std::string failing(const std::string& call, const std::string& error,
                             const std::string& rest = "") {
    return "[[error]]\ncall = \"" + call + "\"\nerrno = \"" + error + "\"\n" + rest;
  }
  // The same, active only after set_faults(true).
  std::string switched(const std::string& call, const std::string& error,
                       const std::string& rest = "") const {
    return failing(call, error, "while = \"" + folder + "/failing\"\n" + rest);
  }
  void set_faults(bool on) {
    if (on)
      std::ofstream(folder + "/failing") << "x";
    else
      std::filesystem::remove(folder + "/failing");
  }

  void let_clients_go() {
    for (const auto& c : clients) c->close();
    clients.clear();
  }

  // ---- The platform. ----
  void on_platform(const Got& g) {
    if (g.request.method() == http::verb::post) {
      if (finals_status == 204) finals += g.request.body();
      refused_finals += finals_status != 204;
      return g.session->answer(finals_status);
    }
    watches.push_back(g.session);
    if (beats && watches.size() == 1) beat();
    g.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    tell(list(members));
  }
  void tell(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    watches.back()->write(size + line + "\n\r\n");
  }

  // Sends an empty line on each watch every second, as the protocol requires while nothing changes.
  void beat() {
    beat_timer.expires_after(std::chrono::milliseconds(1000));
    beat_timer.async_wait([this](error_code bad) {
      if (bad) return;
      for (const auto& watch : watches)
        if (beats && !watch->ended) watch->write("1\r\n\n\r\n");
      beat();
    });
  }

  template <class Condition>
  void wait_for(Condition condition, const char* what) {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > until) {
        FAIL() << "waited in vain until " << what << "; its log:\n" << logged();
      }
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
  }

  net::io_context io;
  net::steady_timer beat_timer{io};
  bool beats = true;  // false: watches send nothing between lists
  Server endpoint, platform;
  std::string folder, members, finals;
  std::uint16_t port = 0;
  int workers = 8;
  int tick = 5000;   // the minimum interval of decisions, in microseconds
  std::string more;  // further members of the configuration's JSON
  std::string disk_mb = "3";
  std::string own_settings;            // content of the operator's file; empty: none
  std::string faults;                  // the fault injection plan (lab/faults); empty: none
  std::vector<std::string> arguments;  // of the relay's command line
  bool no_environment = false;         // set no environment variables for the relay
  bool output_in_log = false;          // standard output goes to the log, too
  pid_t child = -1;
  int error_pipe = -1;      // descriptor for standard error instead of the log; -1: none
  bool no_streams = false;  // started without standard streams
  bool slow_disk = false;   // syncs block between hold_syncs() and release_syncs()
  rlim_t largest_file = 0;  // RLIMIT_FSIZE of the relay in bytes; 0: unlimited
  unsigned finals_status = 204;
  int refused_finals = 0;
  std::vector<std::shared_ptr<Session>> watches;
  std::vector<std::shared_ptr<Client>> clients;
};

}  // namespace heronvane::testing
