#include "endpoint.hpp"

#include <rapidjson/document.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace heronvane::standins {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr std::size_t kMaxBodyBytes = 4 << 20;  // of a call's body

// Returns the ids of a bundle's messages; std::nullopt if `body` is not a valid bundle.
std::optional<std::vector<std::string>> parse_bundle_ids(const std::string& body) {
  rapidjson::Document v;
  v.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (v.HasParseError() || !v.IsArray() || v.Empty()) return std::nullopt;
  std::vector<std::string> ids;
  std::set<std::string> seen;
  for (const auto& m : v.GetArray()) {
    if (!m.IsObject() || !m.HasMember("id") || !m["id"].IsString()) return std::nullopt;
    ids.emplace_back(m["id"].GetString(), m["id"].GetStringLength());
    if (ids.back().empty() || !seen.insert(ids.back()).second) return std::nullopt;
  }
  return ids;
}

std::string json_quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out + '"';
}

}  // namespace

class Endpoint::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(net::io_context& io, EndpointOptions options)
      : options_(std::move(options)),
        behaviour_(options_.habits, options_.seed, now()),
        acceptor_(io, options_.listen),
        address_(acceptor_.local_endpoint()) {}
  void accept();
  void end_sessions(bool reset);
  std::size_t remove_closed_sessions() {
    auto& sessions = sessions_;
    sessions.erase(
        std::remove_if(sessions.begin(), sessions.end(), [](const auto& s) { return s.expired(); }),
        sessions.end());
    return sessions.size();
  }
  void shut_down();
  Microseconds now() const { return options_.now ? options_.now() : steady_time(); }
  void ran(const std::vector<std::string>& ids) {
    for (const auto& id : ids)
      if (options_.ran) options_.ran(id);
  }

  EndpointOptions options_;
  Behaviour behaviour_;
  Counts counts_;
  tcp::acceptor acceptor_;
  tcp::endpoint address_;
  std::vector<std::weak_ptr<Session>> sessions_;
  std::uint64_t last_call_number_ = 0;
  bool shut_down_ = false;
};

// One connection, kept alive by its pending asynchronous operation.
class Endpoint::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Impl> endpoint)
      : socket_(std::move(socket)), timer_(socket_.get_executor()), endpoint_(std::move(endpoint)) {}

  void start() {
    error_code ignored;
    call_.from = socket_.remote_endpoint(ignored);
    const auto& e = *endpoint_;
    over_connection_limit_ =
        e.options_.max_connections > 0 && e.sessions_.size() > e.options_.max_connections;
    if (e.options_.connected) e.options_.connected(call_.from, over_connection_limit_);
    read();
  }
  void reset() {
    error_code ignored;
    socket_.set_option(tcp::socket::linger(true, 0), ignored);
    close();
  }

  void read() {
    if (endpoint_->options_.on_stage && buffer_.size() == 0) {
      // Waits for the first byte of a call, so that its time is recorded.
      timer_.expires_after(std::chrono::microseconds(endpoint_->options_.idle));
      timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error) self->close();
      });
      return socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        if (error) return self->close();
        self->read_call();
      });
    }
    read_call();
  }
  void read_call() {
    call_.first_byte = endpoint_->now();
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    timer_.expires_after(std::chrono::microseconds(endpoint_->options_.idle));
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->close();
    });
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
      self->timer_.cancel();
      if (error) return self->close();
      self->handle_call();
    });
  }
  void close() {
    finish_call();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void report_stage(Stage stage, Microseconds until = 0) {
    if (call_open_ && endpoint_->options_.on_stage) endpoint_->options_.on_stage(call_, stage, until);
  }
  // Reports the end of the present call, unless it has been reported.
  void finish_call() {
    report_stage(Stage::over);
    call_open_ = false;
  }
  // A relay gives a call up by closing its connection. The call still takes effect.
  void watch_for_disconnect() {
    if (!endpoint_->options_.on_stage) return;
    socket_.async_wait(
        tcp::socket::wait_read, [self = shared_from_this(), number = call_.number](error_code error) {
          if (!error && self->call_open_ && self->call_.number == number && self->peer_closed()) {
            self->relay_gave_up_ = true;
            self->report_stage(Stage::over);
          }
        });
  }
  template <class Handler>
  void run_after(Microseconds delay, Handler handler) {
    timer_.expires_after(std::chrono::microseconds(delay));
    // Not cancelled when the relay gives the call up, since a call that has begun takes effect.
    timer_.async_wait([self = shared_from_this(), handler = std::move(handler)](error_code error) {
      if (!error) handler();
    });
  }
  void handle_call() {
    auto& e = *endpoint_;
    e.counts_.calls++;
    const auto& request = parser_->get();
    keep_alive_ = request.keep_alive();
    bundle_ = request.target() == "/events/bundle";
    ids_.clear();
    if (request.method() != http::verb::post || (!bundle_ && request.target() != "/events"))
      return answer_malformed(404);
    if (bundle_) {
      auto ids = parse_bundle_ids(request.body());
      if (!ids) return answer_malformed(400);
      if (ids->size() > e.options_.bundle_max) return answer_malformed(413);
      ids_ = std::move(*ids);
    } else {
      ids_ = {std::string(request["X-Request-Id"])};
      if (ids_[0].empty() || request.count("X-Request-Id") != 1) return answer_malformed(400);
    }
    call_.ids = ids_;
    call_.number = ++e.last_call_number_;
    call_open_ = true, relay_gave_up_ = false;
    report_stage(Stage::came);
    const Fate fate = over_connection_limit_ ? Fate(fate::Refuse{})
                      : e.options_.decide    ? e.options_.decide(call_)
                                             : e.behaviour_.decide(e.now(), ids_.size());
    if (const auto& callback = e.options_.arrived)
      for (const auto& id : ids_)
        callback(id, std::holds_alternative<fate::Refuse>(fate) || std::holds_alternative<fate::Wait>(fate));
    std::visit([this](const auto& f) { apply(f); }, fate);
  }
  void answer_malformed(unsigned status) {
    endpoint_->counts_.malformed++;
    answer(status, "");
  }
  void apply(const fate::Serve& f) {
    watch_for_disconnect();
    run_after(f.latency, [this] {
      auto& e = *endpoint_;
      report_effect();
      if (peer_closed()) {
        e.counts_.given_up += ids_.size();
        return close();
      }
      e.counts_.served += ids_.size();
      std::string body;
      if (bundle_) {
        for (const auto& id : ids_)
          body += (body.empty() ? "[" : ",") + ("{\"id\":" + json_quoted(id)) + ",\"state\":\"done\"}";
        body += "]";
      }
      answer(200, "", body, true);
    });
  }
  void apply(const fate::Refuse&) {
    endpoint_->counts_.refused += ids_.size();
    report_stage(Stage::turned_away);
    if (over_connection_limit_) keep_alive_ = false;
    answer(503, "");
  }
  void apply(const fate::Wait& f) {
    endpoint_->counts_.told_to_wait += ids_.size();
    report_stage(Stage::turned_away);
    report_stage(Stage::told_wait, endpoint_->now() + (f.remaining + 999) / 1000 * 1000);
    answer(429, "X-Come-Back-Ms: " + std::to_string((f.remaining + 999) / 1000) + "\r\n");
  }
  void apply(const fate::Fail& f) {
    watch_for_disconnect();
    run_after(f.latency, [this, has_effect = f.took_effect] {
      if (has_effect) report_effect();
      endpoint_->counts_.failed += ids_.size();
      answer(500, "");
    });
  }
  void apply(const fate::Reset& f) {
    watch_for_disconnect();
    run_after(f.latency, [this, has_effect = f.took_effect] {
      if (has_effect) report_effect();
      endpoint_->counts_.reset += ids_.size();
      reset();
    });
  }
  void apply(const fate::Silent& f) {
    endpoint_->counts_.silent += ids_.size();
    if (f.took_effect) run_after(f.latency, [this] { report_effect(); });
    // Keeps the connection open until the relay closes it.
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      self->report_stage(Stage::over);
      self->relay_gave_up_ = true;
      error_code ignored;
      self->socket_.close(ignored);
    });
  }
  void report_effect() {
    endpoint_->ran(ids_);
    if (call_open_ && endpoint_->options_.on_stage) endpoint_->options_.on_stage(call_, Stage::ran, 0);
  }
  // Returns whether the relay has closed the connection or shut down its sending side.
  bool peer_closed() {
    char byte;
    const auto n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  void answer(unsigned status, const std::string& fields, const std::string& body = "",
              bool delivers = false) {
    response_ = "HTTP/1.1 " + std::to_string(status) + " " +
                std::string(http::obsolete_reason(http::int_to_status(status))) + "\r\n" + fields +
                (keep_alive_ ? "" : "Connection: close\r\n") +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    // Writes what fits into the socket buffer synchronously, so that go_down() can't run between the write of
    // an answer and the report of its delivery.
    error_code error;
    socket_.non_blocking(true, error);
    const std::size_t written = socket_.write_some(net::buffer(response_), error);
    if (error && error != net::error::would_block && error != net::error::try_again) return close();
    if (delivers && written >= delivering_bytes()) report_delivered();
    if (written == response_.size()) return finish_answer();
    net::async_write(socket_, net::buffer(response_) + written,
                     [self = shared_from_this(), delivers](error_code failure, std::size_t) {
                       if (failure) return self->close();
                       if (delivers && self->call_open_) self->report_delivered();
                       self->finish_answer();
                     });
  }
  // Number of bytes after which the answer delivers its messages: the status line for a single message, the
  // whole answer for a bundle.
  std::size_t delivering_bytes() const {
    return bundle_ ? response_.size() : response_.find("\r\n") + std::string_view("\r\n").size();
  }
  void report_delivered() {
    if (const auto& callback = endpoint_->options_.answered)
      for (const auto& id : ids_) callback(id);
    if (!relay_gave_up_) report_stage(Stage::answered);
    call_open_ = false;
  }
  void finish_answer() {
    finish_call();
    if (!keep_alive_) return close();
    read();
  }

  tcp::socket socket_;
  net::steady_timer timer_;
  std::shared_ptr<Impl> endpoint_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::vector<std::string> ids_;
  std::string response_;
  Call call_;
  bool bundle_ = false, keep_alive_ = true, over_connection_limit_ = false;
  bool call_open_ = false;      // a call has been read, and its end has not been reported
  bool relay_gave_up_ = false;  // the relay has closed the connection
};

void Endpoint::Impl::accept() {
  acceptor_.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
    if (self->shut_down_ || !self->acceptor_.is_open()) return;
    if (!error) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      self->counts_.connections++;
      const auto session = std::make_shared<Session>(std::move(socket), self);
      self->remove_closed_sessions();
      self->sessions_.push_back(session);
      session->start();
    }
    self->accept();
  });
}

void Endpoint::Impl::end_sessions(bool reset) {
  for (const auto& s : std::exchange(sessions_, {}))
    if (const auto session = s.lock()) reset ? session->reset() : session->close();
}

void Endpoint::Impl::shut_down() {
  shut_down_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  options_.decide = nullptr;
  options_.on_stage = nullptr;
  options_.connected = nullptr;
  end_sessions(false);
  options_.arrived = nullptr;
  options_.ran = options_.answered = nullptr;
}

Endpoint::Endpoint(net::io_context& io, EndpointOptions options)
    : impl_(std::make_shared<Impl>(io, std::move(options))) {
  impl_->accept();
}
Endpoint::~Endpoint() { impl_->shut_down(); }
void Endpoint::go_down() {
  error_code ignored;
  impl_->acceptor_.close(ignored);
  impl_->end_sessions(true);
}
void Endpoint::come_back() {
  auto& a = impl_->acceptor_;
  if (a.is_open()) return;
  a.open(impl_->address_.protocol());
  a.set_option(tcp::acceptor::reuse_address(true));
  a.bind(impl_->address_);
  a.listen();
  impl_->accept();
}
const std::string& Endpoint::name() const { return impl_->options_.name; }
std::string Endpoint::address() const {
  return impl_->address_.address().to_string() + ":" + std::to_string(impl_->address_.port());
}
const Endpoint::Counts& Endpoint::counts() const { return impl_->counts_; }
bool Endpoint::silent() const { return impl_->behaviour_.silent(impl_->now()); }
bool Endpoint::waits() const { return impl_->behaviour_.waits(impl_->now()); }

}  // namespace heronvane::standins
