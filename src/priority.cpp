#include "priority.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "latency.hpp"
#include "time_units.hpp"

namespace heronvane::dispatch {
namespace {

constexpr std::size_t kGroupsPerClass = 4;  // over quota or not, unattempted or not
constexpr double kWeightShareInUrgency = 0.1;

// The parts of the weight curve: full until the objective, falling, at weight_at_deadline, nothing.
enum class CurvePart { full, falling, least, none };

// The first time past the objective at which the weight has fallen to weight_at_deadline; kNever where it
// reaches it only at the deadline.
Microseconds least_weight_from(const ClassSettings& request_class, WeightDecay decay) {
  if (decay == WeightDecay::linear) return request_class.weight_at_deadline == 1 ? 1 : kNever;
  const Microseconds span = request_class.deadline - request_class.latency_objective;
  if (span <= 1) return kNever;
  const auto at_least_weight = [&](Microseconds past) {
    return std::exp2(-seconds(past) / seconds(request_class.latency_objective)) <=
           request_class.weight_at_deadline;
  };
  // Invariant: not at the least weight at `low`; at `high` it is, or `high` is the deadline.
  Microseconds low = 0;
  Microseconds high = span;
  while (high - low > 1) {
    const Microseconds middle = low + (high - low) / 2;
    if (at_least_weight(middle)) {
      high = middle;
    } else {
      low = middle;
    }
  }
  return high < span ? high : kNever;
}

CurvePart part_of_curve(Microseconds past, Microseconds least_from, Microseconds span) {
  if (past >= span) return CurvePart::none;
  if (past <= 0) return CurvePart::full;
  return past >= least_from ? CurvePart::least : CurvePart::falling;
}

double shortest_objective_of(const Settings& settings) {
  double shortest = seconds(settings.classes[0].latency_objective);
  for (const auto& request_class : settings.classes)
    shortest = std::min(shortest, seconds(request_class.latency_objective));
  return shortest;
}

}  // namespace

double remaining_weight(const ClassSettings& request_class, WeightDecay decay, Microseconds past_objective) {
  const Microseconds span = request_class.deadline - request_class.latency_objective;
  if (past_objective >= span) return 0;
  if (past_objective <= 0) return 1;
  if (decay == WeightDecay::half_life) {
    return std::max(request_class.weight_at_deadline,
                    std::exp2(-seconds(past_objective) / seconds(request_class.latency_objective)));
  }
  return 1 - (1 - request_class.weight_at_deadline) * seconds(past_objective) / std::max(1e-6, seconds(span));
}

std::vector<OrderPhase> order_phases(const ClassSettings& request_class, WeightDecay decay,
                                     Microseconds lookahead) {
  const Microseconds span = request_class.deadline - request_class.latency_objective;
  const Microseconds least_from = least_weight_from(request_class, decay);
  const bool rises = decay == WeightDecay::linear && request_class.weight_at_deadline > 1;
  const auto order = [&](Microseconds past) {
    const CurvePart now = part_of_curve(past, least_from, span);
    const CurvePart then = part_of_curve(past + lookahead, least_from, span);
    if (now != CurvePart::falling && then != CurvePart::falling) return OrderPhase::Order::by_id;
    // Where the weight falls now, requests with later objectives lose more; where it is about to fall, those
    // with earlier objectives lose first.
    return (now == CurvePart::falling) != rises ? OrderPhase::Order::later_objective
                                                : OrderPhase::Order::earlier_objective;
  };
  std::set<Microseconds> bends;
  for (const Microseconds bend : {Microseconds{1}, least_from, span}) {
    if (bend >= kNever) continue;
    bends.insert(bend);
    bends.insert(bend - lookahead);
  }
  std::vector<OrderPhase> phases{{-kNever, OrderPhase::Order::by_id}};
  for (const Microseconds bend : bends) phases.push_back({bend, order(bend)});
  return phases;
}

Priority::Priority(const Settings& settings)
    : settings_(settings), shortest_objective_s_(shortest_objective_of(settings)) {}

Microseconds Priority::expected_delivery(Microseconds now) {
  return now + microseconds(kAssumedLatencySeconds);
}

double Priority::weight(const WeightCurve& curve, Microseconds moment) const {
  return curve.full_weight *
         remaining_weight(*curve.request_class, settings_.decay, moment - curve.objective_at);
}

double Priority::urgency(const WeightCurve& curve, Microseconds moment) const {
  const double weight_then = weight(curve, moment);
  return weight_then - weight(curve, moment + microseconds(shortest_objective_s_)) +
         kWeightShareInUrgency * weight_then;
}

std::size_t Priority::order_group(int message_class, bool over_quota, bool unattempted) {
  return kGroupsPerClass * static_cast<std::size_t>(message_class) + (over_quota ? 1 : 0) +
         (unattempted ? kUnattemptedGroupOffset : 0);
}

std::vector<std::vector<OrderPhase>> Priority::phases_by_group() const {
  std::vector<std::vector<OrderPhase>> groups;
  for (const auto& request_class : settings_.classes) {
    groups.resize(groups.size() + kGroupsPerClass,
                  order_phases(request_class, settings_.decay, microseconds(shortest_objective_s_)));
  }
  return groups;
}

}  // namespace heronvane::dispatch
