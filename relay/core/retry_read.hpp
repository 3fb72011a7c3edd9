// Resumes reading after a read failed for lack of system memory.
#pragma once

#include <boost/system/error_code.hpp>
#include <utility>

#include "core/socket_errors.hpp"
#include "core/timer.hpp"

namespace heronvane {

// Waits for kShortageRetryDelay, then until `socket` is readable or that wait fails, then calls `retry` from
// the loop. `retry` must keep socket and timer alive, and check whether the read is still wanted.
//
// After a failed read Asio attempts the next one only at a new edge of readability, while a wait checks the
// current state.
template <class Socket, class Retry>
void retry_read(Socket& socket, Timer& timer, Retry retry) {
  timer.set(kShortageRetryDelay, [&socket, retry = std::move(retry)]() mutable {
    socket.async_wait(Socket::wait_read,
                      [retry = std::move(retry)](boost::system::error_code /*error*/) { retry(); });
  });
}

}  // namespace heronvane
