#include "client.hpp"

#include <array>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>

namespace heronvane::cli {

namespace {

namespace http = boost::beast::http;
using Parser = http::response_parser<http::string_body>;
using Why = TransportError::Why;

std::string form(std::string_view method, const std::string& target, std::string_view body, bool keep) {
  std::string r;
  r.append(method).append(" ").append(target).append(
      " HTTP/1.1\r\nHost: agent\r\nAccept: application/json\r\n");
  if (!keep) r += "Connection: close\r\n";
  if (!body.empty())
    r += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  return r.append("\r\n").append(body);
}

// What has come and was not parsed yet, beside the parser that it goes to.
class Reading {
 public:
  explicit Reading(Stream& stream) : stream_(stream) {
    parser_.header_limit(16 * 1024);
    parser_.body_limit(kMostAnswer);
  }
  Parser& parser() { return parser_; }
  bool any() const { return any_; }
  // Reads once. False at the end of the answer.
  bool step(Instant until) {
    if (parser_.is_done()) return false;
    std::array<char, 16 * 1024> room;
    const auto n = stream_.read(room.data(), room.size(), until);
    boost::system::error_code e;
    if (n == 0) {
      if (parser_.got_some()) parser_.put_eof(e);
      if (e || !parser_.is_done())
        throw TransportError(Why::broken, any_ ? "the connection ended within an answer"
                                               : "the connection ended without an answer");
      return false;
    }
    any_ = true;
    rest_.append(room.data(), n);
    while (!rest_.empty() && !parser_.is_done()) {
      const auto used = parser_.put(boost::asio::buffer(rest_), e);
      rest_.erase(0, used);
      if (e == http::error::need_more) break;
      if (e == http::error::body_limit || e == http::error::header_limit)
        throw MalformedAnswer("the answer is larger than " +
                              std::string(e == http::error::body_limit ? "16 MiB" : "16 KiB of headers"));
      if (e) throw MalformedAnswer("the answer is no HTTP: " + e.message());
      if (parser_.eager() && used == 0) break;
      // Not from the start: eager, the parser goes on past its own verdict of a length that is too large.
      if (!parser_.is_header_done()) continue;
      parser_.eager(true);
    }
    return !parser_.is_done();
  }
  bool reusable() const { return parser_.is_done() && rest_.empty() && parser_.keep_alive(); }

 private:
  Stream& stream_;
  Parser parser_;
  std::string rest_;
  bool any_ = false;
};

void head(const Parser& parser, Answer& a) {
  a.status = parser.get().result_int();
  const auto text = parser.get()["X-Heronvane-Api"];
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), a.api);
  if (error != std::errc() || end != text.data() + text.size() || a.api < 0) a.api = 0;
}

}  // namespace

Answer Client::exchange(Stream& stream, const std::string& request, Instant until, bool& reusable,
                        bool& any) {
  reusable = any = false;
  stream.write(request, until);
  Reading reading(stream);
  try {
    while (reading.step(until)) any = reading.any();
  } catch (...) {
    any = reading.any();
    throw;
  }
  reusable = reading.reusable();
  Answer a;
  head(reading.parser(), a);
  a.body = std::move(reading.parser().get().body());
  return a;
}

Answer Client::request(std::string_view method, const std::string& target, std::string_view body,
                       Instant until) {
  bool reusable = false, any = false;
  if (method != "GET") {
    auto stream = dialer_.dial(until);
    return exchange(*stream, form(method, target, body, false), until, reusable, any);
  }
  const auto request = form(method, target, body, true);
  auto stream = std::move(kept_);
  const bool old = stream != nullptr;
  if (!old) stream = dialer_.dial(until);
  Answer a;
  try {
    a = exchange(*stream, request, until, reusable, any);
  } catch (const TransportError& e) {
    if (!old || any || e.why != Why::broken) throw;
    stream = dialer_.dial(until);
    a = exchange(*stream, request, until, reusable, any);
  }
  if (reusable) kept_ = std::move(stream);
  return a;
}

Answer Client::follow(const std::string& target, std::chrono::milliseconds first,
                      std::chrono::milliseconds silent, const std::function<bool(std::string_view)>& take) {
  const auto now = [] { return std::chrono::steady_clock::now(); };
  const auto stream = dialer_.dial(now() + first);
  stream->write(form("GET", target, {}, false), now() + first);
  Reading reading(*stream);
  auto& parser = reading.parser();
  const auto until = now() + first;
  bool more = true;
  while (more && !parser.is_header_done()) more = reading.step(until);
  Answer a;
  head(parser, a);
  const bool whole = a.status != 200;
  if (!whole) {
    parser.body_limit(boost::none);
    if (!take({})) return a;
  }
  for (;;) {
    if (!whole) {
      auto& body = parser.get().body();
      if (!body.empty() && !take(body)) return a;
      body.clear();
    }
    if (!more) break;
    more = reading.step(now() + (whole ? first : silent));
  }
  if (whole) a.body = std::move(parser.get().body());
  return a;
}

}  // namespace heronvane::cli
