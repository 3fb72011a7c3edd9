#include "intake.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdio>
#include <limits>
#include <optional>

#include "log.hpp"

namespace heronvane {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr std::uint64_t kMostBody = 64 * 1024;
constexpr std::uint32_t kMostHeader = 16 * 1024;
constexpr std::size_t kMostId = 256;
constexpr auto kIdleTime = std::chrono::minutes(2);      // between requests
constexpr auto kRequestTime = std::chrono::seconds(10);  // for one request to come, or its answer to go
constexpr auto kLingerTime = std::chrono::seconds(1);    // for the rest of a request that was turned down
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr Time kLongest = 24 * 3'600'000'000LL;

template <class T>
std::optional<T> number(beast::string_view text) {
  T v{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return v;
}

// "480m" milliseconds, "250000u" microseconds
std::optional<Time> duration(beast::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const char unit = text.back();
  const auto v = number<double>(text.substr(0, text.size() - 1));
  if (!v || !(*v >= 0) || (unit != 'm' && unit != 'u')) return std::nullopt;
  const double us = *v * (unit == 'm' ? 1000 : 1);
  return us > static_cast<double>(kLongest) ? kLongest : static_cast<Time>(us);
}

// The value of `dest` in "dest=7" or "a=1; dest=7".
std::optional<std::int64_t> destination(beast::string_view text) {
  while (!text.empty()) {
    const auto end = std::min(text.find_first_of(";,"), text.size());
    auto field = text.substr(0, end);
    while (!field.empty() && field.front() == ' ') field.remove_prefix(1);
    while (!field.empty() && field.back() == ' ') field.remove_suffix(1);
    if (field.starts_with("dest=")) return number<std::int64_t>(field.substr(5));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return std::nullopt;
}

std::string seconds_text(Time t) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(t) * 1e-6);
  return text;
}

}  // namespace

class Intake::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Intake& intake, tcp::socket socket)
      : intake_(intake), socket_(std::move(socket)), timer_(intake.io_) {}

  bool idle() const { return idle_; }
  Time idle_since() const { return idle_ ? idle_since_ : std::numeric_limits<Time>::max(); }

  void next() {
    if (buffer_.size() > 0) return read_header();
    if (intake_.draining_) return close();
    wait();
  }

  // The first request of a new connection is waited for while draining too: it may be on the way.
  void wait() {
    idle_ = true;
    idle_since_ = steady_now();
    limit(kIdleTime);
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code bad) {
      self->idle_ = false;
      if (bad || self->closed_) return self->close();
      self->read_header();
    });
  }

  // Closes if no request has begun; one that has begun is answered first.
  void drain() {
    error_code bad;
    if (idle_ && socket_.available(bad) == 0) close();
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    timer_.cancel();
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    intake_.sessions_.erase(shared_from_this());
  }

 private:
  template <class Duration>
  void limit(Duration time) {
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](error_code bad) {
      if (!bad) self->close();
    });
  }

  void read_header() {
    limit(kRequestTime);
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](error_code bad, std::size_t) {
                              if (self->closed_) return;
                              if (bad) return self->unreadable(bad);
                              if (beast::iequals(self->parser_->get()[http::field::expect], "100-continue"))
                                self->go_on();
                              else
                                self->read_body();
                            });
  }
  void go_on() {
    const auto go = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
    http::async_write(socket_, *go, [self = shared_from_this(), go](error_code bad, std::size_t) {
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

  // Half a request, by a client that left, is nobody's; one that can't be read is answered.
  void unreadable(error_code bad) {
    const bool left = bad == http::error::end_of_stream || bad == http::error::partial_message ||
                      bad.category() == net::error::get_system_category() ||
                      bad.category() == net::error::get_misc_category();
    if (left) return close();
    log("client request turned down: " + bad.message());
    close_after_ = true;
    answer({bad == http::error::body_limit ? 413u : 400u, 0});
  }

  void handle() {
    timer_.cancel();
    const auto& request = parser_->get();
    close_after_ = !request.keep_alive();
    if (request.target() == "/_health") {
      if (request.method() != http::verb::get && request.method() != http::verb::head)
        return answer({405, 0});
      return answer({intake_.ready_() ? 200u : 503u, 0});
    }
    // The class is the first part of the path.
    auto path = request.target();
    path = path.substr(0, path.find('?'));
    if (path.starts_with('/')) path.remove_prefix(1);
    path = path.substr(0, path.find('/'));
    if (intake_.names_.classes.count(std::string(path)) == 0) return answer({404, 0});
    if (request.method() != http::verb::post) return answer({405, 0});
    Message m;
    m.id = std::string(request["X-Request-Id"]);
    const auto named = request["X-Class"];
    m.message_class = std::string(named.empty() ? path : named);
    m.tenant = std::string(request["X-Tenant"]);
    m.repeat = request["X-Retry"] == "1";
    const auto dest = destination(request["X-Consignee"]);
    const auto left = duration(request["X-Deadline"]);
    if (m.id.empty() || m.id.size() > kMostId || m.tenant.size() > kMostId || !dest || !left ||
        m.message_class != std::string(path)) {
      log("client request turned down: a header is missing or makes no sense");
      return answer({400, 0});
    }
    m.destination = *dest;
    m.deadline = wall_now() + *left;
    m.body = std::move(parser_->get().body());
    intake_.take_(std::move(m), [self = shared_from_this()](const Answer& a) { self->answer(a); });
  }

  void answer(const Answer& a) {
    if (closed_) return;
    response_ = {};
    response_.version(11);
    response_.result(a.status);
    if (a.retry_after > 0) response_.set(http::field::retry_after, seconds_text(a.retry_after));
    if (a.status == 405) response_.set(http::field::allow, "POST");
    close_after_ = close_after_ || intake_.draining_;
    response_.keep_alive(!close_after_);
    response_.prepare_payload();
    limit(kRequestTime);
    http::async_write(socket_, response_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->closed_) return;
      if (bad) return self->close();
      if (!self->close_after_) return self->next();
      if (self->parser_->is_done()) return self->close();
      self->limit(kLingerTime);
      error_code ignored;
      self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      self->linger();
    });
  }

  // Reads away the rest of what was turned down: closing before that would reset the answer.
  void linger() {
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(kMostHeader),
                            [self = shared_from_this()](error_code bad, std::size_t) {
                              if (self->closed_) return;
                              if (bad) return self->close();
                              self->linger();
                            });
  }

  Intake& intake_;
  tcp::socket socket_;
  net::steady_timer timer_;
  beast::flat_buffer buffer_{kMostHeader + kMostBody};
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::empty_body> response_;
  Time idle_since_ = 0;
  bool idle_ = false, closed_ = false, close_after_ = false;
};

Intake::Intake(net::io_context& io, const tcp::endpoint& listen, const cedarplank::adapter::Tables& names,
               std::size_t most_clients, Take take, Ready ready)
    : io_(io),
      acceptor_(io, listen),
      pause_(io),
      names_(names),
      most_clients_(most_clients),
      take_(std::move(take)),
      ready_(std::move(ready)) {
  accept();
}
Intake::~Intake() = default;

void Intake::accept() {
  acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
    if (bad == net::error::operation_aborted) return;
    if (bad) {
      // Guards against spinning while no descriptor is free.
      log("accept: " + bad.message());
      pause_.expires_after(kAcceptPause);
      return pause_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
      });
    }
    // One that stands between requests may be closed; one with a request would lose its message.
    if (sessions_.size() >= most_clients_) {
      const auto longest =
          std::min_element(sessions_.begin(), sessions_.end(),
                           [](const auto& a, const auto& b) { return a->idle_since() < b->idle_since(); });
      (*longest)->drain();
    }
    if (sessions_.size() >= most_clients_) {
      if (!turned_away_) log("too many client connections: turning new ones away");
      turned_away_ = true;
    } else {
      turned_away_ = false;
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions_.insert(session);
      session->wait();
    }
    accept();
  });
}

void Intake::drain() {
  draining_ = true;
  for (const auto& session : std::vector<std::shared_ptr<Session>>(sessions_.begin(), sessions_.end()))
    session->drain();
}

bool Intake::busy() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& s) { return !s->idle(); });
}

}  // namespace heronvane
