// Writes whole texts to non-blocking stream sockets, whatever part of them the system takes at a time.
//
// Asio's own async_write waits for the next edge of "writable" after each write that was cut short. The
// system owes that edge only where the socket's buffer was full; a write that was cut short for another
// reason (a signal, a shortage of memory) would wait for ever.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "core/socket_errors.hpp"

namespace heronvane {

// The bytes of an HTTP message as they go over the wire.
template <bool is_request, class Body, class Fields>
std::string wire_text(const boost::beast::http::message<is_request, Body, Fields>& message) {
  namespace http = boost::beast::http;
  http::serializer<is_request, Body, Fields> serializer(message);
  std::string text;
  while (!serializer.is_done()) {
    boost::system::error_code bad;
    serializer.next(bad, [&](boost::system::error_code&, const auto& buffers) {
      std::size_t size = 0;
      for (const auto part : boost::beast::buffers_range_ref(buffers)) {
        text.append(static_cast<const char*>(part.data()), part.size());
        size += part.size();
      }
      serializer.consume(size);
    });
    if (bad) break;
  }
  return text;
}

template <class Socket, class Done>
class StreamWrite : public std::enable_shared_from_this<StreamWrite<Socket, Done>> {
 public:
  StreamWrite(Socket& socket, std::string text, Done done)
      : socket_(socket), text_(std::move(text)), done_(std::move(done)), pause_(socket.get_executor()) {}

  void go_on() {
    boost::system::error_code bad;
    while (!bad && written_ < text_.size())
      written_ +=
          socket_.write_some(boost::asio::buffer(text_.data() + written_, text_.size() - written_), bad);
    if (would_block(bad)) return wait_for_room();
    if (is_memory_shortage(bad)) return pause();
    boost::asio::post(socket_.get_executor(), [self = this->shared_from_this(), bad] { self->done_(bad); });
  }

 private:
  void wait_for_room() {
    socket_.async_wait(Socket::wait_write, [self = this->shared_from_this()](boost::system::error_code bad) {
      bad ? self->done_(bad) : self->go_on();
    });
  }
  // The system has no memory for it now. Ends, as any write, once the socket is closed.
  void pause() {
    pause_.expires_after(kShortageRetryDelay);
    pause_.async_wait([self = this->shared_from_this()](boost::system::error_code) { self->go_on(); });
  }

  Socket& socket_;
  std::string text_;
  std::size_t written_ = 0;
  Done done_;
  boost::asio::steady_timer pause_;
};

// Writes all of `text`, then calls `done` with the error, or none, from the loop, never from within. `socket`
// is non-blocking, no other write to it is under way, and `done` keeps it alive. Closing it ends the write.
template <class Socket, class Done>
void write_all(Socket& socket, std::string text, Done done) {
  std::make_shared<StreamWrite<Socket, Done>>(socket, std::move(text), std::move(done))->go_on();
}

}  // namespace heronvane
