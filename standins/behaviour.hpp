// What an endpoint does with a call. No I/O and no clock: equal habits, seed and calls give equal fates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <variant>

namespace heronvane::standins {

using Microseconds = std::int64_t;  // microseconds
Microseconds steady_time();         // the clock that stands in where none is handed in

// Comes back each `every`, first after one whole `every`, and stays for `lasts`. 0: never.
struct Spell {
  Microseconds every = 0, lasts = 0;
  Microseconds left(Microseconds since_start) const;  // of the one that is on; 0: none is
};

struct Habits {
  Microseconds median = 8'000;  // of the time that a call takes, which is log-normal
  double spread = 0.4;          // the logarithm's standard deviation; 0: always the median
  double limit_per_s =
      0;  // messages a second, of which a quarter of a second's may come at once; 0: no limit
  double error_share = 0;  // of calls that end with 500
  double reset_share = 0;  // of calls whose connection is reset in place of an answer
  Spell silent;            // calls are taken and never answered
  Spell wait;              // calls are told to wait until it is over
};

namespace fate {
struct Serve {
  Microseconds after;
};
struct Refuse {};  // above the limit, at once
struct Wait {
  Microseconds left;
};
struct Fail {
  Microseconds after;
  bool ran;  // whether it took effect all the same
};
struct Silent {
  Microseconds after;  // when it takes effect, where it does
  bool ran;
};
struct Reset {
  Microseconds after;
  bool ran;
};
}  // namespace fate
using Fate = std::variant<fate::Serve, fate::Refuse, fate::Wait, fate::Fail, fate::Silent, fate::Reset>;

class Behaviour {
 public:
  // Throws std::invalid_argument where a habit is out of range. `start`: when its spells begin to count.
  Behaviour(const Habits& habits, std::uint64_t seed, Microseconds start);
  // Of a call with so many messages that comes at `now`, which never goes back.
  Fate call(Microseconds now, std::size_t messages);
  bool silent(Microseconds now) const { return habits_.silent.left(now - start_) > 0; }
  bool waits(Microseconds now) const { return habits_.wait.left(now - start_) > 0; }

 private:
  Microseconds draw_time();
  bool drawn(double share);

  Habits habits_;
  std::mt19937_64 random_;
  Microseconds start_, filled_at_;
  double tokens_;
};

}  // namespace heronvane::standins
