// What one run is made of, drawn from the experiment and a seed: relays, destinations, endpoints, shares, and
// the timeline of faults with the parties that each strikes. Equal experiments and seeds give equal plans. No
// I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "experiment.hpp"

namespace heronvane::lab {

using Index = std::size_t;
constexpr Index kNobody = static_cast<Index>(-1);

struct PlannedRelay {
  std::string name;  // "n17"
  int zone = 0;
  double per_s = 0;  // that its clients hand in
};

struct PlannedEndpoint {
  std::string name;  // "e4"
  Index destination = 0;
  int zone = 0;
};

// The types that the list and the settings know: destinations whose endpoints are separate routes, and
// others.
constexpr const char *kPlainType = "plain", *kApartType = "routes";

struct PlannedDestination {
  std::string name;  // "d2"
  std::int64_t number = 0;
  double per_s = 0;  // that it gets on average
  double limit_per_s =
      0;  // that it takes, from all relays together; for each endpoint where routes are apart
  bool routes_apart = false, told_waits = false;
  std::vector<Index> endpoints;
};

struct Set {
  std::vector<Index> relays, endpoints, destinations;
  bool platform = false, clients = false;
  bool empty() const {
    return relays.empty() && endpoints.empty() && destinations.empty() && !platform && !clients;
  }
};

// One fault as it comes: `strikes` and `others` hold parties by index.
struct Strike {
  FaultKind kind = FaultKind::kill;
  Microseconds at = 0, lasts = 0, back = -1;
  double amount = 0;
  std::string how;
  Set strikes, others;
  std::string words;  // for people: "kill 210 relays"
};

struct Plan {
  std::uint64_t seed = 0;
  std::vector<PlannedRelay> relays;
  std::vector<PlannedDestination> destinations;
  std::vector<PlannedEndpoint> endpoints;  // those at the start, then those that replacements bring
  std::size_t endpoints_at_start = 0;
  std::vector<Strike> strikes;  // by time
};

// Throws ExperimentError where a set names a party that there is not.
Plan make_plan(const Experiment& experiment, std::uint64_t seed);
// Seeds of parts of a run, by name; well apart.
std::uint64_t seed_of(std::uint64_t seed, const std::string& part);

// Without those strikes whose place in `plan.strikes` is not in `kept` (for shrink).
Plan with_strikes(Plan plan, const std::vector<std::size_t>& kept);

}  // namespace heronvane::lab
