// What a relay tells of itself, as JSON (docs/design/fleet.md). No input or output here.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/drain.hpp"
#include "core/in_flight_gauge.hpp"
#include "core/message.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "settings.hpp"

namespace heronvane {

struct Status {
  struct Target {
    heronvane::dispatch::LearnedState known;
    heronvane::dispatch::Listing listing = heronvane::dispatch::Listing::active;
  };
  std::string name, run, version, trouble;
  std::int64_t pid = 0, generation = 0;
  Microseconds started = 0, uptime = 0;  // wall time
  Microseconds start_waited = 0;         // how long the start was waiting for something that passed
  std::string start_waited_for;          // what for, the last of it; empty: it was not waiting
  bool ready = false, draining = false, stopping = false;
  Fence fence = 0;
  std::size_t held = 0, given_up = 0;
  InFlightGauge::Counts counts;
  std::size_t calls = 0, slots = 0, clients = 0;
  std::vector<Target> targets;
  std::uint64_t store_bytes = 0, store_limit = 0;
  std::size_t segments = 0;
  std::uint64_t memory_kb = 0, descriptors = 0;
  bool list_told = false;
  std::int64_t list_index = 0;
  std::size_t endpoints = 0;
  std::string copies;  // as JSON; empty: none are kept
};
std::string status_json(const Status& status);

// A message that is held, or was given up and its notice is owed; one that is over, of which no more is
// known.
std::string message_json(MessageId number, const Held& held,
                         const heronvane::dispatch::adapter::NameIndex& zones);
std::string over_json(const std::string& id);

}  // namespace heronvane
