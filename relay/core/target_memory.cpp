#include "core/target_memory.hpp"

#include <algorithm>
#include <cmath>
#include <locale>
#include <sstream>

namespace heronvane {

using heronvane::dispatch::EndpointId;
using heronvane::dispatch::Health;
using heronvane::dispatch::Microseconds;
using heronvane::dispatch::TargetMemory;

namespace {

const std::string kPrefix = "target/";
constexpr int kForm = 1;  // of the text
constexpr Microseconds kLongest = Microseconds{7} * 86'400'000'000;

}  // namespace

std::string target_key(const EndpointId& endpoint) { return kPrefix + endpoint; }

std::string write_target(const TargetMemory& m, Microseconds learned) {
  std::ostringstream out;
  out.imbue(std::locale::classic());
  out.precision(9);
  out << kForm << ' ' << learned << ' ' << m.destination << ' ' << static_cast<int>(m.health) << ' '
      << m.health_age << ' ' << m.usual_rate << ' ' << m.budget << ' ' << m.fail_run << ' ' << m.fail_share
      << ' ' << m.doubt << ' ' << m.bundle << ' ' << m.wait_left << ' ' << m.delay << ' ' << m.pace << ' '
      << m.refusals << ' ' << m.refused_age << ' ' << m.let_through;
  return out.str();
}

std::optional<LearnedTarget> read_target(const EndpointId& endpoint, const std::string& text) {
  std::istringstream in(text);
  in.imbue(std::locale::classic());
  LearnedTarget t;
  TargetMemory& m = t.memory;
  int form = 0, health = 0;
  in >> form >> t.learned >> m.destination >> health >> m.health_age >> m.usual_rate >> m.budget >>
      m.fail_run >> m.fail_share >> m.doubt >> m.bundle >> m.wait_left >> m.delay >> m.pace >> m.refusals >>
      m.refused_age >> m.let_through;
  if (!in || form != kForm || health < 0 || health > static_cast<int>(Health::slow_start))
    return std::nullopt;
  m.endpoint = endpoint;
  m.health = static_cast<Health>(health);
  return t;
}

RecalledTargets::RecalledTargets(const std::map<std::string, std::string>& facts, Which which,
                                 Microseconds now)
    : which_(which) {
  for (auto it = facts.lower_bound(kPrefix);
       it != facts.end() && it->first.compare(0, kPrefix.size(), kPrefix) == 0; ++it) {
    const EndpointId id = it->first.substr(kPrefix.size());
    const auto t = read_target(id, it->second);
    if (!t || t->learned < now - kLongest)
      outdated_.push_back(it->first);
    else if (which.health || which.waits)
      targets_.emplace(id, *t);
  }
}

std::optional<heronvane::dispatch::event::TargetRecalled> RecalledTargets::take(const EndpointId& endpoint,
                                                                                Microseconds now,
                                                                                Microseconds gap) {
  const auto it = targets_.find(endpoint);
  if (it == targets_.end()) return std::nullopt;
  LearnedTarget t = std::move(it->second);
  targets_.erase(it);
  if (!which_.health) {
    const Microseconds wait = t.memory.wait_left;
    const auto destination = t.memory.destination;
    t.memory = {};
    t.memory.endpoint = endpoint, t.memory.destination = destination, t.memory.wait_left = wait;
  }
  if (!which_.waits) t.memory.wait_left = 0;
  if (t.memory.wait_left > 0) t.memory.wait_left += gap;
  if (t.memory.blank()) return std::nullopt;
  return heronvane::dispatch::event::TargetRecalled{t.memory, std::max<Microseconds>(now - t.learned, 0)};
}

}  // namespace heronvane
