// Helpers for tests over loopback with one event loop.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace heronvane::standins {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

// Runs `io` until `holds` returns true; fails the test after 30 s. `what` names the condition in the failure.
template <class Condition>
void run_until(net::io_context& io, Condition holds, const char* what) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!holds()) {
    ASSERT_LT(std::chrono::steady_clock::now(), deadline) << "timed out waiting until " << what;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(5));
  }
}

// A connection that sends calls to an endpoint and keeps the last answer.
struct Caller : std::enable_shared_from_this<Caller> {
  Caller(net::io_context& io, const std::string& address) : socket(io) {
    const auto colon = address.find(':');
    socket.connect({net::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
  }
  void call(const std::string& target, const std::string& fields, const std::string& body = "") {
    net::write(socket, net::buffer("POST " + target + " HTTP/1.1\r\n" + fields +
                                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
    auto response = std::make_shared<http::response<http::string_body>>();
    http::async_read(socket, buffer, *response,
                     [self = shared_from_this(), response](error_code error, std::size_t) {
                       self->broken = error;
                       if (!error) self->answer = response;
                     });
  }
  bool finished() const { return answer != nullptr || broken; }
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::shared_ptr<http::response<http::string_body>> answer;
  error_code broken;
};

}  // namespace heronvane::standins
