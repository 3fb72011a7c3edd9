#include "intake.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "clock.hpp"
#include "core/retry_read.hpp"
#include "core/stream_writer.hpp"
#include "framing.hpp"
#include "request.hpp"

namespace heronvane {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

// From the connection's start until its first request is complete, and from the first byte of each later one.
// Otherwise incomplete requests and silent clients would hold descriptors.
constexpr auto kRequestTimeout = std::chrono::milliseconds(2500);
constexpr auto kAnswerTimeout = std::chrono::seconds(2);  // for writing an answer
constexpr auto kIdleTimeout = std::chrono::seconds(60);   // between requests
constexpr Microseconds kMinIdleTime = 2'000'000;  // before an idle connection may be closed for another one
// Limits of a lingering close, in which input after the last answer is read and discarded.
constexpr auto kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxLingerBytes = 1 << 20;
constexpr auto kLastRequestTimeout = std::chrono::milliseconds(200);  // for a first request after shut_down()
// Between a failed accept and the next. Short, since clients wait in the queue; long enough that a persistent
// error costs little processor time.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(5);
constexpr std::size_t kMaxAcceptFailures = 16;  // in accept_queued()
// From three quarters of the connection limit on, idle connections are closed for new ones.
constexpr std::size_t kNearlyFullDenominator = 4, kNearlyFullNumerator = 3;
constexpr std::size_t kMaxEvictionTries = 4;  // per new connection
// Ranks connections that never sent a complete request before all others.
constexpr Microseconds kUnusedRankOffset = 3'600'000'000;
constexpr Microseconds kNotEvictable = std::numeric_limits<Microseconds>::max();
constexpr Microseconds kRetryAfter = 500'000;  // told to clients that are rejected for lack of memory
// Between attempts to cancel a read that timed out.
constexpr auto kCancelRetryDelay = std::chrono::milliseconds(20);

// The cause of a failed accept, as one of a few texts that are counted.
const char* failure_text(error_code error) {
  if (error == net::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system)
    return "no descriptor";
  if (error == net::error::no_buffer_space || error == net::error::no_memory) return "no memory";
  return "the connection was lost before it was accepted";
}

std::string seconds_text(Microseconds time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time) * 1e-6);
  return text;
}

}  // namespace

class Intake::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Intake& intake, tcp::socket socket)
      : intake_(intake), socket_(std::move(socket)), timer_(intake.io_), read_retry_timer_(intake.io_) {}

  bool idle() const { return stage_ == Stage::idle; }
  // The order in which connections are closed for new ones, the lowest first: connections in a lingering
  // close, then those that never sent a complete request, then idle ones, the longest idle first.
  // kNotEvictable: its message would be lost.
  Microseconds eviction_rank() const {
    if (stage_ == Stage::lingering) return -kNotEvictable;
    if (stage_ == Stage::answering) return kNotEvictable;
    return had_request_ ? stage_since_ : stage_since_ - kUnusedRankOffset;
  }
  // Whether it has been idle long enough to be closed for a new connection near the limit.
  bool may_be_evicted(Microseconds now) const {
    return idle() && had_request_ && now >= stage_since_ + kMinIdleTime;
  }

  void start() {
    stage_since_ = steady_now();
    set_deadline(kRequestTimeout);
    wait_for_request();
  }
  // Closes the connection if it is between requests. A request that has begun is answered first, and a new
  // connection is left open, since its first request may be on its way.
  void close_if_idle() {
    if (idle() && had_request_ && !has_unread_bytes()) close_between_requests();
  }
  // As close_if_idle(); a new connection has kLastRequestTimeout left for its first request.
  void shut_down() {
    close_if_idle();
    if (idle()) set_deadline(kLastRequestTimeout);
  }
  // Closes the connection at once in favour of a new one; false if a request has just arrived.
  bool try_evict() {
    if (has_unread_bytes() && stage_ != Stage::lingering) return false;
    close();
    return true;
  }

  // Closes at once. Data written but not delivered yet may be lost if the client is still sending, so this is
  // only for connections that owe no answer; the others end by a lingering close.
  void close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    timer_.cancel();
    read_retry_timer_.cancel();
    socket_.close(ignored);
    release_body_memory();
    intake_.sessions_.erase(shared_from_this());
  }

 private:
  enum class Stage { idle, reading, answering, lingering };

  bool has_unread_bytes() const {
    error_code error;
    return socket_.available(error) > 0;
  }
  template <class Duration>
  void set_deadline(Duration time) {
    timer_.set(time, [self = shared_from_this()] { self->handle_timeout(); });
  }
  void handle_timeout() {
    switch (stage_) {
      case Stage::idle:
        // A request that has just arrived is read, with a timeout of its own.
        return has_unread_bytes() ? set_deadline(kRequestTimeout) : close_between_requests();
      case Stage::reading: {
        // Cancels the read rather than closing: if the request is complete by then, its handler serves it.
        error_code ignored;
        timed_out_ = true;
        set_deadline(kCancelRetryDelay);
        socket_.cancel(ignored);
        return;
      }
      case Stage::answering:  // the client does not read the answer
      case Stage::lingering:
        return close();
    }
  }

  void wait_for_next_request() {
    had_request_ = true, timed_out_ = false;
    stage_since_ = steady_now();
    parser_.reset();
    release_body_memory();
    if (buffer_.size() > 0) {
      set_deadline(kRequestTimeout);
      return read_header();
    }
    buffer_ = Buffer(kMaxHeaderBytes + kMaxBodyBytes);  // an idle connection holds no memory
    set_deadline(kIdleTimeout);
    wait_for_request();
    if (intake_.closing_idle_) close_if_idle();
  }

  // Shuts down the sending side. Input from now on is not read as requests.
  void begin_lingering_close() {
    release_body_memory();
    parser_.reset();
    stage_ = Stage::lingering;
    set_deadline(kLingerTimeout);
    error_code ignored;
    socket_.cancel(ignored);
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  // A lingering close after the last answer: input is discarded until the client closes. Closing a socket
  // with unread input resets the connection, and the client could lose the answer.
  void close_after_answer() {
    begin_lingering_close();
    discard_input();
  }
  // A lingering close of a connection that owes no answer: input is left unread, so that the close resets the
  // connection. The reset tells a client whose request arrived too late that it was not accepted.
  void close_between_requests() {
    begin_lingering_close();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      if (self->closed_) return;
      if (error || !self->has_unread_bytes()) return self->close();
      // The input stays unread until the linger timeout closes the socket.
      self->intake_.rejections_.add("request arrived while its connection was being closed");
    });
  }

  // Also waits for the first request of a new connection while draining: it may be on its way.
  void wait_for_request() {
    stage_ = Stage::idle;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      if (self->closed_ || self->stage_ != Stage::idle) return;
      if (error) return self->close();
      // The timeout of the first request has run since the connection was accepted.
      if (self->had_request_) self->set_deadline(kRequestTimeout);
      self->stage_since_ = steady_now();
      self->read_header();
    });
  }

  void read_header() {
    stage_ = Stage::reading;
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    continue_header();
  }
  void continue_header() {
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->closed_) return;
                              if (error) return self->handle_read_error(error);
                              const auto& header = self->parser_->get();
                              if (!has_unambiguous_framing(header, header.version()))
                                return self->reject(400, "ambiguous message framing");
                              if (!self->reserve_body_memory())
                                return self->reject(503, "not enough memory for the request body");
                              if (beast::iequals(header[http::field::expect], "100-continue"))
                                self->send_continue();
                              else
                                self->read_body();
                            });
  }
  void send_continue() {
    const http::response<http::empty_body> response(http::status::continue_, 11);
    write_all(socket_, wire_text(response), [self = shared_from_this()](error_code error) {
      if (self->closed_) return;
      if (error) return self->close();
      self->read_body();
    });
  }
  void read_body() {
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->closed_) return;
      if (error) return self->handle_read_error(error);
      self->handle_request();
    });
  }

  // Reserves memory for the body; false if all bodies being read would exceed the limit. Guards against many
  // clients that send large bodies slowly.
  bool reserve_body_memory() {
    const auto length = parser_->content_length();
    const std::size_t body_bytes = length               ? static_cast<std::size_t>(*length)
                                   : parser_->chunked() ? kMaxBodyBytes
                                                        : 0;
    if (intake_.body_bytes_ + body_bytes > intake_.limits_.max_body_bytes) return false;
    intake_.body_bytes_ += body_bytes, reserved_body_bytes_ += body_bytes;
    return true;
  }
  void release_body_memory() { intake_.body_bytes_ -= std::exchange(reserved_body_bytes_, 0); }

  // An incomplete request of a client that disconnected is dropped; a malformed one is answered.
  void handle_read_error(error_code error) {
    if (timed_out_ && error == net::error::operation_aborted) return reject(400, "incomplete request");
    if (is_memory_shortage(error)) return retry_read_later();
    const bool disconnected = error == http::error::end_of_stream || error == http::error::partial_message ||
                              error.category() == net::error::get_system_category() ||
                              error.category() == net::error::get_misc_category();
    if (disconnected) return close();
    reject(error == http::error::body_limit ? 413 : 400, "malformed or too large request");
  }
  // Goes on with the input read so far. The request's timeout keeps running.
  void retry_read_later() {
    retry_read(socket_, read_retry_timer_, [self = shared_from_this()] {
      if (self->closed_ || self->stage_ != Stage::reading) return;
      if (self->timed_out_) return self->reject(400, "incomplete request");
      self->parser_->is_header_done() ? self->read_body() : self->continue_header();
    });
  }
  // Answers with an error and closes the connection: input after it is not read as a request.
  void reject(unsigned status, const char* reason) {
    intake_.rejections_.add(reason);
    stage_ = Stage::answering;
    close_after_answer_ = true;
    send_answer({status, status == 503 ? kRetryAfter : 0}, reason);
  }

  void handle_request() {
    stage_ = Stage::answering;
    timer_.cancel();
    auto& request = parser_->get();
    close_after_answer_ = !request.keep_alive();
    if (request.target() == "/_health") {
      if (request.method() != http::verb::get && request.method() != http::verb::head)
        return reject(405, "unknown method");
      return send_answer({intake_.is_ready_() ? 200u : 503u, 0});
    }
    ParsedRequest parsed = read_message(request, intake_.settings_, intake_.names_);
    if (parsed.error_status > 0) return reject(parsed.error_status, parsed.error_reason);
    intake_.handle_message_(
        std::move(parsed.message), parsed.time_left, [self = shared_from_this()](const ClientReply& reply) {
          reply.turned_down.empty() ? self->send_answer(reply)
                                    : self->reject(reply.status, reply.turned_down.data());
        });
  }

  // `reason` is the body of an error answer, or null.
  void send_answer(const ClientReply& reply, const char* reason = nullptr) {
    if (closed_) return;
    response_ = {};
    response_.version(11);
    response_.result(reply.status);
    if (reply.retry_after > 0) response_.set(http::field::retry_after, seconds_text(reply.retry_after));
    if (reply.status == 405) response_.set(http::field::allow, "POST");
    // Near the connection limit, clients that keep their connection after an answer would block new ones. If
    // the next request is in the buffer already, it is answered first.
    const bool has_next_request = buffer_.size() > 0;
    if (!has_next_request)
      close_after_answer_ = close_after_answer_ || intake_.draining_ || intake_.is_nearly_full();
    response_.keep_alive(!close_after_answer_);
    if (reason != nullptr && parser_->get().method() != http::verb::head) {
      response_.set(http::field::content_type, "text/plain");
      response_.body() = std::string(reason) + "\n";
    }
    response_.prepare_payload();
    set_deadline(kAnswerTimeout);
    write_all(socket_, wire_text(response_), [self = shared_from_this()](error_code error) {
      if (self->closed_) return;
      if (error) return self->close();
      self->close_after_answer_ ? self->close_after_answer() : self->wait_for_next_request();
    });
  }

  void discard_input() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      if (self->closed_) return;
      char discarded[4096];
      const std::size_t size = error ? 0 : self->socket_.read_some(net::buffer(discarded), error);
      self->discarded_bytes_ += size;
      if ((error && !would_block(error)) || self->discarded_bytes_ > kMaxLingerBytes) return self->close();
      self->discard_input();
    });
  }

  using Buffer = beast::flat_buffer;
  Intake& intake_;
  tcp::socket socket_;
  Timer timer_;
  Timer read_retry_timer_;  // while the system has no memory for a read
  Buffer buffer_{kMaxHeaderBytes + kMaxBodyBytes};
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  Stage stage_ = Stage::idle;
  Microseconds stage_since_ = 0;  // when it became idle, or began to read
  std::size_t reserved_body_bytes_ = 0, discarded_bytes_ = 0;
  bool had_request_ = false;  // a complete request has arrived
  bool closed_ = false, close_after_answer_ = false;
  bool timed_out_ = false;  // the request being read exceeded its timeout
};

Intake::Intake(net::io_context& io, tcp::acceptor listener, const heronvane::dispatch::Settings& settings,
               const heronvane::dispatch::adapter::NameTables& names, const IntakeLimits& limits,
               MessageHandler handle_message, ReadyCallback is_ready)
    : io_(io),
      acceptor_(std::move(listener)),
      accept_retry_timer_(io),
      settings_(settings),
      names_(names),
      limits_(limits),
      handle_message_(std::move(handle_message)),
      is_ready_(std::move(is_ready)),
      rejections_(io, "clients rejected"),
      accept_failures_(io, "accept failed") {
  // By default Asio hides ECONNABORTED and EPROTO and checks the queue again only when another connection
  // arrives.
  error_code ignored;
  acceptor_.set_option(net::socket_base::enable_connection_aborted(true), ignored);
  accept();
}
Intake::~Intake() = default;

void Intake::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == net::error::operation_aborted || (error && shutting_down_)) return;
    if (error) {
      // The error may concern one connection only; others may be waiting in the queue.
      accept_failures_.add(failure_text(error));
      return accept_retry_timer_.set(kAcceptRetryDelay, [this] { accept(); });
    }
    evict_session();
    if (sessions_.size() >= limits_.max_connections) {
      rejections_.add("connection limit reached");
    } else {
      start_session(std::move(socket));
    }
    if (!shutting_down_) accept();
  });
}

void Intake::start_session(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
  if (shutting_down_) session->shut_down();
}

bool Intake::is_nearly_full() const {
  return sessions_.size() * kNearlyFullDenominator >= limits_.max_connections * kNearlyFullNumerator;
}

// Near the connection limit, closes a connection that has been idle for kMinIdleTime; at the limit, any that
// owes no answer.
void Intake::evict_session() {
  if (!is_nearly_full()) return;
  const Microseconds now = steady_now();
  std::vector<std::pair<Microseconds, std::shared_ptr<Session>>> candidates;
  for (const auto& session : sessions_) {
    const Microseconds rank = session->eviction_rank();
    if (rank < kNotEvictable && (session->may_be_evicted(now) || sessions_.size() >= limits_.max_connections))
      candidates.emplace_back(rank, session);
  }
  const auto max_tries = std::min(candidates.size(), kMaxEvictionTries);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(max_tries),
                    candidates.end());
  for (std::size_t i = 0; i < max_tries; i++)
    if (candidates[i].second->try_evict()) return;
}

void Intake::drain() { draining_ = true; }

void Intake::close_idle() {
  if (std::exchange(closing_idle_, true)) return;
  for (const auto& session : copy_sessions()) session->close_if_idle();
}

void Intake::shut_down() {
  if (std::exchange(shutting_down_, true)) return;
  accept_retry_timer_.cancel();
  accept_queued();
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& session : copy_sessions()) session->shut_down();
}

std::vector<std::shared_ptr<Intake::Session>> Intake::copy_sessions() const {
  return {sessions_.begin(), sessions_.end()};
}

// Accepts the connections in the listen queue: closing the acceptor would reset them, with any request they
// sent.
void Intake::accept_queued() {
  error_code error;
  acceptor_.non_blocking(true, error);
  if (error) return;
  std::size_t failures = 0;
  while (sessions_.size() < limits_.max_connections && failures < kMaxAcceptFailures) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error == net::error::would_block || error == net::error::try_again) return;
    error ? void(failures++) : start_session(std::move(socket));
  }
}

bool Intake::busy() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return !session->idle(); });
}

}  // namespace heronvane
