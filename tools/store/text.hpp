// How the tool writes things down.
#pragma once

#include <string>
#include <string_view>

#include "store/recovery.hpp"

namespace heronvane::store::tool {

// Bytes that come from clients, safe on a terminal: all but printable ASCII as \xNN, a backslash doubled.
std::string printable(std::string_view bytes);
std::string base64(std::string_view bytes);
bool is_utf8(std::string_view bytes);
// "2 h 3 min", "-1.5 s"
std::string duration(Microseconds microseconds);
// "2026-01-02 03:04:05 UTC"
std::string date(Microseconds unix_microseconds);
const char* name_of(Outcome outcome);
std::string name_of(const MissingRun& run);

}  // namespace heronvane::store::tool
