#include "core/learned_state_store.hpp"

#include <algorithm>
#include <locale>
#include <sstream>
#include <utility>

namespace heronvane {

using heronvane::dispatch::EndpointId;
using heronvane::dispatch::Health;
using heronvane::dispatch::LearnedState;
using heronvane::dispatch::Microseconds;

namespace {

const std::string kKeyPrefix = "target/";  // of the keys in the store
constexpr int kFormatVersion = 1;
constexpr int kPrecision = 9;  // significant digits of floating-point numbers
constexpr Microseconds kMaxAge = Microseconds{7} * 86'400'000'000;  // a week

// Copies the Retry-After wait and drops everything else.
LearnedState without_health(const LearnedState& state) {
  LearnedState rest;
  rest.endpoint = state.endpoint;
  rest.destination = state.destination;
  rest.retry_after_left = state.retry_after_left;
  return rest;
}

}  // namespace

std::string learned_state_key(const EndpointId& endpoint) { return kKeyPrefix + endpoint; }

std::string encode(const LearnedStateRecord& record) {
  const LearnedState& s = record.state;
  std::ostringstream out;
  out.imbue(std::locale::classic());
  out.precision(kPrecision);
  out << kFormatVersion << ' ' << record.learned_at << ' ' << s.destination << ' '
      << static_cast<int>(s.health) << ' ' << s.time_in_health << ' ' << s.baseline_rate << ' '
      << s.slow_start_budget << ' ' << s.consecutive_failures << ' ' << s.failure_rate << ' '
      << s.last_failure_possibly_executed << ' ' << s.batch_size << ' ' << s.retry_after_left << ' '
      << s.backoff_delay << ' ' << s.send_rate << ' ' << s.consecutive_rejections << ' '
      << s.first_rejection_age << ' ' << s.admission_probability;
  return out.str();
}

std::optional<LearnedStateRecord> decode_learned_state(const EndpointId& endpoint, const std::string& text) {
  std::istringstream in(text);
  in.imbue(std::locale::classic());
  LearnedStateRecord record;
  LearnedState& s = record.state;
  int version = 0;
  int health = 0;
  in >> version >> record.learned_at >> s.destination >> health >> s.time_in_health >> s.baseline_rate >>
      s.slow_start_budget >> s.consecutive_failures >> s.failure_rate >> s.last_failure_possibly_executed >>
      s.batch_size >> s.retry_after_left >> s.backoff_delay >> s.send_rate >> s.consecutive_rejections >>
      s.first_rejection_age >> s.admission_probability;
  const bool is_health = health >= 0 && health <= static_cast<int>(Health::slow_start);
  if (!in || version != kFormatVersion || !is_health) return std::nullopt;
  s.endpoint = endpoint;
  s.health = static_cast<Health>(health);
  return record;
}

RestoredStates::RestoredStates(const std::map<std::string, std::string>& facts, Filter filter,
                               Microseconds now)
    : filter_(filter) {
  for (auto it = facts.lower_bound(kKeyPrefix); it != facts.end() && it->first.starts_with(kKeyPrefix);
       ++it) {
    const EndpointId endpoint = it->first.substr(kKeyPrefix.size());
    const auto record = decode_learned_state(endpoint, it->second);
    if (!record || record->learned_at < now - kMaxAge) {
      outdated_keys_.push_back(it->first);
    } else if (filter.health || filter.waits) {
      records_.emplace(endpoint, *record);
    }
  }
}

std::optional<heronvane::dispatch::event::LearnedStateRestored> RestoredStates::take(
    const EndpointId& endpoint, Microseconds now, Microseconds gap) {
  const auto it = records_.find(endpoint);
  if (it == records_.end()) return std::nullopt;
  const LearnedStateRecord record = std::move(it->second);
  records_.erase(it);
  LearnedState state = filter_.health ? record.state : without_health(record.state);
  if (!filter_.waits) state.retry_after_left = 0;
  if (state.retry_after_left > 0) state.retry_after_left += gap;
  if (state.blank()) return std::nullopt;
  return heronvane::dispatch::event::LearnedStateRestored{state,
                                                          std::max<Microseconds>(now - record.learned_at, 0)};
}

}  // namespace heronvane
