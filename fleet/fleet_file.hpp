// The fleet as `apply` hands it in: checked whole before anything is decided, and the files that each relay
// of it is started with. No input or output here.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "decider.hpp"

namespace heronvane::fleet {

struct PlatformPart {
  std::string listen;
  std::string partners;       // JSON, {"endpoints":[..]}; empty where there is a file
  std::string partners_file;  // absolute; empty where there are partners
};

class Fleet {
 public:
  // Throws std::exception whose text names the field that can't be read. What relays would refuse is refused
  // here: each instance's configuration is read as the relay reads it.
  static Fleet read(const std::string& json);

  const FleetSpec& spec() const { return spec_; }
  const std::string& program() const { return program_; }
  const std::optional<PlatformPart>& platform() const { return platform_; }
  bool has(const std::string& name) const { return listen_.count(name) > 0; }

  // The relay's configuration; throws where the instance is none of this fleet's.
  std::string config(const std::string& name, Generation generation, std::uint64_t seed) const;
  // The relay's own settings file.
  std::string settings() const;

 private:
  FleetSpec spec_;
  std::string program_, discovery_, relay_settings_, limits_, toml_, copies_;
  std::optional<PlatformPart> platform_;
  std::map<std::string, std::string> listen_;  // by name
};

}  // namespace heronvane::fleet
