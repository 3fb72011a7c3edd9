#include "core/staggered_connect.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "core/socket_errors.hpp"

namespace heronvane {

namespace net = boost::asio;
using boost::system::error_code;

StaggeredConnect::StaggeredConnect(net::io_context& io, net::ip::tcp::endpoint address,
                                   ConnectedCallback on_connected)
    : io_(io),
      address_(std::move(address)),
      on_connected_(std::move(on_connected)),
      next_attempt_timer_(io) {}

void StaggeredConnect::start() { begin_attempt(); }

void StaggeredConnect::cancel() {
  on_connected_ = nullptr;
  next_attempt_timer_.cancel();
  for (Socket& socket : attempts_) {
    error_code ignored;
    socket.close(ignored);
  }
}

void StaggeredConnect::begin_attempt() {
  if (attempts_.size() >= kMaxAttempts) {
    error_code ignored;
    attempts_.front().close(ignored);
  }
  const auto attempt = attempts_.emplace(attempts_.end(), io_);
  next_attempt_timer_.set(kAttemptInterval, [self = shared_from_this()] { self->begin_attempt(); });
  attempt->async_connect(address_, [self = shared_from_this(), attempt](const error_code& error) {
    self->handle_attempt(attempt, error);
  });
}

void StaggeredConnect::handle_attempt(Attempts::iterator attempt, const error_code& error) {
  Socket socket = std::move(*attempt);
  attempts_.erase(attempt);
  if (!on_connected_) return;
  if (!error || error == net::error::connection_refused) return finish(error, std::move(socket));
  if (is_local_shortage(error))
    next_attempt_timer_.set(kConnectRetryDelay, [self = shared_from_this()] { self->begin_attempt(); });
}

void StaggeredConnect::finish(const error_code& error, Socket socket) {
  const ConnectedCallback on_connected = std::exchange(on_connected_, nullptr);
  cancel();
  on_connected(error, std::move(socket));
}

}  // namespace heronvane
