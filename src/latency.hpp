// How long an endpoint takes to answer, and the time-outs that follow from it.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {

// Assumed before the first answer, in seconds.
constexpr double kAssumedLatencySeconds = 0.25;

// Recent latencies of all endpoints, as a multiple of the usual latency of each; 1 when all answer as usual.
class Slowness {
 public:
  double value() const { return value_; }
  void record(double latency_s, double usual_latency_s);

 private:
  double value_ = 1;
};

// The latency of one endpoint, recent and in the long run.
class LatencyEstimate {
 public:
  // In seconds; raised by calls without an answer.
  double recent() const { return recent_; }
  // How long a call may be in flight before it counts as overdue.
  Microseconds overdue_after() const { return microseconds(overdue_seconds()); }
  double overdue_seconds() const { return kOverdueLatencies * recent_ + kOverdueMarginSeconds; }
  // The same for a call whose missing answer is the only evidence against it: about as long as the time-out.
  double given_up_seconds() const { return kTimeoutLatencies * recent_ + kOverdueMarginSeconds; }
  double timeout_seconds() const { return kTimeoutLatencies * recent_; }

  void record_served(Microseconds latency, Slowness& slowness);
  // A call that ended without an answer after `elapsed`.
  void record_unanswered(Microseconds elapsed);

 private:
  static constexpr double kOverdueLatencies = 4;
  static constexpr double kTimeoutLatencies = 8;
  static constexpr double kOverdueMarginSeconds = 0.3;

  double recent_ = kAssumedLatencySeconds;
  double usual_ = 0;  // over many answers; 0: none yet
};

}  // namespace heronvane::dispatch
