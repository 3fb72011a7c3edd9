// A folder of the store, read as it is and without a change to it: which files belong to it, what their
// records say, what is missing. The store's start begins with it; the operators' tool has nothing else.
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

// What stands in the way of a start: another version's files, or files that are none of the store's.
class StoreError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Damage {
  enum class Type {
    corrupt,      // bytes `from` to `to` of its file are no records
    truncated,    // its file ends at byte `from`, before records that a later segment names
    missing_file  // it belongs to the store and has no file
  };
  SegmentNumber segment = 0;
  Type type = Type::corrupt;
  std::uint64_t from = 0, to = 0;
};
// In one line; `file`: the name of the segment's file, where there is one.
std::string text(const Damage& damage, const std::string& file);

struct SegmentFile {
  std::string name;  // as it is called in the folder
  std::uint64_t bytes = 0;
  Salt salt = 0;
  bool format1 = false;  // of format 1
  // Of what was read; nothing of one that was dropped.
  std::uint64_t records = 0;     // that are whole, also those of torn batches
  Sequence first = 0, last = 0;  // the first and the last of them; 0 where there is none, or of format 1
  std::optional<TornEnd> torn;   // at its end
};

struct Contents {
  std::map<SegmentNumber, SegmentFile> files;
  // Of the segments that belong to the store: where they end, as far as that is told. Those without a file
  // are missing; files that are not named here are left of segments that were dropped.
  std::map<SegmentNumber, std::optional<Sequence>> members;
  bool journal = false;  // segment 0 is still called `journal`, as earlier versions called it
  bool journal_next = false, downgrade_guard = false, reserve = false, sync_failed = false;  // that are there
  std::vector<Disk::Entry> others;                                                           // all else
  std::optional<Anchor> anchor;                                                              // the last one

  Table table;
  Ledger ledger;
  Sequence next = 1;          // of the next record to be written
  SegmentNumber highest = 0;  // of all segments that are there or named
  Replay::Counts counts;
  std::vector<Damage> damage;  // in the order of the segments
  std::vector<MissingRun> missing;
  std::size_t doubtful = 0;  // messages of which records may be missing
  // Of these, those whose records do not say so yet; all are flagged in `table`.
  std::vector<MessageId> newly_doubtful;
};

// Reads the folder of `disk`; `clock` goes on from the last anchor found. Times in what comes back are
// lasting time, also those of format 1, converted by what `clocks` say now. Throws StoreError or
// std::system_error.
Contents read_folder(Disk& disk, PersistentClock& clock, const ReadClocks& clocks);

}  // namespace heronvane::store
