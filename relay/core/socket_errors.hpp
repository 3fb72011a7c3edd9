// Errors of reads and writes on sockets that say nothing about the connection: the operation is to be
// retried.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>

namespace heronvane {

// The socket is not ready: wait until it is, then retry.
inline bool would_block(const boost::system::error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again ||
         error == boost::asio::error::interrupted;
}

// The system has no memory for the operation. The socket may still be reported as ready, so the retry is
// delayed by kShortageRetryDelay.
inline bool is_memory_shortage(const boost::system::error_code& error) {
  return error == boost::asio::error::no_buffer_space || error == boost::asio::error::no_memory;
}
constexpr std::chrono::milliseconds kShortageRetryDelay{5};

// This machine has no descriptor, memory or local port for a new connection. The error says nothing about the
// other side: retry the connect after kConnectRetryDelay.
inline bool is_local_shortage(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  return is_memory_shortage(error) || error == boost::asio::error::no_descriptors ||
         error == errc::too_many_files_open_in_system || error == errc::address_not_available;
}
constexpr std::chrono::milliseconds kConnectRetryDelay{20};

}  // namespace heronvane
