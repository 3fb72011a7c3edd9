// The phases of a relay from its start to the end of its graceful shutdown, and what each phase allows.
//
// Does no input or output and reads no clock: the caller passes times of steady_now().
#pragma once

#include <cstddef>

#include "clock.hpp"

namespace heronvane {

// Owned by the relay; called on the event loop's thread only.
class Lifecycle {
 public:
  enum class Phase {
    running,
    stopping,       // shutting down: clients are still answered, attempts still begin
    awaiting_calls  // no attempt begins any more; calls in flight may still be answered
  };

  // What a phase allows.
  struct Rules {
    bool reports_ready;       // the health check may report the relay as ready
    bool decides;             // the decision module is asked
    bool may_leave_requests;  // requests in flight may stay in the store for the next incarnation
  };

  // The work that must be finished before a graceful shutdown may end early.
  struct OpenWork {
    std::size_t calls_in_flight = 0;
    std::size_t requests_held = 0;
    std::size_t client_connections = 0;
    bool requests_queued = false;  // received, not yet seen by a decision cycle
    bool notifications_owed = false;
    bool writes_pending = false;  // records are not written, or plans wait for their records
  };

  // Limits since the stop, in microseconds: how long idle client connections stay open, how long new ones are
  // accepted, how long attempts begin, and when the process ends whatever is still open. SIGKILL follows
  // SIGTERM no sooner than 3.7 s later.
  static constexpr Microseconds kIdleTime = 400'000;
  static constexpr Microseconds kAcceptTime = 600'000;
  static constexpr Microseconds kBeginCallsTime = 1'500'000;
  static constexpr Microseconds kShutdownTime = 3'000'000;

  Phase phase() const { return phase_; }
  Rules rules() const;

  // Begins the shutdown; returns false and changes nothing if it has begun already.
  bool begin_stop(Microseconds now);
  // Enters the phase awaiting_calls when it is due; returns true only in the call that enters it.
  bool advance(Microseconds now);
  // While stopping: whether the time for idle client connections is over.
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
