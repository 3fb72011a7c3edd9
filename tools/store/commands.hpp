// What the tool does with a folder that was read. None of it changes that folder.
#pragma once

#include <ostream>
#include <string>

#include "store/recovery.hpp"

namespace heronvane::store::tool {

// The exit status, of every command.
enum Status { kSound = 0, kDamaged = 1, kUnusable = 2, kInUse = 3 };

// A folder as it was read, by the clocks of this machine.
struct Folder {
  std::string path;
  Contents contents;         // without ids whose time was up
  Microseconds now = 0;      // lasting time
  Microseconds to_wall = 0;  // from lasting time, in microseconds
  Anchor anchor;             // the last one; where there is none, as of now
  bool damaged() const;      // records are missing, or bytes are none
};

// Throws FolderInUse, StoreError, std::system_error.
Folder read(const std::string& path);

void verify(const Folder& folder, std::ostream& out);
void show_all(const Folder& folder, std::ostream& out);
// Each message of that client's id, or `#` and its number; false where there is none.
bool show_one(const Folder& folder, const std::string& id, bool body, std::ostream& out);
void write_json(const Folder& folder, std::ostream& out);

// Writes what could be read to the folder `copy`, which must not exist, or be empty, and reads it back. Where
// that fails it throws StoreError, FolderInUse or std::system_error, and what it wrote is removed again.
void rewrite(const Folder& folder, const std::string& copy);
// What is not in the copy, or not certain in it.
void tell_losses(const Folder& folder, std::ostream& out);

// The folder of a relay that may be running, as it is at one moment, into `to`, which must not exist, or be
// empty: closed segments by hard links, what grows copied. The relay is not asked and does not wait.
void snapshot(const std::string& from, const std::string& to, std::ostream& out);
// A new folder from a snapshot, each message of which may have run since.
void restore(const std::string& snapshot, const std::string& to, std::ostream& out);

}  // namespace heronvane::store::tool
