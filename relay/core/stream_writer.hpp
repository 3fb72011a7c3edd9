// Writes whole texts to non-blocking stream sockets, whatever part of them the system takes at a time.
//
// Asio's own async_write waits for the next edge of "writable" after each write that was cut short. The
// system reports that edge only where the socket's buffer was full; a write that was cut short for another
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

// One write_all(). Lives until `done` is called.
template <class Socket, class Done>
class StreamWrite : public std::enable_shared_from_this<StreamWrite<Socket, Done>> {
 public:
  StreamWrite(Socket& socket, std::string text, Done done)
      : socket_(socket),
        text_(std::move(text)),
        done_(std::move(done)),
        retry_timer_(socket.get_executor()) {}

  // Writes as much as the socket accepts, then waits if bytes are left.
  void write_more() {
    boost::system::error_code error;
    while (!error && written_ < text_.size()) {
      written_ +=
          socket_.write_some(boost::asio::buffer(text_.data() + written_, text_.size() - written_), error);
    }
    if (would_block(error)) return wait_until_writable();
    if (is_memory_shortage(error)) return retry_later();
    boost::asio::post(socket_.get_executor(),
                      [self = this->shared_from_this(), error] { self->done_(error); });
  }

 private:
  void wait_until_writable() {
    socket_.async_wait(Socket::wait_write,
                       [self = this->shared_from_this()](boost::system::error_code error) {
                         if (error) return self->done_(error);
                         self->write_more();
                       });
  }

  // Ends, like any write, once the socket is closed.
  void retry_later() {
    retry_timer_.expires_after(kShortageRetryDelay);
    retry_timer_.async_wait(
        [self = this->shared_from_this()](boost::system::error_code /*error*/) { self->write_more(); });
  }

  Socket& socket_;
  std::string text_;
  std::size_t written_ = 0;  // bytes of `text_` written so far
  Done done_;
  boost::asio::steady_timer retry_timer_;
};

// Writes all of `text`, then calls `done` from the loop with the error, or with none; never from inside this
// call. `socket` must be non-blocking, with no other write in progress, and `done` must keep it alive.
// Closing the socket ends the write.
template <class Socket, class Done>
void write_all(Socket& socket, std::string text, Done done) {
  std::make_shared<StreamWrite<Socket, Done>>(socket, std::move(text), std::move(done))->write_more();
}

}  // namespace heronvane
