// Decides how a stand-in endpoint treats each call. Does no I/O and reads no clock: equal habits, seeds and
// calls give equal decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <variant>

namespace heronvane::standins {

using Microseconds = std::int64_t;
// Returns the time of std::chrono::steady_clock, the default where the options set no clock.
Microseconds steady_time();

// A condition that begins once per `interval`, for the first time one `interval` after the start, and holds
// for `duration`. It never begins if `interval` is 0.
struct RecurringPeriod {
  Microseconds interval = 0, duration = 0;
  // Returns the time until the present occurrence ends; 0 if the condition does not hold at `since_start`.
  Microseconds remaining(Microseconds since_start) const;
};

struct Habits {
  Microseconds median = 8'000;  // of a call's duration, which is log-normal
  double spread = 0.4;  // standard deviation of the duration's logarithm; 0: every call takes the median
  // Messages per second; the burst is a quarter of a second's worth, at least 1. 0: no limit.
  double limit_per_s = 0;
  double error_share = 0;  // share of calls that are answered 500, 0 to 1
  double reset_share = 0;  // share of calls whose connection is reset instead of answered, 0 to 1
  RecurringPeriod silent;  // while it holds, calls are read and never answered
  RecurringPeriod wait;    // while it holds, calls are answered 429 with the time until it ends
};

namespace fate {
// The call takes effect and is answered 200 after the latency.
struct Serve {
  Microseconds latency;
};
struct Refuse {};  // above the limit: answered 503 at once
// Answered 429 at once, with the time to wait.
struct Wait {
  Microseconds remaining;
};
// Answered 500.
struct Fail {
  Microseconds latency;
  bool took_effect;  // whether the call takes effect although it is answered 500
};
// The call is never answered.
struct Silent {
  Microseconds latency;  // until the call takes effect, if it does
  bool took_effect;      // whether the call takes effect although it is never answered
};
// The connection is reset instead of answered.
struct Reset {
  Microseconds latency;
  bool took_effect;  // whether the call takes effect before the reset
};
}  // namespace fate
using Fate = std::variant<fate::Serve, fate::Refuse, fate::Wait, fate::Fail, fate::Silent, fate::Reset>;

class Behaviour {
 public:
  // Throws std::invalid_argument if a habit is out of range. The recurring periods are counted from `start`.
  Behaviour(const Habits& habits, std::uint64_t seed, Microseconds start);
  // Decides a call of `messages` messages that arrives at `now`. `now` must not decrease from call to call.
  Fate decide(Microseconds now, std::size_t messages);
  bool silent(Microseconds now) const { return habits_.silent.remaining(now - start_) > 0; }
  bool waits(Microseconds now) const { return habits_.wait.remaining(now - start_) > 0; }

 private:
  Microseconds draw_time();
  bool draw_bool(double share);

  Habits habits_;
  std::mt19937_64 random_;
  Microseconds start_, refilled_at_;
  double tokens_;
};

}  // namespace heronvane::standins
