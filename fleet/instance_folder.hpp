// The files of one instance: FOLDER/instances/NAME/{config.json,settings.toml,state/,log,log.1}.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "decider.hpp"
#include "fleet_file.hpp"

namespace heronvane::fleet {

class InstanceFolder {
 public:
  InstanceFolder(const std::string& data, std::string name);

  const std::string& path() const { return path_; }
  std::string state() const { return path_ + "/state"; }
  std::string log() const { return path_ + "/log"; }

  // Both files, each whole or not at all. Throws std::exception.
  void write_config(const Fleet& fleet, Generation generation) const;
  // Throws std::exception where they can't be made.
  void make() const;
  // Whether the state folder is there, as far as can be told: false only where it is known to be gone.
  bool has_state() const;
  // The fence in the state folder's file `drained`, where it names this run.
  std::optional<OperationId> drained(const std::string& run) const;
  // Past `most` bytes the log is copied to log.1 and cut: the relay goes on writing to the same file. What it
  // writes between the two is lost; where there is no room for the copy, all of it is.
  void rotate(std::uint64_t max_bytes) const;
  void remove() const;

 private:
  std::string name_, path_;
};

// In place of what was there, whole or not at all. Throws std::system_error.
void replace_file(const std::string& file, const std::string& text);
// Past `most` bytes to FILE.1 by copying, then cut.
void rotate_file(const std::string& file, std::uint64_t max_bytes);

}  // namespace heronvane::fleet
