#include "startup/event_loop.hpp"

#include <csignal>
#include <ctime>
#include <exception>
#include <string>

#include "clock.hpp"
#include "operator_settings.hpp"
#include "startup/start_error.hpp"

namespace heronvane::startup {
namespace {

constexpr auto kRetry = std::chrono::milliseconds(50);
constexpr Microseconds kLogInterval = 5'000'000;  // one line on the waiting

sigset_t end_signals() {
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGTERM);
  ::sigaddset(&signals, SIGINT);
  return signals;
}

sigset_t all_signals() {
  sigset_t signals = end_signals();
  ::sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

BlockedSignals::BlockedSignals() {
  const sigset_t signals = all_signals();
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

BlockedSignals::~BlockedSignals() {
  const sigset_t signals = all_signals();
  ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

bool BlockedSignals::termination_requested_within(std::chrono::milliseconds time) const {
  const sigset_t signals = end_signals();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  const timespec most{seconds.count(), std::chrono::nanoseconds(time - seconds).count()};
  return ::sigtimedwait(&signals, nullptr, &most) > 0;
}

std::unique_ptr<EventLoop> make_event_loop() {
  const BlockedSignals blocked;
  const Microseconds begun = steady_now();
  const Microseconds timeout = OperatorSettings().relay.start_timeout;  // the operator's own is not read yet
  Microseconds told_at = 0;
  while (true) {
    try {
      return std::make_unique<EventLoop>();
    } catch (const std::exception& error) {
      const StartError why = to_start_error(error, Step::loop);
      if (!why.is_transient() || steady_now() - begun >= timeout) throw why;
      const Microseconds now = steady_now();
      if (told_at == 0 || now - told_at >= kLogInterval) {
        log(std::string("waiting: event loop: ") + why.what() + "; step loop, since " +
            std::to_string((now - begun) / 1'000'000) + " s");
        told_at = now;
      }
    }
    if (blocked.termination_requested_within(kRetry)) return nullptr;
  }
}

}  // namespace heronvane::startup
