// Clients that hand in messages to several relays over kept connections on loopback. One thread: all calls
// come from the one that runs `io`.
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

// How one try to hand a message in ended.
enum class TryResult {
  taken,     // 202 or 200
  refused,   // 429 or 503: it may be handed in again
  failed,    // another answer
  silence,   // no answer in time, or the connection ended: the relay may have it all the same
  no_relay,  // no connection: it was never sent
};

struct ClientsOptions {
  struct Relay {
    std::string name;
    boost::asio::ip::tcp::endpoint address;
  };
  std::vector<Relay>
      relays;  // taken in turn; one that refuses or can't be reached is passed over for a while
  TrafficPlan plan;
  std::uint64_t seed = 0;
  std::function<Microseconds()> now;  // never goes back; empty: the steady clock
  Microseconds patience = 400'000;    // for an answer; then the connection is closed
  unsigned tries = 4;                 // of a message, the first among them; none after its deadline
  Microseconds come_back = 200'000;   // after a refusal that names no time
  // A relay is taken again while it serves, and the next one only while it is passed over; false: in turn.
  bool prefer_first = false;
  // A message of these classes is handed in again where no answer came. It may then be taken on twice.
  std::vector<std::string> retry_after_silence;
  // Before a try's first byte; and when it has ended. May be empty.
  std::function<void(const Message&)> on_try;
  std::function<void(const Message&, std::size_t relay, TryResult)> on_try_result;
};

class Clients {
 public:
  struct Counts {
    // Of messages, each counted once it is over: handed = taken + refused + failed + silence + out.
    std::uint64_t handed = 0, taken = 0, refused = 0, failed = 0, silence = 0, out = 0;
    std::uint64_t tries = 0, refusals = 0;  // of tries
  };
  struct OfRelay {
    std::uint64_t taken = 0, refusals = 0, failed = 0, silence = 0, unreached = 0;
    Latencies latencies;  // of answers that took a message on
  };

  Clients(boost::asio::io_context& io, ClientsOptions options);
  ~Clients();  // closes all connections
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void start();
  // Nothing new is handed in; what is out is waited for, and tried no more.
  void stop();
  // So many times the plan's rate from now on; above 0.
  void pace(double times);
  const Counts& counts() const;
  const OfRelay& relay(std::size_t i) const;

 private:
  class Impl;
  class Connection;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::standins
