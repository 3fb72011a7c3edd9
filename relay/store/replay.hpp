// Reassembles the records of the segments, read in order: determines which batches are complete and which
// records are missing. No I/O here.
//
// A batch without its last frame was torn by the end of the process. Nobody acted on it, so it does not
// count. Where a record is missing in the middle (damage, a missing file) the rest of its batch counts, and
// every message that the missing records may have concerned is in doubt.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "store/ledger.hpp"
#include "store/records.hpp"
#include "store/scan.hpp"

namespace heronvane::store {

// The records in [from, to) are missing.
struct MissingRun {
  SegmentNumber segment =
      0;  // the segment that contained them or, if none names its end, the one before them
  Sequence from = 0, to = 0;
  bool estimated = false;  // their number is an estimate
};

class Replay {
 public:
  struct Counts {
    std::uint64_t records = 0;        // applied
    std::uint64_t torn = 0;           // in batches without their last frame
    std::uint64_t missing = 0;        // a lower bound; an estimate where damage covers more than one
    std::uint64_t damaged_bytes = 0;  // in the damaged ranges
    std::uint64_t damaged_ranges = 0;
  };
  // Receives each record that counts, with the sequence number and size of its frame and its segment.
  using Apply =
      std::function<void(Record&& record, Sequence sequence, std::size_t bytes, SegmentNumber segment)>;

  explicit Replay(Apply apply) : apply_(std::move(apply)) {}

  // Segments must come in ascending order, each between begin() and end(). `upto`: the sequence number after
  // its last record, as a later segment names it; nullopt for the newest segment.
  void begin(SegmentNumber segment) { segment_ = segment; }
  void end(std::optional<Sequence> upto);
  // Called after begin() instead of everything else, for a segment that belongs to the store but has no file.
  void missing_segment(std::optional<Sequence> upto);
  void add(const Frame& frame);
  void add(const DamagedRange& damage);
  void add(const TornEnd&) {}
  // The same for format 1, whose records have no sequence numbers: their offsets serve instead.
  void add(Format1Record&& record);
  void format1_damage(const DamagedRange& damage);
  void format1_end(std::uint64_t file_bytes) { next_ = file_bytes + 1; }
  void finish();

  // After finish(): the sequence number of the next record to be written.
  Sequence next() const { return next_; }
  // The last missing record; 0 if none is missing. A message whose last whole state was written before it may
  // lack records.
  Sequence last_missing() const { return last_missing_; }
  const Counts& counts() const { return counts_; }
  // In the order in which they were found missing; none for format 1, whose records have no sequence numbers.
  const std::vector<MissingRun>& missing_runs() const { return missing_runs_; }

 private:
  struct Pending {
    Record record;
    Sequence sequence = 0;
    std::size_t bytes = 0;
    SegmentNumber segment = 0;
  };
  Sequence expected() const { return pending_.empty() ? next_ : pending_.back().sequence + 1; }
  void add_missing(Sequence from, Sequence to, bool estimated = false);
  void apply_pending();

  Apply apply_;
  SegmentNumber segment_ = 0;  // the segment being read
  Sequence next_ = 1;
  bool started_ = false;
  bool at_boundary_ = true;  // all earlier records are accounted for: the next one may have any number
  bool damage_since_frame_ = false;  // damage was found since the last frame
  Sequence damaged_records_ = 0;
  std::vector<Pending> pending_;  // a batch whose last frame was not read yet
  Sequence last_missing_ = 0;
  Counts counts_;
  std::vector<MissingRun> missing_runs_;
};

}  // namespace heronvane::store
