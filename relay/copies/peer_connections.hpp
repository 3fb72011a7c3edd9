// Connections between members: one outgoing to each member that this relay sends to, and incoming ones from
// others. Frames arrive in order, and an answer uses the connection of its request. Called from the thread
// that runs `io`.
//
// Each side begins with a hello. A connection is closed and counted if the peer is unknown, belongs to
// another cluster, or sends a malformed or oversized frame. A peer that sends nothing for kAnswerTimeout
// while it owes an answer is disconnected.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "frame_codec.hpp"

namespace heronvane::copies {

// Loopback, private or link-local (RFC 1918, 3927, 4193, 4291): connections are neither encrypted nor
// authenticated.
bool is_private(const boost::asio::ip::address& address);

class PeerConnections {
 public:
  using Address = boost::asio::ip::tcp::endpoint;
  static constexpr auto kAnswerTimeout = std::chrono::seconds(3);
  static constexpr auto kConnectTimeout = std::chrono::seconds(2);
  static constexpr auto kRetryInterval = std::chrono::milliseconds(150);
  static constexpr std::size_t kMaxIncoming = 32;           // incoming connections
  static constexpr std::size_t kMaxQueuedBytes = 64 << 20;  // bytes queued on one connection

  using Reply = std::function<void(Packet)>;  // at most one call; ignored once the connection is closed
  struct Hooks {
    std::function<bool(const std::string& name)> is_member;  // whether the name is a member's
    // Fills in `mark` and `seen_...` of the hello to that member.
    std::function<void(const std::string& name, Hello& hello)> fill_hello;
    std::function<void(const Hello& hello)> on_hello;                  // the first event of each connection
    std::function<void(const Member& peer)> on_up;                     // the outgoing connection is ready
    std::function<void(const std::string& name)> on_down;              // it ended; packets sent may be lost
    std::function<void(const Member& from, Packet packet)> on_answer;  // an answer to a packet sent
    std::function<void(const Member& from, Packet packet, Reply reply)> on_request;
  };
  struct Counts {
    std::uint64_t rejected_hellos = 0, malformed_frames = 0, sent_bytes = 0, received_bytes = 0;
  };

  // Listens at once. Throws std::system_error if the address can't be bound.
  PeerConnections(boost::asio::io_context& io, const Address& listen, Hello self, Hooks hooks);
  ~PeerConnections();
  PeerConnections(const PeerConnections&) = delete;
  PeerConnections& operator=(const PeerConnections&) = delete;

  // Connects to that member, and reconnects whenever the connection ends.
  void connect_to(const std::string& name, const Address& address);
  void disconnect_from(const std::string& name);  // stops that
  // The connected member as named in its hello; nullptr if not connected.
  const Member* peer(const std::string& name) const;
  // Returns false, and sends nothing, if that exact member is not connected or too much is queued.
  bool send(const Member& to, const Packet& packet);
  Counts counts() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::copies
