// Calls to endpoints: connections, bundles, outcomes.
//
// A connection carries one call at a time; kept ones are used freshest first and closed before the endpoint
// would. Each message in a call has its own time-out; the call ends with the last of them. Where no second
// copies are allowed, a message whose time is up stays in its call until that ends, or until its deadline.
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
#include "clock.hpp"
#include "core/timer.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "log.hpp"

namespace heronvane {

using heronvane::dispatch::EndpointId;
using heronvane::dispatch::MessageId;
using heronvane::dispatch::Outcome;

struct Outgoing {
  MessageId id = 0;
  int attempt = 0;
  Microseconds timeout = 0;
  Microseconds time_left = 0;  // until its deadline, from the sending on; `timeout` where that is longer
  std::string wire_id, body;
  std::string idempotency_key;  // empty: none
  Microseconds begin_by = 0;    // its call may begin until then, as steady_now() tells it; 0: whenever
};

struct CallLimits {
  std::size_t max_in_flight = 1;  // calls out at once
  Microseconds connect_timeout = 0;
  Microseconds endpoint_idle_timeout = 0;  // endpoints close connections that were idle for so long
  std::size_t max_connections = 1;         // of calls out and kept ones together
  bool read_load_reports = false;          // answers may hold load reports
  bool hedging = false;                    // a message may be sent again while a call with it is out
  bool wait_for_reuse = true;  // a call waits for a kept connection that rests, in place of opening one
};

class Calls {
 public:
  using AttemptEndedCallback = std::function<void(const heronvane::dispatch::event::AttemptEnded&)>;

  // Asked right before a call begins; where it says no the call ends as not sent.
  using MayBeginCallback = std::function<bool()>;

  Calls(boost::asio::io_context& io, const CallLimits& limits, AttemptEndedCallback ended,
        MayBeginCallback may_begin);
  ~Calls();

  // Where an endpoint is found; kept connections to another address are closed.
  void set_address(const EndpointId& endpoint, const boost::asio::ip::tcp::endpoint& address);
  void remove_endpoint(const EndpointId& endpoint);  // it is gone
  // One call; `ended` hears of each message once, never from inside send().
  void send(const EndpointId& endpoint, std::vector<Outgoing> messages);
  void cancel(MessageId id, int attempt);
  void close_idle(const EndpointId& endpoint);
  // Ends, as not sent, the calls to an endpoint of which no byte has gone out.
  void abort_unsent(const EndpointId& endpoint);
  void abort_all_unsent();
  // Reads the answers that are here, as the loop would in its next turn.
  void read_pending_answers();

  std::size_t in_flight() const { return in_flight_; }
  std::size_t kept() const { return kept_.size(); }

  // Since the start: how many connections were opened, and where those went that could have been used again.
  struct Connections {
    std::uint64_t opened = 0;
    std::uint64_t closed_there = 0;  // kept ones that the endpoint closed, or sent something on
    std::uint64_t aged = 0;          // closed for their age, before the endpoint would
    std::uint64_t evicted = 0;       // for want of room, for a call that needed one
    std::uint64_t not_kept = 0;      // for want of room, after their call
    std::uint64_t dropped = 0;       // as the module asked
    std::uint64_t moved = 0;         // their endpoint is gone, or elsewhere
    std::uint64_t unsound = 0;  // not to be used again: answers that end a connection, spoilt ones, time-outs
  };
  const Connections& connections() const { return connections_; }

 private:
  struct Connection;
  struct Call;

  void begin(const std::shared_ptr<Call>& call);
  void begin_at(const std::shared_ptr<Call>& call, Microseconds when);
  void connect(const std::shared_ptr<Call>& call, const boost::asio::ip::tcp::endpoint& address);
  void write(const std::shared_ptr<Call>& call);
  void read(const std::shared_ptr<Call>& call);
  enum class Taken { ended, waiting, shortage };
  Taken take(const std::shared_ptr<Call>& call);
  void answered(const std::shared_ptr<Call>& call);
  void broken(const std::shared_ptr<Call>& call);
  void answered_bundle(const std::shared_ptr<Call>& call);
  void arm(const std::shared_ptr<Call>& call);
  // When a message that is not over is given up.
  Microseconds given_up_at(const Call& call, std::size_t part) const;
  void give_up_due(const std::shared_ptr<Call>& call);
  void end(const std::shared_ptr<Call>& call, std::size_t part, Outcome outcome, bool closed = false);
  void end_all(const std::shared_ptr<Call>& call, Outcome outcome, bool closed = false);
  void keep(const EndpointId& endpoint, const std::shared_ptr<Connection>& connection);
  void watch_idle(const std::shared_ptr<Connection>& connection, const EndpointId& endpoint);
  void drop(const EndpointId& endpoint, const Connection* connection);
  void sweep();
  void remove_call(const std::shared_ptr<Call>& call);

  boost::asio::io_context& io_;
  CallLimits limits_;
  AttemptEndedCallback ended_;
  MayBeginCallback may_begin_;
  CounterLog odd_;
  std::array<char, 16 * 1024> chunk_{};  // what was read last
  Timer sweep_timer_;
  std::unordered_map<EndpointId, boost::asio::ip::tcp::endpoint> places_;
  std::unordered_map<EndpointId, std::vector<std::shared_ptr<Call>>> calls_;  // out, by endpoint
  std::unordered_map<MessageId, std::shared_ptr<Call>> by_message_;  // their messages, until each is over
  std::size_t in_flight_ = 0;
  IdleConnectionPool<Connection> kept_;
  Connections connections_;
};

}  // namespace heronvane
