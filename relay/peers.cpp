#include "peers.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>

#include "log.hpp"

namespace heronvane {

namespace net = boost::asio;
using boost::system::error_code;
using udp = net::ip::udp;

namespace {
constexpr std::size_t kMostNote = 256;
constexpr auto kPause = std::chrono::milliseconds(50);
}  // namespace

Peers::Peers(net::io_context& io, const udp::endpoint& listen, std::vector<udp::endpoint> peers,
             std::optional<udp::endpoint> all, int own_rank, Heard heard)
    : socket_(io, listen),
      pause_(io),
      peers_(std::move(peers)),
      all_(all),
      own_rank_(own_rank),
      heard_(std::move(heard)) {
  socket_.non_blocking(true);
}

void Peers::send(int whom, const std::string& body) {
  if (body.size() > kMostNote) return log("note to a peer: too long, not sent");
  const auto to = whom < 0 ? all_
                  : static_cast<std::size_t>(whom) < peers_.size()
                      ? std::optional(peers_[static_cast<std::size_t>(whom)])
                      : std::nullopt;
  error_code lost;  // as any note may be
  if (to) socket_.send_to(net::buffer(body), *to, 0, lost);
}

void Peers::receive() {
  socket_.async_receive_from(net::buffer(note_), sender_, [this](error_code bad, std::size_t size) {
    if (bad == net::error::operation_aborted) return;
    if (bad) {
      // An earlier note met a closed port, or the like. Guards against spinning on an error that stays.
      pause_.expires_after(kPause);
      return pause_.async_wait([this](error_code stopped) {
        if (!stopped) receive();
      });
    }
    const auto from = std::find(peers_.begin(), peers_.end(), sender_);
    const int rank = static_cast<int>(from - peers_.begin());
    if (from != peers_.end() && rank != own_rank_ && size <= kMostNote)
      heard_(rank, std::string(note_.data(), size));
    receive();
  });
}

}  // namespace heronvane
