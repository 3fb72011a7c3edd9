#include "platform.hpp"

#include <rapidjson/document.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <list>
#include <optional>
#include <sstream>

namespace heronvane::lab {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr auto kLook =
    std::chrono::milliseconds(20);  // how often changes are looked for that are due to be told
constexpr Microseconds kEmptyLine = 2'000'000;
constexpr std::size_t kMostNotices = 4 << 20;

}  // namespace

class Platform::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(net::io_context& io, const tcp::endpoint& listen, Catalog catalog, PlatformHooks hooks)
      : catalog_(std::move(catalog)), hooks_(std::move(hooks)), acceptor_(io, listen), timer_(io) {}
  void accept();
  void look();

  Catalog catalog_;
  PlatformHooks hooks_;
  tcp::acceptor acceptor_;
  net::steady_timer timer_;
  std::list<std::weak_ptr<Session>> sessions_;
  bool ended_ = false;
};

class Platform::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Impl> platform)
      : socket_(std::move(socket)), timer_(socket_.get_executor()), platform_(std::move(platform)) {
    error_code ignored;
    const auto from = socket_.remote_endpoint(ignored);
    relay_ = platform_->hooks_.relay(from.address());
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kMostNotices);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (bad) return self->close();
      self->request();
    });
  }
  void close() {
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }
  bool watches() const { return watches_; }
  // What has come due for a watch.
  void look() {
    if (!watches_ || writing_) return;
    const Microseconds now = platform_->hooks_.now();
    const auto told = platform_->catalog_.told(now);
    if (told > since_) return tell(platform_->catalog_.changes(now, since_, addresses()), now, since_);
    if (now - last_line_ >= kEmptyLine) chunk("\n"), last_line_ = now;
  }

 private:
  Catalog::AddressOf addresses() const {
    return [this](Index endpoint) { return platform_->hooks_.address(relay_, endpoint); };
  }
  void request() {
    const auto& r = parser_->get();
    keep_ = r.keep_alive();
    const std::string target(r.target());
    if (relay_ == kNobody) return answer(403, "");
    if (r.method() == http::verb::post && target == "/v2/finals") return notices(r.body());
    if (r.method() != http::verb::get || target.rfind("/catalog/members", 0) != 0) return answer(404, "");
    const Microseconds now = platform_->hooks_.now();
    const auto ready = platform_->catalog_.admit(now);
    platform_->hooks_.list_call(relay_, !ready);
    if (!ready) return answer(503, "");
    const bool follow = target.find("follow=1") != std::string::npos;
    std::int64_t since = 0;
    if (const auto at = target.find("since="); at != std::string::npos)
      std::from_chars(target.data() + at + 6, target.data() + target.size(), since);
    timer_.expires_after(std::chrono::microseconds(*ready - now));
    timer_.async_wait([self = shared_from_this(), follow, since](error_code bad) {
      if (bad) return;
      if (self->platform_->catalog_.is_down()) return self->answer(503, "");
      follow ? self->begin_watch(since) : self->list();
    });
  }
  void list() {
    const Microseconds now = platform_->hooks_.now();
    const auto text = platform_->catalog_.whole(now, addresses());
    told(now, 0);
    answer(200, text);
  }
  void begin_watch(std::int64_t since) {
    watches_ = true;
    const Microseconds now = platform_->hooks_.now();
    const bool whole = since <= 0 || since > platform_->catalog_.told(now);
    out_ = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (whole)
      tell(platform_->catalog_.whole(now, addresses()), now, 0);
    else
      tell(platform_->catalog_.changes(now, since, addresses()), now, since);
    // Its relay ends it by ending the connection.
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) {
      self->watches_ = false;
      self->close();
    });
  }
  void tell(const std::string& line, Microseconds now, std::int64_t since) {
    told(now, since);
    since_ = platform_->catalog_.told(now);
    last_line_ = now;
    chunk(line + "\n");
  }
  void told(Microseconds now, std::int64_t since) {
    for (const auto& c : platform_->catalog_.changed(now, since))
      if (c.status != Catalog::Status::ready) platform_->hooks_.listed(relay_, c);
  }
  void chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    out_ += size + bytes + "\r\n";
    if (!writing_) write();
  }
  void write() {
    writing_ = true;
    under_way_ = std::exchange(out_, {});
    net::async_write(socket_, net::buffer(under_way_),
                     [self = shared_from_this()](error_code bad, std::size_t) {
                       self->writing_ = false;
                       if (bad) return self->close();
                       if (!self->out_.empty()) return self->write();
                       if (self->watches_) return;
                       self->keep_ ? self->read() : self->close();
                     });
  }
  void answer(unsigned status, const std::string& body) {
    out_ += "HTTP/1.1 " + std::to_string(status) + " " +
            std::string(http::obsolete_reason(http::int_to_status(status))) +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
    write();
  }
  void notices(const std::string& body) {
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
      if (line.empty()) continue;
      rapidjson::Document v;
      v.Parse(line.data(), line.size());
      const bool fits = !v.HasParseError() && v.IsObject() && v.HasMember("id") && v["id"].IsString() &&
                        v.HasMember("status") && v["status"].IsString();
      if (!fits) return answer(400, "");
      platform_->hooks_.notice(relay_, v["id"].GetString(), v["status"] == "deferred");
    }
    answer(204, "");
  }

  tcp::socket socket_;
  net::steady_timer timer_;
  std::shared_ptr<Impl> platform_;
  Index relay_ = kNobody;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string out_, under_way_;
  bool keep_ = true, watches_ = false, writing_ = false;
  std::int64_t since_ = 0;
  Microseconds last_line_ = 0;
};

void Platform::Impl::accept() {
  acceptor_.async_accept([self = shared_from_this()](error_code bad, tcp::socket socket) {
    if (self->ended_ || bad == net::error::operation_aborted) return;
    if (!bad) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto session = std::make_shared<Session>(std::move(socket), self);
      self->sessions_.remove_if([](const auto& s) { return s.expired(); });
      self->sessions_.push_back(session);
      session->read();
    }
    self->accept();
  });
}

void Platform::Impl::look() {
  for (const auto& s : sessions_)
    if (const auto session = s.lock()) session->look();
  timer_.expires_after(kLook);
  timer_.async_wait([self = shared_from_this()](error_code bad) {
    if (!bad && !self->ended_) self->look();
  });
}

Platform::Platform(net::io_context& io, const tcp::endpoint& listen, Catalog catalog, PlatformHooks hooks)
    : impl_(std::make_shared<Impl>(io, listen, std::move(catalog), std::move(hooks))) {
  impl_->accept();
  impl_->look();
}

Platform::~Platform() {
  impl_->ended_ = true;
  error_code ignored;
  impl_->acceptor_.close(ignored);
  impl_->timer_.cancel();
  for (const auto& s : impl_->sessions_)
    if (const auto session = s.lock()) session->close();
}

Catalog& Platform::catalog() { return impl_->catalog_; }

void Platform::down(bool is) {
  impl_->catalog_.down(is);
  if (!is) return;
  for (const auto& s : impl_->sessions_)
    if (const auto session = s.lock(); session && session->watches()) session->close();
}

}  // namespace heronvane::lab
