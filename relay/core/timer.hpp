// One timer whose stale completions are deaf.
//
// Cancelling or setting an Asio timer anew does not recall a handler that is already queued with success: it
// would act for a time that does not count any more. Here a handler acts only for the setting that it was
// made for. All timers of the relay that may be set anew or cancelled are of this class.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

namespace heronvane {

class Timer {
 public:
  // A loop, or an executor of one.
  template <class Loop>
  explicit Timer(Loop&& loop) : timer_(std::forward<Loop>(loop)) {}

  // Calls `then` once, after so long, unless the timer is set again or cancelled before `then` is called.
  // While it is set `then` keeps this timer's owner alive, or the owner outlives the loop.
  template <class Duration, class Then>
  void set(Duration after, Then then) {
    timer_.expires_after(std::chrono::duration_cast<std::chrono::microseconds>(after));
    timer_.async_wait(
        [this, setting = ++setting_, then = std::move(then)](boost::system::error_code stopped) mutable {
          if (!stopped && setting == setting_) then();
        });
  }
  void cancel() {
    ++setting_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::uint64_t setting_ = 0;  // the present one; a cancelled one is none
};

}  // namespace heronvane
