// What a relay does after its process was stopped or its machine slept: what it knows of endpoints may be
// old, so that no attempt begins and no decision is made before the endpoint list was polled anew.
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
    // Takes back what was decided before the suspension and has not begun.
    std::function<void()> withdraw_attempts;
    // Polls the endpoint list anew; calls back once it has come, or has failed to.
    std::function<void(std::function<void()> done)> refresh_list;
    // The list has come, or its time is over: decisions may be made again.
    std::function<void()> resumed;
  };

  // Not `enabled`: nothing is ever detected.
  SuspendMonitor(boost::asio::io_context& io, bool enabled, Hooks hooks);

  // Begins the heartbeat that bounds how late a suspension is detected.
  void start();
  // Whether what the relay knows may be acted on. Detects a suspension itself, so that whichever asks first
  // after one learns of it: asked before each decision cycle, and before a call begins.
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
