#include "api_server.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>

#include "json.hpp"

namespace heronvane::fleet {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace ssl = net::ssl;
using boost::system::error_code;
using local = net::local::stream_protocol;
using LocalStream = beast::basic_stream<local>;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

namespace {

struct Connection {
  virtual ~Connection() = default;
  virtual void drop() = 0;
};

const char* reason(unsigned status) {
  const auto text = http::obsolete_reason(static_cast<http::status>(status));
  return text.empty() ? "Answer" : text.data();
}

}  // namespace

struct ApiServer::Impl : std::enable_shared_from_this<ApiServer::Impl> {
  Impl(net::io_context& the_io, Api& the_api, ApiLimits the_limits)
      : io(the_io), api(the_api), limits(the_limits), pause(the_io) {}

  void accept_local();
  void accept_tls();
  template <class Again>
  void wait_for_room(Again again);

  net::io_context& io;
  Api& api;
  ApiLimits limits;
  net::steady_timer pause;  // after an accept that failed for want of descriptors
  std::optional<local::acceptor> local_acceptor;
  std::optional<net::ip::tcp::acceptor> tls_acceptor;
  std::optional<ssl::context> tls;
  bool closed = false;
  std::size_t tls_open = 0;
  std::map<Connection*, std::weak_ptr<Connection>> open;
};

namespace {

// One connection, from its first byte to its last; it owns itself by the operations that are under way.
template <class Stream>
class Session : public Connection, public std::enable_shared_from_this<Session<Stream>> {
 public:
  Session(std::weak_ptr<void> server, net::io_context& io, Api& api, ApiLimits limits, Stream stream,
          std::function<void(Connection*)> gone)
      : server_(std::move(server)),
        io_(io),
        api_(api),
        limits_(limits),
        stream_(std::move(stream)),
        gone_(std::move(gone)) {}
  ~Session() override {
    if (!server_.expired()) gone_(this);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void drop() override {
    let_go();
    error_code ignored;
    beast::get_lowest_layer(stream_).socket().close(ignored);
  }

  void start(std::string peer) {
    peer_ = std::move(peer);
    read();
  }
  void start_tls() {
    if constexpr (std::is_same_v<Stream, TlsStream>) {
      bound();
      stream_.async_handshake(ssl::stream_base::server, [self = this->shared_from_this()](error_code bad) {
        if (bad) return;
        char name[128] = "";
        X509* const shown = SSL_get_peer_certificate(self->stream_.native_handle());
        if (shown == nullptr) return;  // the context asks for one; not looked at twice for nothing
        X509_NAME_get_text_by_NID(X509_get_subject_name(shown), NID_commonName, name, sizeof name);
        X509_free(shown);
        // Its authority may have signed any bytes; they are shown as JSON.
        self->start("certificate " + printable(name));
      });
    }
  }
  // Tells that there is no room, as far as that goes without waiting.
  void turn_away() {
    respond(api_error(503, "busy", "too many connections", "ask again in a moment"), false);
  }

 private:
  using Parser = http::request_parser<http::string_body>;
  void bound() { beast::get_lowest_layer(stream_).expires_after(limits_.time); }

  void read() {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.head_bytes));
    parser_->body_limit(limits_.body_bytes);
    bound();
    http::async_read(stream_, buffer_, *parser_,
                     [self = this->shared_from_this()](error_code bad, std::size_t) { self->got(bad); });
  }
  void got(error_code bad) {
    if (server_.expired()) return;
    if (bad == http::error::body_limit || bad == http::error::header_limit ||
        bad == http::error::buffer_overflow)
      return respond(
          api_error(413, "too_large",
                    bad == http::error::body_limit ? "the body is too large" : "the head is too large",
                    "bodies up to 1 MiB, heads up to 16 KiB"),
          false);
    if (bad == http::error::end_of_stream || bad == http::error::partial_message) return drop();
    if (bad.category() == http::make_error_code(http::error::bad_target).category())
      return respond(api_error(400, "bad_request", "no HTTP request: " + bad.message()), false);
    if (bad) return drop();
    auto& request = parser_->get();
    ApiRequest r{std::string(request.method_string()), std::string(request.target()),
                 std::move(request.body()), peer_};
    const bool keep = request.keep_alive() && request.version() == 11;
    // The answer may take longer than a read may: a command waits for the disk, a message for relays.
    beast::get_lowest_layer(stream_).expires_never();
    api_.handle(r, [hold = this->shared_from_this(), keep](ApiResponse a) {
      if (!hold->server_.expired()) hold->respond(std::move(a), keep);
    });
  }

  void respond(ApiResponse a, bool keep) {
    out_ = "HTTP/1.1 " + std::to_string(a.status) + " " + reason(a.status) +
           "\r\nX-Heronvane-Api: " + std::string(kApiVersion) + "\r\nContent-Type: " + a.type + "\r\n" +
           (keep && !a.stream ? "" : "Connection: close\r\n");
    if (a.stream) {
      follow_ = std::move(a.stream);
      out_ += "Transfer-Encoding: chunked\r\n\r\n";
    } else {
      out_ += "Content-Length: " + std::to_string(a.body.size()) + "\r\n\r\n" + a.body;
    }
    bound();
    net::async_write(stream_, net::buffer(out_),
                     [self = this->shared_from_this(), keep](error_code bad, std::size_t) {
                       if (bad || self->server_.expired()) return;
                       if (self->follow_) {
                         self->watch_end();
                         return self->piece(keep);
                       }
                       if (keep) return self->read();
                       self->finish();
                     });
  }

  // A piece at a time: the next is asked for once this one is taken.
  void piece(bool keep) {
    if (server_.expired() || stream_over_) return;
    const auto next = follow_->next();
    if (next.bytes.empty() && !next.last) {
      beast::get_lowest_layer(stream_).expires_never();
      follow_->when_more([weak = this->weak_from_this(), keep] {
        if (const auto self = weak.lock()) self->piece(keep);
      });
      waiting_ = this->shared_from_this();
      return;
    }
    waiting_.reset();
    out_.clear();
    if (!next.bytes.empty()) {
      char size[20];
      std::snprintf(size, sizeof size, "%zx\r\n", next.bytes.size());
      out_ = size + next.bytes + "\r\n";
    }
    if (next.last) out_ += "0\r\n\r\n";
    bound();
    net::async_write(stream_, net::buffer(out_),
                     [self = this->shared_from_this(), last = next.last, keep](error_code bad, std::size_t) {
                       if (bad || self->server_.expired()) return self->let_go();
                       if (!last) return self->piece(keep);
                       self->let_go();
                       self->finish();
                     });
  }
  void let_go() {
    stream_over_ = true;
    follow_.reset();
    waiting_.reset();
  }
  // While a stream goes out nothing more is read, but the other side's end must be seen. After a followed
  // answer the connection is closed: what was read meanwhile is thrown away.
  void watch_end() {
    auto& socket = beast::get_lowest_layer(stream_).socket();
    socket.async_wait(net::socket_base::wait_read, [weak = this->weak_from_this()](error_code bad) {
      const auto self = weak.lock();
      if (!self || self->stream_over_) return;
      auto& s = beast::get_lowest_layer(self->stream_).socket();
      char bytes[512];
      const auto got = bad ? 0 : ::recv(s.native_handle(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (got > 0) return self->watch_end();
      if (got < 0 && (errno == EAGAIN || errno == EINTR)) return self->watch_end();
      self->let_go();
      self->drop();
    });
  }
  void finish() {
    bound();
    if constexpr (std::is_same_v<Stream, TlsStream>)
      return stream_.async_shutdown([self = this->shared_from_this()](error_code) { self->drop(); });
    error_code ignored;
    auto& socket = beast::get_lowest_layer(stream_).socket();
    socket.shutdown(net::socket_base::shutdown_send, ignored);
    linger();
  }
  // What the other side still sends is read away for a moment: a close on unread bytes would take the answer
  // with it.
  void linger() {
    bound();
    beast::get_lowest_layer(stream_).async_read_some(
        net::buffer(rest_), [self = this->shared_from_this()](error_code bad, std::size_t n) {
          self->lingered_ += n;
          if (bad || self->lingered_ > (4U << 20) || self->server_.expired()) return self->drop();
          self->linger();
        });
  }

  std::weak_ptr<void> server_;
  net::io_context& io_;
  Api& api_;
  ApiLimits limits_;
  Stream stream_;
  std::function<void(Connection*)> gone_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string peer_, out_;
  std::shared_ptr<ApiStream> follow_;
  std::shared_ptr<Session> waiting_;  // itself, while nothing but the stream's wake is under way
  bool stream_over_ = false;
  std::array<char, 4096> rest_{};
  std::size_t lingered_ = 0;
};

}  // namespace

template <class Again>
void ApiServer::Impl::wait_for_room(Again again) {
  pause.expires_after(std::chrono::milliseconds(100));
  pause.async_wait([self = shared_from_this(), again](error_code bad) {
    if (!bad && !self->closed) again();
  });
}

void ApiServer::Impl::accept_local() {
  local_acceptor->async_accept([self = shared_from_this()](error_code bad, local::socket socket) {
    if (self->closed || bad == net::error::operation_aborted) return;
    if (bad) return self->wait_for_room([self] { self->accept_local(); });
    ucred who{};
    socklen_t size = sizeof who;
    const bool known = ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &who, &size) == 0;
    if (known && (who.uid == ::geteuid() || who.uid == 0)) {
      const bool room = self->open.size() < self->limits.connections;
      const auto session = std::make_shared<Session<LocalStream>>(
          self, self->io, self->api, self->limits, LocalStream(std::move(socket)),
          [impl = self.get()](Connection* c) { impl->open.erase(c); });
      // Of those turned away as many again may take their answer.
      if (self->open.size() < 2 * self->limits.connections) {
        self->open.emplace(session.get(), session);
        if (room)
          session->start("uid " + std::to_string(who.uid) + " pid " + std::to_string(who.pid));
        else
          session->turn_away();
      }
    }
    self->accept_local();
  });
}

void ApiServer::Impl::accept_tls() {
  tls_acceptor->async_accept([self = shared_from_this()](error_code bad, net::ip::tcp::socket socket) {
    if (self->closed || bad == net::error::operation_aborted) return;
    if (bad) return self->wait_for_room([self] { self->accept_tls(); });
    // Before it has shown a certificate anyone may hold a connection: half of them stay for this machine.
    if (self->open.size() < self->limits.connections && self->tls_open < self->limits.connections / 2) {
      const auto session = std::make_shared<Session<TlsStream>>(
          self, self->io, self->api, self->limits,
          TlsStream(beast::tcp_stream(std::move(socket)), *self->tls),
          [impl = self.get()](Connection* c) { impl->open.erase(c), impl->tls_open--; });
      self->open.emplace(session.get(), session);
      self->tls_open++;
      session->start_tls();
    }
    self->accept_tls();
  });
}

ApiServer::ApiServer(net::io_context& io, Api& api, ApiLimits limits)
    : impl_(std::make_shared<Impl>(io, api, limits)) {}

ApiServer::~ApiServer() {
  impl_->closed = true;
  error_code ignored;
  if (impl_->local_acceptor) impl_->local_acceptor->close(ignored);
  if (impl_->tls_acceptor) impl_->tls_acceptor->close(ignored);
  impl_->pause.cancel();
  const auto open = impl_->open;
  for (const auto& [at, weak] : open)
    if (const auto c = weak.lock()) c->drop();
}

std::size_t ApiServer::connections() const { return impl_->open.size(); }

void ApiServer::listen_local(const std::string& path) {
  if (path.size() >= sizeof(sockaddr_un::sun_path))
    throw std::runtime_error(path + ": too long for a Unix socket: name a shorter data folder");
  ::unlink(path.c_str());
  auto& acceptor = impl_->local_acceptor.emplace(impl_->io);
  acceptor.open(local());
  // Its mode from the first moment on.
  const mode_t before = ::umask(0177);
  error_code bad;
  acceptor.bind(local::endpoint(path), bad);
  ::umask(before);
  if (bad) throw std::runtime_error(path + ": " + bad.message());
  acceptor.listen();
  acceptor.set_option(net::socket_base::enable_connection_aborted(true), bad);
  impl_->accept_local();
}

net::ip::tcp::endpoint ApiServer::listen_tls(const net::ip::tcp::endpoint& address, const TlsFiles& files) {
  auto& tls = impl_->tls.emplace(ssl::context::tls_server);
  const auto must = [](const error_code& bad, const std::string& file) {
    if (bad) throw std::runtime_error(file + ": " + bad.message());
  };
  error_code bad;
  tls.set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                  ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1 | ssl::context::no_compression);
  SSL_CTX_set_min_proto_version(tls.native_handle(), TLS1_2_VERSION);
  must(tls.use_certificate_chain_file(files.certificate, bad), files.certificate);
  must(tls.use_private_key_file(files.key, ssl::context::pem, bad), files.key);
  must(tls.load_verify_file(files.client_ca, bad), files.client_ca);
  tls.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
  // Each connection shows its certificate anew: a client that took up an earlier session would be turned
  // away.
  SSL_CTX_set_session_cache_mode(tls.native_handle(), SSL_SESS_CACHE_OFF);
  SSL_CTX_set_options(tls.native_handle(), SSL_OP_NO_TICKET);
  SSL_CTX_set_num_tickets(tls.native_handle(), 0);
  auto& acceptor = impl_->tls_acceptor.emplace(impl_->io);
  acceptor.open(address.protocol());
  acceptor.set_option(net::socket_base::reuse_address(true));
  acceptor.bind(address, bad);
  must(bad, address.address().to_string() + ":" + std::to_string(address.port()));
  acceptor.listen();
  acceptor.set_option(net::socket_base::enable_connection_aborted(true), bad);
  impl_->accept_tls();
  return acceptor.local_endpoint();
}

}  // namespace heronvane::fleet
