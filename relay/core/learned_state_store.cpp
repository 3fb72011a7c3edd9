#include "core/learned_state_store.hpp"

#include <algorithm>
#include <cmath>
#include <locale>
#include <sstream>

namespace heronvane {

using heronvane::dispatch::EndpointId;
using heronvane::dispatch::Health;
using heronvane::dispatch::LearnedState;
using heronvane::dispatch::Microseconds;

namespace {

const std::string kPrefix = "target/";
constexpr int kForm = 1;  // of the text
constexpr Microseconds kLongest = Microseconds{7} * 86'400'000'000;

}  // namespace

std::string learned_state_key(const EndpointId& endpoint) { return kPrefix + endpoint; }

std::string write_target(const LearnedState& m, Microseconds learned) {
  std::ostringstream out;
  out.imbue(std::locale::classic());
  out.precision(9);
  out << kForm << ' ' << learned << ' ' << m.destination << ' ' << static_cast<int>(m.health) << ' '
      << m.time_in_health << ' ' << m.baseline_rate << ' ' << m.slow_start_budget << ' '
      << m.consecutive_failures << ' ' << m.failure_rate << ' ' << m.last_failure_possibly_executed << ' '
      << m.batch_size << ' ' << m.retry_after_left << ' ' << m.backoff_delay << ' ' << m.send_rate << ' '
      << m.consecutive_rejections << ' ' << m.first_rejection_age << ' ' << m.admission_probability;
  return out.str();
}

std::optional<LearnedStateRecord> decode_learned_state(const EndpointId& endpoint, const std::string& text) {
  std::istringstream in(text);
  in.imbue(std::locale::classic());
  LearnedStateRecord t;
  LearnedState& m = t.memory;
  int form = 0, health = 0;
  in >> form >> t.learned >> m.destination >> health >> m.time_in_health >> m.baseline_rate >>
      m.slow_start_budget >> m.consecutive_failures >> m.failure_rate >> m.last_failure_possibly_executed >>
      m.batch_size >> m.retry_after_left >> m.backoff_delay >> m.send_rate >> m.consecutive_rejections >>
      m.first_rejection_age >> m.admission_probability;
  if (!in || form != kForm || health < 0 || health > static_cast<int>(Health::slow_start))
    return std::nullopt;
  m.endpoint = endpoint;
  m.health = static_cast<Health>(health);
  return t;
}

RestoredStates::RestoredStates(const std::map<std::string, std::string>& facts, Filter which,
                               Microseconds now)
    : filter_(which) {
  for (auto it = facts.lower_bound(kPrefix);
       it != facts.end() && it->first.compare(0, kPrefix.size(), kPrefix) == 0; ++it) {
    const EndpointId id = it->first.substr(kPrefix.size());
    const auto t = decode_learned_state(id, it->second);
    if (!t || t->learned < now - kLongest)
      outdated_keys_.push_back(it->first);
    else if (which.health || which.waits)
      records_.emplace(id, *t);
  }
}

std::optional<heronvane::dispatch::event::LearnedStateRestored> RestoredStates::take(
    const EndpointId& endpoint, Microseconds now, Microseconds gap) {
  const auto it = records_.find(endpoint);
  if (it == records_.end()) return std::nullopt;
  LearnedStateRecord t = std::move(it->second);
  records_.erase(it);
  if (!filter_.health) {
    const Microseconds wait = t.memory.retry_after_left;
    const auto destination = t.memory.destination;
    t.memory = {};
    t.memory.endpoint = endpoint, t.memory.destination = destination, t.memory.retry_after_left = wait;
  }
  if (!filter_.waits) t.memory.retry_after_left = 0;
  if (t.memory.retry_after_left > 0) t.memory.retry_after_left += gap;
  if (t.memory.blank()) return std::nullopt;
  return heronvane::dispatch::event::LearnedStateRestored{t.memory,
                                                          std::max<Microseconds>(now - t.learned, 0)};
}

}  // namespace heronvane
