#include "peers.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>

#include "log.hpp"

namespace heronvane {

namespace net = boost::asio;
using boost::system::error_code;
using udp = net::ip::udp;

namespace {
constexpr std::size_t kMaxDatagramBytes = 256;
constexpr auto kRetryDelay = std::chrono::milliseconds(50);
}  // namespace

Peers::Peers(net::io_context& io, const udp::endpoint& listen, std::vector<udp::endpoint> peers,
             std::optional<udp::endpoint> broadcast_address, int own_rank, ReceiveCallback on_receive)
    : socket_(io, listen),
      retry_timer_(io),
      peers_(std::move(peers)),
      broadcast_address_(broadcast_address),
      own_rank_(own_rank),
      on_receive_(std::move(on_receive)) {
  socket_.non_blocking(true);
}

void Peers::send(int rank, const std::string& body) {
  if (body.size() > kMaxDatagramBytes) return log("gossip: message to a peer exceeds 256 bytes, not sent");
  const auto destination = rank < 0 ? broadcast_address_
                           : static_cast<std::size_t>(rank) < peers_.size()
                               ? std::optional(peers_[static_cast<std::size_t>(rank)])
                               : std::nullopt;
  error_code ignored;  // datagrams may be lost
  if (destination) socket_.send_to(net::buffer(body), *destination, 0, ignored);
}

void Peers::receive() {
  socket_.async_receive_from(net::buffer(buffer_), sender_, [this](error_code error, std::size_t size) {
    if (error == net::error::operation_aborted) return;
    if (error) {
      // For instance, an earlier datagram was sent to a closed port. The delay avoids spinning on a
      // persistent error.
      retry_timer_.expires_after(kRetryDelay);
      return retry_timer_.async_wait([this](error_code stopped) {
        if (!stopped) receive();
      });
    }
    const auto from = std::find(peers_.begin(), peers_.end(), sender_);
    const int rank = static_cast<int>(from - peers_.begin());
    if (from != peers_.end() && rank != own_rank_ && size <= kMaxDatagramBytes)
      on_receive_(rank, std::string(buffer_.data(), size));
    receive();
  });
}

}  // namespace heronvane
