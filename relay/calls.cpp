#include "calls.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>

#include "log.hpp"

namespace heronvane {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

constexpr std::uint64_t kMostAnswer = 1 << 20;  // bytes of an answer's body
constexpr std::uint32_t kMostHeader = 16 * 1024;
// Part of the endpoint's idle time after which a kept connection is closed: the rest covers the way of the
// answer that started its clock and of the request that would use it.
constexpr double kKeptPart = 0.9;
constexpr Time kLongestWait = 3'600'000'000;

std::chrono::microseconds span(Time t) { return std::chrono::microseconds(t); }

std::string base64(const std::string& bytes) {
  std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
  text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string bundle_body(const std::vector<Outgoing>& messages) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const auto text = [&w](const char* key, const std::string& v) {
    w.Key(key), w.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
  };
  w.StartArray();
  for (const auto& m : messages) {
    w.StartObject();
    text("id", m.wire_id), text("body", base64(m.body));
    w.EndObject();
  }
  w.EndArray();
  return {buffer.GetString(), buffer.GetSize()};
}

// A told wait is bounded, so that a mad answer can't shut a destination for good.
Time told_wait(const http::fields& answer) {
  const auto text = answer["X-Come-Back-Ms"];
  double ms = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (error != std::errc() || end != text.data() + text.size() || !(ms > 0)) return 0;
  return static_cast<Time>(std::min(ms * 1000, static_cast<double>(kLongestWait)));
}

// "x0=0.4,x1=25"
cedarplank::Report report_of(const http::fields& answer) {
  cedarplank::Report report;
  const auto text = answer["X-Load"];
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find(',', at), text.size());
    const auto field = text.substr(at, end - at);
    const auto equals = field.find('=');
    double v = 0;
    if (equals != beast::string_view::npos &&
        std::from_chars(field.data() + equals + 1, field.data() + field.size(), v).ec == std::errc()) {
      if (field.substr(0, equals) == "x0") report.limit_left = v;
      if (field.substr(0, equals) == "x1") report.limit_rate = v;
    }
    at = end + 1;
  }
  return report;
}

}  // namespace

struct Calls::Connection {
  explicit Connection(net::io_context& io) : socket(io) {}
  tcp::socket socket;
  tcp::endpoint address;
  beast::flat_buffer buffer{kMostAnswer + kMostHeader};
  Time idle_since = 0;
};

struct Calls::Call {
  Call(net::io_context& io, EndpointId e, std::vector<Outgoing> m)
      : endpoint(std::move(e)), messages(std::move(m)), over(messages.size(), false), timer(io) {
    left = messages.size();
  }
  enum class Stage { connecting, writing, waiting, done };

  EndpointId endpoint;
  std::vector<Outgoing> messages;
  std::vector<bool> over;  // its outcome was told
  std::size_t left = 0;
  Stage stage = Stage::connecting;
  Time sent = steady_now();
  std::shared_ptr<Connection> connection;
  net::steady_timer timer;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  Time told_wait = 0;
  cedarplank::Report report;

  Time connect_due(const CallLimits& limits) const { return sent + limits.connect_timeout; }
};

Calls::Calls(net::io_context& io, const CallLimits& limits, Ended ended)
    : io_(io), limits_(limits), ended_(std::move(ended)), sweep_timer_(io) {}
Calls::~Calls() = default;

void Calls::locate(const EndpointId& endpoint, const tcp::endpoint& address) {
  Place& place = places_[endpoint];
  if (place.address == address) return;
  place.address = address;
  close_idle(endpoint);
}

void Calls::forget(const EndpointId& endpoint) {
  close_idle(endpoint);
  places_.erase(endpoint);
}

void Calls::send(const EndpointId& endpoint, std::vector<Outgoing> messages) {
  const auto call = std::make_shared<Call>(io_, endpoint, std::move(messages));
  const bool room = out_.size() < limits_.slots && places_.count(endpoint) > 0;
  if (room) out_.insert(call);
  net::post(io_, [this, call, room] {
    if (call->stage == Call::Stage::done) return;
    if (!room) return end_all(call, Outcome::not_sent);
    begin(call);
  });
}

void Calls::begin(const std::shared_ptr<Call>& call) {
  const auto found = places_.find(call->endpoint);
  if (found == places_.end()) return end_all(call, Outcome::not_sent);
  Place& place = found->second;
  while (!place.idle.empty()) {
    const auto connection = place.idle.back();
    place.idle.pop_back(), kept_--;
    error_code bad;
    connection->socket.cancel(bad);
    char byte = 0;
    // Guards against writing to a kept connection that the endpoint has closed: that would be a reset.
    connection->socket.non_blocking(true, bad);
    connection->socket.receive(net::buffer(&byte, 1), tcp::socket::message_peek, bad);
    if (bad != net::error::would_block) continue;
    call->connection = connection;
    arm(call);
    return write(call);
  }
  connect(call, place.address);
}

void Calls::connect(const std::shared_ptr<Call>& call, const tcp::endpoint& address) {
  call->connection = std::make_shared<Connection>(io_);
  call->connection->address = address;
  arm(call);
  call->connection->socket.async_connect(call->connection->address, [this, call](error_code bad) {
    if (call->stage == Call::Stage::done) return;
    if (bad) return end_all(call, Outcome::connect_failed);
    call->connection->socket.set_option(tcp::no_delay(true), bad);
    write(call);
  });
}

void Calls::write(const std::shared_ptr<Call>& call) {
  // Those that ended while the connection came up stay out of the call.
  std::vector<Outgoing> live;
  Time longest = 0;
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    if (call->over[i]) continue;
    longest = std::max(longest, call->messages[i].timeout);
    live.push_back(std::move(call->messages[i]));
  }
  call->messages = std::move(live);
  call->over.assign(call->messages.size(), false);
  const bool single = call->messages.size() == 1;
  auto& request = call->request;
  request.method(http::verb::post);
  request.version(11);
  request.target(single ? "/events" : "/events/bundle");
  request.set(http::field::host, "origin.svc");
  request.set("X-Deadline", std::to_string(longest) + "u");
  if (single) {
    request.set("X-Request-Id", call->messages[0].wire_id);
    request.body() = std::move(call->messages[0].body);
  } else {
    request.set(http::field::content_type, "application/json");
    request.body() = bundle_body(call->messages);
    for (auto& m : call->messages) m.body.clear();
  }
  request.prepare_payload();
  call->stage = Call::Stage::writing;
  http::async_write(call->connection->socket, request, [this, call](error_code bad, std::size_t) {
    if (call->stage == Call::Stage::done) return;
    // The last byte was not written, so the call has not begun there.
    if (bad) return end_all(call, Outcome::connect_failed);
    call->stage = Call::Stage::waiting;
    read(call);
  });
}

void Calls::read(const std::shared_ptr<Call>& call) {
  call->parser.emplace();
  call->parser->body_limit(kMostAnswer);
  call->parser->header_limit(kMostHeader);
  http::async_read(call->connection->socket, call->connection->buffer, *call->parser,
                   [this, call](error_code bad, std::size_t) {
                     if (call->stage == Call::Stage::done) return;
                     const bool first_line = call->parser->is_header_done();
                     // One message is delivered by the answer's first line, several by the whole of it.
                     if (bad && !(first_line && call->messages.size() == 1 && call->left == 1))
                       return end_all(call, Outcome::reset);
                     answered(call);
                     if (!bad) keep(call);
                   });
}

void Calls::answered(const std::shared_ptr<Call>& call) {
  const auto& answer = call->parser->get();
  call->told_wait = told_wait(answer);
  if (limits_.reports) call->report = report_of(answer);
  switch (answer.result_int()) {
    case 200:
      return call->messages.size() > 1 ? answered_bundle(call) : end_all(call, Outcome::served, true);
    case 429:
      return end_all(call, Outcome::full);
    case 503:
      return end_all(call, answer["X-Line-Busy"] == "1" ? Outcome::not_sent : Outcome::full);
    case 504:
      return end_all(call, Outcome::not_sent);
    case 410:
      return end_all(call, Outcome::not_sent, true);
    case 400:
    case 413:
      log("call to " + call->endpoint + " was answered " + std::to_string(answer.result_int()));
      return end_all(call, Outcome::not_sent);
    case 500:
      return end_all(call, Outcome::error);
    default:
      log("call to " + call->endpoint + " was answered " + std::to_string(answer.result_int()));
      return end_all(call, Outcome::error);
  }
}

void Calls::answered_bundle(const std::shared_ptr<Call>& call) {
  rapidjson::Document v;
  const std::string& body = call->parser->get().body();
  v.Parse(body.data(), body.size());
  if (v.HasParseError() || !v.IsArray()) {
    log("bundle to " + call->endpoint + ": the answer can't be read");
    return end_all(call, Outcome::reset);
  }
  std::map<std::string, std::string> states;
  for (const auto& entry : v.GetArray()) {
    if (!entry.IsObject()) continue;
    const auto id = entry.FindMember("id"), state = entry.FindMember("state");
    if (id == entry.MemberEnd() || state == entry.MemberEnd()) continue;
    if (id->value.IsString() && state->value.IsString())
      states[id->value.GetString()] = state->value.GetString();
  }
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    const std::string& state = states[call->messages[i].wire_id];
    if (state == "done")
      end(call, i, Outcome::served, true);
    else if (state == "busy")
      end(call, i, Outcome::full);
    else if (state == "void")
      end(call, i, Outcome::not_sent, true);
    else if (state == "used_up")
      end(call, i, Outcome::not_sent);
    else  // "failed", or not named: it may have run
      end(call, i, Outcome::error);
  }
}

// Waits for what comes first: the connection's time, or that of one of the messages.
void Calls::arm(const std::shared_ptr<Call>& call) {
  if (call->stage == Call::Stage::done) return;
  Time due = steady_now() + kLongestWait;
  for (std::size_t i = 0; i < call->messages.size(); i++)
    if (!call->over[i]) due = std::min(due, call->sent + call->messages[i].timeout);
  if (call->stage == Call::Stage::connecting) due = std::min(due, call->connect_due(limits_));
  call->timer.expires_after(span(std::max<Time>(due - steady_now(), 0)));
  call->timer.async_wait([this, call](error_code bad) {
    if (bad || call->stage == Call::Stage::done) return;
    const Time now = steady_now();
    const bool connecting = call->stage == Call::Stage::connecting;
    if (connecting && now >= call->connect_due(limits_)) return end_all(call, Outcome::connect_failed);
    // Once its first byte is on the way, a call that is given up may have run.
    for (std::size_t i = 0; i < call->messages.size(); i++)
      if (!call->over[i] && now >= call->sent + call->messages[i].timeout)
        end(call, i, connecting ? Outcome::connect_failed : Outcome::timeout);
    arm(call);
  });
}

void Calls::end(const std::shared_ptr<Call>& call, std::size_t part, Outcome outcome, bool closed) {
  if (call->over[part]) return;
  call->over[part] = true;
  cedarplank::event::AttemptEnded e;
  e.id = call->messages[part].id;
  e.attempt = call->messages[part].attempt;
  e.endpoint = call->endpoint;
  e.outcome = outcome;
  e.latency = steady_now() - call->sent;
  e.closed = closed;
  e.told_wait = call->told_wait;
  e.report = call->report;
  if (--call->left == 0) {
    call->stage = Call::Stage::done;
    call->timer.cancel();
    out_.erase(call);
    // Given up or broken: no answer may come on this connection any more. keep() takes a sound one first.
    const bool sound = call->parser && call->parser->is_done();
    error_code ignored;
    if (call->connection && !sound) call->connection->socket.close(ignored);
  }
  ended_(e);
}

void Calls::end_all(const std::shared_ptr<Call>& call, Outcome outcome, bool closed) {
  for (std::size_t i = 0; i < call->messages.size(); i++) end(call, i, outcome, closed);
}

void Calls::cancel(MessageId id, int attempt) {
  for (const auto& call : std::vector<std::shared_ptr<Call>>(out_.begin(), out_.end()))
    for (std::size_t i = 0; i < call->messages.size(); i++)
      if (!call->over[i] && call->messages[i].id == id && call->messages[i].attempt == attempt) {
        const bool begun = call->stage != Call::Stage::connecting;
        return end(call, i, begun ? Outcome::cancelled : Outcome::connect_failed);
      }
}

void Calls::hold_back(const EndpointId& endpoint) {
  for (const auto& call : std::vector<std::shared_ptr<Call>>(out_.begin(), out_.end()))
    if (call->endpoint == endpoint && call->stage == Call::Stage::connecting)
      end_all(call, Outcome::not_sent);
}

void Calls::keep(const std::shared_ptr<Call>& call) {
  const auto connection = std::move(call->connection);
  const auto found = places_.find(call->endpoint);
  if (found == places_.end()) return;
  Place& place = found->second;
  const bool sound = call->parser->keep_alive() && connection->buffer.size() == 0;
  if (!sound || connection->address != place.address || kept_ >= limits_.kept_most) return;
  connection->idle_since = steady_now();
  place.idle.push_back(connection);
  if (kept_++ == 0) sweep();
  watch_idle(connection, call->endpoint);
}

// A kept connection that becomes readable was closed by the endpoint, or holds what nobody asked for.
void Calls::watch_idle(const std::shared_ptr<Connection>& connection, const EndpointId& endpoint) {
  connection->socket.async_wait(tcp::socket::wait_read,
                                [this, weak = std::weak_ptr(connection), endpoint](error_code bad) {
                                  const auto readable = weak.lock();
                                  if (!bad && readable) drop(endpoint, readable.get());
                                });
}

void Calls::drop(const EndpointId& endpoint, const Connection* connection) {
  const auto found = places_.find(endpoint);
  if (found == places_.end()) return;
  kept_ -= std::erase_if(found->second.idle, [&](const auto& c) { return c.get() == connection; });
}

void Calls::close_idle(const EndpointId& endpoint) {
  const auto found = places_.find(endpoint);
  if (found == places_.end()) return;
  kept_ -= found->second.idle.size();
  found->second.idle.clear();
}

// Closes kept connections before their end comes; sleeps until the next is due.
void Calls::sweep() {
  const Time now = steady_now(), most = static_cast<Time>(kKeptPart * static_cast<double>(limits_.idle));
  Time due = now + most;
  for (auto& [id, place] : places_) {
    kept_ -= std::erase_if(place.idle, [&](const auto& c) { return now >= c->idle_since + most; });
    for (const auto& c : place.idle) due = std::min(due, c->idle_since + most);
  }
  if (kept_ == 0) return;
  sweep_timer_.expires_after(span(due - now));
  sweep_timer_.async_wait([this](error_code bad) {
    if (!bad) sweep();
  });
}

}  // namespace heronvane
