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
  virtual void close() = 0;
};

const char* reason_phrase(unsigned status) {
  const auto text = http::obsolete_reason(static_cast<http::status>(status));
  return text.empty() ? "Answer" : text.data();
}

}  // namespace

struct ApiServer::Impl : std::enable_shared_from_this<ApiServer::Impl> {
  Impl(net::io_context& io_context, Api& api_handler, ApiLimits server_limits)
      : io(io_context), api(api_handler), limits(server_limits), accept_retry(io_context) {}

  void accept_local();
  void accept_tls();
  template <class Retry>
  void retry_accept_later(Retry retry);

  net::io_context& io;
  Api& api;
  ApiLimits limits;
  net::steady_timer accept_retry;  // runs after a failed accept, for example for lack of descriptors
  std::optional<local::acceptor> local_acceptor;
  std::optional<net::ip::tcp::acceptor> tls_acceptor;
  std::optional<ssl::context> tls;
  bool closed = false;
  std::size_t tls_sessions = 0;
  std::map<Connection*, std::weak_ptr<Connection>> sessions;
};

namespace {

// One connection. The handlers of its pending operations keep it alive.
template <class Stream>
class Session : public Connection, public std::enable_shared_from_this<Session<Stream>> {
 public:
  Session(std::weak_ptr<void> server, net::io_context& io, Api& api, ApiLimits limits, Stream stream,
          std::function<void(Connection*)> on_destroy)
      : server_(std::move(server)),
        io_(io),
        api_(api),
        limits_(limits),
        stream_(std::move(stream)),
        on_destroy_(std::move(on_destroy)) {}
  ~Session() override {
    if (!server_.expired()) on_destroy_(this);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void close() override {
    end_stream();
    error_code ignored;
    beast::get_lowest_layer(stream_).socket().close(ignored);
  }

  void start_reading(std::string peer) {
    peer_ = std::move(peer);
    read();
  }
  void start_tls() {
    if constexpr (std::is_same_v<Stream, TlsStream>) {
      set_timeout();
      stream_.async_handshake(ssl::stream_base::server, [self = this->shared_from_this()](error_code ec) {
        if (ec) return;
        char name[128] = "";
        X509* const certificate = SSL_get_peer_certificate(self->stream_.native_handle());
        if (certificate == nullptr) return;  // the context requires one, so this is not expected
        X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name, sizeof name);
        X509_free(certificate);
        // The certificate authority may have signed a name that is not UTF-8; it ends up in JSON.
        self->start_reading("certificate " + printable(name));
      });
    }
  }
  // Responds with 503 and closes the connection.
  void reject_busy() {
    respond(api_error(503, "busy", "too many connections", "repeat the request in a moment"), false);
  }

 private:
  using Parser = http::request_parser<http::string_body>;
  void set_timeout() { beast::get_lowest_layer(stream_).expires_after(limits_.io_timeout); }

  void read() {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.max_head_bytes));
    parser_->body_limit(limits_.max_body_bytes);
    set_timeout();
    http::async_read(
        stream_, buffer_, *parser_,
        [self = this->shared_from_this()](error_code ec, std::size_t) { self->on_request_read(ec); });
  }
  void on_request_read(error_code ec) {
    if (server_.expired()) return;
    if (ec == http::error::body_limit || ec == http::error::header_limit ||
        ec == http::error::buffer_overflow)
      return respond(
          api_error(413, "too_large",
                    ec == http::error::body_limit ? "the body is too large" : "the head is too large",
                    "bodies up to 1 MiB, heads up to 16 KiB"),
          false);
    if (ec == http::error::end_of_stream || ec == http::error::partial_message) return close();
    if (ec.category() == http::make_error_code(http::error::bad_target).category())
      return respond(api_error(400, "bad_request", "not an HTTP request: " + ec.message()), false);
    if (ec) return close();
    auto& request = parser_->get();
    ApiRequest api_request{std::string(request.method_string()), std::string(request.target()),
                           std::move(request.body()), peer_};
    const bool keep_alive = request.keep_alive() && request.version() == 11;
    // No timeout until the response: a command waits for the disk, a search for a message waits for relays.
    beast::get_lowest_layer(stream_).expires_never();
    api_.handle(api_request, [self = this->shared_from_this(), keep_alive](ApiResponse response) {
      if (!self->server_.expired()) self->respond(std::move(response), keep_alive);
    });
  }

  void respond(ApiResponse response, bool keep_alive) {
    output_ = "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) +
              "\r\nX-Heronvane-Api: " + std::string(kApiVersion) + "\r\nContent-Type: " + response.type +
              "\r\n" + (keep_alive && !response.stream ? "" : "Connection: close\r\n");
    if (response.stream) {
      response_stream_ = std::move(response.stream);
      output_ += "Transfer-Encoding: chunked\r\n\r\n";
    } else {
      output_ += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    }
    set_timeout();
    net::async_write(stream_, net::buffer(output_),
                     [self = this->shared_from_this(), keep_alive](error_code ec, std::size_t) {
                       if (ec || self->server_.expired()) return;
                       if (self->response_stream_) {
                         self->detect_close();
                         return self->write_piece(keep_alive);
                       }
                       if (keep_alive) return self->read();
                       self->end_connection();
                     });
  }

  // Writes one piece of the stream; the next is pulled once this one is written.
  void write_piece(bool keep_alive) {
    if (server_.expired() || stream_ended_) return;
    const auto next = response_stream_->next();
    if (next.bytes.empty() && !next.last) {
      beast::get_lowest_layer(stream_).expires_never();
      response_stream_->notify_when_ready([weak = this->weak_from_this(), keep_alive] {
        if (const auto self = weak.lock()) self->write_piece(keep_alive);
      });
      self_while_waiting_ = this->shared_from_this();
      return;
    }
    self_while_waiting_.reset();
    output_.clear();
    if (!next.bytes.empty()) {
      char size[20];
      std::snprintf(size, sizeof size, "%zx\r\n", next.bytes.size());
      output_ = size + next.bytes + "\r\n";
    }
    if (next.last) output_ += "0\r\n\r\n";
    set_timeout();
    net::async_write(
        stream_, net::buffer(output_),
        [self = this->shared_from_this(), last = next.last, keep_alive](error_code ec, std::size_t) {
          if (ec || self->server_.expired()) return self->end_stream();
          if (!last) return self->write_piece(keep_alive);
          self->end_stream();
          self->end_connection();
        });
  }
  void end_stream() {
    stream_ended_ = true;
    response_stream_.reset();
    self_while_waiting_.reset();
  }
  // Detects that the client closes the connection while a stream is written. The connection is closed after
  // the stream, so input read here is discarded.
  void detect_close() {
    auto& socket = beast::get_lowest_layer(stream_).socket();
    socket.async_wait(net::socket_base::wait_read, [weak = this->weak_from_this()](error_code ec) {
      const auto self = weak.lock();
      if (!self || self->stream_ended_) return;
      auto& s = beast::get_lowest_layer(self->stream_).socket();
      char bytes[512];
      const auto received = ec ? 0 : ::recv(s.native_handle(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (received > 0) return self->detect_close();
      if (received < 0 && (errno == EAGAIN || errno == EINTR)) return self->detect_close();
      self->end_stream();
      self->close();
    });
  }
  void end_connection() {
    set_timeout();
    if constexpr (std::is_same_v<Stream, TlsStream>)
      return stream_.async_shutdown([self = this->shared_from_this()](error_code) { self->close(); });
    error_code ignored;
    auto& socket = beast::get_lowest_layer(stream_).socket();
    socket.shutdown(net::socket_base::shutdown_send, ignored);
    discard_input();
  }
  // Reads and discards input before the close: closing a socket with unread bytes resets the connection, and
  // the response may be lost.
  void discard_input() {
    set_timeout();
    beast::get_lowest_layer(stream_).async_read_some(
        net::buffer(discard_buffer_), [self = this->shared_from_this()](error_code ec, std::size_t size) {
          self->discarded_bytes_ += size;
          if (ec || self->discarded_bytes_ > (4U << 20) || self->server_.expired()) return self->close();
          self->discard_input();
        });
  }

  std::weak_ptr<void> server_;
  net::io_context& io_;
  Api& api_;
  ApiLimits limits_;
  Stream stream_;
  std::function<void(Connection*)> on_destroy_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string peer_, output_;
  std::shared_ptr<ApiStream> response_stream_;
  // Keeps the session alive while only the wake-up of the stream is pending.
  std::shared_ptr<Session> self_while_waiting_;
  bool stream_ended_ = false;
  std::array<char, 4096> discard_buffer_{};
  std::size_t discarded_bytes_ = 0;
};

}  // namespace

template <class Retry>
void ApiServer::Impl::retry_accept_later(Retry retry) {
  accept_retry.expires_after(std::chrono::milliseconds(100));
  accept_retry.async_wait([self = shared_from_this(), retry](error_code ec) {
    if (!ec && !self->closed) retry();
  });
}

void ApiServer::Impl::accept_local() {
  local_acceptor->async_accept([self = shared_from_this()](error_code ec, local::socket socket) {
    if (self->closed || ec == net::error::operation_aborted) return;
    if (ec) return self->retry_accept_later([self] { self->accept_local(); });
    ucred credentials{};
    socklen_t size = sizeof credentials;
    const bool known =
        ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &credentials, &size) == 0;
    if (known && (credentials.uid == ::geteuid() || credentials.uid == 0)) {
      const bool has_capacity = self->sessions.size() < self->limits.max_connections;
      const auto session = std::make_shared<Session<LocalStream>>(
          self, self->io, self->api, self->limits, LocalStream(std::move(socket)),
          [impl = self.get()](Connection* connection) { impl->sessions.erase(connection); });
      // As many rejected connections again may wait for their 503 to be sent; beyond that, close at once.
      if (self->sessions.size() < 2 * self->limits.max_connections) {
        self->sessions.emplace(session.get(), session);
        if (has_capacity)
          session->start_reading("uid " + std::to_string(credentials.uid) + " pid " +
                                 std::to_string(credentials.pid));
        else
          session->reject_busy();
      }
    }
    self->accept_local();
  });
}

void ApiServer::Impl::accept_tls() {
  tls_acceptor->async_accept([self = shared_from_this()](error_code ec, net::ip::tcp::socket socket) {
    if (self->closed || ec == net::error::operation_aborted) return;
    if (ec) return self->retry_accept_later([self] { self->accept_tls(); });
    // Anyone can open connections before the certificate is checked, so half are reserved for local clients.
    if (self->sessions.size() < self->limits.max_connections &&
        self->tls_sessions < self->limits.max_connections / 2) {
      const auto session =
          std::make_shared<Session<TlsStream>>(self, self->io, self->api, self->limits,
                                               TlsStream(beast::tcp_stream(std::move(socket)), *self->tls),
                                               [impl = self.get()](Connection* connection) {
                                                 impl->sessions.erase(connection), impl->tls_sessions--;
                                               });
      self->sessions.emplace(session.get(), session);
      self->tls_sessions++;
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
  impl_->accept_retry.cancel();
  const auto open_sessions = impl_->sessions;
  for (const auto& [connection, weak] : open_sessions)
    if (const auto session = weak.lock()) session->close();
}

std::size_t ApiServer::connections() const { return impl_->sessions.size(); }

void ApiServer::listen_local(const std::string& path) {
  if (path.size() >= sizeof(sockaddr_un::sun_path))
    throw std::runtime_error(path + ": the path is too long for a Unix socket; use a shorter data folder");
  ::unlink(path.c_str());
  auto& acceptor = impl_->local_acceptor.emplace(impl_->io);
  acceptor.open(local());
  // The umask gives the socket its mode before any client can connect.
  const mode_t before = ::umask(0177);
  error_code ec;
  acceptor.bind(local::endpoint(path), ec);
  ::umask(before);
  if (ec) throw std::runtime_error(path + ": " + ec.message());
  acceptor.listen();
  acceptor.set_option(net::socket_base::enable_connection_aborted(true), ec);
  impl_->accept_local();
}

net::ip::tcp::endpoint ApiServer::listen_tls(const net::ip::tcp::endpoint& address, const TlsFiles& files) {
  auto& tls = impl_->tls.emplace(ssl::context::tls_server);
  const auto throw_if = [](const error_code& ec, const std::string& file) {
    if (ec) throw std::runtime_error(file + ": " + ec.message());
  };
  error_code ec;
  tls.set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                  ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1 | ssl::context::no_compression);
  SSL_CTX_set_min_proto_version(tls.native_handle(), TLS1_2_VERSION);
  throw_if(tls.use_certificate_chain_file(files.certificate, ec), files.certificate);
  throw_if(tls.use_private_key_file(files.key, ssl::context::pem, ec), files.key);
  throw_if(tls.load_verify_file(files.client_ca, ec), files.client_ca);
  tls.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
  // No session resumption: each connection must present its certificate, and a client that resumed a session
  // would be rejected.
  SSL_CTX_set_session_cache_mode(tls.native_handle(), SSL_SESS_CACHE_OFF);
  SSL_CTX_set_options(tls.native_handle(), SSL_OP_NO_TICKET);
  SSL_CTX_set_num_tickets(tls.native_handle(), 0);
  auto& acceptor = impl_->tls_acceptor.emplace(impl_->io);
  acceptor.open(address.protocol());
  acceptor.set_option(net::socket_base::reuse_address(true));
  acceptor.bind(address, ec);
  throw_if(ec, address.address().to_string() + ":" + std::to_string(address.port()));
  acceptor.listen();
  acceptor.set_option(net::socket_base::enable_connection_aborted(true), ec);
  impl_->accept_tls();
  return acceptor.local_endpoint();
}

}  // namespace heronvane::fleet
