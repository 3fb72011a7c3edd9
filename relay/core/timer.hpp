// A timer that can be set again and cancelled safely.
//
// Resetting or cancelling an Asio timer does not cancel a handler that is already queued with success: it
// would run for a time that no longer applies. Here a handler runs only if the timer was not changed since
// the set() that it belongs to. All timers of the relay that may be reset or cancelled are of this class.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

namespace heronvane {

// Use on the event loop's thread only.
class Timer {
 public:
  // The loop outlives the timer.
  explicit Timer(boost::asio::io_context& loop) : timer_(loop) {}
  explicit Timer(const boost::asio::any_io_executor& executor) : timer_(executor) {}

  // Calls `then` once from the loop, after `delay`, unless the timer is set again or cancelled before. Either
  // `then` keeps the timer's owner alive until that call, or the owner outlives the loop.
  template <class Duration, class Then>
  void set(Duration delay, Then then) {
    timer_.expires_after(std::chrono::duration_cast<std::chrono::microseconds>(delay));
    timer_.async_wait(
        [this, setting = ++setting_, then = std::move(then)](boost::system::error_code error) mutable {
          if (!error && setting == setting_) then();
        });
  }

  void cancel() {
    ++setting_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::uint64_t setting_ = 0;  // incremented by each set() and cancel()
};

}  // namespace heronvane
