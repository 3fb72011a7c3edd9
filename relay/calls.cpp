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

// Time for the rest of an answer once its first byte has arrived; a later one counts as broken. Otherwise
// heads and bodies that never end would occupy call slots until the message timeout.
constexpr Microseconds kAnswerTimeout = 400'000;
// Fraction of the endpoint's idle timeout after which an idle connection is closed. The rest covers the
// transit of the answer that started the endpoint's timer and of the next request.
constexpr double kMaxIdleFraction = 0.9;
constexpr Microseconds kNever = 3'600'000'000;

std::chrono::microseconds to_duration(Microseconds duration) { return std::chrono::microseconds(duration); }

std::string base64(const std::string& bytes) {
  std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
  text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string bundle_body(const std::vector<Outgoing>& messages) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto write_field = [&writer](const char* key, const std::string& value) {
    writer.Key(key), writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartArray();
  for (const auto& message : messages) {
    writer.StartObject();
    write_field("id", message.wire_id);
    if (!message.idempotency_key.empty()) write_field("key", message.idempotency_key);
    write_field("body", base64(message.body));
    writer.EndObject();
  }
  writer.EndArray();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

struct Calls::Connection {
  explicit Connection(net::io_context& io) : socket(io) {}
  tcp::socket socket;
  tcp::endpoint address;
  Microseconds answered_at = 0;  // when its last answer was read; 0: it had none yet
};

struct Calls::Call {
  Call(net::io_context& io, EndpointId endpoint_id, std::vector<Outgoing> outgoing)
      : endpoint(std::move(endpoint_id)),
        messages(std::move(outgoing)),
        ended(messages.size(), false),
        cancelled(messages.size(), false),
        timer(io),
        read_retry_timer(io) {
    unended = messages.size();
  }
  enum class Stage { connecting, writing, waiting, done };

  EndpointId endpoint;
  std::vector<Outgoing> messages;
  std::vector<bool> ended;      // by message: its outcome was reported
  std::vector<bool> cancelled;  // by message: its outcome is `cancelled` if it has no other
  std::size_t unended = 0;      // messages
  Stage stage = Stage::connecting;
  Microseconds started_at = steady_now();
  Microseconds written_at = 0;  // when writing began
  bool has_waited = false;      // for a connection in its reuse delay
  std::shared_ptr<Connection> connection;
  Timer timer;
  Timer read_retry_timer;  // while the system has no memory for a read
  http::request<http::string_body> request;
  AnswerReader answer;
  Microseconds answer_deadline = 0;  // for the rest of the answer; 0 before its first byte
  bool reusable = false;             // the connection, after this call
  Microseconds retry_after = 0;
  heronvane::dispatch::LoadReport report;

  // A single message is delivered once the status line says 200; a bundle needs the whole answer.
  bool delivered() const { return messages.size() == 1 && answer.says_ok(); }
  Microseconds connect_deadline(const CallLimits& limits) const {
    return started_at + limits.connect_timeout;
  }
  // The latest timeout of the messages that have not ended.
  Microseconds last_timeout() const {
    Microseconds last = 0;
    for (std::size_t i = 0; i < messages.size(); i++)
      if (!ended[i]) last = std::max(last, started_at + messages[i].timeout);
    return last;
  }
};

Calls::Calls(net::io_context& io, const CallLimits& limits, AttemptEndedCallback ended,
             MayBeginCallback may_begin)
    : io_(io),
      limits_(limits),
      ended_(std::move(ended)),
      may_begin_(std::move(may_begin)),
      unexpected_answers_(io, "unexpected answers"),
      expiry_timer_(io) {}
Calls::~Calls() = default;

void Calls::set_address(const EndpointId& endpoint, const tcp::endpoint& address) {
  const auto [entry, inserted] = endpoints_.try_emplace(endpoint, KnownEndpoint{address, {}});
  if (entry->second.address == address) return;
  entry->second = {address, {}};
  counters_.address_changed += idle_pool_.drop_all(endpoint);
}

void Calls::remove_endpoint(const EndpointId& endpoint) {
  counters_.address_changed += idle_pool_.drop_all(endpoint);
  endpoints_.erase(endpoint);
}

void Calls::send(const EndpointId& endpoint, std::vector<Outgoing> messages) {
  const auto call = std::make_shared<Call>(io_, endpoint, std::move(messages));
  const bool has_capacity = in_flight_ < limits_.max_in_flight && endpoints_.count(endpoint) > 0;
  if (has_capacity) {
    in_flight_++;
    calls_by_endpoint_[endpoint].push_back(call);
    for (const auto& message : call->messages) calls_by_message_[message.id] = call;
  }
  net::post(io_, [this, call, has_capacity] {
    if (call->stage == Call::Stage::done) return;
    if (!has_capacity) return end_all_messages(call, Outcome::not_sent);
    begin(call);
  });
}

void Calls::begin(const std::shared_ptr<Call>& call) {
  const auto found = endpoints_.find(call->endpoint);
  if (found == endpoints_.end()) return end_all_messages(call, Outcome::not_sent);
  const Microseconds now = steady_now();
  const ReuseDelay& reuse_delay = found->second.reuse_delay;
  if (use_idle_connection(call, now - reuse_delay.delay())) {
    set_timer(call);
    return write(call);
  }
  const Microseconds since = idle_pool_.longest_idle_since(call->endpoint);
  const Microseconds reusable_at = since + reuse_delay.delay();
  if (since >= 0 && should_wait(*call, reusable_at - now, reuse_delay)) {
    call->has_waited = true;
    return begin_at(call, reusable_at);
  }
  connect(call, found->second.address);
}

// Takes an idle connection last used at or before `last_used_before`; false if there is none.
bool Calls::use_idle_connection(const std::shared_ptr<Call>& call, Microseconds last_used_before) {
  while (const auto connection = idle_pool_.take(call->endpoint, last_used_before)) {
    error_code error;
    connection->socket.cancel(error);
    char byte = 0;
    // A request written to a connection that the endpoint has closed would end as a reset.
    connection->socket.receive(net::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == net::error::would_block) {
      call->connection = connection;
      return true;
    }
    count_unusable(*connection, call->endpoint);
  }
  return false;
}

// Whether a call should wait for a connection in its reuse delay rather than open one. It waits once at most:
// another call may take the connection first.
bool Calls::should_wait(const Call& call, Microseconds wait, const ReuseDelay& reuse_delay) const {
  if (call.has_waited || !reuse_delay.is_worth_waiting(wait)) return false;
  const bool has_capacity = in_flight_ + idle_pool_.size() < limits_.max_connections;
  return limits_.wait_for_reuse || !has_capacity;
}

void Calls::begin_at(const std::shared_ptr<Call>& call, Microseconds when) {
  call->timer.set(to_duration(std::max<Microseconds>(when - steady_now(), 0)), [this, call] { begin(call); });
}

void Calls::connect(const std::shared_ptr<Call>& call, const tcp::endpoint& address) {
  // Idle connections are closed to stay within the limit; calls in flight take precedence.
  while (in_flight_ + idle_pool_.size() > limits_.max_connections && idle_pool_.drop_longest_idle())
    counters_.evicted++;
  counters_.opened++;
  call->connection = std::make_shared<Connection>(io_);
  call->connection->address = address;
  set_timer(call);
  call->connection->socket.async_connect(call->connection->address, [this, call](error_code error) {
    if (call->stage == Call::Stage::done) return;
    if (error) return end_all_messages(call, Outcome::connect_failed);
    call->connection->socket.set_option(tcp::no_delay(true), error);
    call->connection->socket.non_blocking(true, error);
    write(call);
  });
}

void Calls::write(const std::shared_ptr<Call>& call) {
  // may_begin_() may have ended the call itself.
  if (!may_begin_())
    return call->stage == Call::Stage::done ? void() : end_all_messages(call, Outcome::not_sent);
  // The connection may have been established so late that the destination has forgotten the idempotency key;
  // the message could then take effect twice.
  const Microseconds now = steady_now();
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    const Outgoing& message = call->messages[i];
    if (!call->ended[i] && message.begin_by > 0 && now > message.begin_by)
      end_message(call, i, Outcome::not_sent);
    // The timeout may pass before its timer runs, for instance while this process is suspended.
    if (!call->ended[i] && now >= call->started_at + message.timeout)
      end_message(call, i, Outcome::connect_failed);
  }
  if (call->stage == Call::Stage::done) return;
  // Messages that ended while connecting are left out of the request.
  std::vector<Outgoing> unended;
  Microseconds longest_time_left = 0;
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    if (call->ended[i]) continue;
    // The timeout counts from send(), so it includes the time taken to connect.
    longest_time_left = std::max(longest_time_left, call->started_at + call->messages[i].timeout - now);
    unended.push_back(std::move(call->messages[i]));
  }
  // The message with the longest timeout goes first: an endpoint may take the first one's timeout as that of
  // the whole call and treat its own later answer as lost.
  std::stable_sort(unended.begin(), unended.end(),
                   [](const Outgoing& a, const Outgoing& b) { return a.timeout > b.timeout; });
  call->messages = std::move(unended);
  call->ended.assign(call->messages.size(), false);
  call->cancelled.assign(call->messages.size(), false);
  const bool single = call->messages.size() == 1;
  auto& request = call->request;
  request.method(http::verb::post);
  request.version(11);
  request.target(single ? "/events" : "/events/bundle");
  request.set(http::field::host, "origin.svc");
  request.set("X-Deadline", std::to_string(longest_time_left) + "u");
  if (single) {
    request.set("X-Request-Id", call->messages[0].wire_id);
    if (!call->messages[0].idempotency_key.empty())
      request.set(kIdempotencyKey, call->messages[0].idempotency_key);
    request.body() = std::move(call->messages[0].body);
  } else {
    request.set(http::field::content_type, "application/json");
    request.body() = bundle_body(call->messages);
    for (auto& message : call->messages) message.body.clear();
  }
  request.prepare_payload();
  call->stage = Call::Stage::writing;
  call->written_at = now;
  HERONVANE_POINT("call.first-byte");
  write_all(call->connection->socket, wire_text(request),
            [this, call, connection = call->connection](error_code error) {
              if (call->stage == Call::Stage::done) return;
              // The request is incomplete, so the endpoint can't have processed it.
              if (error) return end_all_messages(call, Outcome::connect_failed);
              HERONVANE_POINT("call.written");
              call->stage = Call::Stage::waiting;
              read(call);
            });
}

void Calls::read(const std::shared_ptr<Call>& call) {
  call->connection->socket.async_wait(tcp::socket::wait_read, [this, call](error_code error) {
    if (call->stage == Call::Stage::done) return;
    if (error) return handle_broken_answer(call);
    const ReadResult result = read_available(call);
    if (result == ReadResult::waiting) read(call);
    if (result == ReadResult::shortage)
      call->read_retry_timer.set(kShortageRetryDelay, [this, call] { read(call); });
  });
}

// Reads the part of the answer that has arrived, without waiting. May end the call.
Calls::ReadResult Calls::read_available(const std::shared_ptr<Call>& call) {
  using State = AnswerReader::State;
  error_code error;
  const std::size_t size = call->connection->socket.read_some(net::buffer(read_buffer_), error);
  if (would_block(error)) return ReadResult::waiting;
  if (is_memory_shortage(error)) return ReadResult::shortage;
  const State state = error == net::error::eof ? call->answer.end()
                      : error                  ? State::broken
                                               : call->answer.put(read_buffer_.data(), size);
  if (state == State::whole) return handle_answer(call), ReadResult::ended;
  if (state == State::broken) return handle_broken_answer(call), ReadResult::ended;
  const bool begun = call->answer.begun();
  if (begun != (call->answer_deadline > 0)) {
    call->answer_deadline = begun ? steady_now() + kAnswerTimeout : 0;
    set_timer(call);
  }
  return ReadResult::waiting;
}

// The rest of the stream can't be interpreted. Unless the status line says 200, whatever it says, the request
// may have been processed.
void Calls::handle_broken_answer(const std::shared_ptr<Call>& call) {
  if (call->answer.has_head()) call->retry_after = call->answer.retry_after();
  unexpected_answers_.add("malformed or incomplete answer");
  end_all_messages(call, Outcome::reset);
}

void Calls::handle_answer(const std::shared_ptr<Call>& call) {
  const AnswerReader& answer = call->answer;
  call->retry_after = answer.retry_after();
  if (limits_.read_load_reports) call->report = answer.report();
  call->reusable = answer.reusable();
  const auto connection = call->connection;
  record_answer_time(*call);
  const unsigned status = answer.status();
  switch (status) {
    case 200:
      call->messages.size() > 1 ? handle_bundle_answer(call) : end_all_messages(call, Outcome::served, true);
      break;
    case 429:
      end_all_messages(call, Outcome::rejected);
      break;
    case 503:
      end_all_messages(call, answer.line_busy() ? Outcome::not_sent : Outcome::rejected);
      break;
    case 504:
      end_all_messages(call, Outcome::not_sent);
      break;
    case 410:
      end_all_messages(call, Outcome::not_sent, true);
      break;
    case 400:
    case 413:
      unexpected_answers_.add("request rejected with 400 or 413");
      end_all_messages(call, Outcome::not_sent);
      break;
    case 500:
      end_all_messages(call, Outcome::error);
      break;
    default:
      unexpected_answers_.add("unknown status code");
      call->reusable = false;
      end_all_messages(call, Outcome::error);
  }
  if (call->reusable) keep_connection(call->endpoint, connection);
}

void Calls::record_answer_time(const Call& call) {
  const Microseconds now = steady_now();
  const auto found = endpoints_.find(call.endpoint);
  const bool is_first = call.connection->answered_at == 0;
  call.connection->answered_at = now;
  if (is_first && found != endpoints_.end() && found->second.address == call.connection->address)
    found->second.reuse_delay.record_first_answer(now - call.written_at);
}

void Calls::handle_bundle_answer(const std::shared_ptr<Call>& call) {
  HERONVANE_POINT("outcome.bundle");
  rapidjson::Document document;
  const std::string& body = call->answer.body();
  // The recursive parser would overflow the stack on thousands of nested brackets.
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsArray()) {
    unexpected_answers_.add("bundle answer is not a JSON array");
    call->reusable = false;
    return end_all_messages(call, Outcome::reset);
  }
  std::map<std::string, std::string> states;
  for (const auto& entry : document.GetArray()) {
    if (!entry.IsObject()) continue;
    const auto id = entry.FindMember("id"), state = entry.FindMember("state");
    if (id == entry.MemberEnd() || state == entry.MemberEnd()) continue;
    if (id->value.IsString() && state->value.IsString())
      states[id->value.GetString()] = state->value.GetString();
  }
  // An answer that leaves out a message may be that of another call.
  for (const Outgoing& message : call->messages)
    if (states.count(message.wire_id) == 0) call->reusable = false;
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    const std::string& state = states[call->messages[i].wire_id];
    if (state == "done")
      end_message(call, i, Outcome::served, true);
    else if (state == "busy")
      end_message(call, i, Outcome::rejected);
    else if (state == "void")
      end_message(call, i, Outcome::not_sent, true);
    else if (state == "used_up")
      end_message(call, i, Outcome::not_sent);
    else  // "failed", missing or unknown: it may have been processed
      end_message(call, i, Outcome::error);
  }
}

// Sets the timer to the earliest of the connect deadline, the answer deadline and the messages' give-up
// times.
void Calls::set_timer(const std::shared_ptr<Call>& call) {
  if (call->stage == Call::Stage::done) return;
  Microseconds due = steady_now() + kNever;
  for (std::size_t i = 0; i < call->messages.size(); i++)
    if (!call->ended[i]) due = std::min(due, give_up_time(*call, i));
  if (call->stage == Call::Stage::connecting) due = std::min(due, call->connect_deadline(limits_));
  if (call->answer_deadline > 0) due = std::min(due, call->answer_deadline);
  call->timer.set(to_duration(std::max<Microseconds>(due - steady_now(), 0)), [this, call] {
    // An answer that has arrived counts even if this timer runs before it is read, for instance after this
    // process was suspended.
    if (call->stage == Call::Stage::waiting && read_available(call) == ReadResult::ended) return;
    const Microseconds now = steady_now();
    const bool connecting = call->stage == Call::Stage::connecting;
    if (connecting && now >= call->connect_deadline(limits_))
      return end_all_messages(call, Outcome::connect_failed);
    if (call->answer_deadline > 0 && now >= call->answer_deadline) return handle_broken_answer(call);
    give_up_expired(call);
    set_timer(call);
  });
}

// Without hedging, a retry must not overlap the call in flight: a message is given up only when its call ends
// or at its deadline, after which it is not retried.
Microseconds Calls::give_up_time(const Call& call, std::size_t index) const {
  const Outgoing& message = call.messages[index];
  const bool nothing_sent = call.stage == Call::Stage::connecting;
  if (limits_.hedging || nothing_sent) return call.started_at + message.timeout;
  return std::min(call.started_at + std::max(message.time_left, message.timeout), call.last_timeout());
}

void Calls::give_up_expired(const std::shared_ptr<Call>& call) {
  const Microseconds now = steady_now();
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    if (call->ended[i] || now < give_up_time(*call, i)) continue;
    // From its first byte on, a call that is given up may have been processed.
    const bool connecting = call->stage == Call::Stage::connecting;
    const Outcome written_outcome = call->cancelled[i] ? Outcome::cancelled : Outcome::timeout;
    end_message(call, i, connecting ? Outcome::connect_failed : written_outcome);
  }
}

void Calls::end_message(const std::shared_ptr<Call>& call, std::size_t index, Outcome outcome,
                        bool request_completed) {
  if (call->ended[index]) return;
  call->ended[index] = true;
  const auto found = calls_by_message_.find(call->messages[index].id);
  if (found != calls_by_message_.end() && found->second == call) calls_by_message_.erase(found);
  const bool given_up =
      outcome == Outcome::reset || outcome == Outcome::timeout || outcome == Outcome::cancelled;
  if (given_up && call->delivered()) outcome = Outcome::served, request_completed = true;
  heronvane::dispatch::event::AttemptEnded attempt_end;
  attempt_end.id = call->messages[index].id;
  attempt_end.attempt = call->messages[index].attempt;
  attempt_end.endpoint = call->endpoint;
  attempt_end.outcome = outcome;
  attempt_end.latency = steady_now() - call->started_at;
  attempt_end.request_completed = request_completed;
  attempt_end.retry_after = call->retry_after;
  attempt_end.load_report = call->report;
  if (--call->unended == 0) {
    call->stage = Call::Stage::done;
    call->timer.cancel();
    call->read_retry_timer.cancel();
    remove_call(call);
    // Given up or broken: a late answer on this connection would be read as that of the next call.
    error_code ignored;
    if (call->connection && !call->reusable) {
      counters_.not_reusable += call->connection->socket.is_open();
      call->connection->socket.close(ignored);
    }
    call->connection.reset();
  }
  ended_(attempt_end);
}

void Calls::end_all_messages(const std::shared_ptr<Call>& call, Outcome outcome, bool request_completed) {
  for (std::size_t i = 0; i < call->messages.size(); i++) end_message(call, i, outcome, request_completed);
}

void Calls::remove_call(const std::shared_ptr<Call>& call) {
  const auto entry = calls_by_endpoint_.find(call->endpoint);
  if (entry == calls_by_endpoint_.end()) return;
  const auto position = std::find(entry->second.begin(), entry->second.end(), call);
  if (position == entry->second.end()) return;  // send() had no capacity for it
  in_flight_--;
  *position = std::move(entry->second.back());
  entry->second.pop_back();
  if (entry->second.empty()) calls_by_endpoint_.erase(entry);
}

void Calls::cancel(MessageId id, int attempt) {
  const auto found = calls_by_message_.find(id);
  if (found == calls_by_message_.end()) return;
  const auto call = found->second;
  // As at a timeout, an answer that has arrived counts.
  if (call->stage == Call::Stage::waiting && read_available(call) == ReadResult::ended) return;
  for (std::size_t i = 0; i < call->messages.size(); i++) {
    Outgoing& message = call->messages[i];
    if (call->ended[i] || message.id != id || message.attempt != attempt) continue;
    call->cancelled[i] = true;
    message.timeout = std::min(message.timeout, steady_now() - call->started_at);
  }
  give_up_expired(call);
  // While connecting, the timer may be that of begin_at(), which must not be replaced.
  if (call->stage != Call::Stage::connecting) set_timer(call);
}

void Calls::abort_unsent(const EndpointId& endpoint) {
  const auto entry = calls_by_endpoint_.find(endpoint);
  if (entry == calls_by_endpoint_.end()) return;
  for (const auto& call : std::vector<std::shared_ptr<Call>>(entry->second))
    if (call->stage == Call::Stage::connecting) end_all_messages(call, Outcome::not_sent);
}

void Calls::read_pending_answers() {
  std::vector<std::shared_ptr<Call>> all_calls;
  for (const auto& [endpoint, calls] : calls_by_endpoint_)
    all_calls.insert(all_calls.end(), calls.begin(), calls.end());
  for (const auto& call : all_calls)
    if (call->stage == Call::Stage::waiting) read_available(call);
}

void Calls::abort_all_unsent() {
  std::vector<EndpointId> all_endpoints;
  for (const auto& [endpoint, calls] : calls_by_endpoint_) all_endpoints.push_back(endpoint);
  for (const auto& endpoint : all_endpoints) abort_unsent(endpoint);
}

void Calls::keep_connection(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end() || connection->address != found->second.address) return;
  if (in_flight_ + idle_pool_.size() >= limits_.max_connections) {
    counters_.not_kept++;
    return;
  }
  const bool was_empty = idle_pool_.empty();
  idle_pool_.put(endpoint, connection, steady_now());
  if (was_empty) close_expired();
  watch_idle_connection(connection, endpoint);
}

// An idle connection that becomes readable was closed by the endpoint or holds unexpected data.
void Calls::watch_idle_connection(const std::shared_ptr<Connection>& connection, const EndpointId& endpoint) {
  connection->socket.async_wait(tcp::socket::wait_read,
                                [this, weak = std::weak_ptr(connection), endpoint](error_code error) {
                                  const auto readable = weak.lock();
                                  if (!error && readable) drop_closed_connection(endpoint, *readable);
                                });
}

void Calls::drop_closed_connection(const EndpointId& endpoint, Connection& connection) {
  count_unusable(connection, endpoint);
  idle_pool_.drop(endpoint, &connection);
}

// Counts why an idle connection is of no further use.
void Calls::count_unusable(Connection& connection, const EndpointId& endpoint) {
  error_code error;
  if (connection.socket.available(error) == 0) {
    counters_.closed_by_endpoint++;
    return;
  }
  counters_.unexpected_data++;
  unexpected_answers_.add("data behind an answer");
  const auto found = endpoints_.find(endpoint);
  if (found != endpoints_.end())
    found->second.reuse_delay.record_unexpected_bytes(steady_now() - connection.answered_at);
}

void Calls::close_idle(const EndpointId& endpoint) {
  counters_.closed_on_request += idle_pool_.drop_all(endpoint);
}

// Closes idle connections before the endpoint does; sets a timer for the next one.
void Calls::close_expired() {
  const Microseconds now = steady_now(),
                     max_idle = static_cast<Microseconds>(kMaxIdleFraction *
                                                          static_cast<double>(limits_.endpoint_idle_timeout));
  counters_.expired += idle_pool_.drop_idle_since(now - max_idle);
  if (idle_pool_.empty()) return;
  expiry_timer_.set(to_duration(idle_pool_.oldest() + max_idle - now), [this] { close_expired(); });
}

}  // namespace heronvane
