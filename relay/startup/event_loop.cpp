#include "startup/event_loop.hpp"

#include <chrono>
#include <csignal>
#include <ctime>
#include <exception>
#include <optional>
#include <string>

#include "clock.hpp"
#include "operator_settings.hpp"
#include "startup/start_error.hpp"

namespace heronvane::startup {
namespace {

constexpr auto kRetryInterval = std::chrono::milliseconds(50);
constexpr Microseconds kLogInterval = 5'000'000;
constexpr Microseconds kSecond = 1'000'000;

sigset_t termination_signals() {
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGTERM);
  ::sigaddset(&signals, SIGINT);
  return signals;
}

sigset_t all_signals() {
  sigset_t signals = termination_signals();
  ::sigaddset(&signals, SIGHUP);
  return signals;
}

// Waits for a termination signal for at most `time`; true if one has arrived. The signals must be blocked.
bool wait_for_termination_signal(std::chrono::milliseconds time) {
  const sigset_t signals = termination_signals();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  const timespec timeout{seconds.count(), std::chrono::nanoseconds(time - seconds).count()};
  return ::sigtimedwait(&signals, nullptr, &timeout) > 0;
}

void log_waiting(const StartError& error, Microseconds waited) {
  log(std::string("waiting: event loop: ") + error.what() + "; step loop, since " +
      std::to_string(waited / kSecond) + " s");
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

std::unique_ptr<EventLoop> make_event_loop() {
  const BlockedSignals blocked;
  const Microseconds since = steady_now();
  // The default, since the operator's settings are not read yet.
  const Microseconds timeout = OperatorSettings().relay.start_timeout;
  std::optional<Microseconds> logged_at;
  do {
    try {
      return std::make_unique<EventLoop>();
    } catch (const std::exception& exception) {
      const StartError error = to_start_error(exception, Step::loop);
      const Microseconds now = steady_now();
      if (!error.is_transient() || now - since >= timeout) throw StartError(error);
      if (!logged_at || now - *logged_at >= kLogInterval) {
        log_waiting(error, now - since);
        logged_at = now;
      }
    }
  } while (!wait_for_termination_signal(kRetryInterval));
  return nullptr;
}

}  // namespace heronvane::startup
