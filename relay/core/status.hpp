// The status of a relay as JSON for its operator (docs/design/fleet.md). Only status.cpp contains the names
// of the JSON keys. Does no input or output.
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

// A relay's state at one moment. Times and durations are in microseconds, times on the wall clock.
struct Status {
  // An endpoint, with the decision module's state of it.
  struct Target {
    heronvane::dispatch::LearnedState known;
    heronvane::dispatch::Listing listing = heronvane::dispatch::Listing::active;
  };
  std::string name;
  std::string run;
  std::string version;
  std::string unavailable_reason;  // why the store admits no requests; empty: it does
  std::int64_t pid = 0;
  std::int64_t generation = 0;  // of the agent's desired state; 0: none
  Microseconds started = 0;
  Microseconds uptime = 0;        // a duration
  Microseconds start_waited = 0;  // a duration: how long the start waited for transient failures to pass
  std::string start_waited_for;   // the last reason; empty: it did not wait
  bool ready = false;
  bool draining = false;
  bool stopping = false;
  Fence fence = 0;           // the highest fencing token seen
  std::size_t held = 0;      // messages in flight
  std::size_t given_up = 0;  // messages in flight whose outcome notification is owed
  InFlightGauge::Counts counts;
  std::size_t calls = 0;    // in flight
  std::size_t slots = 0;    // the maximum number of calls in flight
  std::size_t clients = 0;  // connections
  std::vector<Target> targets;
  std::uint64_t store_bytes = 0;
  std::uint64_t store_limit = 0;  // bytes
  std::size_t segments = 0;       // files of the store
  std::uint64_t memory_kb = 0;
  std::uint64_t descriptors = 0;
  bool list_received = false;  // discovery has sent an endpoint list
  std::int64_t list_index = 0;
  std::size_t endpoints = 0;
  std::string copies;  // the replication's status as JSON; empty: it is off
};

// The status as a JSON object.
std::string status_json(const Status& status);

// A held message as a JSON object; `zones` names the zones of its attempts.
std::string message_json(MessageId number, const Held& held,
                         const heronvane::dispatch::adapter::NameIndex& zones);

// A completed message as a JSON object: only its id is known.
std::string completed_json(const std::string& id);

}  // namespace heronvane
