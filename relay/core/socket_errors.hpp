// Errors of reads and writes on sockets that say nothing about the connection: the operation is to be
// retried.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>

namespace heronvane {

// The socket is not ready: wait for it, as if nothing had been tried.
inline bool would_block(const boost::system::error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again ||
         error == boost::asio::error::interrupted;
}

// The system has no memory for the operation. The socket may still be reported as ready, so the retry comes
// after kShortageRetryDelay.
inline bool is_memory_shortage(const boost::system::error_code& error) {
  return error == boost::asio::error::no_buffer_space || error == boost::asio::error::no_memory;
}
constexpr std::chrono::milliseconds kShortageRetryDelay{5};

}  // namespace heronvane
