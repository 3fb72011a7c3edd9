#include "calls.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <map>

#include "answer.hpp"
#include "core/message.hpp"
#include "core/socket_errors.hpp"
#include "core/stream_writer.hpp"
#include "fail_points.hpp"

namespace heronvane {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

namespace {

// An answer that has begun comes whole within this, or is taken as broken. Guards against slots held until
// the time-out by heads and bodies that never end.
constexpr Microseconds kAnswerTime = 400'000;
// What an endpoint sent besides its answer comes right behind it; a connection rests so long before it is
// used again, so that it does not pass for the answer to the next call.
constexpr Microseconds kRest = 5'000;
// Part of the endpoint's idle time after which a kept connection is closed: the rest covers the way of the
// answer that started its clock and of the request that would use it.
constexpr double kKeptPart = 0.9;
constexpr Microseconds kNever = 3'600'000'000;

std::chrono::microseconds span(Microseconds t) { return std::chrono::microseconds(t); }

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
    text("id", m.wire_id);
    if (!m.idempotency_key.empty()) text("key", m.idempotency_key);
    text("body", base64(m.body));
    w.EndObject();
  }
  w.EndArray();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

struct Calls::Connection {
  explicit Connection(net::io_context& io) : socket(io) {}
  tcp::socket socket;
  tcp::endpoint address;
};

struct Calls::Call {
  Call(net::io_context& io, EndpointId e, std::vector<Outgoing> m)
      : endpoint(std::move(e)),
        messages(std::move(m)),
        over(messages.size(), false),
        cancelled(messages.size(), false),
        timer(io),
        read_pause(io) {
    left = messages.size();
  }
  enum class Stage { connecting, writing, waiting, done };

  EndpointId endpoint;
  std::vector<Outgoing> messages;
  std::vector<bool> over;       // its outcome was told
  std::vector<bool> cancelled;  // its outcome is to be told as that
  std::size_t left = 0;
  Stage stage = Stage::connecting;
  Microseconds sent = steady_now();
  std::shared_ptr<Connection> connection;
  Timer timer;
  Timer read_pause;  // while the system has no memory for a read
  http::request<http::string_body> request;
  AnswerReader answer;
  Microseconds answer_due = 0;  // for the rest of an answer that has begun; 0: none has
  bool sound = false;           // the connection may be used again
  Microseconds told_wait = 0;
  heronvane::dispatch::LoadReport report;

  // One message is delivered by the answer's first line, several by the whole of it.
  bool delivered() const { return messages.size() == 1 && answer.says_ok(); }
  Microseconds connect_due(const CallLimits& limits) const { return sent + limits.connect_timeout; }
  // Until when somebody waits for its answer.
  Microseconds last_timeout() const {
    Microseconds last = 0;
    for (std::size_t i = 0; i < messages.size(); i++)
      if (!over[i]) last = std::max(last, sent + messages[i].timeout);
    return last;
  }
};

Calls::Calls(net::io_context& io, const CallLimits& limits, AttemptEndedCallback ended,
             MayBeginCallback may_begin)
    : io_(io),
      limits_(limits),
      ended_(std::move(ended)),
      may_begin_(std::move(may_begin)),
      odd_(io, "odd answers"),
      sweep_timer_(io) {}
Calls::~Calls() = default;

void Calls::set_address(const EndpointId& endpoint, const tcp::endpoint& address) {
  const auto [place, fresh] = places_.try_emplace(endpoint, address);
  if (place->second == address) return;
  place->second = address;
  connections_.moved += kept_.drop_all(endpoint);
}

void Calls::remove_endpoint(const EndpointId& endpoint) {
  connections_.moved += kept_.drop_all(endpoint);
  places_.erase(endpoint);
}

void Calls::send(const EndpointId& endpoint, std::vector<Outgoing> messages) {
  const auto call = std::make_shared<Call>(io_, endpoint, std::move(messages));
  const bool room = in_flight_ < limits_.max_in_flight && places_.count(endpoint) > 0;
  if (room) {
    in_flight_++;
    calls_[endpoint].push_back(call);
    for (const auto& m : call->messages) by_message_[m.id] = call;
  }
  net::post(io_, [this, call, room] {
    if (call->stage == Call::Stage::done) return;
    if (!room) return end_all(call, Outcome::not_sent);
    begin(call);
  });
}

void Calls::begin(const std::shared_ptr<Call>& call) {
  const auto found = places_.find(call->endpoint);
  if (found == places_.end()) return end_all(call, Outcome::not_sent);
  const Microseconds rested = steady_now() - kRest;
  while (const auto connection = kept_.take(call->endpoint, rested)) {
    error_code bad;
    connection->socket.cancel(bad);
    char byte = 0;
    // Guards against writing to a kept connection that the endpoint has closed: that would be a reset.
    connection->socket.receive(net::buffer(&byte, 1), tcp::socket::message_peek, bad);
    if (bad != net::error::would_block) {
      connections_.closed_there++;
      continue;
    }
    call->connection = connection;
    arm(call);
    return write(call);
  }
  const Microseconds since = kept_.longest_idle_since(call->endpoint);
  const bool room = in_flight_ + kept_.size() < limits_.max_connections;
  if (since >= 0 && (limits_.wait_for_reuse || !room)) return begin_at(call, since + kRest);
  connect(call, found->second);
}

void Calls::begin_at(const std::shared_ptr<Call>& call, Microseconds when) {
  call->timer.set(span(std::max<Microseconds>(when - steady_now(), 0)), [this, call] { begin(call); });
}

void Calls::connect(const std::shared_ptr<Call>& call, const tcp::endpoint& address) {
  // Calls out come first: kept connections make room for theirs.
  while (in_flight_ + kept_.size() > limits_.max_connections && kept_.drop_longest_idle())
    connections_.evicted++;
  connections_.opened++;
  call->connection = std::make_shared<Connection>(io_);
  call->connection->address = address;
  arm(call);
  call->connection->socket.async_connect(call->connection->address, [this, call](error_code bad) {
    if (call->stage == Call::Stage::done) return;
    if (bad) return end_all(call, Outcome::connect_failed);
    call->connection->socket.set_option(tcp::no_delay(true), bad);
    call->connection->socket.non_blocking(true, bad);
    write(call);
  });
}

void Calls::write(const std::shared_ptr<Call>& call) {
  // What hears of this may have ended the call already.
  if (!may_begin_()) return call->stage == Call::Stage::done ? void() : end_all(call, Outcome::not_sent);
  // Guards against an effect twice: the connection may have come up late, and the destination have forgotten
  // a key.
  const Microseconds now = steady_now();
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    const Outgoing& m = call->messages[i];
    if (!call->over[i] && m.begin_by > 0 && now > m.begin_by) end(call, i, Outcome::not_sent);
    // Its time was up in the same moment, or this process stood still.
    if (!call->over[i] && now >= call->sent + m.timeout) end(call, i, Outcome::connect_failed);
  }
  if (call->stage == Call::Stage::done) return;
  // Those that ended while the connection came up stay out of the call.
  std::vector<Outgoing> live;
  Microseconds longest = 0;
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    if (call->over[i]) continue;
    // Its time runs since it was sent, also while its connection came up.
    longest = std::max(longest, call->sent + call->messages[i].timeout - now);
    live.push_back(std::move(call->messages[i]));
  }
  // No message of a call outlives its first: an endpoint may take the first one's time for that of
  // the call, and what it answers later for no answer.
  std::stable_sort(live.begin(), live.end(),
                   [](const Outgoing& a, const Outgoing& b) { return a.timeout > b.timeout; });
  call->messages = std::move(live);
  call->over.assign(call->messages.size(), false);
  call->cancelled.assign(call->messages.size(), false);
  const bool single = call->messages.size() == 1;
  auto& request = call->request;
  request.method(http::verb::post);
  request.version(11);
  request.target(single ? "/events" : "/events/bundle");
  request.set(http::field::host, "origin.svc");
  request.set("X-Deadline", std::to_string(longest) + "u");
  if (single) {
    request.set("X-Request-Id", call->messages[0].wire_id);
    if (!call->messages[0].idempotency_key.empty())
      request.set(kIdempotencyKey, call->messages[0].idempotency_key);
    request.body() = std::move(call->messages[0].body);
  } else {
    request.set(http::field::content_type, "application/json");
    request.body() = bundle_body(call->messages);
    for (auto& m : call->messages) m.body.clear();
  }
  request.prepare_payload();
  call->stage = Call::Stage::writing;
  HERONVANE_POINT("call.first-byte");
  write_all(call->connection->socket, wire_text(request),
            [this, call, kept = call->connection](error_code bad) {
              if (call->stage == Call::Stage::done) return;
              // The last byte was not written, so the call has not begun there.
              if (bad) return end_all(call, Outcome::connect_failed);
              HERONVANE_POINT("call.written");
              call->stage = Call::Stage::waiting;
              read(call);
            });
}

void Calls::read(const std::shared_ptr<Call>& call) {
  call->connection->socket.async_wait(tcp::socket::wait_read, [this, call](error_code bad) {
    if (call->stage == Call::Stage::done) return;
    if (bad) return broken(call);
    const Taken taken = take(call);
    if (taken == Taken::waiting) read(call);
    if (taken == Taken::shortage) call->read_pause.set(kShortageRetryDelay, [this, call] { read(call); });
  });
}

// Reads what has come of the answer; that may end the call.
Calls::Taken Calls::take(const std::shared_ptr<Call>& call) {
  using State = AnswerReader::State;
  error_code bad;
  const std::size_t size = call->connection->socket.read_some(net::buffer(chunk_), bad);
  if (would_block(bad)) return Taken::waiting;
  if (is_memory_shortage(bad)) return Taken::shortage;
  const State state = bad == net::error::eof ? call->answer.end()
                      : bad                  ? State::broken
                                             : call->answer.put(chunk_.data(), size);
  if (state == State::whole) return answered(call), Taken::ended;
  if (state == State::broken) return broken(call), Taken::ended;
  const bool begun = call->answer.begun();
  if (begun != (call->answer_due > 0)) {
    call->answer_due = begun ? steady_now() + kAnswerTime : 0;
    arm(call);
  }
  return Taken::waiting;
}

// The stream can't be trusted any more: what was sent may have run, whatever the first line said but 200.
void Calls::broken(const std::shared_ptr<Call>& call) {
  if (call->answer.has_head()) call->told_wait = call->answer.told_wait();
  odd_.add("answer broken");
  end_all(call, Outcome::reset);
}

void Calls::answered(const std::shared_ptr<Call>& call) {
  const AnswerReader& answer = call->answer;
  call->told_wait = answer.told_wait();
  if (limits_.read_load_reports) call->report = answer.report();
  call->sound = answer.reusable();
  const auto connection = call->connection;
  const unsigned status = answer.status();
  switch (status) {
    case 200:
      call->messages.size() > 1 ? answered_bundle(call) : end_all(call, Outcome::served, true);
      break;
    case 429:
      end_all(call, Outcome::rejected);
      break;
    case 503:
      end_all(call, answer.line_busy() ? Outcome::not_sent : Outcome::rejected);
      break;
    case 504:
      end_all(call, Outcome::not_sent);
      break;
    case 410:
      end_all(call, Outcome::not_sent, true);
      break;
    case 400:
    case 413:
      odd_.add("request turned down");
      end_all(call, Outcome::not_sent);
      break;
    case 500:
      end_all(call, Outcome::error);
      break;
    default:
      odd_.add("unknown status");
      call->sound = false;
      end_all(call, Outcome::error);
  }
  if (call->sound) keep(call->endpoint, connection);
}

void Calls::answered_bundle(const std::shared_ptr<Call>& call) {
  HERONVANE_POINT("outcome.bundle");
  rapidjson::Document v;
  const std::string& body = call->answer.body();
  // Not by recursion, which thousands of open brackets would take past the stack's end.
  v.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (v.HasParseError() || !v.IsArray()) {
    odd_.add("bundle's answer can't be read");
    call->sound = false;
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
      end(call, i, Outcome::rejected);
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
  Microseconds due = steady_now() + kNever;
  for (std::size_t i = 0; i < call->messages.size(); i++)
    if (!call->over[i]) due = std::min(due, given_up_at(*call, i));
  if (call->stage == Call::Stage::connecting) due = std::min(due, call->connect_due(limits_));
  if (call->answer_due > 0) due = std::min(due, call->answer_due);
  call->timer.set(span(std::max<Microseconds>(due - steady_now(), 0)), [this, call] {
    // An answer that is here counts, though it is read only now: its time was up in the same moment, or this
    // process stood still.
    if (call->stage == Call::Stage::waiting && take(call) == Taken::ended) return;
    const Microseconds now = steady_now();
    const bool connecting = call->stage == Call::Stage::connecting;
    if (connecting && now >= call->connect_due(limits_)) return end_all(call, Outcome::connect_failed);
    if (call->answer_due > 0 && now >= call->answer_due) return broken(call);
    give_up_due(call);
    arm(call);
  });
}

// A retry beside a call that is out would be a second copy: a message waits for the end of its call, or for
// its deadline, behind which it is not sent again.
Microseconds Calls::given_up_at(const Call& call, std::size_t part) const {
  const Outgoing& message = call.messages[part];
  const bool nothing_sent = call.stage == Call::Stage::connecting;
  if (limits_.hedging || nothing_sent) return call.sent + message.timeout;
  return std::min(call.sent + std::max(message.time_left, message.timeout), call.last_timeout());
}

void Calls::give_up_due(const std::shared_ptr<Call>& call) {
  const Microseconds now = steady_now();
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    if (call->over[i] || now < given_up_at(*call, i)) continue;
    // Once its first byte is on the way, a call that is given up may have run.
    const bool connecting = call->stage == Call::Stage::connecting;
    const Outcome begun = call->cancelled[i] ? Outcome::cancelled : Outcome::timeout;
    end(call, i, connecting ? Outcome::connect_failed : begun);
  }
}

void Calls::end(const std::shared_ptr<Call>& call, std::size_t part, Outcome outcome, bool closed) {
  if (call->over[part]) return;
  call->over[part] = true;
  const auto mine = by_message_.find(call->messages[part].id);
  if (mine != by_message_.end() && mine->second == call) by_message_.erase(mine);
  const bool given_up =
      outcome == Outcome::reset || outcome == Outcome::timeout || outcome == Outcome::cancelled;
  if (given_up && call->delivered()) outcome = Outcome::served, closed = true;
  heronvane::dispatch::event::AttemptEnded e;
  e.id = call->messages[part].id;
  e.attempt = call->messages[part].attempt;
  e.endpoint = call->endpoint;
  e.outcome = outcome;
  e.latency = steady_now() - call->sent;
  e.request_completed = closed;
  e.retry_after = call->told_wait;
  e.load_report = call->report;
  if (--call->left == 0) {
    call->stage = Call::Stage::done;
    call->timer.cancel();
    call->read_pause.cancel();
    remove_call(call);
    // Given up or broken: no answer may come on this connection any more.
    error_code ignored;
    if (call->connection && !call->sound) {
      connections_.unsound += call->connection->socket.is_open();
      call->connection->socket.close(ignored);
    }
    call->connection.reset();
  }
  ended_(e);
}

void Calls::end_all(const std::shared_ptr<Call>& call, Outcome outcome, bool closed) {
  for (std::size_t i = 0; i < call->messages.size(); i++) end(call, i, outcome, closed);
}

void Calls::remove_call(const std::shared_ptr<Call>& call) {
  const auto of = calls_.find(call->endpoint);
  if (of == calls_.end()) return;
  const auto at = std::find(of->second.begin(), of->second.end(), call);
  if (at == of->second.end()) return;  // there was no room for it
  in_flight_--;
  *at = std::move(of->second.back());
  of->second.pop_back();
  if (of->second.empty()) calls_.erase(of);
}

void Calls::cancel(MessageId id, int attempt) {
  const auto found = by_message_.find(id);
  if (found == by_message_.end()) return;
  const auto call = found->second;
  // As when its time is up: an answer that is here counts.
  if (call->stage == Call::Stage::waiting && take(call) == Taken::ended) return;
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    Outgoing& message = call->messages[i];
    if (call->over[i] || message.id != id || message.attempt != attempt) continue;
    call->cancelled[i] = true;
    message.timeout = std::min(message.timeout, steady_now() - call->sent);
  }
  give_up_due(call);
  // Before its first byte the timer may stand for the call's beginning.
  if (call->stage != Call::Stage::connecting) arm(call);
}

void Calls::abort_unsent(const EndpointId& endpoint) {
  const auto of = calls_.find(endpoint);
  if (of == calls_.end()) return;
  for (const auto& call : std::vector<std::shared_ptr<Call>>(of->second))
    if (call->stage == Call::Stage::connecting) end_all(call, Outcome::not_sent);
}

void Calls::read_pending_answers() {
  std::vector<std::shared_ptr<Call>> all;
  for (const auto& [endpoint, calls] : calls_) all.insert(all.end(), calls.begin(), calls.end());
  for (const auto& call : all)
    if (call->stage == Call::Stage::waiting) take(call);
}

void Calls::abort_all_unsent() {
  std::vector<EndpointId> all;
  for (const auto& [endpoint, calls] : calls_) all.push_back(endpoint);
  for (const auto& endpoint : all) abort_unsent(endpoint);
}

void Calls::keep(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection) {
  const auto found = places_.find(endpoint);
  if (found == places_.end() || connection->address != found->second) return;
  if (in_flight_ + kept_.size() >= limits_.max_connections) {
    connections_.not_kept++;
    return;
  }
  const bool first = kept_.empty();
  kept_.put(endpoint, connection, steady_now());
  if (first) sweep();
  watch_idle(connection, endpoint);
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
  connections_.closed_there++;
  kept_.drop(endpoint, connection);
}

void Calls::close_idle(const EndpointId& endpoint) { connections_.dropped += kept_.drop_all(endpoint); }

// Closes kept connections before their end comes; sleeps until the next is due.
void Calls::sweep() {
  const Microseconds now = steady_now(), most = static_cast<Microseconds>(
                                             kKeptPart * static_cast<double>(limits_.endpoint_idle_timeout));
  connections_.aged += kept_.drop_idle_since(now - most);
  if (kept_.empty()) return;
  sweep_timer_.set(span(kept_.oldest() + most - now), [this] { sweep(); });
}

}  // namespace heronvane
