// The phases of a relay from its start to the end of its graceful shutdown, and what each phase admits.
//
// No clock, no input or output: times are those of steady_now() and are handed in.
#pragma once

#include <cstddef>

#include "clock.hpp"

namespace heronvane {

// Owned by the relay; called on the event loop's thread only.
class Lifecycle {
 public:
  enum class Phase {
    running,
    stopping,       // asked to end: clients are still answered, attempts still begin
    awaiting_calls  // no attempt begins any more; the calls that are out may come back
  };

  // What a phase admits.
  struct Rules {
    bool reports_ready;       // the health check may say that requests are welcome
    bool decides;             // the decision module is asked
    bool may_leave_requests;  // requests in flight may stay in the store for the next incarnation
  };

  // What must be over before a graceful shutdown ends early.
  struct OpenWork {
    std::size_t calls_in_flight = 0;
    std::size_t requests_held = 0;
    std::size_t client_connections = 0;
    bool requests_queued = false;  // received, not yet seen by a decision cycle
    bool notifications_owed = false;
    bool writes_pending = false;  // records that are not written, or plans that wait for theirs
  };

  // Since the stop: how long client connections that rest stay open, how long new ones are accepted, how long
  // attempts begin, and when the process ends whatever is open. SIGKILL follows SIGTERM no sooner than 3.7 s
  // later.
  static constexpr Microseconds kIdleTime = 400'000;
  static constexpr Microseconds kAcceptTime = 600'000;
  static constexpr Microseconds kBeginCallsTime = 1'500'000;
  static constexpr Microseconds kShutdownTime = 3'000'000;

  Phase phase() const { return phase_; }
  Rules rules() const;

  // Begins the shutdown; false, with nothing changed, where it has begun already.
  bool begin_stop(Microseconds now);
  // Moves on to awaiting_calls when that is due; true in the one call that does.
  bool advance(Microseconds now);
  // While stopping: whether the time for client connections that rest is over.
  bool idle_time_is_over(Microseconds now) const { return now - stop_began_ >= kIdleTime; }
  // While stopping: whether the time for new client connections is over.
  bool accept_time_is_over(Microseconds now) const { return now - stop_began_ >= kAcceptTime; }
  // While stopping: whether the process may end now.
  bool is_done(Microseconds now, const OpenWork& work) const;

 private:
  Phase phase_ = Phase::running;
  Microseconds stop_began_ = 0;
};

}  // namespace heronvane
