// A partner's endpoint: answers POST /events and /events/bundle over persistent connections on 127.0.0.1, as
// its Behaviour decides. Not thread-safe: all calls must come from the thread that runs `io`, and callbacks
// run on it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "behaviour.hpp"

namespace heronvane::standins {

// Counts how often each message took effect at the endpoints.
class Effects {
 public:
  void ran(const std::string& id) { times_[id]++; }
  unsigned times(const std::string& id) const {
    const auto found = times_.find(id);
    return found == times_.end() ? 0 : found->second;
  }
  void forget(const std::string& id) { times_.erase(id); }
  std::size_t messages() const { return times_.size(); }

 private:
  std::unordered_map<std::string, unsigned> times_;
};

// A call that was read completely, as passed to the callbacks.
struct Call {
  std::uint64_t number = 0;  // counts this endpoint's calls, from 1
  boost::asio::ip::tcp::endpoint from;
  Microseconds first_byte = 0;
  std::vector<std::string> ids;
};
// The stages of a call, as reported to `on_stage`.
enum class Stage {
  came,         // it was read completely
  turned_away,  // answered 503 or 429; it never takes effect
  told_wait,    // answered 429; reported after turned_away, with the end of the wait in `until`
  ran,          // it took effect
  answered,     // its 200 has been written to a relay that has not given the call up
  over,         // it ended with another answer, or its connection ended
};

struct EndpointOptions {
  std::string name;
  boost::asio::ip::tcp::endpoint listen{boost::asio::ip::address_v4::loopback(), 0};
  // A call on a connection above the limit is answered 503, and the connection closed. 0: no limit.
  std::size_t max_connections = 0;
  // Decides each call instead of the habits below. May be empty.
  std::function<Fate(const Call&)> decide;
  // Called at each stage of a call, and for each new connection (`crowded`: it is above the limit). May be
  // empty.
  std::function<void(const Call&, Stage, Microseconds until)> on_stage;
  std::function<void(const boost::asio::ip::tcp::endpoint& from, bool crowded)> connected;
  Habits habits;
  std::uint64_t seed = 0;
  std::function<Microseconds()> now;  // must not go backwards; empty: the steady clock
  std::size_t bundle_max = 20;        // messages; a larger bundle is answered 413
  Microseconds idle = 5'000'000;      // time to wait for a whole call; then the connection is closed
  // Called for each message of a call that was read; `refused`: it is answered 503 or 429 and will not take
  // effect. May be empty, like the callbacks below.
  std::function<void(const std::string& id, bool refused)> arrived;
  // Called when a message took effect, and when its 200 has been written.
  std::function<void(const std::string&id)> ran, answered;
};

class Endpoint {
 public:
  struct Counts {
    // Messages, by how their call was treated.
    std::uint64_t served = 0, refused = 0, told_to_wait = 0, failed = 0, silent = 0, reset = 0;
    std::uint64_t given_up = 0;  // took effect after the relay had closed the connection
    // Calls and connections.
    std::uint64_t malformed = 0, calls = 0, connections = 0;
  };

  // Listens at once, by default on a free port. Throws std::exception if it can't
  // listen. `io` must outlive the endpoint.
  Endpoint(boost::asio::io_context& io, EndpointOptions options);
  ~Endpoint();  // closes all connections; no callback runs afterwards
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  // Stops listening and resets all connections.
  void go_down();
  // Listens again at the same address; does nothing if it listens already. Throws if it can't listen.
  void come_back();

  const std::string& name() const;
  std::string address() const;  // "127.0.0.1:8081"
  const Counts& counts() const;
  bool silent() const;  // whether calls are left unanswered at present
  bool waits() const;   // whether calls are told to wait at present

 private:
  class Impl;
  class Session;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::standins
