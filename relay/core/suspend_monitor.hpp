// Refreshes the endpoint list after the process was stopped or the machine was suspended. The state of
// endpoints may be outdated then, so no attempt begins and no decision is made until the list was polled.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "core/suspend_detector.hpp"
#include "core/timer.hpp"

namespace heronvane {

// Owned by the relay, outlived by it; called on the event loop's thread only, and calls back there.
class SuspendMonitor {
 public:
  struct Hooks {
    // Withdraws the attempts that were decided before the suspension and have not begun.
    std::function<void()> withdraw_attempts;
    // Polls the endpoint list; calls `done` once it has arrived or the poll has failed.
    std::function<void(std::function<void()> done)> refresh_list;
    // Called once the list has arrived, or its time is over: decisions may be made again.
    std::function<void()> resumed;
  };

  // If not `enabled`, no suspension is ever detected.
  SuspendMonitor(boost::asio::io_context& io, bool enabled, Hooks hooks);

  // Starts the heartbeat, which bounds the time until a suspension is detected.
  void start();
  // Whether the state of endpoints is current. Checks for a suspension itself, so that the first caller after
  // one sees it; call it before each decision cycle and before each call begins.
  bool is_current();

 private:
  enum class State { current, refreshing_list };

  void beat();
  void begin_refresh(Microseconds gap);
  void finish_refresh();

  const bool enabled_;
  const Hooks hooks_;
  State state_ = State::current;
  SuspendDetector detector_;
  Timer beat_timer_;
  Timer refresh_timer_;
};

}  // namespace heronvane
