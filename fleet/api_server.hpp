// The API on sockets: HTTP/1.1 on a Unix socket for this user and root, and on TLS for holders of a client
// certificate. Whatever comes in is answered or its connection dropped; no reader holds up the agent.
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
  std::size_t connections = 64;  // of both kinds, half of them of TLS; past it 503 (TLS: closed)
  std::size_t body_bytes = 1 << 20;
  std::size_t head_bytes = 16 << 10;
  std::chrono::milliseconds time{10'000};  // of a request, between requests, and for a reader to take a piece
};

struct TlsFiles {
  std::string certificate;  // PEM, with its chain
  std::string key;
  std::string client_ca;  // signs the certificates of those who may ask
};

class ApiServer {
 public:
  ApiServer(boost::asio::io_context& io, Api& api, ApiLimits limits = {});
  ~ApiServer();  // ends all connections
  ApiServer(const ApiServer&) = delete;
  ApiServer& operator=(const ApiServer&) = delete;

  // Mode 0600, in place of what an earlier agent left: the caller owns the folder. Throws std::exception.
  void listen_local(const std::string& path);
  // Throws std::exception whose text names the file that can't be used. Returns where it listens.
  boost::asio::ip::tcp::endpoint listen_tls(const boost::asio::ip::tcp::endpoint& address,
                                            const TlsFiles& files);

  std::size_t connections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::fleet
