// What a run came to, from its history: shares, times, series, and when service was full again. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "judge.hpp"
#include "world.hpp"

namespace heronvane::lab {

// Of one step of time.
struct Point {
  Microseconds at = 0;                                         // its begin
  double offered = 0, taken = 0, refused = 0, unanswered = 0;  // messages a second
  double served_worth = 0;                                     // a second
  double held = 0;                                             // messages, at its end
  double list_calls = 0, list_refused = 0;                     // a second
  double connections = 0;                                      // new ones at endpoints, a second
  double relays_up = 0;
};
struct DestinationPoint {
  double calls = 0, refused = 0, capacity = 0;  // a second
};

struct Figures {
  Microseconds step = 500'000;
  std::vector<Point> points;
  std::vector<std::vector<DestinationPoint>> destinations;  // by destination, by step

  double offered_worth = 0, served_worth = 0;
  double served() const { return offered_worth > 0 ? served_worth / offered_worth : 0; }
  double served_first_10s = 0,
         served_first_30s = 0;  // share of the worth offered then, from the first fault on
  // Of messages: from the client's first byte to the answer that took it on, and to its delivery.
  double accept_p50_ms = 0, accept_p99_ms = 0, whole_p50_ms = 0, whole_p99_ms = 0;
  // Full service (docs/lab.md): from the begin of the last fault; nothing: not within the run, or no fault.
  std::optional<double> full_service_s;
  double before_worth = 0, before_p99_ms = 0, before_held = 0;  // what it is compared with
  double peak_over =
      0;  // the largest of calls over capacity of a destination within a second, while it has any
  std::string peak_at;  // which
  double list_calls_worst_second = 0;
  double list_calls = 0;
  double connections_per_message = 0;
  double attempts_per_message = 0;
  double refused_share = 0;  // of tries
  double lag_p50_ms = 0, lag_p99_ms = 0, lag_max_ms = 0;
};

Figures figures(const RunResult& run, const Plan& plan, const Experiment& experiment);

}  // namespace heronvane::lab
