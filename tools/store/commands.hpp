// The commands of the tool. None of them changes the folder that it reads.
#pragma once

#include <ostream>
#include <string>

#include "store/recovery.hpp"

namespace heronvane::store::tool {

// The exit status of every command.
enum Status { kIntact = 0, kDamaged = 1, kFailed = 2, kInUse = 3 };

// The contents of a folder and the clocks of this machine when it was read.
struct Folder {
  std::string path;
  Contents contents;             // without ids whose time has passed
  Microseconds now = 0;          // persistent time
  Microseconds wall_offset = 0;  // from persistent time to wall time, in microseconds
  Anchor anchor;                 // the last one; the current readings if there is none
  bool damaged() const;          // records are missing or bytes are no valid records
};

// Reads a folder under a shared lock. Throws FolderInUse, StoreError or std::system_error.
Folder read(const std::string& path);

void verify(const Folder& folder, std::ostream& out);
void show_all(const Folder& folder, std::ostream& out);
// Writes each message with that client's id, or with that number if `id` is `#` and a number; false if there
// is none.
bool show_one(const Folder& folder, const std::string& id, bool body, std::ostream& out);
void write_json(const Folder& folder, std::ostream& out);

// Writes all records that could be read to the folder `copy`, which must be empty or not exist, and verifies
// it by reading it back. Throws StoreError, FolderInUse or std::system_error; then what was written is
// removed.
void rewrite(const Folder& folder, const std::string& copy);
// Lists the records that the copy lacks and the messages that are in doubt.
void print_losses(const Folder& folder, std::ostream& out);

// Copies the folder of a relay, which may be running, as of one moment to `to`, which must be empty or not
// exist: sealed segments by hard links, the growing one by copying. Does not lock the folder or involve the
// relay.
void snapshot(const std::string& from, const std::string& to, std::ostream& out);
// Makes a new folder from a snapshot. Each of its messages is marked as in doubt, since it may have run after
// the snapshot.
void restore(const std::string& snapshot, const std::string& to, std::ostream& out);

}  // namespace heronvane::store::tool
