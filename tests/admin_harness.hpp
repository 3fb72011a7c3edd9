// A fixture that runs the relay with its admin socket, and a client for the socket.
#pragma once

#include <rapidjson/document.h>

#include "relay_harness.hpp"

namespace heronvane::testing {

using local = net::local::stream_protocol;

class AdminClient : public std::enable_shared_from_this<AdminClient> {
 public:
  AdminClient(net::io_context& io, const std::string& path) : socket_(io) {
    error_code bad;
    socket_.connect(local::endpoint(path), bad);
    ended = static_cast<bool>(bad);
  }
  void write(const std::string& bytes) {
    error_code ignored;
    net::write(socket_, net::buffer(bytes), ignored);
  }
  void end_sending() {
    error_code ignored;
    socket_.shutdown(local::socket::shutdown_send, ignored);
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }
  void read() {
    if (ended) return;
    const auto parser = std::make_shared<http::response_parser<http::string_body>>();
    parser->body_limit(64u << 20);
    http::async_read(socket_, buffer_, *parser, [self = shared_from_this(), parser](error_code bad, auto) {
      self->ended = bool(bad);
      if (bad) return;
      self->answers.push_back(parser->release());
      self->read();
    });
  }
  std::vector<Response> answers;
  bool ended = false;

 private:
  local::socket socket_;
  beast::flat_buffer buffer_;
};

class AdminTest : public RelayTest {
 protected:
  void SetUp() override { own_settings = "[admin]\nsocket = true\ndrain = true\n"; }

  std::string socket_path() const { return folder + "/state/admin.sock"; }
  std::string drained_path() const { return folder + "/state/drained"; }

  static std::string admin_request(const std::string& method, const std::string& target,
                                   const std::string& body = "") {
    return method + " " + target +
           " HTTP/1.1\r\nHost: relay\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::shared_ptr<AdminClient> admin() {
    const auto c = std::make_shared<AdminClient>(io, socket_path());
    c->read();
    return c;
  }
  // Sends a request on a new connection and returns the answer; its status is 0 if none came.
  Response ask_admin(const std::string& method, const std::string& target, const std::string& body = "") {
    const auto c = admin();
    c->write(admin_request(method, target, body));
    wait_for([&] { return c->ended || !c->answers.empty(); }, "the admin socket's answer");
    Response none;
    none.result(0u);
    const auto answer = c->answers.empty() ? none : c->answers[0];
    c->close();
    return answer;
  }
  static rapidjson::Document json(const Response& answer) {
    rapidjson::Document v;
    v.Parse(answer.body().data(), answer.body().size());
    EXPECT_FALSE(v.HasParseError()) << answer.body();
    return v;
  }
  rapidjson::Document status() {
    const auto answer = ask_admin("GET", "/v1/status");
    EXPECT_EQ(answer.result_int(), 200u);
    return json(answer);
  }
  Response drain(int fence) {
    return ask_admin("POST", "/v1/drain", "{\"fence\":" + std::to_string(fence) + "}");
  }
  Response undrain(int fence) {
    return ask_admin("POST", "/v1/undrain", "{\"fence\":" + std::to_string(fence) + "}");
  }
  static std::string code(const Response& answer) {
    const auto v = json(answer);
    if (!v.IsObject() || !v.HasMember("error")) return "";
    const auto& e = v["error"];
    EXPECT_TRUE(e["message"].IsString() && e["hint"].IsString()) << answer.body();
    return e["code"].GetString();
  }
  std::string drained() const {
    std::ifstream in(drained_path());
    return {std::istreambuf_iterator<char>(in), {}};
  }
  // Starts the relay again and waits until it listens; it may end before it is ready.
  void start_anew() {
    std::filesystem::remove(folder + "/log");
    spawn(config());
    wait_for([this] { return logged().find("listening as") != std::string::npos; }, "the relay to listen");
  }
};

}  // namespace heronvane::testing
