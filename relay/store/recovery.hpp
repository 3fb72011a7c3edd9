// Reads a folder of the store without changing it: which files belong to it, what their records say, what is
// missing. The store's start uses it, and so does the operators' tool.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "store/disk.hpp"
#include "store/ledger.hpp"
#include "store/persistent_clock.hpp"
#include "store/records.hpp"
#include "store/replay.hpp"
#include "store/table.hpp"

namespace heronvane::store {

// A folder that can't be opened: files of another version, or files that are not the store's.
class StoreError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Damage {
  enum class Type {
    corrupt,      // bytes `from` to `to` of its file are no valid records
    truncated,    // its file ends at byte `from`, before records that a later segment names
    missing_file  // it belongs to the store, but its file does not exist
  };
  SegmentNumber segment = 0;
  Type type = Type::corrupt;
  std::uint64_t from = 0, to = 0;
};
// Describes the damage in one line; `file`: the name of the segment's file, if it exists.
std::string text(const Damage& damage, const std::string& file);

struct SegmentFile {
  std::string name;  // its name in the folder
  std::uint64_t bytes = 0;
  Salt salt = 0;
  bool format1 = false;  // of format 1
  // Set for segments that were read, not for those that were dropped.
  std::uint64_t records = 0;     // valid records, also those of torn batches
  Sequence first = 0, last = 0;  // their first and last sequence numbers; 0 if there is none, or in format 1
  std::optional<TornEnd> torn;   // at the end of the file
};

struct Contents {
  std::map<SegmentNumber, SegmentFile> files;
  // The segments that belong to the store, with the sequence number after their last record if a later
  // segment names it. Segments here without a file are missing; files of other segments are leftovers of
  // dropped ones.
  std::map<SegmentNumber, std::optional<Sequence>> members;
  bool journal = false;  // segment 0 still has the name `journal`, as in earlier versions
  bool journal_next = false, downgrade_guard = false, reserve = false,
       sync_failed = false;         // which of these exist
  std::vector<Disk::Entry> others;  // all other files and folders
  std::optional<Anchor> anchor;     // the last anchor

  Table table;
  Ledger ledger;
  Sequence next = 1;          // of the next record to be written
  SegmentNumber highest = 0;  // of all segments that exist or are named
  Replay::Counts counts;
  std::vector<Damage> damage;  // in the order of the segments
  std::vector<MissingRun> missing;
  std::size_t doubtful = 0;  // messages whose records may be incomplete
  // Those of them whose records do not say so yet; all are flagged in `table`.
  std::vector<MessageId> newly_doubtful;
};

// Reads the folder of `disk`; `clock` continues from the last anchor found. All times returned are of the
// persistent clock; those of format 1 are converted with what `clocks` read now. Throws StoreError or
// std::system_error.
Contents read_folder(Disk& disk, PersistentClock& clock, const ReadClocks& clocks);

}  // namespace heronvane::store
