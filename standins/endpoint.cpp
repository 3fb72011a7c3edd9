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

constexpr std::size_t kMostBody = 4 << 20;  // of a bundle

// Ids of a bundle; nothing where it is none.
std::optional<std::vector<std::string>> ids_of(const std::string& body) {
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

std::string quoted(const std::string& text) {
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
  std::size_t open_sessions() {
    auto& all = sessions_;
    all.erase(std::remove_if(all.begin(), all.end(), [](const auto& s) { return s.expired(); }), all.end());
    return all.size();
  }
  void shut();
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
  std::uint64_t last_call_ = 0;
  bool shut_ = false;
};

// One connection; the operation that is under way keeps it.
class Endpoint::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Impl> endpoint)
      : socket_(std::move(socket)), timer_(socket_.get_executor()), endpoint_(std::move(endpoint)) {}

  void begin() {
    error_code ignored;
    call_.from = socket_.remote_endpoint(ignored);
    const auto& e = *endpoint_;
    crowded_ = e.options_.max_connections > 0 && e.sessions_.size() > e.options_.max_connections;
    if (e.options_.connected) e.options_.connected(call_.from, crowded_);
    read();
  }
  void reset() {
    error_code ignored;
    socket_.set_option(tcp::socket::linger(true, 0), ignored);
    close();
  }

  void read() {
    if (endpoint_->options_.on_stage && buffer_.size() == 0) {
      // When the first byte of a call comes.
      timer_.expires_after(std::chrono::microseconds(endpoint_->options_.idle));
      timer_.async_wait([self = shared_from_this()](error_code bad) {
        if (!bad) self->close();
      });
      return socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code bad) {
        if (bad) return self->close();
        self->read_call();
      });
    }
    read_call();
  }
  void read_call() {
    call_.first_byte = endpoint_->now();
    parser_.emplace();
    parser_->body_limit(kMostBody);
    timer_.expires_after(std::chrono::microseconds(endpoint_->options_.idle));
    timer_.async_wait([self = shared_from_this()](error_code bad) {
      if (!bad) self->close();
    });
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code bad, std::size_t) {
      self->timer_.cancel();
      if (bad) return self->close();
      self->call();
    });
  }
  void close() {
    over();
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  // ---- For those who follow calls. ----
  void tell(Stage stage, Microseconds until = 0) {
    if (out_there_ && endpoint_->options_.on_stage) endpoint_->options_.on_stage(call_, stage, until);
  }
  // The call that is out has ended, one way or the other.
  void over() {
    tell(Stage::over);
    out_there_ = false;
  }
  // Its relay gives a call up by ending its connection; what has begun goes on to its effect.
  void watch_for_end() {
    if (!endpoint_->options_.on_stage) return;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), number = call_.number](error_code bad) {
                         if (!bad && self->out_there_ && self->call_.number == number && self->gone()) {
                           self->given_up_ = true;
                           self->tell(Stage::over);
                         }
                       });
  }
  template <class Then>
  void after(Microseconds span, Then then) {
    timer_.expires_after(std::chrono::microseconds(span));
    // It goes on to its end though its caller gives up: what has begun takes effect.
    timer_.async_wait([self = shared_from_this(), then = std::move(then)](error_code bad) {
      if (!bad) then();
    });
  }
  void call() {
    auto& e = *endpoint_;
    e.counts_.calls++;
    const auto& request = parser_->get();
    keep_ = request.keep_alive();
    bundle_ = request.target() == "/events/bundle";
    ids_.clear();
    if (request.method() != http::verb::post || (!bundle_ && request.target() != "/events"))
      return malformed(404);
    if (bundle_) {
      auto ids = ids_of(request.body());
      if (!ids) return malformed(400);
      if (ids->size() > e.options_.bundle_max) return malformed(413);
      ids_ = std::move(*ids);
    } else {
      ids_ = {std::string(request["X-Request-Id"])};
      if (ids_[0].empty() || request.count("X-Request-Id") != 1) return malformed(400);
    }
    call_.ids = ids_;
    call_.number = ++e.last_call_;
    out_there_ = true, given_up_ = false;
    tell(Stage::came);
    const Fate fate = crowded_            ? Fate(fate::Refuse{})
                      : e.options_.decide ? e.options_.decide(call_)
                                          : e.behaviour_.decide(e.now(), ids_.size());
    if (const auto& told = e.options_.arrived)
      for (const auto& id : ids_)
        told(id, std::holds_alternative<fate::Refuse>(fate) || std::holds_alternative<fate::Wait>(fate));
    std::visit([this](const auto& f) { meet(f); }, fate);
  }
  void malformed(unsigned status) {
    endpoint_->counts_.malformed++;
    answer(status, "");
  }
  void meet(const fate::Serve& f) {
    watch_for_end();
    after(f.latency, [this] {
      auto& e = *endpoint_;
      took_effect();
      if (gone()) {
        e.counts_.given_up += ids_.size();
        return close();
      }
      e.counts_.served += ids_.size();
      std::string body;
      if (bundle_) {
        for (const auto& id : ids_)
          body += (body.empty() ? "[" : ",") + ("{\"id\":" + quoted(id)) + ",\"state\":\"done\"}";
        body += "]";
      }
      answer(200, "", body, true);
    });
  }
  void meet(const fate::Refuse&) {
    endpoint_->counts_.refused += ids_.size();
    tell(Stage::turned_away);
    if (crowded_) keep_ = false;
    answer(503, "");
  }
  void meet(const fate::Wait& f) {
    endpoint_->counts_.told_to_wait += ids_.size();
    tell(Stage::turned_away);
    tell(Stage::told_wait, endpoint_->now() + (f.remaining + 999) / 1000 * 1000);
    answer(429, "X-Come-Back-Ms: " + std::to_string((f.remaining + 999) / 1000) + "\r\n");
  }
  void meet(const fate::Fail& f) {
    watch_for_end();
    after(f.latency, [this, ran = f.took_effect] {
      if (ran) took_effect();
      endpoint_->counts_.failed += ids_.size();
      answer(500, "");
    });
  }
  void meet(const fate::Reset& f) {
    watch_for_end();
    after(f.latency, [this, ran = f.took_effect] {
      if (ran) took_effect();
      endpoint_->counts_.reset += ids_.size();
      reset();
    });
  }
  void meet(const fate::Silent& f) {
    endpoint_->counts_.silent += ids_.size();
    if (f.took_effect) after(f.latency, [this] { took_effect(); });
    // Until the relay gives it up.
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      self->tell(Stage::over);
      self->given_up_ = true;
      error_code ignored;
      self->socket_.close(ignored);
    });
  }
  void took_effect() {
    endpoint_->ran(ids_);
    if (out_there_ && endpoint_->options_.on_stage) endpoint_->options_.on_stage(call_, Stage::ran, 0);
  }
  // The relay closed its connection, or ended its sending.
  bool gone() {
    char byte;
    const auto n = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  void answer(unsigned status, const std::string& fields, const std::string& body = "",
              bool delivers = false) {
    out_ = "HTTP/1.1 " + std::to_string(status) + " " +
           std::string(http::obsolete_reason(http::int_to_status(status))) + "\r\n" + fields +
           (keep_ ? "" : "Connection: close\r\n") + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
    // What fits goes at once, so that no outage begins between its write and the note of it.
    error_code bad;
    socket_.non_blocking(true, bad);
    const std::size_t written = socket_.write_some(net::buffer(out_), bad);
    if (bad && bad != net::error::would_block && bad != net::error::try_again) return close();
    if (delivers && written >= delivering_bytes()) note_delivered();
    if (written == out_.size()) return finish_answer();
    net::async_write(socket_, net::buffer(out_) + written,
                     [self = shared_from_this(), delivers](error_code failure, std::size_t) {
                       if (failure) return self->close();
                       if (delivers && self->out_there_) self->note_delivered();
                       self->finish_answer();
                     });
  }
  // Bytes of an answer from which on its messages are delivered: the first line, of a bundle the whole.
  std::size_t delivering_bytes() const {
    return bundle_ ? out_.size() : out_.find("\r\n") + std::string_view("\r\n").size();
  }
  void note_delivered() {
    if (const auto& told = endpoint_->options_.answered)
      for (const auto& id : ids_) told(id);
    if (!given_up_) tell(Stage::answered);
    out_there_ = false;
  }
  void finish_answer() {
    over();
    if (!keep_) return close();
    read();
  }

  tcp::socket socket_;
  net::steady_timer timer_;
  std::shared_ptr<Impl> endpoint_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::vector<std::string> ids_;
  std::string out_;
  Call call_;
  bool bundle_ = false, keep_ = true, crowded_ = false;
  bool out_there_ = false;  // a call has come, and its end has not been told
  bool given_up_ = false;   // its relay has ended the connection
};

void Endpoint::Impl::accept() {
  acceptor_.async_accept([self = shared_from_this()](error_code bad, tcp::socket socket) {
    if (self->shut_ || !self->acceptor_.is_open()) return;
    if (!bad) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      self->counts_.connections++;
      const auto session = std::make_shared<Session>(std::move(socket), self);
      self->open_sessions();
      self->sessions_.push_back(session);
      session->begin();
    }
    self->accept();
  });
}

void Endpoint::Impl::end_sessions(bool reset) {
  for (const auto& s : std::exchange(sessions_, {}))
    if (const auto session = s.lock()) reset ? session->reset() : session->close();
}

void Endpoint::Impl::shut() {
  shut_ = true;
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
Endpoint::~Endpoint() { impl_->shut(); }
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
