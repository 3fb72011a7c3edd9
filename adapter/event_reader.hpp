// Reads the messages of the simulator's wire into the decision module's events.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fields.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "settings.hpp"

namespace heronvane::dispatch::adapter {

// An endpoint of a roster. Each instance numbers the names of zones and kinds by its own settings.
struct RosterEntry {
  Endpoint endpoint;  // without zone and kind
  std::string zone;
  std::string kind;
};

// The endpoint lists that POOL messages gave, by their RosterId. SYNC messages refer to them.
using Rosters = std::map<std::int64_t, std::vector<RosterEntry>>;

// Reads a POOL message, `path` in error texts, into `rosters`; it replaces an earlier one of the same id.
// Throws WireError.
void read_roster(const Value& message, const std::string& path, Rosters& rosters);

// Reads a message of the given kind into an event for an instance whose settings list `names`. Throws
// WireError, also on an unknown kind.
Event read_event(const std::string& kind, const Value& message, const NameTables& names,
                 const Rosters& rosters);

}  // namespace heronvane::dispatch::adapter
