// The settings that an instance is given, as the wire and a real relay's configuration write them.
#pragma once

#include <string>
#include <unordered_map>

#include "fields.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch::adapter {

using NameIndex = std::unordered_map<std::string, int>;

// Where each name stands in the lists of the settings.
struct NameTables {
  NameIndex classes, tenants, zones, kinds;
};

// The position of a name, -1 where it is unknown.
int index_of(const NameIndex& names, const std::string& name);

// Throws WireError, naming the field, on what can't be read.
Settings read_settings(const Value& v, const std::string& path, NameTables& tables);

}  // namespace heronvane::dispatch::adapter
