#include "priority.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "rates.hpp"

namespace heronvane::dispatch {
namespace {

enum class Part {
  full,
  falling,
  least,
  none
};  // of the curve: at the aim, between, at weight_at_deadline, too late

}  // namespace

double remaining_weight(const ClassSettings& c, WeightDecay decay, Microseconds past) {
  const Microseconds span = c.deadline - c.latency_objective;
  if (past >= span) return 0;
  if (past <= 0) return 1;
  if (decay == WeightDecay::half_life)
    return std::max(c.weight_at_deadline, std::exp2(-seconds(past) / seconds(c.latency_objective)));
  return 1 - (1 - c.weight_at_deadline) * seconds(past) / std::max(1e-6, seconds(span));
}

std::vector<OrderPhase> order_phases(const ClassSettings& c, WeightDecay decay, Microseconds ahead) {
  const Microseconds span = c.deadline - c.latency_objective;
  // The first moment at which nothing more is lost until the deadline.
  Microseconds least = kNever;
  if (decay == WeightDecay::half_life && span > 1) {
    const auto down = [&](Microseconds past) {
      return std::exp2(-seconds(past) / seconds(c.latency_objective)) <= c.weight_at_deadline;
    };
    Microseconds low = 0, high = span;  // not down at low; high: down, or never within the span
    while (high - low > 1) {
      const Microseconds middle = low + (high - low) / 2;
      (down(middle) ? high : low) = middle;
    }
    if (high < span) least = high;
  }
  if (decay == WeightDecay::linear && c.weight_at_deadline == 1) least = 1;
  const auto part = [&](Microseconds past) {
    return past >= span ? Part::none : past <= 0 ? Part::full : past >= least ? Part::least : Part::falling;
  };
  const bool rises = decay == WeightDecay::linear && c.weight_at_deadline > 1;
  const auto order = [&](Microseconds past) {
    const Part now = part(past), then = part(past + ahead);
    if (now != Part::falling && then != Part::falling) return OrderPhase::Order::by_id;
    // Where it falls now, later aims have more to lose; where it is about to, earlier ones are nearer to it.
    return (now == Part::falling) != rises ? OrderPhase::Order::later_objective
                                           : OrderPhase::Order::earlier_objective;
  };
  std::set<Microseconds> bends;
  for (const Microseconds bend : {Microseconds{1}, least, span})
    if (bend < kNever) bends.insert(bend), bends.insert(bend - ahead);
  std::vector<OrderPhase> phases{{-kNever, OrderPhase::Order::by_id}};
  for (const Microseconds bend : bends) phases.push_back({bend, order(bend)});
  return phases;
}

}  // namespace heronvane::dispatch
