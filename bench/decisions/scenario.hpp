// What is drawn for a day before it begins: the module's settings and how the world around it behaves.
#pragma once

#include <vector>

#include "random.hpp"
#include "types.hpp"

namespace decisions {

struct Scenario {
  Settings settings;
  std::uint64_t module_seed = 0;
  Micros begin = 0;
  Micros length = 0;
  // Load and receivers.
  double requests_per_s = 100;
  double burst_share = 0;  // of requests that come at the moment of another one
  int destinations = 1;
  int endpoints_per_destination = 1;
  int order_keys = 1;
  double rate_limit_per_s = 0;  // of a destination for this relay alone; 0: none
  Micros latency = 20'000;      // usual one of a receiver
  double failure_share = 0;     // of calls that fail at sound endpoints
  double retry_after_share = 0;
  // Events of the world.
  Micros incident_gap = 2'000'000;  // mean time between two
  Micros list_delay = 50'000;
  int restarts = 0;  // in the whole day, at most
  // How often the module is looked at, in rounds, and how many entries are asked for.
  int learned_every = 1;
  int learned_most = 16;
  int observed_every = 100;
  int observed_most = 8;
};

Scenario draw_scenario(Random& random);

// How many ways there are to change one value of the settings so that they may make no sense any more.
int setting_probes();
// The settings, changed in the way `probe` (from 0 on).
Settings probed_settings(Settings settings, int probe);

}  // namespace decisions
