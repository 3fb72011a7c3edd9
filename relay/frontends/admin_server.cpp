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

constexpr std::size_t kMaxSessions = 8;
constexpr auto kRequestTimeout = std::chrono::seconds(5);  // for reading a request, and for writing an answer
constexpr auto kIdleTimeout = std::chrono::seconds(60);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
// After each request, the next one waits for this multiple of the time that it took, so that admin requests
// take at most a tenth of the event loop's time.
constexpr Microseconds kPauseFactor = 9;
constexpr std::size_t kMaxPathBytes = sizeof(sockaddr_un::sun_path) - 1;

// While it exists, new files and sockets are accessible to their owner only.
class OwnerOnlyUmask {
 public:
  OwnerOnlyUmask() : previous_(::umask(0177)) {}
  ~OwnerOnlyUmask() { ::umask(previous_); }
  OwnerOnlyUmask(const OwnerOnlyUmask&) = delete;
  OwnerOnlyUmask& operator=(const OwnerOnlyUmask&) = delete;

 private:
  mode_t previous_;
};

local::acceptor listen_at(net::io_context& io, const std::string& path) {
  if (path.size() > kMaxPathBytes)
    throw std::runtime_error("admin socket: " + path + " is " + std::to_string(path.size()) +
                             " bytes long, and a Unix socket path has " + std::to_string(kMaxPathBytes) +
                             " at most: use a state folder with a shorter path");
  struct stat status {};
  if (::lstat(path.c_str(), &status) == 0) {
    if (!S_ISSOCK(status.st_mode))
      throw std::runtime_error("admin socket: " + path + " is there and is no socket: move it away");
    ::unlink(path.c_str());
  }
  try {
    const OwnerOnlyUmask owner_only_umask;
    return local::acceptor(io, local::endpoint(path));
  } catch (const boost::system::system_error& e) {
    throw startup::StartError(startup::Step::listener, startup::persistence_of(e.code()),
                              "admin socket: " + path + ": " + e.code().message());
  }
}

template <class Socket>
bool is_permitted_user(Socket& socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0) return false;
  return peer.uid == ::geteuid() || peer.uid == 0;
}

}  // namespace

class AdminServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(AdminServer& admin, Socket socket)
      : admin_(admin), socket_(std::move(socket)), timer_(admin.io_), turn_timer_(admin.io_) {}

  bool idle() const { return stage_ == Stage::idle; }
  // Whether it is between requests and none has just arrived.
  bool may_be_evicted() const {
    error_code bad;
    return idle() && socket_.available(bad) == 0;
  }
  Microseconds idle_since() const { return idle_since_; }

  void start() {
    idle_since_ = steady_now();
    if (is_permitted_user(socket_)) return wait_for_next_request();
    admin_.rejections_.add("another user");
    reject(admin_error(403, "forbidden", "the relay runs as another user",
                       "ask as the relay's user or as root"));
  }
  void reject_busy() { reject(admin_error(503, "busy", "all connections are in use", "retry later")); }

  void close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    timer_.cancel(), turn_timer_.cancel();
    socket_.close(ignored);
    admin_.sessions_.erase(shared_from_this());
  }

 private:
  enum class Stage { idle, reading, answering };

  template <class Duration>
  void limit(Duration time) {
    timer_.set(time, [self = shared_from_this()] { self->close(); });
  }

  void wait_for_next_request() {
    stage_ = Stage::idle;
    idle_since_ = steady_now();
    parser_.reset();
    if (buffer_.size() > 0) return read();
    buffer_ = Buffer(kMaxHeaderBytes + kMaxBodyBytes);  // an idle connection holds no memory
    limit(kIdleTimeout);
    socket_.async_wait(Socket::wait_read, [self = shared_from_this()](error_code bad) {
      if (self->closed_) return;
      if (bad) return self->close();
      self->read();
    });
  }

  void read() {
    stage_ = Stage::reading;
    limit(kRequestTimeout);
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    http::async_read_header(
        socket_, buffer_, *parser_, [self = shared_from_this()](error_code bad, std::size_t) {
          if (self->closed_) return;
          if (bad) return self->handle_read_error(bad);
          const auto& header = self->parser_->get();
          if (!has_unambiguous_framing(header, header.version()))
            return self->reject(admin_error(400, "bad_request", "ambiguous message framing",
                                            "use one Content-Length or chunked"));
          self->read_body();
        });
  }
  void read_body() {
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->closed_) return;
      if (bad) return self->handle_read_error(bad);
      self->handle_request();
    });
  }

  void handle_read_error(error_code bad) {
    const bool disconnected = bad == http::error::end_of_stream || bad == http::error::partial_message ||
                              bad.category() == net::error::get_system_category() ||
                              bad.category() == net::error::get_misc_category();
    if (disconnected) return close();
    admin_.rejections_.add("malformed or too large request");
    reject(bad == http::error::body_limit
               ? admin_error(413, "too_large", "the body is too large", "64 KiB at most")
               : admin_error(400, "bad_request", "malformed HTTP request: " + bad.message(),
                             "HTTP/1.1 with at most 16 KiB of headers"));
  }
  void reject(AdminAnswer answer) {
    close_after_ = true;
    send_answer(std::move(answer));
  }

  // Delays the request as kPauseFactor requires, so that many admin requests can't hold up the relay's
  // clients.
  void handle_request() {
    stage_ = Stage::answering;
    timer_.cancel();
    const Microseconds now = steady_now();
    if (now < admin_.next_request_at_) {
      return turn_timer_.set(std::chrono::microseconds(admin_.next_request_at_ - now),
                             [self = shared_from_this()] { self->handle_request(); });
    }
    const auto& request = parser_->get();
    close_after_ = !request.keep_alive();
    const auto admin_request = read_admin_request(std::string(request.method_string()),
                                                  std::string(request.target()), request.body());
    admin_.handler_(admin_request, [self = shared_from_this()](AdminAnswer answer) {
      self->send_answer(std::move(answer));
    });
    const Microseconds done = steady_now();
    admin_.next_request_at_ = done + kPauseFactor * (done - now);
  }

  void send_answer(AdminAnswer answer) {
    if (closed_) return;
    stage_ = Stage::answering;
    response_ = {};
    response_.version(11);
    response_.result(answer.status);
    response_.set("X-Heronvane-Api", "1");
    response_.set(http::field::content_type, "application/json");
    if (answer.status == 405) response_.set(http::field::allow, "GET, POST");
    response_.body() = std::move(answer.body);
    response_.keep_alive(!close_after_);
    response_.prepare_payload();
    limit(kRequestTimeout);
    http::async_write(socket_, response_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->closed_) return;
      if (bad || self->close_after_) return self->close();
      self->wait_for_next_request();
    });
  }

  using Buffer = beast::flat_buffer;
  AdminServer& admin_;
  Socket socket_;
  Timer timer_, turn_timer_;
  Buffer buffer_{kMaxHeaderBytes + kMaxBodyBytes};
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  Stage stage_ = Stage::idle;
  Microseconds idle_since_ = 0;
  bool closed_ = false, close_after_ = false;
};

AdminServer::AdminServer(net::io_context& io, const std::string& path, Handler handler)
    : io_(io),
      path_(path),
      acceptor_(listen_at(io, path)),
      accept_retry_timer_(io),
      handler_(std::move(handler)),
      rejections_(io, "admin requests rejected") {
  error_code ignored;
  acceptor_.set_option(net::socket_base::enable_connection_aborted(true), ignored);
}
AdminServer::~AdminServer() { ::unlink(path_.c_str()); }

bool AdminServer::busy() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return !session->idle(); });
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code bad, Socket socket) {
    if (bad == net::error::operation_aborted) return;
    if (bad) {
      // The delay avoids spinning while no descriptor is free.
      log("admin socket: accept: " + bad.message());
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      return accept_retry_timer_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
      });
    }
    const bool has_capacity = evict_session();
    // At the limit, one more connection is accepted and answered with 503; others are closed, so that they
    // don't hold descriptors.
    if (sessions_.size() > kMaxSessions) return accept();
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    sessions_.insert(session);
    if (has_capacity) {
      session->start();
    } else {
      rejections_.add("connection limit reached");
      session->reject_busy();
    }
    accept();
  });
}

// Closes the longest idle session at the limit; false if none can be closed.
bool AdminServer::evict_session() {
  if (sessions_.size() < kMaxSessions) return true;
  std::shared_ptr<Session> longest_idle;
  for (const auto& session : sessions_)
    if (session->may_be_evicted() && (!longest_idle || session->idle_since() < longest_idle->idle_since()))
      longest_idle = session;
  if (longest_idle) longest_idle->close();
  return longest_idle != nullptr;
}

}  // namespace heronvane
