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
        acceptor_(io, {net::ip::address_v4::loopback(), 0}) {}
  void accept();
  void shut();
  Time now() const { return options_.now ? options_.now() : steady_time(); }
  void ran(const std::vector<std::string>& ids) {
    for (const auto& id : ids)
      if (options_.ran) options_.ran(id);
  }

  EndpointOptions options_;
  Behaviour behaviour_;
  Counts counts_;
  tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Session>> sessions_;
  bool shut_ = false;
};

// One connection; the operation that is under way keeps it.
class Endpoint::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Impl> endpoint)
      : socket_(std::move(socket)), timer_(socket_.get_executor()), endpoint_(std::move(endpoint)) {}

  void read() {
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
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  template <class Then>
  void after(Time span, Then then) {
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
    const Fate fate = e.behaviour_.call(e.now(), ids_.size());
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
    after(f.after, [this] {
      auto& e = *endpoint_;
      e.ran(ids_);
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
    answer(503, "");
  }
  void meet(const fate::Wait& f) {
    endpoint_->counts_.told_to_wait += ids_.size();
    answer(429, "X-Come-Back-Ms: " + std::to_string((f.left + 999) / 1000) + "\r\n");
  }
  void meet(const fate::Fail& f) {
    after(f.after, [this, ran = f.ran] {
      if (ran) endpoint_->ran(ids_);
      endpoint_->counts_.failed += ids_.size();
      answer(500, "");
    });
  }
  void meet(const fate::Reset& f) {
    after(f.after, [this, ran = f.ran] {
      if (ran) endpoint_->ran(ids_);
      endpoint_->counts_.reset += ids_.size();
      error_code ignored;
      socket_.set_option(tcp::socket::linger(true, 0), ignored);
      close();
    });
  }
  void meet(const fate::Silent& f) {
    endpoint_->counts_.silent += ids_.size();
    if (f.ran) after(f.after, [this] { endpoint_->ran(ids_); });
    // Until the relay gives it up.
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      error_code ignored;
      self->socket_.close(ignored);
    });
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
    net::async_write(socket_, net::buffer(out_),
                     [self = shared_from_this(), delivers](error_code bad, std::size_t) {
                       if (bad) return self->close();
                       const auto& told = self->endpoint_->options_.answered;
                       if (delivers && told)
                         for (const auto& id : self->ids_) told(id);
                       if (!self->keep_) return self->close();
                       self->read();
                     });
  }

  tcp::socket socket_;
  net::steady_timer timer_;
  std::shared_ptr<Impl> endpoint_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::vector<std::string> ids_;
  std::string out_;
  bool bundle_ = false, keep_ = true;
};

void Endpoint::Impl::accept() {
  acceptor_.async_accept([self = shared_from_this()](error_code bad, tcp::socket socket) {
    if (self->shut_) return;
    if (!bad) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      self->counts_.connections++;
      const auto session = std::make_shared<Session>(std::move(socket), self);
      auto& all = self->sessions_;
      all.erase(std::remove_if(all.begin(), all.end(), [](const auto& s) { return s.expired(); }), all.end());
      all.push_back(session);
      session->read();
    }
    self->accept();
  });
}

void Endpoint::Impl::shut() {
  shut_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& s : sessions_)
    if (const auto session = s.lock()) session->close();
  options_.arrived = nullptr;
  options_.ran = options_.answered = nullptr;
}

Endpoint::Endpoint(net::io_context& io, EndpointOptions options)
    : impl_(std::make_shared<Impl>(io, std::move(options))) {
  impl_->accept();
}
Endpoint::~Endpoint() { impl_->shut(); }
const std::string& Endpoint::name() const { return impl_->options_.name; }
std::string Endpoint::address() const {
  return "127.0.0.1:" + std::to_string(impl_->acceptor_.local_endpoint().port());
}
const Endpoint::Counts& Endpoint::counts() const { return impl_->counts_; }
bool Endpoint::silent() const { return impl_->behaviour_.silent(impl_->now()); }
bool Endpoint::waits() const { return impl_->behaviour_.waits(impl_->now()); }

}  // namespace heronvane::standins
