#include "platform_server.hpp"

#include <fcntl.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <list>
#include <map>
#include <optional>
#include <stdexcept>

namespace heronvane::fleet {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = net::ip::tcp;

namespace {

using SharedText = std::shared_ptr<const std::string>;

constexpr auto kAcceptRetryDelay = milliseconds(100);
constexpr auto kLingerTimeout = milliseconds(1000);
constexpr std::size_t kMaxLingerBytes = 4 << 20;    // read and discarded after a final response
constexpr std::size_t kMaxPendingNotices = 20'000;  // more are stored without waiting for further requests
constexpr std::size_t kMaxListBytes = 4 << 20;      // relays reject a longer list
constexpr std::size_t kUnknownBodyBytes = 1 << 20;  // bytes reserved for a body without a content length

// Child processes must not inherit the port and the connections: they would hold them open after this process
// has ended.
void set_close_on_exec(int fd) { ::fcntl(fd, F_SETFD, FD_CLOEXEC); }

// The resource and query that a request line names.
struct RequestTarget {
  bool members = false, finals = false, follow = false;
  std::int64_t since = -1;  // of a watch; -1: send the whole list first
  std::string problem;      // error in the query; "" if none
};

bool read_number(std::string_view text, std::int64_t& n) {
  const auto [parsed_end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  return error == std::errc() && parsed_end == text.data() + text.size() && n >= 0;
}

RequestTarget parse_target(std::string_view target) {
  RequestTarget parsed;
  const auto mark = target.find('?');
  const std::string_view path = target.substr(0, mark);
  parsed.members = path == "/catalog/members";
  parsed.finals = path == "/v2/finals";
  std::string_view query = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (parsed.members && !query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const std::string_view key = part.substr(0, part.find('='));
    const std::string_view value = key.size() < part.size() ? part.substr(key.size() + 1) : "";
    if (key == "follow" && value != "0" && value != "1") parsed.problem = "follow must be 0 or 1";
    if (key == "follow") parsed.follow = value == "1";
    if (key == "since" && !read_number(value, parsed.since)) parsed.problem = "since must be an index";
  }
  return parsed;
}

// One connection and what is being read from it or written to it.
struct Session {
  explicit Session(tcp::socket accepted_socket, std::size_t max_head_bytes)
      : socket(std::move(accepted_socket)), timer(socket.get_executor()), buffer(max_head_bytes + 16'384) {}
  tcp::socket socket;
  net::steady_timer timer;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  std::list<std::shared_ptr<Session>>* list = nullptr;
  std::list<std::shared_ptr<Session>>::iterator list_position;
  bool closed = false, keep_alive = false, writing = false;
  std::size_t reserved_bytes = 0, discarded_bytes = 0;
  std::uint64_t timeout_number = 0;  // incremented for each timeout: the expiry of an earlier one is ignored
  std::int64_t sent_index = -1;      // the index last sent to this watch
  bool sent_any = false;
  std::string head;  // head of the response, or size line of the chunk, being written
  SharedText body;
  std::array<char, 4096> discard_buffer;  // input after a watch's request or a final response
};
using SessionPtr = std::shared_ptr<Session>;

}  // namespace

class PlatformServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(net::io_context& io, Finals& finals, PlatformOptions options, PlatformCallbacks callbacks)
      : io_(io),
        acceptor_(io),
        accept_retry_(io),
        heartbeat_timer_(io),
        finals_(finals),
        options_(std::move(options)),
        callbacks_(std::move(callbacks)),
        catalog_(options_.index, options_.max_history) {
    if (!callbacks_.now_ms)
      callbacks_.now_ms = [] {
        return std::int64_t{
            std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count()};
      };
  }

  void start() {
    const auto& at = options_.listen;
    const std::string text = text_of(at);
    if (!at.address().is_loopback())
      throw std::runtime_error(
          "platform: " + text +
          " is not a loopback address: the platform has neither encryption nor passwords; listen on "
          "127.0.0.1");
    error_code ec;
    acceptor_.open(at.protocol(), ec);
    if (!ec) set_close_on_exec(acceptor_.native_handle());
    if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) acceptor_.set_option(net::socket_base::enable_connection_aborted(true), ec);
    if (!ec) acceptor_.bind(at, ec);
    if (!ec) acceptor_.listen(tcp::acceptor::max_listen_connections, ec);
    if (!ec) acceptor_.non_blocking(true, ec);
    if (ec)
      throw std::runtime_error("platform: can't listen on " + text + ": " + ec.message() +
                               "; configure another address, or stop the process that uses this one");
    listen_ = text_of(acceptor_.local_endpoint());
    accept();
    send_heartbeats();
  }

  void stop() {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    accept_retry_.cancel();
    heartbeat_timer_.cancel();
    pending_.clear();
    for (auto* list : {&idle_, &busy_, &watchers_})
      while (!list->empty()) close_session(SessionPtr(list->front()));
  }

  bool publish(std::vector<Endpoint> list) {
    Catalog::Update update = catalog_.compare(std::move(list));
    if (catalog_.published() && update.index == catalog_.index()) return true;
    if (!callbacks_.keep_index(update.index)) {
      callbacks_.log("platform: index " + std::to_string(update.index) +
                     " can't be stored; the new list is not published yet");
      return false;
    }
    callbacks_.log("platform: list " + std::to_string(update.index) + ": " +
                   std::to_string(update.list.size()) + " endpoints, " + std::to_string(update.added) +
                   " added, " + std::to_string(update.changed) + " changed, " +
                   std::to_string(update.draining) + " newly draining, " + std::to_string(update.removed) +
                   " gone");
    catalog_.apply(std::move(update));
    snapshot_.reset();
    change_lines_.clear();
    if (snapshot()->size() > kMaxListBytes)
      callbacks_.log("platform: the list holds " + std::to_string(snapshot()->size()) +
                     " bytes; relays read no more than " + std::to_string(kMaxListBytes) +
                     " bytes and keep their previous list; split the list between platforms");
    for_each_watcher([this](const SessionPtr& session) { send_changes(session); });
    return true;
  }

  PlatformStatus status() const {
    return {listen_,       catalog_.index(), catalog_.size(), watchers_.size(),
            connections(), finals_.count(),  finals_.error()};
  }

 private:
  using List = std::list<SessionPtr>;

  static std::string text_of(const tcp::endpoint& e) {
    return (e.address().is_v6() ? "[" + e.address().to_string() + "]" : e.address().to_string()) + ":" +
           std::to_string(e.port());
  }
  std::size_t connections() const { return idle_.size() + busy_.size() + watchers_.size(); }

  // ---- Connections. ----
  void accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
      if (self->stopped_) return;
      // For example out of descriptors: an immediate retry would be a busy loop.
      if (ec) return self->retry_accept_later();
      self->on_accepted(std::move(socket));
      self->accept();
    });
  }
  void retry_accept_later() {
    accept_retry_.expires_after(kAcceptRetryDelay);
    accept_retry_.async_wait([self = shared_from_this()](error_code) {
      if (!self->stopped_) self->accept();
    });
  }
  void on_accepted(tcp::socket socket) {
    set_close_on_exec(socket.native_handle());
    if (connections() >= options_.max_connections) {
      // Closes the connection that has been idle, or in the middle of a request, for the longest time. If all
      // are being answered or are watches, the new one is closed.
      if (idle_.empty()) return;
      close_session(SessionPtr(idle_.front()));
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<Session>(std::move(socket), options_.max_head_bytes);
    session->list = &idle_;
    session->list_position = idle_.insert(idle_.end(), session);
    read(session);
  }
  void move_to(const SessionPtr& session, List& list) {
    list.splice(list.end(), *session->list, session->list_position);
    session->list = &list;
  }
  void close_session(const SessionPtr& session) {
    if (session->closed) return;
    session->closed = true;
    session->timer.cancel();
    error_code ignored;
    session->socket.close(ignored);
    reserved_body_bytes_ -= std::exchange(session->reserved_bytes, 0);
    session->list->erase(session->list_position);
  }
  // Closes the session if set_timeout() or clear_timeout() is not called again within `time`.
  void set_timeout(const SessionPtr& session, milliseconds time) {
    session->timer.expires_after(time);
    session->timer.async_wait(
        [self = shared_from_this(), session, timeout_number = ++session->timeout_number](error_code ec) {
          if (!ec && !session->closed && session->timeout_number == timeout_number)
            self->close_session(session);
        });
  }
  void clear_timeout(const SessionPtr& session) { session->timeout_number++, session->timer.cancel(); }

  // ---- Requests. ----
  void read(const SessionPtr& session) {
    session->parser.emplace();
    // Beast checks the body limit while it reads the head; on_read_error() tells 413 from 400.
    session->parser->header_limit(static_cast<std::uint32_t>(options_.max_head_bytes));
    session->parser->body_limit(options_.max_body_bytes);
    set_timeout(session, options_.request_timeout);
    http::async_read_header(session->socket, session->buffer, *session->parser,
                            [self = shared_from_this(), session](error_code ec, std::size_t) {
                              if (session->closed) return;
                              ec ? self->on_read_error(session, ec) : self->on_head_read(session);
                            });
  }
  void read_next(const SessionPtr& session) {
    move_to(session, idle_);
    if (session->buffer.size() > 0) return read(session);
    set_timeout(session, options_.idle_timeout);
    session->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), session](error_code ec) {
      if (session->closed) return;
      ec ? self->close_session(session) : self->read(session);
    });
  }
  void on_read_error(const SessionPtr& session, error_code ec) {
    if (ec == http::error::end_of_stream || ec == http::error::partial_message ||
        ec.category() != make_error_code(http::error::bad_method).category())
      return close_session(session);
    if (ec == http::error::body_limit) return reject(session, 413, "the body is too long");
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
      return reject(session, 431, "the head is too long");
    reject(session, 400, "the request can't be read");
  }
  void on_head_read(const SessionPtr& session) {
    const auto& request = session->parser->get();
    const bool body = request.chunked() || session->parser->content_length().value_or(0) > 0;
    const RequestTarget target = parse_target({request.target().data(), request.target().size()});
    session->keep_alive = request.keep_alive();
    const auto respond_early = [&](unsigned status, const std::string& why, const std::string& headers = "") {
      if (body) session->keep_alive = false;  // the body is not read
      respond(session, status, text_body(why), "text/plain", headers);
    };
    if (request.version() != 11 && request.version() != 10)
      return reject(session, 505, "only HTTP/1.1 is supported");
    if (!target.members && !target.finals) return respond_early(404, "no such resource");
    if (target.finals) {
      if (request.method() != http::verb::post)
        return respond_early(405, "only POST is allowed", "Allow: POST\r\n");
      return read_body(session);
    }
    if (request.method() != http::verb::get)
      return respond_early(405, "only GET is allowed", "Allow: GET\r\n");
    if (!target.problem.empty()) return respond_early(400, target.problem);
    if (!catalog_.published())
      return respond_early(503, "no endpoint list has been read yet", "Retry-After: 1\r\n");
    if (!target.follow) {
      if (body) session->keep_alive = false;
      return respond(session, 200, snapshot(), "application/json", "");
    }
    if (body) return respond_early(400, "a watch must not have a body");
    if (request.version() == 10) return reject(session, 505, "a watch needs HTTP/1.1");
    if (watchers_.size() >= options_.max_watchers)
      return reject(session, 503, "too many open watches", "Retry-After: 2\r\n");
    start_watch(session, target.since);
  }
  void read_body(const SessionPtr& session) {
    const auto length = session->parser->content_length();
    const std::size_t bytes = length ? static_cast<std::size_t>(*length) : kUnknownBodyBytes;
    if (length && *length > options_.max_body_bytes) return reject(session, 413, "the body is too long");
    if (reserved_body_bytes_ + bytes > options_.max_total_body_bytes)
      return reject(session, 503, "too many request bodies are being read", "Retry-After: 1\r\n");
    reserved_body_bytes_ += session->reserved_bytes = bytes;
    if (!beast::iequals(session->parser->get()[http::field::expect], "100-continue"))
      return read_rest(session);
    session->head = "HTTP/1.1 100 Continue\r\n\r\n";
    net::async_write(session->socket, net::buffer(session->head),
                     [self = shared_from_this(), session](error_code ec, std::size_t) {
                       if (session->closed) return;
                       ec ? self->close_session(session) : self->read_rest(session);
                     });
  }
  void read_rest(const SessionPtr& session) {
    http::async_read(session->socket, session->buffer, *session->parser,
                     [self = shared_from_this(), session](error_code ec, std::size_t) {
                       if (session->closed) return;
                       ec ? self->on_read_error(session, ec) : self->enqueue_notices(session);
                     });
  }

  // ---- Responses. ----
  static SharedText text_body(const std::string& line) {
    return std::make_shared<const std::string>(line + "\n");
  }
  // Responds and then closes the connection, whose further input is not read as requests.
  void reject(const SessionPtr& session, unsigned status, const std::string& why,
              const std::string& headers = "") {
    session->keep_alive = false;
    respond(session, status, text_body(why), "text/plain", headers);
  }
  void respond(const SessionPtr& session, unsigned status, SharedText body, const char* type,
               const std::string& headers) {
    move_to(session, busy_);
    reserved_body_bytes_ -= std::exchange(session->reserved_bytes, 0);
    session->head = "HTTP/1.1 " + std::to_string(status) + " " +
                    std::string(http::obsolete_reason(static_cast<http::status>(status))) + "\r\n" + headers;
    if (!session->keep_alive) session->head += "Connection: close\r\n";
    if (status != 204)
      session->head += std::string("Content-Type: ") + type +
                       "\r\nContent-Length: " + std::to_string(body->size()) + "\r\n";
    session->head += "\r\n";
    session->body = status == 204 ? std::make_shared<const std::string>() : std::move(body);
    set_timeout(session, options_.write_timeout);
    const std::array<net::const_buffer, 2> all = {net::buffer(session->head), net::buffer(*session->body)};
    net::async_write(session->socket, all, [self = shared_from_this(), session](error_code ec, std::size_t) {
      if (session->closed) return;
      session->body.reset();
      if (ec) return self->close_session(session);
      session->keep_alive ? self->read_next(session) : self->linger(session);
    });
  }
  // Reads and discards input before the close: closing a socket with unread bytes resets the connection, and
  // the response may be lost.
  void linger(const SessionPtr& session) {
    move_to(session, idle_);
    error_code ignored;
    session->socket.shutdown(tcp::socket::shutdown_send, ignored);
    set_timeout(session, kLingerTimeout);
    discard_input(session);
  }
  void discard_input(const SessionPtr& session) {
    session->socket.async_read_some(net::buffer(session->discard_buffer),
                                    [self = shared_from_this(), session](error_code ec, std::size_t size) {
                                      if (session->closed) return;
                                      session->discarded_bytes += size;
                                      if (ec || session->discarded_bytes > kMaxLingerBytes)
                                        return self->close_session(session);
                                      self->discard_input(session);
                                    });
  }

  // ---- The list. ----
  SharedText snapshot() {
    if (!snapshot_) snapshot_ = std::make_shared<const std::string>(catalog_.snapshot());
    return snapshot_;
  }
  // Watches at the same index share one line.
  SharedText changes_since(std::int64_t index) {
    if (!catalog_.has_history_since(index)) return snapshot();
    auto& cached_line = change_lines_[index];
    SharedText line = cached_line.lock();
    if (!line) cached_line = line = std::make_shared<const std::string>(catalog_.changes_since(index));
    return line;
  }
  void start_watch(const SessionPtr& session, std::int64_t since) {
    move_to(session, watchers_);
    session->parser.reset();
    session->sent_index = since;
    session->head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nCache-Control: no-store\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    send_changes(session);
    // Input of a watch is ignored; the read detects the end of the connection.
    discard_input(session);
  }
  // Sends the changes since the watch's index. While a line is being written nothing is queued: the next line
  // holds all changes since, so that a slow reader costs the memory of one line, for `write_timeout` at most.
  void send_changes(const SessionPtr& session) {
    if (session->writing || (session->sent_any && session->sent_index == catalog_.index())) return;
    session->body = changes_since(session->sent_index);
    session->sent_index = catalog_.index();
    session->sent_any = true;
    send_chunk(session);
  }
  void send_chunk(const SessionPtr& session) {
    std::array<char, 20> size{};
    const auto [to, error] = std::to_chars(size.data(), size.data() + size.size(), session->body->size(), 16);
    session->head.append(size.data(), to).append("\r\n");
    session->writing = true;
    set_timeout(session, options_.write_timeout);
    const std::array<net::const_buffer, 3> all = {net::buffer(session->head), net::buffer(*session->body),
                                                  net::buffer("\r\n", 2)};
    net::async_write(session->socket, all, [self = shared_from_this(), session](error_code ec, std::size_t) {
      if (session->closed) return;
      session->writing = false;
      session->head.clear();
      session->body.reset();
      if (ec) return self->close_session(session);
      self->clear_timeout(session);
      self->send_changes(session);
    });
  }
  void for_each_watcher(const std::function<void(const SessionPtr&)>& act) {
    for (auto it = watchers_.begin(); it != watchers_.end();) act(SessionPtr(*it++));
  }
  void send_heartbeats() {
    heartbeat_timer_.expires_after(options_.heartbeat_interval);
    heartbeat_timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec || self->stopped_) return;
      self->for_each_watcher([&](const SessionPtr& session) {
        if (session->writing) return;
        session->body = self->empty_line_;
        self->send_chunk(session);
      });
      self->finals_.prune(self->callbacks_.now_ms());
      self->send_heartbeats();
    });
  }

  // ---- Notices. ----
  struct Pending {
    SessionPtr session;
    std::vector<Notice> notices;
  };
  void enqueue_notices(const SessionPtr& session) {
    std::string problem;
    auto notices = read_notices(session->parser->get().body(), problem);
    if (!notices) return respond(session, 400, text_body(problem), "text/plain", "");
    clear_timeout(session);
    move_to(session, busy_);
    pending_notices_ += notices->size();
    pending_.push_back({session, std::move(*notices)});
    if (pending_notices_ >= kMaxPendingNotices) return store_pending();
    // Requests read in the same turn of the event loop share one transaction and one sync to disk.
    if (pending_.size() == 1)
      net::post(io_, [self = shared_from_this()] {
        if (!self->stopped_) self->store_pending();
      });
  }
  void store_pending() {
    const std::vector<Pending> batch = std::move(pending_);
    pending_.clear();
    pending_notices_ = 0;
    if (batch.empty()) return;
    const std::int64_t now = callbacks_.now_ms();
    std::vector<Notice> all;
    for (const auto& p : batch) all.insert(all.end(), p.notices.begin(), p.notices.end());
    const bool stored = finals_.store(all, now) == Finals::StoreResult::yes;
    std::string error = finals_.error();
    for (const auto& p : batch) {
      // If the batch does not fit on the disk, single requests of it may.
      const bool request_stored =
          stored || (batch.size() > 1 && finals_.store(p.notices, now) == Finals::StoreResult::yes);
      if (!request_stored && !finals_.error().empty()) error = finals_.error();
      if (p.session->closed) continue;
      request_stored ? respond(p.session, 204, nullptr, "", "")
                     : respond(p.session, 503, text_body(error), "text/plain", "Retry-After: 1\r\n");
    }
    if (error != logged_error_)
      callbacks_.log(error.empty() ? "notices: stored again"
                                   : "notices: can't be stored, relays keep them: " + error);
    logged_error_ = error;
  }

  net::io_context& io_;
  tcp::acceptor acceptor_;
  net::steady_timer accept_retry_, heartbeat_timer_;
  Finals& finals_;
  PlatformOptions options_;
  PlatformCallbacks callbacks_;
  Catalog catalog_;
  std::string listen_, logged_error_;
  bool stopped_ = false;
  List idle_, busy_, watchers_;  // idle_: waiting for a request or for the rest of one; longest idle first
  std::size_t reserved_body_bytes_ = 0, pending_notices_ = 0;
  std::vector<Pending> pending_;
  SharedText snapshot_;
  const SharedText empty_line_ = std::make_shared<const std::string>("\n");
  // Change lines that end at the current index, by the index they start from.
  std::map<std::int64_t, std::weak_ptr<const std::string>> change_lines_;
};

PlatformServer::PlatformServer(net::io_context& io, Finals& finals, PlatformOptions options,
                               PlatformCallbacks callbacks)
    : impl_(std::make_shared<Impl>(io, finals, std::move(options), std::move(callbacks))) {
  impl_->start();
}
PlatformServer::~PlatformServer() { impl_->stop(); }
bool PlatformServer::publish(std::vector<Endpoint> list) { return impl_->publish(std::move(list)); }
PlatformStatus PlatformServer::status() const { return impl_->status(); }

}  // namespace heronvane::fleet
