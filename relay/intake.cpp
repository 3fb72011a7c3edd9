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

// From a client's connecting until its first request has come, and from the first byte of a later one. Guards
// against half requests and silent crowds, which would hold descriptors.
constexpr auto kRequestTime = std::chrono::milliseconds(2500);
constexpr auto kAnswerTime = std::chrono::seconds(2);  // for an answer to go
constexpr auto kIdleTime = std::chrono::seconds(60);   // between requests, while there is room
constexpr Microseconds kIdleLeast = 2'000'000;         // and while it is short
// What a client sends after the last answer is read away for so long, and so much of it.
constexpr auto kLingerTime = std::chrono::seconds(1);
constexpr std::size_t kLingerBytes = 1 << 20;
constexpr auto kLastRequest =
    std::chrono::milliseconds(200);  // for the first request, once no more are wanted
// Until it is accepted again after a failure. Short, since clients wait in the queue; long enough that an
// error which stays costs next to nothing.
constexpr auto kAcceptPause = std::chrono::milliseconds(5);
constexpr std::size_t kAcceptFailures = 16;  // that are borne while what waits is accepted at the end
// Where three quarters of the connections are in use, room is short.
constexpr std::size_t kShortOf = 4, kShort = 3;
constexpr std::size_t kRoomTries = 4;                 // connections looked at to make room for one
constexpr Microseconds kUnusedFirst = 3'600'000'000;  // ranks those without a whole request before the rest
constexpr Microseconds kNever = std::numeric_limits<Microseconds>::max();
constexpr Microseconds kComeBack = 500'000;  // what was turned away for want of room may come again
constexpr auto kLastLook = std::chrono::milliseconds(20);  // until a read that is late is ended again

// What an accept that failed tells of, in one of a few texts.
const char* failure_text(error_code bad) {
  if (bad == net::error::no_descriptors || bad == boost::system::errc::too_many_files_open_in_system)
    return "no descriptor";
  if (bad == net::error::no_buffer_space || bad == net::error::no_memory) return "no memory";
  return "the connection was lost before";
}

std::string seconds_text(Microseconds t) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(t) * 1e-6);
  return text;
}

}  // namespace

class Intake::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Intake& intake, tcp::socket socket)
      : intake_(intake), socket_(std::move(socket)), timer_(intake.io_), read_pause_(intake.io_) {}

  bool idle() const { return stage_ == Stage::idle; }
  // Since when it could be closed for want of room, the earlier the sooner: those that were turned down
  // first, then those that never brought a whole request, then idle ones. kNever: its message would be lost.
  Microseconds spare_since() const {
    if (stage_ == Stage::lingering) return -kNever;
    if (stage_ == Stage::answering) return kNever;
    return used_ ? since_ : since_ - kUnusedFirst;
  }
  // Idle for so long that it may be closed when room is short.
  bool stale(Microseconds now) const { return idle() && used_ && now >= since_ + kIdleLeast; }

  void start() {
    since_ = steady_now();
    limit(kRequestTime);
    wait();
  }
  // Ends it if it rests; a request that has begun is answered first, and the first one of a new connection
  // may be on its way.
  void close_if_idle() {
    if (idle() && used_ && !has_bytes()) end_between_requests();
  }
  // As close_if_resting(), and a first request has little time left to come.
  void shut_down() {
    close_if_idle();
    if (idle()) limit(kLastRequest);
  }
  // Makes room for another connection, which can't wait; false if a request has just come.
  bool evict_oldest() {
    if (has_bytes() && stage_ != Stage::lingering) return false;
    close();
    return true;
  }

  // At once: what was written and has not arrived may be lost where the client sends on. For connections of
  // which nothing is owed; all others part().
  void close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    timer_.cancel();
    read_pause_.cancel();
    socket_.close(ignored);
    release();
    intake_.sessions_.erase(shared_from_this());
  }

 private:
  enum class Stage { idle, reading, answering, lingering };

  bool has_bytes() const {
    error_code bad;
    return socket_.available(bad) > 0;
  }
  template <class Duration>
  void limit(Duration time) {
    timer_.set(time, [self = shared_from_this()] { self->out_of_time(); });
  }
  void out_of_time() {
    switch (stage_) {
      case Stage::idle:
        // A request that comes in this moment is read; it has its own time.
        return has_bytes() ? limit(kRequestTime) : end_between_requests();
      case Stage::reading: {
        // Ends the read that is under way, by its own handler: what is whole by then is handled all the same.
        error_code ignored;
        late_ = true;
        limit(kLastLook);
        socket_.cancel(ignored);
        return;
      }
      case Stage::answering:  // the client does not read
      case Stage::lingering:
        return close();
    }
  }

  void next() {
    used_ = true, late_ = false;
    since_ = steady_now();
    parser_.reset();
    release();
    if (buffer_.size() > 0) {
      limit(kRequestTime);
      return read_header();
    }
    buffer_ = Buffer(kMostHeader + kMostBody);  // an idle connection holds no memory
    limit(kIdleTime);
    wait();
    if (intake_.closing_idle_) close_if_idle();
  }

  // Shuts the sending side. Nothing that comes from now on is a request.
  void begin_lingering() {
    release();
    parser_.reset();
    stage_ = Stage::lingering;
    limit(kLingerTime);
    error_code ignored;
    socket_.cancel(ignored);
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  // A lingering close behind the last answer: what comes is read away until the client ends. Closing over
  // unread bytes would reset the connection, and the answer with it.
  void end_after_answer() {
    begin_lingering();
    read_away();
  }
  // A lingering close of a connection on which nothing is owed: what comes is never read, so that the close
  // resets the connection. A client whose request crossed the end learns by the reset that nobody has it.
  void end_between_requests() {
    begin_lingering();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code bad) {
      if (self->closed_) return;
      if (bad || !self->has_bytes()) return self->close();
      // Left where it is until the time for lingering is over.
      self->intake_.tally_.add("their request crossed the end of its connection, unread");
    });
  }

  // The first request of a new connection is waited for while draining too: it may be on the way.
  void wait() {
    stage_ = Stage::idle;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code bad) {
      if (self->closed_ || self->stage_ != Stage::idle) return;
      if (bad) return self->close();
      // The first request's time has run since the connection came.
      if (self->used_) self->limit(kRequestTime);
      self->since_ = steady_now();
      self->read_header();
    });
  }

  void read_header() {
    stage_ = Stage::reading;
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
    read_on_header();
  }
  void read_on_header() {
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](error_code bad, std::size_t) {
                              if (self->closed_) return;
                              if (bad) return self->unreadable(bad);
                              const auto& head = self->parser_->get();
                              if (!framing_certain(head, head.version()))
                                return self->turn_down(400, "framing in doubt");
                              if (!self->reserve()) return self->turn_down(503, "no memory for its body");
                              if (beast::iequals(head[http::field::expect], "100-continue"))
                                self->go_on();
                              else
                                self->read_body();
                            });
  }
  void go_on() {
    const http::response<http::empty_body> go(http::status::continue_, 11);
    write_all(socket_, wire_text(go), [self = shared_from_this()](error_code bad) {
      if (self->closed_) return;
      if (bad) return self->close();
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

  // All bodies that are being read together stay under a part of the memory. Guards against many clients that
  // bring large bodies slowly.
  bool reserve() {
    const auto length = parser_->content_length();
    const std::size_t more = length ? static_cast<std::size_t>(*length) : parser_->chunked() ? kMostBody : 0;
    if (intake_.body_bytes_ + more > intake_.limits_.body_bytes) return false;
    intake_.body_bytes_ += more, reserved_ += more;
    return true;
  }
  void release() { intake_.body_bytes_ -= std::exchange(reserved_, 0); }

  // Half a request, by a client that left, is nobody's; one that can't be read is answered.
  void unreadable(error_code bad) {
    if (late_ && bad == net::error::operation_aborted) return turn_down(400, "half a request");
    if (is_memory_shortage(bad)) return read_on_later();
    const bool left = bad == http::error::end_of_stream || bad == http::error::partial_message ||
                      bad.category() == net::error::get_system_category() ||
                      bad.category() == net::error::get_misc_category();
    if (left) return close();
    turn_down(bad == http::error::body_limit ? 413 : 400, "can't be read");
  }
  // What came by then stands. The request's time runs on.
  void read_on_later() {
    retry_read(socket_, read_pause_, [self = shared_from_this()] {
      if (self->closed_ || self->stage_ != Stage::reading) return;
      if (self->late_) return self->turn_down(400, "half a request");
      self->parser_->is_header_done() ? self->read_body() : self->read_on_header();
    });
  }
  // Nothing behind it is read as a request.
  void turn_down(unsigned status, const char* why) {
    intake_.tally_.add(why);
    stage_ = Stage::answering;
    close_after_ = true;
    answer({status, status == 503 ? kComeBack : 0}, why);
  }

  void handle() {
    stage_ = Stage::answering;
    timer_.cancel();
    auto& request = parser_->get();
    close_after_ = !request.keep_alive();
    if (request.target() == "/_health") {
      if (request.method() != http::verb::get && request.method() != http::verb::head)
        return turn_down(405, "unknown method");
      return answer({intake_.is_ready_() ? 200u : 503u, 0});
    }
    Handed handed = read_message(request, intake_.settings_, intake_.names_);
    if (handed.refused > 0) return turn_down(handed.refused, handed.why);
    intake_.handle_message_(
        std::move(handed.message), handed.left, [self = shared_from_this()](const ClientReply& a) {
          a.turned_down.empty() ? self->answer(a) : self->turn_down(a.status, a.turned_down.data());
        });
  }

  // `why`, where it was turned down, is for people who read the answer.
  void answer(const ClientReply& a, const char* why = nullptr) {
    if (closed_) return;
    response_ = {};
    response_.version(11);
    response_.result(a.status);
    if (a.retry_after > 0) response_.set(http::field::retry_after, seconds_text(a.retry_after));
    if (a.status == 405) response_.set(http::field::allow, "POST");
    // Guards against clients that ask once and keep their connection: they would hold what others need. Those
    // whose next request has been read along have it answered first.
    const bool next_was_read = buffer_.size() > 0;
    if (!next_was_read) close_after_ = close_after_ || intake_.draining_ || intake_.short_of_room();
    response_.keep_alive(!close_after_);
    if (why != nullptr && parser_->get().method() != http::verb::head) {
      response_.set(http::field::content_type, "text/plain");
      response_.body() = std::string(why) + "\n";
    }
    response_.prepare_payload();
    limit(kAnswerTime);
    write_all(socket_, wire_text(response_), [self = shared_from_this()](error_code bad) {
      if (self->closed_) return;
      if (bad) return self->close();
      self->close_after_ ? self->end_after_answer() : self->next();
    });
  }

  void read_away() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code bad) {
      if (self->closed_) return;
      char away[4096];
      const std::size_t size = bad ? 0 : self->socket_.read_some(net::buffer(away), bad);
      self->lingered_ += size;
      if ((bad && !would_block(bad)) || self->lingered_ > kLingerBytes) return self->close();
      self->read_away();
    });
  }

  using Buffer = beast::flat_buffer;
  Intake& intake_;
  tcp::socket socket_;
  Timer timer_;
  Timer read_pause_;  // while the system has no memory for a read
  Buffer buffer_{kMostHeader + kMostBody};
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  Stage stage_ = Stage::idle;
  Microseconds since_ = 0;  // of being idle, or of reading
  std::size_t reserved_ = 0, lingered_ = 0;
  bool used_ = false;  // a whole request has come
  bool closed_ = false, close_after_ = false;
  bool late_ = false;  // the request that is being read has had its time
};

Intake::Intake(net::io_context& io, tcp::acceptor listener, const heronvane::dispatch::Settings& settings,
               const heronvane::dispatch::adapter::NameTables& names, const IntakeLimits& limits,
               MessageHandler handle_message, ReadyCallback is_ready)
    : io_(io),
      acceptor_(std::move(listener)),
      pause_(io),
      settings_(settings),
      names_(names),
      limits_(limits),
      handle_message_(std::move(handle_message)),
      is_ready_(std::move(is_ready)),
      tally_(io, "clients turned down"),
      accept_failures_(io, "accept failed") {
  // Else Asio keeps ECONNABORTED and EPROTO to itself, and looks at the queue again only once a further
  // connection comes.
  error_code ignored;
  acceptor_.set_option(net::socket_base::enable_connection_aborted(true), ignored);
  accept();
}
Intake::~Intake() = default;

void Intake::accept() {
  acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
    if (bad == net::error::operation_aborted || (bad && shutting_down_)) return;
    if (bad) {
      // Of one connection or of all: what else waits in the queue is accepted without a further one.
      accept_failures_.add(failure_text(bad));
      return pause_.set(kAcceptPause, [this] { accept(); });
    }
    evict_oldest();
    if (sessions_.size() >= limits_.clients) {
      tally_.add("no room for its connection");
    } else {
      begin(std::move(socket));
    }
    if (!shutting_down_) accept();
  });
}

void Intake::begin(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
  if (shutting_down_) session->shut_down();
}

bool Intake::short_of_room() const { return sessions_.size() * kShortOf >= limits_.clients * kShort; }

// One that stands between requests may be closed, one with a request would lose its message.
void Intake::evict_oldest() {
  if (!short_of_room()) return;
  const Microseconds now = steady_now();
  std::vector<std::pair<Microseconds, std::shared_ptr<Session>>> spare;
  for (const auto& session : sessions_) {
    const Microseconds since = session->spare_since();
    if (since < kNever && (session->stale(now) || sessions_.size() >= limits_.clients))
      spare.emplace_back(since, session);
  }
  const auto most = std::min(spare.size(), kRoomTries);
  std::partial_sort(spare.begin(), spare.begin() + static_cast<std::ptrdiff_t>(most), spare.end());
  for (std::size_t i = 0; i < most; i++)
    if (spare[i].second->evict_oldest()) return;
}

void Intake::drain() { draining_ = true; }

void Intake::close_idle() {
  if (std::exchange(closing_idle_, true)) return;
  for (const auto& session : all_sessions()) session->close_if_idle();
}

void Intake::shut_down() {
  if (std::exchange(shutting_down_, true)) return;
  pause_.cancel();
  accept_waiting();
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& session : all_sessions()) session->shut_down();
}

std::vector<std::shared_ptr<Intake::Session>> Intake::all_sessions() const {
  return {sessions_.begin(), sessions_.end()};
}

// Those that wait to be accepted would be reset with what they wrote.
void Intake::accept_waiting() {
  error_code bad;
  acceptor_.non_blocking(true, bad);
  if (bad) return;
  std::size_t failures = 0;
  while (sessions_.size() < limits_.clients && failures < kAcceptFailures) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, bad);
    if (bad == net::error::would_block || bad == net::error::try_again) return;
    bad ? void(failures++) : begin(std::move(socket));
  }
}

bool Intake::busy() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return !s->idle(); });
}

}  // namespace heronvane
