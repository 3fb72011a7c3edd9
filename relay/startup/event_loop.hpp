// The event loop of the process, with the signals that it listens to.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>

#include "log.hpp"

namespace heronvane::startup {

// Blocks SIGTERM, SIGINT and SIGHUP in this thread while it lives, so that none ends the process, or is lost,
// before the loop listens to them.
class BlockedSignals {
 public:
  BlockedSignals();
  ~BlockedSignals();
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;
};

// Everything runs on the thread that runs `io`.
struct EventLoop {
  boost::asio::io_context io{1};
  LostLineReporter lost_line_reporter{io};
  boost::asio::signal_set termination_signals{io, SIGTERM, SIGINT};
  boost::asio::signal_set reload_signals{io, SIGHUP};
};

// Makes the event loop; blocks, and retries while the system is short of descriptors. Null where the process
// was asked to end meanwhile. Throws StartError on a permanent error, and where it takes longer than a start
// may.
std::unique_ptr<EventLoop> make_event_loop();

}  // namespace heronvane::startup
