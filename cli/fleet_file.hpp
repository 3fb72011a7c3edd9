// The fleet file: TOML of the operator in, the JSON object that agents take out. No I/O: what the file names
// is read through `read`.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

namespace heronvane::cli {

// "FILE:LINE: KEY: what is wrong"
struct FleetFileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The content of a file, or std::runtime_error saying why not.
using ReadFile = std::function<std::string(const std::string& path)>;

// `file` names the text in errors; what it names is looked for beside it.
std::string fleet_json(const std::string& text, const std::string& file, const ReadFile& read);

}  // namespace heronvane::cli
