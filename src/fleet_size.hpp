// What depends on how many relays share the destinations.
#pragma once

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch {

// Whether there are so many relays that each must act on fewer signs of an outage: the calls by which every
// relay learns of it would add up to too many.
inline bool is_large_fleet(const Settings& settings) {
  constexpr int kMostRelaysOfSmallFleet = 8;
  return settings.relays > kMostRelaysOfSmallFleet;
}

// Share of the load that collapses a cold destination (Settings::collapse_factor) that all relays together
// use. Less in a large fleet, where each relay only guesses its own part of the load.
inline double collapse_margin(const Settings& settings) {
  constexpr double kSmallFleet = 0.9;
  constexpr double kLargeFleet = 0.67;
  return is_large_fleet(settings) ? kLargeFleet : kSmallFleet;
}

}  // namespace heronvane::dispatch
