#include "core/in_flight_gauge.hpp"

#include <algorithm>

namespace heronvane {

void InFlightGauge::taken(MessageId number, const std::string& message_class, Microseconds when) {
  const auto of_class = by_class_.try_emplace(message_class).first;
  if (!held_.emplace(number, Entry{when / kStep, of_class}).second) return;
  of_class->second++;
  by_step_[when / kStep]++;
}

void InFlightGauge::over(MessageId number) {
  const auto it = held_.find(number);
  if (it == held_.end()) return;
  const auto step = by_step_.find(it->second.step);
  if (--step->second == 0) by_step_.erase(step);
  if (--it->second.of_class->second == 0) by_class_.erase(it->second.of_class);
  held_.erase(it);
}

InFlightGauge::Counts InFlightGauge::counts(Microseconds now) const {
  Counts c;
  c.by_class = by_class_;
  if (by_step_.empty()) return c;
  c.oldest = std::max<Microseconds>(0, now - by_step_.begin()->first * kStep);
  // The newest first: what is older than the last bound is the rest, and is not looked at.
  std::size_t seen = 0;
  for (auto it = by_step_.rbegin(); it != by_step_.rend(); ++it) {
    const Microseconds age = now - it->first * kStep;
    if (age > 30'000'000) break;
    (age <= 1'000'000 ? c.up_to_1s : age <= 5'000'000 ? c.up_to_5s : c.up_to_30s) += it->second;
    seen += it->second;
  }
  c.more = held_.size() - seen;
  return c;
}

}  // namespace heronvane
