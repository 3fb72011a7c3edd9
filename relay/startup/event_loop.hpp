// The event loop with the signals that the process listens to.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <memory>

#include "log.hpp"

namespace heronvane::startup {

// Holds SIGTERM, SIGINT and SIGHUP back while it lives, so that none ends the process, or is lost, before the
// loop listens to them.
class BlockedSignals {
 public:
  BlockedSignals();
  ~BlockedSignals();
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;

  // Waits for so long, at most; true once a signal has come that asks for the process's end.
  bool termination_requested_within(std::chrono::milliseconds time) const;
};

struct EventLoop {
  boost::asio::io_context io{1};
  LostLineReporter lost_line_reporter{io};
  boost::asio::signal_set ends{io, SIGTERM, SIGINT}, reloads{io, SIGHUP};
};

// Tries until the system has the descriptors for it. Null where the process was asked to end meanwhile.
// Throws StartError where it takes longer than a start may, or can't be.
std::unique_ptr<EventLoop> make_event_loop();

}  // namespace heronvane::startup
