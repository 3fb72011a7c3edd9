// The fleet that an `apply` operation passes in, fully validated, and the files that its relays are started
// with. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "decider.hpp"

namespace heronvane::fleet {

// The platform that a fleet configures.
struct PlatformSpec {
  std::string listen;
  std::string partners;       // JSON, {"endpoints":[..]}; empty if there is a file
  std::string partners_file;  // absolute path; empty if there are partners
};

class Fleet {
 public:
  // Parses and validates a fleet. Throws std::exception whose text names the invalid field. The configuration
  // is checked with the relay's own parser, so that whatever relays would reject is rejected here.
  static Fleet read(const std::string& json);

  const FleetSpec& spec() const { return spec_; }
  const std::string& program() const { return program_; }
  const std::optional<PlatformSpec>& platform() const { return platform_; }
  bool has(const std::string& name) const { return listen_.count(name) > 0; }

  // The configuration of an instance's relay, as JSON. Throws std::exception if the instance is not in this
  // fleet.
  std::string config(const std::string& name, Generation generation, std::uint64_t seed) const;
  // The operator settings of each relay, as TOML.
  std::string settings() const;

 private:
  FleetSpec spec_;
  std::string program_, discovery_, settings_json_, limits_json_, store_toml_, copies_toml_;
  std::optional<PlatformSpec> platform_;
  std::map<std::string, std::string> listen_;  // address by instance name
};

}  // namespace heronvane::fleet
