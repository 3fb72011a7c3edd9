// The platform server in the test's own event loop, with its partner file and its notices in a temporary
// folder.
#pragma once

#include <fstream>
#include <set>

#include "fleet/finals.hpp"
#include "fleet/partner_file.hpp"
#include "fleet/partners.hpp"
#include "fleet/platform_server.hpp"
#include "relay_harness.hpp"

namespace heronvane::testing {

using std::chrono::milliseconds;

// A TCP connection that collects the received bytes unparsed.
class Raw : public std::enable_shared_from_this<Raw> {
 public:
  Raw(net::io_context& io, const tcp::endpoint& to, bool reads = true) : socket_(io) {
    error_code bad;
    socket_.connect(to, bad);
    ended = bool(bad);
    if (!bad) socket_.non_blocking(true);
    reads_ = reads;
  }
  void start() {
    if (reads_ && !ended) read();
  }
  // Bytes that the kernel does not accept at once are dropped, so that a test never blocks its own event
  // loop.
  void write(const std::string& bytes) {
    error_code ignored;
    net::write(socket_, net::buffer(bytes), ignored);
  }
  void end_sending() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }
  unsigned status() const {
    return text.size() > 12 && text.rfind("HTTP/1.1 ", 0) == 0
               ? static_cast<unsigned>(std::atoi(text.c_str() + 9))
               : 0;
  }
  std::size_t count(const std::string& part) const {
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) n++;
    return n;
  }
  bool has(const std::string& part) const { return text.find(part) != std::string::npos; }
  tcp::socket& socket() { return socket_; }

  std::string text;
  bool ended = false;

 private:
  void read() {
    socket_.async_read_some(net::buffer(chunk_), [self = shared_from_this()](error_code bad, std::size_t n) {
      self->ended = bool(bad);
      if (bad) return;
      self->text.append(self->chunk_.data(), n);
      self->read();
    });
  }
  tcp::socket socket_;
  bool reads_ = true;
  std::array<char, 65536> chunk_;
};
using RawPtr = std::shared_ptr<Raw>;

inline std::string get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}
inline std::string post(const std::string& body) {
  return "POST /v2/finals HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
inline std::string notice(const std::string& id) {
  return R"({"id":")" + id + R"(","status":"undeliverable"})";
}

inline fleet::Endpoint one(const std::string& name, const std::string& address = "127.0.0.1:8081",
                           fleet::Status status = fleet::Status::ready) {
  return {name, address, "a", "small", 7, status, 1.0, 0};
}

// The platform server for tests of the server alone and of a relay with it; can be stopped and restarted.
class OwnPlatform {
 public:
  OwnPlatform(net::io_context& io, const std::string& folder) : io_(io), folder_(folder) {
    options.listen = {net::ip::make_address(own_address()), 0};
    callbacks.keep_index = [this](std::int64_t index) {
      if (can_keep) kept_index = index;
      return can_keep;
    };
    callbacks.log = [this](const std::string& line) { log += line + "\n"; };
  }
  void start() {
    finals.emplace(folder_ + "/finals.db");
    options.index = kept_index;
    server.emplace(io_, *finals, options, callbacks);
    // A restarted server listens on the same port.
    const std::string text = server->status().listen;
    options.listen.port(static_cast<unsigned short>(std::stoi(text.substr(text.rfind(':') + 1))));
  }
  void stop() {
    file.reset();
    server.reset();
    finals.reset();
  }
  std::string path() const { return folder_ + "/partners/partners.json"; }
  void write(const std::string& text) {
    std::filesystem::create_directories(folder_ + "/partners");
    std::ofstream(path()) << text;
  }
  // Replaces the file by a rename, as editors do.
  void replace(const std::string& text) {
    std::filesystem::create_directories(folder_ + "/partners");
    std::ofstream(path() + ".new") << text;
    std::filesystem::rename(path() + ".new", path());
  }
  void watch_file(milliseconds look = std::chrono::hours(1)) {
    file.emplace(
        io_, path(), [this](std::vector<fleet::Endpoint> list) { return server->publish(std::move(list)); },
        callbacks.log, look);
  }

  fleet::PlatformOptions options;
  fleet::PlatformCallbacks callbacks;
  std::optional<fleet::Finals> finals;
  std::optional<fleet::PlatformServer> server;
  std::optional<fleet::PartnerFile> file;
  std::int64_t kept_index = 0;
  bool can_keep = true;
  std::string log;

 private:
  net::io_context& io_;
  std::string folder_;
};

}  // namespace heronvane::testing
