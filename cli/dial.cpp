#include "dial.hpp"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <system_error>

namespace heronvane::cli {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Why = TransportError::Why;

Stop::Stop() : fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
}
Stop::~Stop() { ::close(fd_); }
void Stop::stop() noexcept {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto n = ::write(fd_, &one, sizeof one);
}
bool Stop::stopped() const noexcept {
  pollfd p{fd_, POLLIN, 0};
  return ::poll(&p, 1, 0) > 0;
}

namespace {

[[noreturn]] void fail(const Error& e, bool tls) {
  if (e == asio::error::connection_refused || e == boost::system::errc::no_such_file_or_directory ||
      e == asio::error::host_not_found || e == asio::error::host_not_found_try_again)
    throw TransportError(Why::absent, e.message());
  if (e == boost::system::errc::permission_denied) throw TransportError(Why::forbidden, e.message());
  if (tls && e.category() == asio::error::get_ssl_category())
    throw TransportError(Why::untrusted, e.message());
  throw TransportError(Why::broken, e.message());
}

// Runs one asynchronous operation at a time, until it completes, `deadline` passes or `stop` is signalled.
// TransportError (late or interrupted) in the latter two cases.
class Waiter {
 public:
  explicit Waiter(const Stop& stop) : stop_(context_, ::dup(stop.descriptor())) {}

  template <class Begin, class Abandon>
  Error run(Instant deadline, Begin begin, Abandon abandon) {
    std::optional<Error> result;
    bool interrupted = false;
    context_.restart();
    asio::steady_timer timer(context_, deadline);
    bool late = false;
    timer.async_wait([&](const Error& e) {
      if (!e && !result) late = true, abandon();
    });
    stop_.async_wait(asio::posix::descriptor_base::wait_read, [&](const Error& e) {
      if (!e && !result) interrupted = true, abandon();
    });
    begin([&](const Error& e) {
      result = e;
      timer.cancel();
      stop_.cancel();
    });
    context_.run();
    if (interrupted) throw TransportError(Why::interrupted, "interrupted");
    if (late && *result) throw TransportError(Why::late, "no answer in time");
    return *result;
  }
  asio::io_context& context() { return context_; }

 private:
  asio::io_context context_;
  asio::posix::stream_descriptor stop_;
};

template <class Socket, class LowestLayer>
class SocketStream : public Stream {
 public:
  SocketStream(std::unique_ptr<Waiter> waiter, std::unique_ptr<Socket> socket, bool tls)
      : waiter_(std::move(waiter)), socket_(std::move(socket)), tls_(tls) {}

  void write(std::string_view bytes, Instant deadline) override {
    const auto e = waiter_->run(
        deadline,
        [&](auto done) {
          asio::async_write(*socket_, asio::buffer(bytes.data(), bytes.size()),
                            [done](const Error& error, std::size_t) { done(error); });
        },
        [&] { abandon(); });
    if (e) fail(e, tls_);
  }
  std::size_t read(char* to, std::size_t capacity, Instant deadline) override {
    std::size_t bytes_read = 0;
    const auto e = waiter_->run(
        deadline,
        [&](auto done) {
          socket_->async_read_some(asio::buffer(to, capacity),
                                   [&bytes_read, done](const Error& error, std::size_t n) {
                                     bytes_read = n;
                                     done(error);
                                   });
        },
        [&] { abandon(); });
    if (bytes_read > 0) return bytes_read;
    // A close without TLS close_notify counts as the end: HTTP framing detects a truncated answer.
    if (e == asio::error::eof || e == asio::ssl::error::stream_truncated) return 0;
    if (e) fail(e, tls_);
    return bytes_read;
  }

 private:
  void abandon() {
    Error ignored;
    static_cast<LowestLayer&>(socket_->lowest_layer()).close(ignored);
  }
  std::unique_ptr<Waiter> waiter_;  // outlives the socket
  std::unique_ptr<Socket> socket_;
  bool tls_;
};

class UnixDialer : public Dialer {
 public:
  UnixDialer(std::string path, const Stop& stop) : path_(std::move(path)), stop_(stop) {}
  std::unique_ptr<Stream> dial(Instant deadline) override {
    using Socket = asio::local::stream_protocol::socket;
    auto waiter = std::make_unique<Waiter>(stop_);
    auto socket = std::make_unique<Socket>(waiter->context());
    const auto e = waiter->run(
        deadline, [&](auto done) { socket->async_connect(path_, done); },
        [&] {
          Error ignored;
          socket->close(ignored);
        });
    if (e) fail(e, false);
    return std::make_unique<SocketStream<Socket, Socket::lowest_layer_type>>(std::move(waiter),
                                                                             std::move(socket), false);
  }

 private:
  std::string path_;
  const Stop& stop_;
};

class TlsDialer : public Dialer {
 public:
  TlsDialer(std::string host, std::string port, const Credentials& credentials, const Stop& stop)
      : host_(std::move(host)), port_(std::move(port)), stop_(stop), tls_(asio::ssl::context::tls_client) {
    const auto load = [](const char* option, const std::string& file, const auto& with) {
      Error e;
      with(e);
      if (e) throw std::invalid_argument(std::string(option) + ": " + file + ": " + e.message());
    };
    SSL_CTX_set_min_proto_version(tls_.native_handle(), TLS1_2_VERSION);
    tls_.set_verify_mode(asio::ssl::verify_peer);
    if (credentials.ca.empty())
      load("--ca", "the system's", [&](Error& e) { tls_.set_default_verify_paths(e); });
    else
      load("--ca", credentials.ca, [&](Error& e) { tls_.load_verify_file(credentials.ca, e); });
    load("--cert", credentials.cert, [&](Error& e) { tls_.use_certificate_chain_file(credentials.cert, e); });
    load("--key", credentials.key,
         [&](Error& e) { tls_.use_private_key_file(credentials.key, asio::ssl::context::pem, e); });
  }
  std::unique_ptr<Stream> dial(Instant deadline) override {
    using Tcp = asio::ip::tcp;
    using Socket = asio::ssl::stream<Tcp::socket>;
    auto waiter = std::make_unique<Waiter>(stop_);
    auto socket = std::make_unique<Socket>(waiter->context(), tls_);
    const auto abandon = [&] {
      Error ignored;
      socket->lowest_layer().close(ignored);
    };
    Tcp::resolver resolver(waiter->context());
    Tcp::resolver::results_type endpoints;
    auto e = waiter->run(
        deadline,
        [&](auto done) {
          resolver.async_resolve(host_, port_, [&endpoints, done](const Error& error, const auto& results) {
            endpoints = results;
            done(error);
          });
        },
        [&] { resolver.cancel(); });
    if (e) fail(e, false);
    e = waiter->run(
        deadline,
        [&](auto done) {
          asio::async_connect(socket->lowest_layer(), endpoints,
                              [done](const Error& error, const auto&) { done(error); });
        },
        abandon);
    if (e) fail(e, false);
    Error ignored;
    socket->lowest_layer().set_option(Tcp::no_delay(true), ignored);
    socket->set_verify_callback(asio::ssl::host_name_verification(host_));
    SSL_set_tlsext_host_name(socket->native_handle(), host_.c_str());
    e = waiter->run(
        deadline, [&](auto done) { socket->async_handshake(asio::ssl::stream_base::client, done); }, abandon);
    if (e) {
      const auto verify_result = SSL_get_verify_result(socket->native_handle());
      if (verify_result != X509_V_OK)
        throw TransportError(Why::untrusted, X509_verify_cert_error_string(verify_result));
      fail(e, true);
    }
    return std::make_unique<SocketStream<Socket, Tcp::socket::lowest_layer_type>>(std::move(waiter),
                                                                                  std::move(socket), true);
  }

 private:
  std::string host_, port_;
  const Stop& stop_;
  asio::ssl::context tls_;
};

}  // namespace

std::unique_ptr<Dialer> make_dialer(const std::string& agent, const Credentials& credentials,
                                    const Stop& stop) {
  const std::string_view scheme = "https://";
  if (agent.rfind("http://", 0) == 0)
    throw std::invalid_argument(
        agent + ": agents are reached over https:// or a Unix socket, never over unencrypted http://");
  if (agent.rfind(scheme, 0) != 0) {
    if (agent.empty()) throw std::invalid_argument("--agent: is empty");
    if (agent.size() >= sizeof(sockaddr_un::sun_path))
      throw std::invalid_argument(agent + ": too long for the path of a Unix socket (" +
                                  std::to_string(sizeof(sockaddr_un::sun_path) - 1) + " bytes)");
    return std::make_unique<UnixDialer>(agent, stop);
  }
  auto rest = agent.substr(scheme.size());
  if (!rest.empty() && rest.back() == '/') rest.pop_back();
  const auto colon = rest.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == rest.size() ||
      rest.find_first_not_of("0123456789", colon + 1) != std::string::npos)
    throw std::invalid_argument(agent + ": must be https://HOST:PORT");
  auto host = rest.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  if (credentials.cert.empty() || credentials.key.empty())
    throw std::invalid_argument(agent +
                                ": an agent over TLS requires a client certificate: give --cert and --key");
  return std::make_unique<TlsDialer>(host, rest.substr(colon + 1), credentials, stop);
}

}  // namespace heronvane::cli
