#include "learned_store.hpp"

#include <iterator>
#include <limits>
#include <utility>

namespace decisions {
namespace {

constexpr std::int64_t kLongest = std::numeric_limits<std::int64_t>::max();

using Change = void (*)(LearnedState&, Random&);

double wild(Random& random) {
  return random.one_of<double>({-1, 0, 1e30, std::numeric_limits<double>::quiet_NaN()});
}
int wild_count(Random& random) { return static_cast<int>(random.between(-5, 5'000)); }
Micros wild_age(Random& random) { return random.one_of<Micros>({-1, kLongest, 1'000'000}); }

// Each makes a sound record one of another make.
constexpr Change kChanges[] = {
    [](LearnedState& s, Random&) { s.destination++; },
    [](LearnedState& s, Random& random) { s.usual_rate = wild(random); },
    [](LearnedState& s, Random& random) { s.budget = wild(random); },
    [](LearnedState& s, Random& random) { s.failure_share = wild(random); },
    [](LearnedState& s, Random& random) { s.backoff = wild(random); },
    [](LearnedState& s, Random& random) { s.send_rate = wild(random); },
    [](LearnedState& s, Random& random) { s.admission = wild(random); },
    [](LearnedState& s, Random& random) { s.failures_in_row = wild_count(random); },
    [](LearnedState& s, Random& random) { s.rejections = wild_count(random); },
    [](LearnedState& s, Random& random) { s.batch = wild_count(random); },
    [](LearnedState& s, Random& random) { s.health_age = wild_age(random); },
    [](LearnedState& s, Random& random) { s.rejected_age = wild_age(random); },
};

void spoil(LearnedState& state, Random& random) {
  const auto last = static_cast<std::int64_t>(std::size(kChanges)) - 1;
  kChanges[random.between(0, last)](state, random);
}

}  // namespace

void LearnedStore::keep(const std::vector<LearnedState>& states, Micros now) {
  for (const LearnedState& state : states) {
    if (state.blank)
      entries_.erase(state.endpoint);
    else
      entries_[state.endpoint] = {state, now};
  }
}

std::vector<Event> LearnedStore::restored(Micros now, Random& random) const {
  std::vector<Event> events;
  for (const auto& [endpoint, entry] : entries_) {
    if (random.chance(0.05)) continue;
    event::Restored restored{entry.state, now - entry.at};
    if (random.chance(0.1)) restored.age += random.between(0, 60'000'000);
    if (random.chance(0.1)) spoil(restored.state, random);
    events.push_back(restored);
    if (random.chance(0.1)) events.push_back(event::Restored{entry.state, now - entry.at + 1});
  }
  const std::int64_t invented = random.between(0, 2);
  for (std::int64_t i = 0; i < invented; i++)
    events.push_back(made_up("s-" + std::to_string(random.between(1, 30)), random));
  for (std::size_t i = events.size(); i > 1; i--)
    std::swap(events[i - 1],
              events[static_cast<std::size_t>(random.between(0, static_cast<std::int64_t>(i) - 1))]);
  return events;
}

event::Restored LearnedStore::made_up(const std::string& endpoint, Random& random) {
  LearnedState state;
  state.endpoint = endpoint;
  state.destination = random.between(1, 3);
  state.health = static_cast<Health>(random.between(0, 2));
  state.health_age = random.between(0, 10'000'000);
  state.usual_rate = random.real(0, 50);
  state.budget = random.share();
  state.failures_in_row = static_cast<int>(random.between(0, 5));
  state.failure_share = random.share();
  state.outcome_unknown = random.chance(0.5);
  state.batch = static_cast<int>(random.between(0, 30));
  state.wait_left = random.chance(0.5) ? random.between(0, 3'000'000) : 0;
  state.backoff = random.real(0, 2);
  state.send_rate = random.chance(0.5) ? random.real(0, 100) : 0;
  state.rejections = static_cast<int>(random.between(0, 6));
  state.rejected_age = random.between(0, 5'000'000);
  state.admission = random.share();
  return {state, random.between(0, 5'000'000)};
}

}  // namespace decisions
