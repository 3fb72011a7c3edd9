// Reading on after the system had no memory for a read.
#pragma once

#include <boost/system/error_code.hpp>
#include <utility>

#include "core/socket_errors.hpp"
#include "core/timer.hpp"

namespace heronvane {

// Calls `then` after kShortageRetryDelay, once `socket` is readable, or its wait has failed. `then` keeps
// both alive and looks whether reading still makes sense. It is waited for readability since Asio, after a
// read that failed, tries the next one only at another edge of it; a wait asks for the state.
template <class Socket, class Then>
void retry_read(Socket& socket, Timer& pause, Then then) {
  pause.set(kShortageRetryDelay, [&socket, then = std::move(then)]() mutable {
    socket.async_wait(Socket::wait_read, [then = std::move(then)](boost::system::error_code) { then(); });
  });
}

}  // namespace heronvane
