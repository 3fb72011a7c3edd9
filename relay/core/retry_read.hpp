// Goes on reading after the system had no memory for a read.
#pragma once

#include <boost/system/error_code.hpp>
#include <utility>

#include "core/socket_errors.hpp"
#include "core/timer.hpp"

namespace heronvane {

// Calls `retry` from the loop after kShortageRetryDelay, once `socket` is readable or the wait for that has
// failed. `retry` keeps socket and timer alive, and checks whether reading still makes sense.
//
// After a read that failed Asio attempts the next one only at another edge of readability; a wait asks for
// the state.
template <class Socket, class Retry>
void retry_read(Socket& socket, Timer& timer, Retry retry) {
  timer.set(kShortageRetryDelay, [&socket, retry = std::move(retry)]() mutable {
    socket.async_wait(Socket::wait_read,
                      [retry = std::move(retry)](boost::system::error_code /*error*/) { retry(); });
  });
}

}  // namespace heronvane
