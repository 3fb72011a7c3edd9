// Connects to a server that may be unreachable, by overlapping attempts.
//
// While a server is cut off from the network, what would open a connection is dropped without an error, and
// the system sends it again only after a second or more. A single attempt would notice the end of the cut
// that much too late. Here a further attempt begins every kAttemptInterval, while the earlier ones go on
// until kAttemptTimeout; the first connection to come up is used and the others are closed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "core/timer.hpp"

namespace heronvane {

// Used on the event loop's thread only, where the callback runs, too.
class StaggeredConnect : public std::enable_shared_from_this<StaggeredConnect> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // Receives the connected socket, or the server's refusal. Attempts that end otherwise are replaced by later
  // ones.
  using ConnectedCallback = std::function<void(const boost::system::error_code&, Socket)>;

  static constexpr std::chrono::milliseconds kAttemptInterval{250};
  static constexpr std::chrono::milliseconds kAttemptTimeout{1000};
  static constexpr std::size_t kMaxAttempts = kAttemptTimeout / kAttemptInterval;  // at a time

  StaggeredConnect(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                   ConnectedCallback on_connected);

  // Begins the first attempt. Attempts go on until the callback was called or cancel().
  void start();
  // Closes all attempts; the callback is not called any more.
  void cancel();

 private:
  using Attempts = std::list<Socket>;  // oldest first

  void begin_attempt();
  void handle_attempt(Attempts::iterator attempt, const boost::system::error_code& error);
  void finish(const boost::system::error_code& error, Socket socket);

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint address_;
  ConnectedCallback on_connected_;  // null after the end
  Attempts attempts_;
  Timer next_attempt_timer_;
};

}  // namespace heronvane
