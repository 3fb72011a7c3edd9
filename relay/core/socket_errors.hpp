// Errors of reads and writes on sockets that say nothing of the connection: they pass.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>

namespace heronvane {

// Nothing could be moved at this moment: the socket is waited for, as if nothing had been tried.
inline bool would_block(const boost::system::error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again ||
         error == boost::asio::error::interrupted;
}

// The system has no memory for it. The socket may say that it is ready all the while, so the next try comes
// after kShortageRetryDelay.
inline bool is_memory_shortage(const boost::system::error_code& error) {
  return error == boost::asio::error::no_buffer_space || error == boost::asio::error::no_memory;
}
constexpr std::chrono::milliseconds kShortageRetryDelay{5};

}  // namespace heronvane
