// Serves the API by HTTP/1.1 on a Unix socket, for this user and root, and over TLS, for holders of a client
// certificate. Each request is answered or its connection closed; slow clients don't block the agent. Not
// thread-safe: all calls come from the thread that runs `io`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "api.hpp"

namespace heronvane::fleet {

struct ApiLimits {
  std::size_t max_connections = 64;  // in all, at most half of them TLS; more get 503 (TLS: are closed)
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_head_bytes = 16 << 10;
  std::chrono::milliseconds io_timeout{
      10'000};  // to send a request, between requests, and to read a piece of a response
};

struct TlsFiles {
  std::string certificate;  // PEM, with its chain
  std::string key;
  std::string client_ca;  // signs the certificates of permitted clients
};

class ApiServer {
 public:
  ApiServer(boost::asio::io_context& io, Api& api, ApiLimits limits = {});
  ~ApiServer();  // closes all connections
  ApiServer(const ApiServer&) = delete;
  ApiServer& operator=(const ApiServer&) = delete;

  // Listens on a Unix socket of mode 0600. Replaces an existing file at `path`, such as the socket of an
  // earlier agent, so the caller must own the folder. Throws std::exception.
  void listen_local(const std::string& path);
  // Listens for TLS and returns the bound address. Throws std::exception whose text names the file or address
  // that can't be used.
  boost::asio::ip::tcp::endpoint listen_tls(const boost::asio::ip::tcp::endpoint& address,
                                            const TlsFiles& files);

  std::size_t connections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::fleet
