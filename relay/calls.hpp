// Sends HTTP calls to endpoints, one message or a bundle each, and reports the outcome of every message.
//
// A connection carries one call at a time. Idle connections are kept for reuse, the most recently used first
// of those that have been silent for the endpoint's ReuseDelay, and closed before the endpoint's own idle
// timeout. Each message has its own timeout; a call ends when all
// its messages have ended. Without hedging, a message whose timeout has passed stays in its call until the
// call ends or the message's deadline passes.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "backends/idle_connection_pool.hpp"
#include "backends/reuse_delay.hpp"
#include "clock.hpp"
#include "core/timer.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "log.hpp"

namespace heronvane {

using heronvane::dispatch::EndpointId;
using heronvane::dispatch::MessageId;
using heronvane::dispatch::Outcome;

// A message to be sent in a call.
struct Outgoing {
  MessageId id = 0;
  int attempt = 0;
  Microseconds timeout = 0;    // of the attempt, from send() on
  Microseconds time_left = 0;  // until its deadline, from send() on; ignored if shorter than `timeout`
  std::string wire_id, body;
  std::string idempotency_key;  // empty if the client gave none
  Microseconds begin_by = 0;    // latest steady_now() at which the call may be written; 0: no limit
};

// Limits and options of all calls of a process.
struct CallLimits {
  std::size_t max_in_flight = 1;  // calls in flight
  Microseconds connect_timeout = 0;
  Microseconds endpoint_idle_timeout = 0;  // after which endpoints close idle connections
  std::size_t max_connections = 1;         // in flight and idle together
  bool read_load_reports = false;          // from the answers' X-Load header
  bool hedging = false;        // a message may be retried while an earlier call with it is in flight
  bool wait_for_reuse = true;  // wait for a connection in its reuse delay rather than open a new one
};

// Owned by the executor; used on the event loop's thread only, where the callbacks run, too.
class Calls {
 public:
  using AttemptEndedCallback = std::function<void(const heronvane::dispatch::event::AttemptEnded&)>;

  // Called right before a request is written; if it returns false, the call ends as not sent. It may itself
  // abort calls.
  using MayBeginCallback = std::function<bool()>;

  Calls(boost::asio::io_context& io, const CallLimits& limits, AttemptEndedCallback ended,
        MayBeginCallback may_begin);
  ~Calls();

  // Sets the address of an endpoint. If it changed, idle connections to the old one are closed.
  void set_address(const EndpointId& endpoint, const boost::asio::ip::tcp::endpoint& address);
  void remove_endpoint(const EndpointId& endpoint);
  // Starts one call with all `messages`. The AttemptEndedCallback runs once for each of them, never from
  // inside send(). They end as not sent where the limit of calls in flight is reached or the endpoint has no
  // address.
  void send(const EndpointId& endpoint, std::vector<Outgoing> messages);
  // Ends an attempt. Without hedging, a message of a bundle that was written already ends with the bundle.
  void cancel(MessageId id, int attempt);
  void close_idle(const EndpointId& endpoint);  // its idle connections
  // Ends, as not sent, the calls to an endpoint that have not been written yet.
  void abort_unsent(const EndpointId& endpoint);
  void abort_all_unsent();
  // Reads the answers that have arrived without waiting for the event loop's next iteration.
  void read_pending_answers();

  std::size_t in_flight() const { return in_flight_; }
  std::size_t idle_connections() const { return idle_pool_.size(); }

  // Counts since the start: connections opened, and why connections were closed rather than reused.
  struct ConnectionCounters {
    std::uint64_t opened = 0;
    std::uint64_t closed_by_endpoint = 0;  // idle, closed by the endpoint
    std::uint64_t unexpected_data = 0;     // idle, with data behind the answer before
    std::uint64_t expired = 0;             // idle, closed before the endpoint's idle timeout
    std::uint64_t evicted = 0;             // idle, closed at the connection limit for a call's connection
    std::uint64_t not_kept = 0;            // closed after their call at the connection limit
    std::uint64_t closed_on_request = 0;   // by close_idle()
    std::uint64_t address_changed = 0;     // the endpoint was removed or moved to another address
    std::uint64_t not_reusable = 0;        // after a timeout, a broken answer or one that ends the connection
  };
  const ConnectionCounters& connections() const { return counters_; }

 private:
  struct Connection;
  struct Call;
  struct KnownEndpoint {
    boost::asio::ip::tcp::endpoint address;
    ReuseDelay reuse_delay;
  };

  void begin(const std::shared_ptr<Call>& call);
  void begin_at(const std::shared_ptr<Call>& call, Microseconds when);
  bool use_idle_connection(const std::shared_ptr<Call>& call, Microseconds last_used_before);
  bool should_wait(const Call& call, Microseconds wait, const ReuseDelay& reuse_delay) const;
  void connect(const std::shared_ptr<Call>& call, const boost::asio::ip::tcp::endpoint& address);
  void write(const std::shared_ptr<Call>& call);
  void read(const std::shared_ptr<Call>& call);
  enum class ReadResult { ended, waiting, shortage };
  ReadResult read_available(const std::shared_ptr<Call>& call);
  void handle_answer(const std::shared_ptr<Call>& call);
  void handle_broken_answer(const std::shared_ptr<Call>& call);
  void record_answer_time(const Call& call);
  void handle_bundle_answer(const std::shared_ptr<Call>& call);
  void set_timer(const std::shared_ptr<Call>& call);
  // When to give up a message that has not ended.
  Microseconds give_up_time(const Call& call, std::size_t index) const;
  void give_up_expired(const std::shared_ptr<Call>& call);
  void end_message(const std::shared_ptr<Call>& call, std::size_t index, Outcome outcome,
                   bool request_completed = false);
  void end_all_messages(const std::shared_ptr<Call>& call, Outcome outcome, bool request_completed = false);
  void keep_connection(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection);
  void watch_idle_connection(const std::shared_ptr<Connection>& connection, const EndpointId& endpoint);
  void drop_closed_connection(const EndpointId& endpoint, Connection& connection);
  void count_unusable(Connection& connection, const EndpointId& endpoint);
  void close_expired();
  void remove_call(const std::shared_ptr<Call>& call);

  boost::asio::io_context& io_;
  CallLimits limits_;
  AttemptEndedCallback ended_;
  MayBeginCallback may_begin_;
  CounterLog unexpected_answers_;
  std::array<char, 16 * 1024> read_buffer_{};  // used by one read at a time
  Timer expiry_timer_;
  std::unordered_map<EndpointId, KnownEndpoint> endpoints_;
  std::unordered_map<EndpointId, std::vector<std::shared_ptr<Call>>> calls_by_endpoint_;  // in flight
  std::unordered_map<MessageId, std::shared_ptr<Call>> calls_by_message_;  // until the message ends
  std::size_t in_flight_ = 0;
  IdleConnectionPool<Connection> idle_pool_;
  ConnectionCounters counters_;
};

}  // namespace heronvane
