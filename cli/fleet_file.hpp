// Converts the operator's fleet file (TOML) to the JSON object that agents accept. No I/O: files that the
// fleet file names are read through `read`.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

namespace heronvane::cli {

// "FILE:LINE: KEY: what is wrong"
struct FleetFileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Returns the content of a file; throws std::runtime_error with the reason on failure.
using ReadFile = std::function<std::string(const std::string& path)>;

// Converts `text`, the content of `file`. Relative paths in it are resolved against the directory of `file`.
// Throws FleetFileError.
std::string fleet_json(const std::string& text, const std::string& file, const ReadFile& read);

}  // namespace heronvane::cli
