#include "frontends/admin_server.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <optional>
#include <stdexcept>
#include <utility>

#include "core/timer.hpp"
#include "framing.hpp"
#include "startup/start_error.hpp"

namespace heronvane {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using local = net::local::stream_protocol;

namespace {

constexpr std::size_t kMostSessions = 8;
constexpr auto kRequestTime = std::chrono::seconds(5);  // for a request to come whole, and an answer to go
constexpr auto kIdleTime = std::chrono::seconds(60);
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
// After a request that took so long, none is answered for so many times that: a tenth of the loop at most.
constexpr Microseconds kRestTimes = 9;
constexpr std::size_t kMostPath = sizeof(sockaddr_un::sun_path) - 1;

// What is made meanwhile is for its owner alone.
class OwnerOnly {
 public:
  OwnerOnly() : before_(::umask(0177)) {}
  ~OwnerOnly() { ::umask(before_); }
  OwnerOnly(const OwnerOnly&) = delete;
  OwnerOnly& operator=(const OwnerOnly&) = delete;

 private:
  mode_t before_;
};

local::acceptor listening(net::io_context& io, const std::string& path) {
  if (path.size() > kMostPath)
    throw std::runtime_error("admin socket: " + path + " is " + std::to_string(path.size()) +
                             " bytes long, and the path of a Unix socket has " + std::to_string(kMostPath) +
                             " at most: take a state folder with a shorter path");
  struct stat there {};
  if (::lstat(path.c_str(), &there) == 0) {
    if (!S_ISSOCK(there.st_mode))
      throw std::runtime_error("admin socket: " + path + " is there and is no socket: move it away");
    ::unlink(path.c_str());
  }
  try {
    const OwnerOnly owner_only;
    return local::acceptor(io, local::endpoint(path));
  } catch (const boost::system::system_error& e) {
    throw startup::StartError(startup::Step::listener, startup::persistence_of(e.code()),
                              "admin socket: " + path + ": " + e.code().message());
  }
}

template <class Socket>
bool of_this_user(Socket& socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0) return false;
  return peer.uid == ::geteuid() || peer.uid == 0;
}

}  // namespace

class AdminServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(AdminServer& admin, Socket socket)
      : admin_(admin), socket_(std::move(socket)), timer_(admin.io_), turn_(admin.io_) {}

  bool idle() const { return stage_ == Stage::idle; }
  // Between requests, and none has just come.
  bool spare() const {
    error_code bad;
    return idle() && socket_.available(bad) == 0;
  }
  Microseconds since() const { return since_; }

  void start() {
    since_ = steady_now();
    if (of_this_user(socket_)) return next();
    admin_.tally_.add("another user");
    turn_down(admin_error(403, "forbidden", "another user's relay", "ask as the relay's user, or as root"));
  }
  void refuse() { turn_down(admin_error(503, "busy", "all connections are in use", "come back later")); }

  void close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    timer_.cancel(), turn_.cancel();
    socket_.close(ignored);
    admin_.sessions_.erase(shared_from_this());
  }

 private:
  enum class Stage { idle, reading, answering };

  template <class Duration>
  void limit(Duration time) {
    timer_.set(time, [self = shared_from_this()] { self->close(); });
  }

  void next() {
    stage_ = Stage::idle;
    since_ = steady_now();
    parser_.reset();
    if (buffer_.size() > 0) return read();
    buffer_ = Buffer(kMostHeader + kMostBody);  // an idle connection holds no memory
    limit(kIdleTime);
    socket_.async_wait(Socket::wait_read, [self = shared_from_this()](error_code bad) {
      if (self->closed_) return;
      if (bad) return self->close();
      self->read();
    });
  }

  void read() {
    stage_ = Stage::reading;
    limit(kRequestTime);
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
    http::async_read_header(
        socket_, buffer_, *parser_, [self = shared_from_this()](error_code bad, std::size_t) {
          if (self->closed_) return;
          if (bad) return self->unreadable(bad);
          const auto& head = self->parser_->get();
          if (!framing_certain(head, head.version()))
            return self->turn_down(
                admin_error(400, "bad_request", "framing in doubt", "one Content-Length, or chunked"));
          self->read_body();
        });
  }
  void read_body() {
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->closed_) return;
      if (bad) return self->unreadable(bad);
      self->handle();
    });
  }

  void unreadable(error_code bad) {
    const bool left = bad == http::error::end_of_stream || bad == http::error::partial_message ||
                      bad.category() == net::error::get_system_category() ||
                      bad.category() == net::error::get_misc_category();
    if (left) return close();
    admin_.tally_.add("can't be read");
    turn_down(
        bad == http::error::body_limit
            ? admin_error(413, "too_large", "the body is too large", "64 KiB at most")
            : admin_error(400, "bad_request", "no HTTP: " + bad.message(), "HTTP/1.1, 16 KiB of headers"));
  }
  void turn_down(AdminAnswer a) {
    close_after_ = true;
    answer(std::move(a));
  }

  // Guards against crowds of requests that hold up the relay's clients.
  void handle() {
    stage_ = Stage::answering;
    timer_.cancel();
    const Microseconds now = steady_now();
    if (now < admin_.turn_at_) {
      return turn_.set(std::chrono::microseconds(admin_.turn_at_ - now),
                       [self = shared_from_this()] { self->handle(); });
    }
    const auto& request = parser_->get();
    close_after_ = !request.keep_alive();
    const auto asked = read_admin_request(std::string(request.method_string()), std::string(request.target()),
                                          request.body());
    admin_.handler_(asked, [self = shared_from_this()](AdminAnswer a) { self->answer(std::move(a)); });
    const Microseconds done = steady_now();
    admin_.turn_at_ = done + kRestTimes * (done - now);
  }

  void answer(AdminAnswer a) {
    if (closed_) return;
    stage_ = Stage::answering;
    response_ = {};
    response_.version(11);
    response_.result(a.status);
    response_.set("X-Heronvane-Api", "1");
    response_.set(http::field::content_type, "application/json");
    if (a.status == 405) response_.set(http::field::allow, "GET, POST");
    response_.body() = std::move(a.body);
    response_.keep_alive(!close_after_);
    response_.prepare_payload();
    limit(kRequestTime);
    http::async_write(socket_, response_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->closed_) return;
      if (bad || self->close_after_) return self->close();
      self->next();
    });
  }

  using Buffer = beast::flat_buffer;
  AdminServer& admin_;
  Socket socket_;
  Timer timer_, turn_;
  Buffer buffer_{kMostHeader + kMostBody};
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  Stage stage_ = Stage::idle;
  Microseconds since_ = 0;  // of being idle
  bool closed_ = false, close_after_ = false;
};

AdminServer::AdminServer(net::io_context& io, const std::string& path, Handler handler)
    : io_(io),
      path_(path),
      acceptor_(listening(io, path)),
      pause_(io),
      handler_(std::move(handler)),
      tally_(io, "admin requests turned down") {
  error_code ignored;
  acceptor_.set_option(net::socket_base::enable_connection_aborted(true), ignored);
}
AdminServer::~AdminServer() { ::unlink(path_.c_str()); }

bool AdminServer::busy() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return !s->idle(); });
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code bad, Socket socket) {
    if (bad == net::error::operation_aborted) return;
    if (bad) {
      // Guards against spinning while no descriptor is free.
      log("admin socket: accept: " + bad.message());
      pause_.expires_after(kAcceptPause);
      return pause_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
      });
    }
    const bool room = make_room();
    // One that is told so while all are in use; else crowds would hold descriptors.
    if (sessions_.size() > kMostSessions) return accept();
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    sessions_.insert(session);
    if (room) {
      session->start();
    } else {
      tally_.add("no room for its connection");
      session->refuse();
    }
    accept();
  });
}

// One that stands between requests may go, the longest idle first.
bool AdminServer::make_room() {
  if (sessions_.size() < kMostSessions) return true;
  std::shared_ptr<Session> longest;
  for (const auto& s : sessions_)
    if (s->spare() && (!longest || s->since() < longest->since())) longest = s;
  if (longest) longest->close();
  return longest != nullptr;
}

}  // namespace heronvane
