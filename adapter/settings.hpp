// Reads the decision module's settings from the JSON object that the simulator and a relay's configuration
// share.
#pragma once

#include <string>
#include <unordered_map>

#include "fields.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch::adapter {

// The index of each name in its list of the settings, counted from 0.
using NameIndex = std::unordered_map<std::string, int>;

// The names that the settings list. The decision module knows their indices only.
struct NameTables {
  NameIndex classes;
  NameIndex tenants;
  NameIndex zones;
  NameIndex kinds;
};

// The index of a name that is not in the list.
constexpr int kUnknownIndex = -1;

// The index of a name, or kUnknownIndex.
int index_of(const NameIndex& names, const std::string& name);

// The settings, and the names of the positions that they use.
struct ParsedSettings {
  Settings settings;
  NameTables names;
};

// Reads a settings object that stands at `path` of its document. The values are not checked against each
// other: see validate(). Throws WireError.
ParsedSettings read_settings(const Value& object, const std::string& path);

}  // namespace heronvane::dispatch::adapter
