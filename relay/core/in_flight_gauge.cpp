#include "core/in_flight_gauge.hpp"

#include <algorithm>

namespace heronvane {
namespace {

constexpr Microseconds kSecond = 1'000'000;

}  // namespace

void InFlightGauge::add(MessageId id, const std::string& message_class, Microseconds since) {
  const Microseconds start = since / kResolution;
  const auto of_class = by_class_.try_emplace(message_class).first;
  if (!in_flight_.emplace(id, Entry{start, of_class}).second) return;
  of_class->second++;
  by_start_[start]++;
}

void InFlightGauge::remove(MessageId id) {
  const auto it = in_flight_.find(id);
  if (it == in_flight_.end()) return;
  const auto start = by_start_.find(it->second.start);
  if (--start->second == 0) by_start_.erase(start);
  if (--it->second.of_class->second == 0) by_class_.erase(it->second.of_class);
  in_flight_.erase(it);
}

InFlightGauge::Counts InFlightGauge::counts(Microseconds now) const {
  Counts counts;
  counts.by_class = by_class_;
  if (by_start_.empty()) return counts;
  counts.oldest = std::max<Microseconds>(0, now - by_start_.begin()->first * kResolution);
  // Newest first: the loop stops at the last bound, and all older requests are counted by subtraction.
  std::size_t seen = 0;
  // NOLINTNEXTLINE(modernize-loop-convert): clang 14 can't compile std::views::reverse of this library
  for (auto entry = by_start_.rbegin(); entry != by_start_.rend(); ++entry) {
    const auto& [started, count] = *entry;
    const Microseconds age = now - started * kResolution;
    if (age > 30 * kSecond) break;
    if (age <= 1 * kSecond) {
      counts.up_to_1s += count;
    } else if (age <= 5 * kSecond) {
      counts.up_to_5s += count;
    } else {
      counts.up_to_30s += count;
    }
    seen += count;
  }
  counts.over_30s = in_flight_.size() - seen;
  return counts;
}

}  // namespace heronvane
