// The network between the parties of a run: every connection and datagram goes through it, on loopback, in
// one loop. A link has an address of its own, under which one party sees another; faults strike links.
//
// One thread: all calls come from the one that runs `io`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "experiment.hpp"

namespace heronvane::lab {

using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;
using LinkId = std::size_t;

// What a link does to the bytes on it. "There": from the party that connects to the other.
struct LinkFaults {
  bool hold_there = false, hold_back = false;  // nothing passes; connections stay open and silent
  Microseconds delay = 0, spread = 0;          // each way: `delay` and up to `spread` more
  double rate = 0;                             // bytes a second on each connection, each way; 0: any
  std::uint64_t tear_after = 0;                // a connection is reset after so many more bytes; 0: never
  double loss = 0, repeat = 0;                 // of datagrams, shares
  bool operator==(const LinkFaults&) const = default;
};

// How a link meets new connections.
enum class Door {
  open,
  closed,  // refused, as where no process listens
  silent,  // they never come up, as where a machine has vanished
};

class Fabric {
 public:
  struct Counts {
    std::uint64_t links = 0, connections = 0, open = 0, bytes = 0, datagrams = 0, datagrams_lost = 0;
    std::uint64_t not_carried = 0;  // connections for which descriptors were wanting: a fault of the lab
  };

  // `seed` of delays and losses.
  Fabric(boost::asio::io_context& io, std::uint64_t seed);
  ~Fabric();  // ends all
  Fabric(const Fabric&) = delete;
  Fabric& operator=(const Fabric&) = delete;

  // Who connects to `listen` is led to `target`, which sees it come from `source`. Throws std::exception
  // where the address is taken.
  LinkId link(const Tcp::endpoint& listen, const Tcp::endpoint& target,
              const boost::asio::ip::address_v4& source);
  void door(LinkId link, Door door);
  void faults(LinkId link, const LinkFaults& faults);  // in place of those before
  void reset(LinkId link);                             // all its connections
  void half_close(LinkId link);  // what the first party sends has ended; answers still come

  // Datagrams: whoever sends to `shown` reaches `real`; it seems to come from the `shown` of the sender,
  // which is known by its `real`. Numbers go up from 0.
  std::size_t peer(const Udp::endpoint& shown, const Udp::endpoint& real);
  void peers_all(const Udp::endpoint& shown);  // reaches all but the sender
  // Asked for each datagram.
  void datagram_faults(std::function<LinkFaults(std::size_t from, std::size_t to)> faults);

  Counts counts() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::lab
