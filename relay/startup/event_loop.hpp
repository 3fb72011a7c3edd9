// The event loop of the process and its signal sets.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <memory>

#include "log.hpp"

namespace heronvane::startup {

// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread until destruction, so that none ends the process or
// is lost before the loop handles signals.
class BlockedSignals {
 public:
  BlockedSignals();
  ~BlockedSignals();
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;
};

// All handlers run on the thread that runs `io`.
struct EventLoop {
  boost::asio::io_context io{1};
  LostLineReporter lost_line_reporter{io};
  boost::asio::signal_set termination_signals{io, SIGTERM, SIGINT};
  boost::asio::signal_set reload_signals{io, SIGHUP};
};

// Creates the event loop. Blocks and retries while it fails with a transient error, such as a lack of
// descriptors. Returns null if a signal asked the process to end meanwhile. Throws StartError on a permanent
// error, and when the default [relay] start_timeout has passed.
std::unique_ptr<EventLoop> make_event_loop();

}  // namespace heronvane::startup
