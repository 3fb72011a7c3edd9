#include "order_keys.hpp"

#include <algorithm>

#include "time_units.hpp"

namespace heronvane::dispatch {

void OrderKeys::join(const std::string& key, MessageId id) { lines_[key].requests.push_back(id); }

std::optional<MessageId> OrderKeys::leave(const std::string& key, MessageId id, Microseconds now) {
  auto& requests = lines_[key].requests;
  requests.erase(std::find(requests.begin(), requests.end(), id));
  if (!requests.empty()) return requests.front();
  forget_if_unused(key, now);
  return std::nullopt;
}

void OrderKeys::begin_quiet_period(const std::string& key, Microseconds now, Microseconds quiet_period) {
  lines_[key].quiet_until = now + quiet_period;
  quiet_.push_back({now + quiet_period, key});
}

Microseconds OrderKeys::ready_at(const std::string& key, MessageId id, bool attempted,
                                 Microseconds now) const {
  const Line& line = lines_.at(key);
  if (line.requests.front() != id) return kNever;
  return attempted ? now : line.quiet_until;
}

void OrderKeys::forget_quiet(Microseconds now) {
  while (!quiet_.empty() && quiet_.front().until <= now) {
    forget_if_unused(quiet_.front().key, now);
    quiet_.pop_front();
  }
}

void OrderKeys::forget_if_unused(const std::string& key, Microseconds now) {
  const auto line = lines_.find(key);
  if (line == lines_.end()) return;
  if (line->second.requests.empty() && now >= line->second.quiet_until) lines_.erase(line);
}

}  // namespace heronvane::dispatch
