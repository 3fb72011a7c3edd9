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

  // Writes settings.toml and config.json, each atomically. Creates the folder. Throws std::exception.
  void write_config(const Fleet& fleet, Generation generation) const;
  // Creates the folder and its state folder. Throws std::exception.
  void make() const;
  // Whether the state folder exists; false only if it certainly does not (ENOENT, ENOTDIR, not a folder).
  bool has_state() const;
  // The fence in the state folder's file `drained`; nullopt if the file is missing, unreadable or of another
  // run.
  std::optional<OperationId> drained(const std::string& run) const;
  // Copies a log larger than `max_bytes` to log.1 and truncates it; the relay keeps writing to the same file.
  // Lines written between the copy and the truncation are lost. If the disk has no space for the copy, the
  // whole log is.
  void rotate(std::uint64_t max_bytes) const;
  void remove() const;  // deletes the folder with all files; errors are ignored

 private:
  std::string name_, path_;
};

// Replaces the file's content atomically (FILE.new, fsync, rename). Throws std::system_error.
void replace_file(const std::string& file, const std::string& text);
// If the file is larger than `max_bytes`: copies it to FILE.1 and truncates it.
void rotate_file(const std::string& file, std::uint64_t max_bytes);

}  // namespace heronvane::fleet
