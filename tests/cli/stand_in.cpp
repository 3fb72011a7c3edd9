#include "stand_in.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <pty.h>
#include <signal.h>
#include <spawn.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace heronvane::cli::test {

namespace {

using Clock = std::chrono::steady_clock;
constexpr auto kEventTimeout =
    std::chrono::seconds(60);  // limit of waits for expected events; only reached in failing tests

void check(bool right, const char* what) {
  if (!right) throw std::runtime_error(std::string(what) + ": " + std::strerror(errno));
}

std::string head(int status, const std::string& type) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Heronvane-Api: 1\r\nContent-Type: " + type + "\r\n";
}

}  // namespace

Folder::Folder() {
  auto name = (std::filesystem::temp_directory_path() / "heronvanectl-XXXXXX").string();
  check(::mkdtemp(name.data()) != nullptr, "mkdtemp");
  path_ = name;
}
Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}
std::string Folder::write(const std::string& name, const std::string& text) const {
  std::ofstream(file(name), std::ios::binary) << text;
  return file(name);
}

Reply Reply::json(const std::string& body, int status) {
  return raw(head(status, "application/json") + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body);
}
Reply Reply::error(int status, const std::string& code, const std::string& message, const std::string& hint,
                   const std::string& more) {
  return json("{\"error\":{\"code\":\"" + code + "\",\"message\":\"" + message + "\",\"hint\":\"" + hint +
                  "\"" + more + "}}",
              status);
}
Reply Reply::text(const std::string& body) {
  return raw(head(200, "text/plain") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}
Reply Reply::raw(const std::string& bytes) {
  Reply r;
  r.pieces.push_back(bytes);
  return r;
}
Reply Reply::chunked(const std::vector<std::string>& pieces, bool ended, const std::string& type) {
  Reply r = raw(head(200, type) + "Transfer-Encoding: chunked\r\n\r\n");
  for (const auto& p : pieces) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", p.size());
    r.pieces.push_back(size + p + "\r\n");
  }
  if (ended) r.pieces.push_back("0\r\n\r\n");
  return r;
}
Reply& Reply::api(const std::string& version) {
  const std::string header = "X-Heronvane-Api: 1\r\n";
  pieces[0].replace(pieces[0].find(header), header.size(),
                    version.empty() ? "" : "X-Heronvane-Api: " + version + "\r\n");
  return *this;
}
Reply& Reply::then_hold() {
  hold = true;
  return *this;
}
Reply& Reply::then_close() {
  close = true;
  return *this;
}

StandIn::StandIn(const std::string& socket) : stop_(::eventfd(0, EFD_CLOEXEC)) {
  listen_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  if (socket.size() >= sizeof a.sun_path) throw std::runtime_error("the socket's path is too long");
  std::memcpy(a.sun_path, socket.data(), socket.size());
  check(::bind(listen_, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0, "bind");
  check(::listen(listen_, 64) == 0, "listen");
  accepting_ = std::thread([this] { accept_all(); });
}

StandIn::StandIn(const std::string& cert, const std::string& key, const std::string& ca)
    : stop_(::eventfd(0, EFD_CLOEXEC)), tls_(SSL_CTX_new(TLS_server_method())) {
  SSL_CTX_set_verify(tls_, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  if (SSL_CTX_use_certificate_chain_file(tls_, cert.c_str()) != 1 ||
      SSL_CTX_use_PrivateKey_file(tls_, key.c_str(), SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_load_verify_locations(tls_, ca.c_str(), nullptr) != 1)
    throw std::runtime_error("the stand-in's certificates can't be read");
  listen_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof a;
  check(::bind(listen_, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0, "bind");
  check(::listen(listen_, 64) == 0, "listen");
  check(::getsockname(listen_, reinterpret_cast<sockaddr*>(&a), &size) == 0, "getsockname");
  port_ = ntohs(a.sin_port);
  accepting_ = std::thread([this] { accept_all(); });
}

StandIn::~StandIn() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto n = ::write(stop_, &one, sizeof one);
  accepting_.join();
  for (auto& t : threads_) t.join();
  ::close(listen_);
  ::close(stop_);
  SSL_CTX_free(tls_);
}

void StandIn::on(const std::string& method_and_target, const Reply& reply) {
  const std::lock_guard lock(mutex_);
  script_[method_and_target].push_back(reply);
}

std::vector<Request> StandIn::requests(const std::string& method_and_target) {
  const std::lock_guard lock(mutex_);
  std::vector<Request> all;
  for (const auto& r : requests_)
    if (method_and_target.empty() || r.method + " " + r.target == method_and_target) all.push_back(r);
  return all;
}

bool StandIn::wait_for_requests(const std::string& method_and_target, std::size_t n) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, kEventTimeout, [&] { return reply_counts_[method_and_target] >= n; });
}

Reply StandIn::reply(const Request& request) {
  const std::lock_guard lock(mutex_);
  const auto key = request.method + " " + request.target;
  requests_.push_back(request);
  const auto nth = reply_counts_[key]++;
  changed_.notify_all();
  const auto found = script_.find(key);
  if (found == script_.end()) return Reply::error(404, "unknown", "nothing is scripted for " + key);
  return found->second[std::min(nth, found->second.size() - 1)];
}

void StandIn::accept_all() {
  for (;;) {
    pollfd p[2] = {{listen_, POLLIN, 0}, {stop_, POLLIN, 0}};
    if (::poll(p, 2, -1) < 0) continue;
    if (p[1].revents != 0) return;
    const int fd = ::accept4(listen_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) threads_.emplace_back([this, fd] { serve(fd); });
  }
}

// A connection, plain or over TLS.
struct StandIn::Connection {
  Connection(int f, int s, SSL_CTX* context)
      : fd(f), stop(s), tls(context != nullptr ? SSL_new(context) : nullptr) {
    if (tls != nullptr) SSL_set_fd(tls, fd);
  }
  ~Connection() {
    if (tls != nullptr) SSL_shutdown(tls), SSL_free(tls);
    ::close(fd);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  bool readable() const {
    if (tls != nullptr && SSL_pending(tls) > 0) return true;
    pollfd p[2] = {{fd, POLLIN, 0}, {stop, POLLIN, 0}};
    while (::poll(p, 2, -1) < 0) {
    }
    return p[1].revents == 0;
  }
  bool read(std::string& to) const {
    if (!readable()) return false;
    char buffer[4096];
    const auto n = tls != nullptr ? SSL_read(tls, buffer, sizeof buffer)
                                  : static_cast<int>(::read(fd, buffer, sizeof buffer));
    if (n > 0) to.append(buffer, static_cast<std::size_t>(n));
    return n > 0;
  }
  bool write(const std::string& bytes) const {
    std::size_t at = 0;
    while (at < bytes.size()) {
      const auto n = tls != nullptr
                         ? SSL_write(tls, bytes.data() + at, static_cast<int>(bytes.size() - at))
                         : static_cast<int>(::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL));
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  int fd, stop;
  SSL* tls;
};

void StandIn::serve(int fd) {
  const Connection line(fd, stop_, tls_);
  std::string in;
  if (line.tls != nullptr && (!line.readable() || SSL_accept(line.tls) != 1)) {
    // Closing with unread bytes would reset the connection and lose the TLS alert; so read until the end
    // first.
    ::shutdown(fd, SHUT_WR);
    char buffer[4096];
    for (pollfd p[2] = {{fd, POLLIN, 0}, {stop_, POLLIN, 0}}; ::poll(p, 2, -1) > 0 && p[1].revents == 0;)
      if (::read(fd, buffer, sizeof buffer) <= 0) return;
    return;
  }
  for (;;) {
    std::size_t end;
    while ((end = in.find("\r\n\r\n")) == std::string::npos)
      if (!line.read(in)) return;
    Request r;
    r.method = in.substr(0, in.find(' '));
    r.target = in.substr(r.method.size() + 1, in.find(' ', r.method.size() + 1) - r.method.size() - 1);
    std::size_t length = 0;
    if (const auto at = in.find("Content-Length: "); at < end) length = std::stoul(in.substr(at + 16));
    const bool last = in.find("Connection: close") < end;
    in.erase(0, end + 4);
    while (in.size() < length)
      if (!line.read(in)) return;
    r.body = in.substr(0, length);
    in.erase(0, length);
    const auto reply = this->reply(r);
    for (const auto& piece : reply.pieces)
      if (!line.write(piece)) return;
    if (reply.hold)
      while (line.read(in)) {
      }
    if (reply.close || reply.hold || last) return;
  }
}

Tool::Tool(const std::vector<std::string>& arguments, bool terminal,
           const std::vector<std::string>& environment) {
  std::vector<std::string> words{HERONVANECTL};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<std::string> set{"PATH=/usr/bin:/bin", "TERM=xterm", "LSAN_OPTIONS=exitcode=99"};
  set.insert(set.end(), environment.begin(), environment.end());
  const auto pointers = [](std::vector<std::string>& all) {
    std::vector<char*> p;
    for (auto& s : all) p.push_back(s.data());
    p.push_back(nullptr);
    return p;
  };
  const auto argv = pointers(words), envp = pointers(set);
  if (terminal) {
    winsize size{};
    size.ws_col = 80, size.ws_row = 24;
    pid_ = ::forkpty(&out_, nullptr, nullptr, &size);
    check(pid_ >= 0, "forkpty");
    if (pid_ == 0) {
      ::execve(HERONVANECTL, argv.data(), envp.data());
      ::_exit(127);
    }
    return;
  }
  int out[2], err[2];
  check(::pipe2(out, O_CLOEXEC) == 0 && ::pipe2(err, O_CLOEXEC) == 0, "pipe2");
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  ::posix_spawn_file_actions_adddup2(&actions, out[1], 1);
  ::posix_spawn_file_actions_adddup2(&actions, err[1], 2);
  const int failed = ::posix_spawn(&pid_, HERONVANECTL, &actions, nullptr, argv.data(), envp.data());
  ::posix_spawn_file_actions_destroy(&actions);
  ::close(out[1]), ::close(err[1]);
  out_ = out[0], err_ = err[0];
  check(failed == 0, "posix_spawn");
}

Tool::~Tool() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  if (out_ >= 0) ::close(out_);
  if (err_ >= 0) ::close(err_);
}

void Tool::signal(int number) const { ::kill(pid_, number); }
void Tool::type(const std::string& text) const {
  check(::write(out_, text.data(), text.size()) == static_cast<ssize_t>(text.size()), "write");
}

void Tool::read_some(int timeout_ms) {
  pollfd p[2] = {{out_, POLLIN, 0}, {err_, POLLIN, 0}};
  if (::poll(p, 2, timeout_ms) <= 0) return;
  const auto take = [](pollfd& f, int& fd, std::string& to) {
    if (f.revents == 0) return;
    char buffer[4096];
    const auto n = ::read(fd, buffer, sizeof buffer);
    if (n > 0) return void(to.append(buffer, static_cast<std::size_t>(n)));
    ::close(std::exchange(fd, -1));  // reading a terminal whose process has ended fails
  };
  take(p[0], out_, result_.out);
  take(p[1], err_, result_.err);
}

bool Tool::wrote(const std::string& text) {
  const auto until = Clock::now() + kEventTimeout;
  while (result_.out.find(text) == std::string::npos) {
    if (Clock::now() > until || out_ < 0) return false;
    read_some(100);
  }
  return true;
}

bool Tool::wrote_error(const std::string& text) {
  const auto until = Clock::now() + kEventTimeout;
  while (result_.err.find(text) == std::string::npos) {
    if (Clock::now() > until || err_ < 0) return false;
    read_some(100);
  }
  return true;
}

Result Tool::finish() {
  const auto until = Clock::now() + kEventTimeout;
  while ((out_ >= 0 || err_ >= 0) && Clock::now() < until) read_some(100);
  if (out_ >= 0 || err_ >= 0) ::kill(pid_, SIGKILL);
  int status = 0;
  ::waitpid(std::exchange(pid_, -1), &status, 0);
  result_.exit = WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  return result_;
}

Result run_tool(const std::vector<std::string>& arguments, const std::vector<std::string>& environment) {
  return Tool(arguments, false, environment).finish();
}

int shell(const std::string& command, std::string* text) {
  std::FILE* const f = ::popen((command + " 2>&1").c_str(), "r");
  if (f == nullptr) return -1;
  std::array<char, 4096> buffer;
  for (std::size_t n; (n = std::fread(buffer.data(), 1, buffer.size(), f)) > 0;)
    if (text != nullptr) text->append(buffer.data(), n);
  const int status = ::pclose(f);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void script_fleet(StandIn& agent, const std::string& name) {
  agent.on("GET /v1/agent", R"({"name":")" + name +
                                R"(","version":"0.2.0","api":1,"pid":71,"started_ms":1000,)"
                                R"("generation":12,"instances":3,"ready":2,"operation":0})");
  const auto instance = [](const std::string& n, const std::string& more) {
    return R"({"name":")" + n + R"(","listen":"127.0.0.1:808)" + n.back() +
           R"(","desired":"running","run":"0123456789abcdef","since_ms":1000,"generation":12,"wanted_generation":12,)" +
           more + "}";
  };
  const auto n0 =
      instance("n0", R"("phase":"ready","pid":81,"ready":true,"held":3,"oldest_ms":812,"restarts":0)");
  const auto n1 = instance("n1", R"("phase":"ready","pid":82,"ready":true,"held":0,"restarts":0)");
  const auto n2 =
      instance("n2", R"("phase":"backoff","pid":0,"restarts":2,"last_exit":"signal 9","next_start_ms":1)");
  agent.on("GET /v1/instances", R"({"generation":12,"instances":[)" + n0 + "," + n1 + "," + n2 + "]}");
  agent.on("GET /v1/instances/n0", n0);
  agent.on("GET /v1/instances/n1", n1);
  agent.on("GET /v1/instances/n2", n2);
  agent.on("GET /v1/fleet", R"({"generation":12,"fleet":{}})");
}

std::string operation_json(int id, const std::string& kind, const std::string& state,
                           const std::string& steps, const std::string& more) {
  return "{\"id\":" + std::to_string(id) + ",\"kind\":\"" + kind +
         "\",\"by\":\"ana@web1 pid 71\",\"state\":\"" + state +
         "\",\"generation\":13,\"created_ms\":1000,\"ended_ms\":" + (state == "running" ? "0" : "13000") +
         ",\"message\":\"\",\"superseded_by\":0,\"steps\":[" + steps + "],\"diff\":[]" + more + "}";
}

}  // namespace heronvane::cli::test
