// Clients that hand in messages to several relays over persistent loopback connections. Not thread-safe: all
// calls must come from the thread that runs `io`, and callbacks run on it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "latencies.hpp"
#include "traffic.hpp"

namespace heronvane::standins {

// The result of one try to hand in a message.
enum class TryResult {
  taken,     // 202 or 200
  refused,   // 429 or 503: the message may be handed in again
  failed,    // any other answer
  silence,   // no answer in time, or the connection ended: the relay may still have taken the message
  no_relay,  // no connection: the message was never sent
};

struct ClientsOptions {
  struct Relay {
    std::string name;
    boost::asio::ip::tcp::endpoint address;
  };
  // Used in turn. A relay that refuses, does not answer or can't be reached is avoided for 0.1 to 1 s.
  std::vector<Relay> relays;
  TrafficPlan plan;
  std::uint64_t seed = 0;
  std::function<Microseconds()> now;      // must not go backwards; empty: the steady clock
  Microseconds answer_timeout = 400'000;  // wait for an answer; then the connection is closed
  unsigned tries = 4;  // most tries of a message, the first included; none starts after its deadline
  Microseconds default_retry_delay = 200'000;  // delay of a retry after a refusal without Retry-After
  // true: use the first relay in the list that is not being avoided; false: use them in turn.
  bool prefer_first = false;
  // Classes whose messages are handed in again after a try without an answer. The relays may then take such a
  // message twice.
  std::vector<std::string> retry_after_silence;
  // Called before a try sends its first byte, and when it has ended. May be empty.
  std::function<void(const Message&)> on_try;
  std::function<void(const Message&, std::size_t relay, TryResult)> on_try_result;
};

class Clients {
 public:
  struct Counts {
    // Messages by final result; `out` are not finished: handed = taken + refused + failed + silence + out.
    std::uint64_t handed = 0, taken = 0, refused = 0, failed = 0, silence = 0, out = 0;
    std::uint64_t tries = 0, refusals = 0;  // tries, and how many were refused
  };
  // Tries by result, for one relay.
  struct RelayCounts {
    std::uint64_t taken = 0, refusals = 0, failed = 0, silence = 0, unreached = 0;
    Latencies latencies;  // of the tries that ended with `taken`
  };

  // Throws std::invalid_argument if `options` names no relay. `io` must outlive the clients.
  Clients(boost::asio::io_context& io, ClientsOptions options);
  ~Clients();  // closes all connections; no callback runs afterwards
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void start();  // begins to hand in messages
  // Hands in no new message. Tries that are in flight may still be answered; nothing is retried.
  void stop();
  // Sets the rate to `factor` times the plan's from now on. Throws std::invalid_argument unless `factor` is
  // above 0.
  void pace(double factor);
  const Counts& counts() const;
  const RelayCounts& relay(std::size_t i) const;

 private:
  class Impl;
  class Connection;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::standins
