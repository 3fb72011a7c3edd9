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

std::string format_request(std::string_view method, const std::string& target, std::string_view body,
                           bool keep_alive) {
  std::string r;
  r.append(method).append(" ").append(target).append(
      " HTTP/1.1\r\nHost: agent\r\nAccept: application/json\r\n");
  if (!keep_alive) r += "Connection: close\r\n";
  if (!body.empty())
    r += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  return r.append("\r\n").append(body);
}

// Reads one response from a stream: the parser, and the bytes received that it has not consumed yet.
class ResponseReader {
 public:
  explicit ResponseReader(Stream& stream) : stream_(stream) {
    parser_.header_limit(16 * 1024);
    parser_.body_limit(kMaxAnswerBytes);
  }
  Parser& parser() { return parser_; }
  bool received_any() const { return received_any_; }
  // Reads from the stream once. Returns false at the end of the response.
  bool read_some(Instant deadline) {
    if (parser_.is_done()) return false;
    std::array<char, 16 * 1024> buffer;
    const auto n = stream_.read(buffer.data(), buffer.size(), deadline);
    boost::system::error_code e;
    if (n == 0) {
      if (parser_.got_some()) parser_.put_eof(e);
      if (e || !parser_.is_done())
        throw TransportError(Why::broken, received_any_ ? "the connection ended within an answer"
                                                        : "the connection ended without an answer");
      return false;
    }
    received_any_ = true;
    unparsed_.append(buffer.data(), n);
    while (!unparsed_.empty() && !parser_.is_done()) {
      const auto used = parser_.put(boost::asio::buffer(unparsed_), e);
      unparsed_.erase(0, used);
      if (e == http::error::need_more) break;
      if (e == http::error::body_limit || e == http::error::header_limit)
        throw MalformedAnswer("the answer is larger than " +
                              std::string(e == http::error::body_limit ? "16 MiB" : "16 KiB of headers"));
      if (e) throw MalformedAnswer("the answer is not valid HTTP: " + e.message());
      if (parser_.eager() && used == 0) break;
      // Eager parsing is enabled only after the header: an eager parser continues past its own error for a
      // Content-Length above the limit.
      if (!parser_.is_header_done()) continue;
      parser_.eager(true);
    }
    return !parser_.is_done();
  }
  bool reusable() const { return parser_.is_done() && unparsed_.empty() && parser_.keep_alive(); }

 private:
  Stream& stream_;
  Parser parser_;
  std::string unparsed_;
  bool received_any_ = false;
};

void read_head(const Parser& parser, Answer& a) {
  a.status = parser.get().result_int();
  const auto text = parser.get()["X-Heronvane-Api"];
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), a.api);
  if (error != std::errc() || end != text.data() + text.size() || a.api < 0) a.api = 0;
}

}  // namespace

Answer Client::exchange(Stream& stream, const std::string& request, Instant deadline, bool& reusable,
                        bool& received_any) {
  reusable = received_any = false;
  stream.write(request, deadline);
  ResponseReader reading(stream);
  try {
    while (reading.read_some(deadline)) received_any = reading.received_any();
  } catch (...) {
    received_any = reading.received_any();
    throw;
  }
  reusable = reading.reusable();
  Answer a;
  read_head(reading.parser(), a);
  a.body = std::move(reading.parser().get().body());
  return a;
}

Answer Client::request(std::string_view method, const std::string& target, std::string_view body,
                       Instant deadline) {
  bool reusable = false, received_any = false;
  if (method != "GET") {
    auto stream = dialer_.dial(deadline);
    return exchange(*stream, format_request(method, target, body, false), deadline, reusable, received_any);
  }
  const auto request = format_request(method, target, body, true);
  auto stream = std::move(idle_stream_);
  const bool reused = stream != nullptr;
  if (!reused) stream = dialer_.dial(deadline);
  Answer a;
  try {
    a = exchange(*stream, request, deadline, reusable, received_any);
  } catch (const TransportError& e) {
    if (!reused || received_any || e.why != Why::broken) throw;
    stream = dialer_.dial(deadline);
    a = exchange(*stream, request, deadline, reusable, received_any);
  }
  if (reusable) idle_stream_ = std::move(stream);
  return a;
}

Answer Client::follow(const std::string& target, std::chrono::milliseconds header_timeout,
                      std::chrono::milliseconds idle_timeout,
                      const std::function<bool(std::string_view)>& on_bytes) {
  const auto now = [] { return std::chrono::steady_clock::now(); };
  const auto stream = dialer_.dial(now() + header_timeout);
  stream->write(format_request("GET", target, {}, false), now() + header_timeout);
  ResponseReader reading(*stream);
  auto& parser = reading.parser();
  const auto deadline = now() + header_timeout;
  bool more = true;
  while (more && !parser.is_header_done()) more = reading.read_some(deadline);
  Answer a;
  read_head(parser, a);
  const bool return_whole = a.status != 200;
  if (!return_whole) {
    parser.body_limit(boost::none);
    if (!on_bytes({})) return a;
  }
  for (;;) {
    if (!return_whole) {
      auto& body = parser.get().body();
      if (!body.empty() && !on_bytes(body)) return a;
      body.clear();
    }
    if (!more) break;
    more = reading.read_some(now() + (return_whole ? header_timeout : idle_timeout));
  }
  if (return_whole) a.body = std::move(parser.get().body());
  return a;
}

}  // namespace heronvane::cli
