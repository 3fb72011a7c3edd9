// Formatting of the tool's output.
#pragma once

#include <string>
#include <string_view>

#include "store/recovery.hpp"

namespace heronvane::store::tool {

// Makes bytes from clients safe for a terminal: all but printable ASCII as \xNN, backslashes doubled.
std::string printable(std::string_view bytes);
std::string base64(std::string_view bytes);
bool is_utf8(std::string_view bytes);
// For example "2 h 3 min" or "-1.5 s".
std::string duration(Microseconds microseconds);
// For example "2026-01-02 03:04:05 UTC".
std::string date(Microseconds unix_microseconds);
const char* name_of(Outcome outcome);
std::string name_of(const MissingRun& run);

}  // namespace heronvane::store::tool
