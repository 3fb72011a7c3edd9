// Gossip between relays in UDP datagrams of up to 256 bytes, which may be late or lost.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heronvane {

class Peers {
 public:
  // `from` is the sender's rank among the peers.
  using ReceiveCallback = std::function<void(int from, std::string body)>;

  // Binds to `listen`; throws boost::system::system_error where that fails.
  Peers(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& listen,
        std::vector<boost::asio::ip::udp::endpoint> peers,
        std::optional<boost::asio::ip::udp::endpoint> broadcast_address, int own_rank,
        ReceiveCallback on_receive);

  // Starts to receive. Separate from construction, after which the owner's own startup may still fail; a
  // datagram that had arrived by then would be lost.
  void start() { receive(); }
  void send(int rank, const std::string& body);  // to the peer of that rank; below 0: to all peers

 private:
  void receive();

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer retry_timer_;
  std::vector<boost::asio::ip::udp::endpoint> peers_;
  std::optional<boost::asio::ip::udp::endpoint> broadcast_address_;
  int own_rank_;
  ReceiveCallback on_receive_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 257> buffer_{};  // one byte more than the limit, to detect longer datagrams
};

}  // namespace heronvane
