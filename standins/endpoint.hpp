// An endpoint of a partner: POST /events and /events/bundle over kept connections on 127.0.0.1, answered as
// its behaviour has it. One thread: all calls come from the one that runs `io`.
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

// How often each message took effect, as the outside has it.
class Effects {
 public:
  void ran(const std::string& id) { times_[id]++; }
  unsigned times(const std::string& id) const {
    const auto it = times_.find(id);
    return it == times_.end() ? 0 : it->second;
  }
  void forget(const std::string& id) { times_.erase(id); }
  std::size_t messages() const { return times_.size(); }

 private:
  std::unordered_map<std::string, unsigned> times_;
};

// A call that came whole, for those who follow it.
struct Call {
  std::uint64_t number = 0;  // of this endpoint, from 1 on
  boost::asio::ip::tcp::endpoint from;
  Microseconds first_byte = 0;
  std::vector<std::string> ids;
};
enum class Stage {
  came,
  turned_away,  // 503; it never runs
  told_wait,    // 429, until `until`
  ran,          // it took effect
  answered,     // its 200 is written to a relay that still waits
  over,         // answered otherwise, or its connection ended
};

struct EndpointOptions {
  std::string name;
  boost::asio::ip::tcp::endpoint listen{boost::asio::ip::address_v4::loopback(), 0};
  std::size_t max_connections = 0;  // one more is answered 503 and closed; 0: any number
  // What becomes of a call, in place of the habits below; may be empty.
  std::function<Fate(const Call&)> decide;
  // All that happens to calls, and new connections (of which one too many: `crowded`); may be empty.
  std::function<void(const Call&, Stage, Microseconds until)> on_stage;
  std::function<void(const boost::asio::ip::tcp::endpoint& from, bool crowded)> connected;
  Habits habits;
  std::uint64_t seed = 0;
  std::function<Microseconds()> now;  // never goes back; empty: the steady clock
  std::size_t bundle_max = 20;
  Microseconds idle = 5'000'000;  // connections that stand silent so long are closed
  // A message came whole; `refused`: its answer proves that it will not run. May be empty, as those below.
  std::function<void(const std::string& id, bool refused)> arrived;
  // A message took effect; its 200 is written to a relay that still waits.
  std::function<void(const std::string&id)> ran, answered;
};

class Endpoint {
 public:
  struct Counts {  // of messages
    std::uint64_t served = 0, refused = 0, told_to_wait = 0, failed = 0, silent = 0, reset = 0;
    std::uint64_t given_up = 0;  // done when the relay had gone
    std::uint64_t malformed = 0, calls = 0, connections = 0;
  };

  // Listens at once on a port of its own. Throws std::exception.
  Endpoint(boost::asio::io_context& io, EndpointOptions options);
  ~Endpoint();  // ends all connections
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  // No process listens there from now on, and all connections are reset; and it listens again.
  void go_down();
  void come_back();

  const std::string& name() const;
  std::string address() const;  // "127.0.0.1:8081"
  const Counts& counts() const;
  bool silent() const;
  bool waits() const;

 private:
  class Impl;
  class Session;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::standins
