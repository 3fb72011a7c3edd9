#include "scenario.hpp"

#include <algorithm>
#include <iterator>

namespace decisions {
namespace {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

ClassSettings draw_class(Random& random) {
  ClassSettings c;
  c.priority_weight = random.one_of<double>({0, 0.1, 1, 1, 2, 5, 10});
  c.weight_at_deadline = random.one_of<double>({0, 0, 0.1, 0.3, 0.5, 1, 1.5});
  c.latency_objective = random.skewed(100, 3'000) * kMillisecond;
  c.deadline = c.latency_objective * random.between(1, 8) + random.between(0, 500) * kMillisecond;
  if (random.chance(0.05)) c.deadline = std::max<Micros>(c.latency_objective / 2, 1);
  if (random.chance(0.03)) c.deadline = c.latency_objective + random.between(0, 10);
  c.idempotency = static_cast<Idempotency>(random.between(0, 2));
  c.key_scope = static_cast<KeyScope>(random.between(0, 2));
  c.key_window = c.idempotency == Idempotency::keyed ? random.skewed(0, 20'000) * kMillisecond : 0;
  c.ordered = random.chance(0.35);
  return c;
}

void draw_lists(Random& random, Settings& s) {
  const std::int64_t classes = random.between(1, 6);
  for (std::int64_t i = 0; i < classes; i++) s.classes.push_back(draw_class(random));
  if (random.chance(0.03))
    for (ClassSettings& c : s.classes) c.deadline = 7'200 * kSecond;  // beyond the longest timer
  const std::int64_t kinds = random.between(0, 4);
  for (std::int64_t i = 0; i < kinds; i++)
    s.kinds.push_back({random.chance(0.4), random.one_of<int>({1, 2, 5, 20})});
  const std::int64_t tenants = random.between(0, 3);
  for (std::int64_t i = 0; i < tenants; i++)
    s.tenant_quotas_per_s.push_back(random.one_of<double>({0, 1, 10, 100}) * s.relays);
  const std::int64_t zones = random.between(0, 3);
  for (std::int64_t i = 0; i < zones; i++) s.zone_fees.push_back(random.real(0, 2));
}

void draw_limits(Random& random, Settings& s) {
  s.decay = random.chance(0.5) ? Decay::linear : Decay::half_life;
  s.weights = static_cast<WeightKind>(random.between(0, 2));
  s.over_quota_weight = random.one_of<double>({0, 0.1, 0.5, 1});
  s.relay_index = static_cast<int>(random.between(0, s.relays - 1));
  s.zone = static_cast<int>(random.between(0, 2));
  s.slots = static_cast<int>(random.one_of<std::int64_t>({1, 4, 16, 16, 64, 256, 1'000}));
  s.in_flight_max =
      static_cast<int>(random.one_of<std::int64_t>({20, 100, 300, 1'000, 1'000, 10'000, 100'000}));
  if (random.chance(0.4)) s.slots = static_cast<int>(random.skewed(1, 300));
  if (random.chance(0.02)) s.in_flight_max = 1;
  s.attempts_max = static_cast<int>(random.one_of<std::int64_t>({1, 2, 3, 5, 10}));
  s.hedging = random.chance(0.3);
  s.cancelling = random.chance(0.6);
  s.health_checks = random.chance(0.3);
  s.gossip = random.chance(0.6);
  s.subscribe = random.chance(0.5);
}

void draw_times(Random& random, Settings& s) {
  s.tick = random.one_of<Micros>({0, 1, 1'000, 1'000, 5'000, 20'000});
  s.connect_timeout = random.one_of<Micros>({100, 500, 1'000}) * kMillisecond;
  s.connection_idle = random.one_of<Micros>({0, 1, 5, 10, 60}) * kSecond;
  s.retry_after_max = random.one_of<Micros>({0, 5, 30}) * kSecond;
  s.answer_slack = random.one_of<Micros>({0, 100, 1'000}) * kMillisecond;
  s.drain_grace = random.one_of<Micros>({0, 1, 5}) * kSecond;
  s.poll_interval_max = random.one_of<Micros>({0, 1, 10}) * kSecond;
  s.key_quiet_period = random.one_of<Micros>({0, 100, 1'000, 5'000}) * kMillisecond;
  s.collapse_factor = random.one_of<double>({0.5, 1, 1.5, 2, 4});
  s.overload_span = random.one_of<Micros>({0, 500, 1'000, 3'000}) * kMillisecond;
  s.slow_start_share = random.one_of<double>({0, 0.05, 0.2, 0.5, 1});
  s.slow_start_window = random.one_of<Micros>({0, 1, 3, 10, 30}) * kSecond;
}

// A relay of a large fleet sees few requests of each destination, one alone sees all of them.
void draw_load(Random& random, Scenario& day) {
  const bool sparse = day.settings.relays > 8;
  constexpr double kRequestsADay = 6'000;
  day.requests_per_s = sparse ? random.real(2, 40) : random.real(20, 400);
  day.length = static_cast<Micros>(random.real(0.5, 1.5) * kRequestsADay / day.requests_per_s * 1e6);
  day.burst_share = random.one_of<double>({0, 0.1, 0.5, 0.8});
  day.destinations = static_cast<int>(random.skewed(1, sparse ? 30 : 12));
  day.endpoints_per_destination = static_cast<int>(random.skewed(1, 5));
  day.order_keys = static_cast<int>(random.one_of<std::int64_t>({1, 5, 50, 500}));
  const double fair = day.requests_per_s / day.destinations;
  if (random.chance(0.6)) day.rate_limit_per_s = fair * random.real(0.4, 3);
  day.latency = random.skewed(1, 400) * kMillisecond;
  day.failure_share = random.one_of<double>({0, 0, 0.005, 0.03, 0.12, 0.3});
  day.retry_after_share = random.one_of<double>({0, 0.1, 0.5, 1});
  day.incident_gap = std::max<Micros>(day.length / random.between(20, 120), 100 * kMillisecond);
  day.list_delay = random.between(0, 2'000) * kMillisecond;
  day.restarts = static_cast<int>(random.between(0, 5));
}

using Change = void (*)(Settings&);
// Each makes a value senseless, or one that only looks so.
constexpr Change kChanges[] = {
    [](Settings& s) { s.classes.clear(); },
    [](Settings& s) { s.classes.back().latency_objective = 0; },
    [](Settings& s) { s.classes.back().deadline = 0; },
    [](Settings& s) { s.classes.back().priority_weight = -1; },
    [](Settings& s) { s.classes.back().weight_at_deadline = -0.5; },
    [](Settings& s) { s.classes.back().key_window = -1; },
    [](Settings& s) {
      s.kinds.push_back({false, 0});
    },
    [](Settings& s) { s.tenant_quotas_per_s.push_back(-1); },
    [](Settings& s) { s.relays = 0; },
    [](Settings& s) { s.slots = 0; },
    [](Settings& s) { s.in_flight_max = 0; },
    [](Settings& s) { s.attempts_max = 0; },
    [](Settings& s) { s.tick = -1; },
    [](Settings& s) { s.connect_timeout = -1; },
    [](Settings& s) { s.connection_idle = -1; },
    [](Settings& s) { s.drain_grace = -1; },
    [](Settings& s) { s.poll_interval_max = -1; },
    [](Settings& s) { s.key_quiet_period = -1; },
    [](Settings& s) { s.answer_slack = -1; },
    [](Settings& s) { s.collapse_factor = 0; },
    [](Settings& s) { s.overload_span = -1; },
    [](Settings& s) { s.slow_start_window = -1; },
    [](Settings& s) { s.slow_start_share = -0.1; },
    [](Settings& s) { s.slow_start_share = 1.1; },
    [](Settings& s) { s.zone_fees.push_back(-1); },
    [](Settings& s) { s.relay_index = s.relays + 1; },
    [](Settings& s) { s.retry_after_max = -1; },
    [](Settings& s) { s.over_quota_weight = -1; },
};

}  // namespace

Scenario draw_scenario(Random& random) {
  Scenario day;
  day.module_seed = random.bits();
  day.settings.relays = static_cast<int>(random.one_of<std::int64_t>({1, 1, 2, 5, 8, 9, 40, 200, 900}));
  if (random.chance(0.3)) day.settings.relays = static_cast<int>(random.skewed(1, 900));
  draw_lists(random, day.settings);
  draw_limits(random, day.settings);
  draw_times(random, day.settings);
  day.begin = random.one_of<Micros>({0, 1, 1'000'000, 3'600'000'000, 1'700'000'000'000'000});
  draw_load(random, day);
  day.learned_every = static_cast<int>(random.one_of<std::int64_t>({1, 1, 3, 50}));
  day.learned_most = static_cast<int>(random.one_of<std::int64_t>({1, 3, 16, 1'000}));
  day.observed_every = static_cast<int>(random.one_of<std::int64_t>({20, 100, 500}));
  day.observed_most = static_cast<int>(random.one_of<std::int64_t>({0, 2, 10, 1'000}));
  return day;
}

int setting_probes() { return static_cast<int>(std::size(kChanges)); }

Settings probed_settings(Settings settings, int probe) {
  kChanges[probe](settings);
  return settings;
}

}  // namespace decisions
