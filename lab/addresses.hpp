// Where the parties of one run stand on loopback, and under which address each sees the others. A run takes
// four of the nets 127.124.0.0/16 to 127.251.0.0/16 for itself; its ports lie below those that the kernel
// hands out.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <optional>

#include "plan.hpp"

namespace heronvane::lab {

class Addresses {
 public:
  using Tcp = boost::asio::ip::tcp::endpoint;
  using Udp = boost::asio::ip::udp::endpoint;
  explicit Addresses(unsigned net) : net_(net) {}

  // Where a party really is.
  Tcp relay(Index i) const { return {at(0, i), 8081}; }
  Udp datagrams(Index i) const { return {at(0, i), 7946}; }
  Tcp endpoint(Index e) const {
    return {fixed(200 + static_cast<unsigned>(e / 250), 1 + static_cast<unsigned>(e % 250)), 9000};
  }
  Tcp platform() const { return {fixed(240, 1), 8500}; }
  // How one sees the other.
  Tcp endpoint_seen_by(Index relay, Index e) const {
    return {at(1, relay), static_cast<std::uint16_t>(9000 + e)};
  }
  Tcp platform_seen_by(Index relay) const { return {at(1, relay), 8500}; }
  Tcp relay_seen_by_clients(Index relay) const { return {at(2, relay), 8081}; }
  Udp relay_seen_by_peers(Index relay) const { return {at(3, relay), 7946}; }
  // For copies of logs: where a relay listens, and how one sees the other.
  Tcp copies(Index i) const { return {at(0, i), 8090}; }
  Tcp copies_seen_by(Index relay, Index other) const {
    return {at(1, relay), static_cast<std::uint16_t>(12000 + other)};
  }
  Udp all_peers() const {
    return {boost::asio::ip::address_v4({127, static_cast<unsigned char>(net_ + 3), 255, 1}), 7946};
  }
  boost::asio::ip::address_v4 source(Index relay) const { return at(0, relay); }
  boost::asio::ip::address_v4 clients() const { return fixed(250, 1); }
  Tcp lock() const { return {fixed(255, 1), 7000}; }

  static constexpr unsigned kFirstNet = 124, kLastNet = 248, kStep = 4;

 private:
  boost::asio::ip::address_v4 at(unsigned net, Index i) const {
    return boost::asio::ip::address_v4({127, static_cast<unsigned char>(net_ + net),
                                        static_cast<unsigned char>(i / 250),
                                        static_cast<unsigned char>(1 + i % 250)});
  }
  boost::asio::ip::address_v4 fixed(unsigned third, unsigned fourth) const {
    return boost::asio::ip::address_v4({127, static_cast<unsigned char>(net_),
                                        static_cast<unsigned char>(third),
                                        static_cast<unsigned char>(fourth)});
  }
  unsigned net_;
};

}  // namespace heronvane::lab
