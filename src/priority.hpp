// The weight of a request as time passes, and the urgency that follows from it. Pure: every time is a
// parameter and nothing is stored. Safe to use from any thread.
#pragma once

#include <cstddef>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// A stretch of time past the latency objective, from `from` until the next phase, in which requests of one
// order group have this order of urgency: by id, or by their latency objectives (equal ones by id).
struct OrderPhase {
  enum class Order { by_id, earlier_objective, later_objective };
  Microseconds from = 0;  // past the latency objective, negative before it
  Order order = Order::by_id;
};

// The share of its full weight that a request still has `past_objective` after its latency objective
// (negative: before it): 1 up to the objective, weight_at_deadline just before the deadline, 0 from the
// deadline on.
double remaining_weight(const ClassSettings& request_class, WeightDecay decay, Microseconds past_objective);

// The stretches of time past the latency objective in which requests of one class and one full weight keep
// their order by a * remaining_weight(past) - remaining_weight(past + lookahead) for any `a` above 1.
// `lookahead` lies between 0 and the class's latency objective: far beyond it rounding errors hide the order.
// Ascending by time; the first phase begins at -kNever.
std::vector<OrderPhase> order_phases(const ClassSettings& request_class, WeightDecay decay,
                                     Microseconds lookahead);

// What determines a request's weight at any moment. Refers to the settings, which must outlive it.
struct WeightCurve {
  const ClassSettings* request_class = nullptr;
  double full_weight = 0;         // while the latency objective is met
  Microseconds objective_at = 0;  // the moment of the latency objective
};

// Weight and urgency of requests under one set of settings, which must outlive it.
class Priority {
 public:
  // Factor on the weight of recovered requests that reached no endpoint yet, so that they are sent before all
  // others. A power of two, so that dividing by it is exact.
  static constexpr double kUnattemptedFactor = 0x1p20;
  // Added to their order group.
  static constexpr std::size_t kUnattemptedGroupOffset = 2;

  explicit Priority(const Settings& settings);

  // The shortest latency objective of all classes, in seconds: the module's unit for waits.
  double shortest_objective_s() const { return shortest_objective_s_; }

  // When a request that is sent at `now` is expected to be delivered: the moment for which its urgency is
  // computed.
  static Microseconds expected_delivery(Microseconds now);

  // The weight that a delivery at `moment` would earn.
  double weight(const WeightCurve& curve, Microseconds moment) const;

  // The weight that a delivery one shortest latency objective after `moment` would lose compared with one at
  // `moment`, plus a tenth of the latter's weight.
  double urgency(const WeightCurve& curve, Microseconds moment) const;

  // Requests of one order group have one class and one full weight, so that their phases order them.
  static std::size_t order_group(int message_class, bool over_quota, bool unattempted);

  // The phases of each order group, by its number.
  std::vector<std::vector<OrderPhase>> phases_by_group() const;

 private:
  const Settings& settings_;
  double shortest_objective_s_;
};

}  // namespace heronvane::dispatch
