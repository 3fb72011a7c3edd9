#include "core/suspend_monitor.hpp"

#include <chrono>
#include <string>
#include <utility>

#include "log.hpp"

namespace heronvane {

SuspendMonitor::SuspendMonitor(boost::asio::io_context& io, bool enabled, Hooks hooks)
    : enabled_(enabled), hooks_(std::move(hooks)), beat_timer_(io), refresh_timer_(io) {}

void SuspendMonitor::start() {
  if (enabled_) beat();
}

void SuspendMonitor::beat() {
  is_current();
  beat_timer_.set(std::chrono::microseconds(SuspendDetector::kHeartbeatInterval), [this] { beat(); });
}

bool SuspendMonitor::is_current() {
  if (!enabled_) return true;
  const Microseconds gap = detector_.observe(boot_now());
  if (gap > 0) begin_refresh(gap);
  return state_ == State::current;
}

void SuspendMonitor::begin_refresh(Microseconds gap) {
  constexpr Microseconds kMillisecond = 1'000;
  log("woken after a stop of " + std::to_string(gap / kMillisecond) + " ms: polling the endpoint list");
  state_ = State::refreshing_list;
  hooks_.withdraw_attempts();
  hooks_.refresh_list([this] { finish_refresh(); });
  refresh_timer_.set(std::chrono::microseconds(SuspendDetector::kListTimeout), [this] { finish_refresh(); });
}

void SuspendMonitor::finish_refresh() {
  if (state_ == State::current) return;
  state_ = State::current;
  refresh_timer_.cancel();
  hooks_.resumed();
}

}  // namespace heronvane
