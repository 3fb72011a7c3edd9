// Notes between relays: datagrams of up to 256 bytes, late or lost.
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
  using Heard = std::function<void(int from, std::string body)>;

  Peers(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& listen,
        std::vector<boost::asio::ip::udp::endpoint> peers, std::optional<boost::asio::ip::udp::endpoint> all,
        int own_rank, Heard heard);

  // Hears from now on. Apart from the making, whose owner may yet fail: a note that was here already would
  // else be told to nobody.
  void start() { receive(); }
  void send(int whom, const std::string& body);  // -1: every peer

 private:
  void receive();

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer pause_;
  std::vector<boost::asio::ip::udp::endpoint> peers_;
  std::optional<boost::asio::ip::udp::endpoint> all_;
  int own_rank_;
  Heard heard_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 257> note_{};  // one byte more than a note may have: a longer one is told by it
};

}  // namespace heronvane
