// Connections between members: one to each that this relay says something to, those of others that come in.
// Frames in order, answers on the connection that asked. One thread: all calls from the one that runs `io`.
//
// A connection begins with a hello of each side. A stranger, another cluster, what can't be read or is longer
// than allowed, is closed and counted. One that is silent while it owes an answer is closed after kSilence.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "packet.hpp"

namespace heronvane::copies {

// Loopback, private or link-local (RFC 1918, 3927, 4193, 4291): connections are neither encrypted nor signed.
bool is_private(const boost::asio::ip::address& address);

class PeerConnections {
 public:
  using Address = boost::asio::ip::tcp::endpoint;
  static constexpr auto kAnswerTimeout = std::chrono::seconds(3);
  static constexpr auto kConnectTimeout = std::chrono::seconds(2);
  static constexpr auto kRetryInterval = std::chrono::milliseconds(150);
  static constexpr std::size_t kMaxIncoming = 32;           // connections of others
  static constexpr std::size_t kMaxQueuedBytes = 64 << 20;  // bytes that wait to be sent on a connection

  using Reply = std::function<void(Packet)>;  // at most once; later than the connection, it does nothing
  struct Hooks {
    std::function<bool(const std::string& name)> is_member;  // a member's name
    // How far this relay is, and what that member told of itself: fills in `mark` and `seen_...`.
    std::function<void(const std::string& name, Hello& hello)> fill_hello;
    std::function<void(const Hello& hello)> on_hello;      // by any connection, before all else on it
    std::function<void(const Member& peer)> on_up;         // a connection to it stands
    std::function<void(const std::string& name)> on_down;  // no longer; what was said may be lost
    std::function<void(const Member& from, Packet packet)> on_answer;  // to what was said
    std::function<void(const Member& from, Packet packet, Reply reply)> on_request;
  };
  struct Counts {
    std::uint64_t rejected_hellos = 0, malformed_frames = 0, sent_bytes = 0, received_bytes = 0;
  };

  // Listens at once. Throws std::runtime_error where the address can't be had.
  PeerConnections(boost::asio::io_context& io, const Address& listen, Hello self, Hooks hooks);
  ~PeerConnections();
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  // Connects to that member, and again whenever the connection has ended.
  void connect_to(const std::string& name, const Address& address);
  void disconnect_from(const std::string& name);  // no longer
  // Whom a connection stands to, as it said in its hello; nullptr: to none.
  const Member* peer(const std::string& name) const;
  // False, with nothing said, where there is no connection to exactly that member or too much waits.
  bool send(const Member& to, const Packet& packet);
  Counts counts() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::copies
