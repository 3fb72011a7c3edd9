// Puts the records of the segments, read in their order, back together: which batches are whole, which
// records are missing. No input or output here.
//
// A batch that has no end was torn by the end of the process, and never acted on: it does not count. Where a
// record is missing in the middle (damage, a file that is gone) what remains of its batch counts, and every
// message whose later records could have been among the missing ones is in doubt.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "store/ledger.hpp"
#include "store/records.hpp"
#include "store/scan.hpp"

namespace heronvane::store {

// Records `from` to `to`, without the latter, are missing.
struct MissingRun {
  SegmentNumber segment = 0;  // in which they stood or, where none tells its end, behind them
  Sequence from = 0, to = 0;
  bool estimated = false;  // how many they are is not known for certain
};

class Replay {
 public:
  struct Counts {
    std::uint64_t records = 0;        // that counted
    std::uint64_t torn = 0;           // of batches without an end
    std::uint64_t missing = 0;        // at least; where damage covers more than one, an estimate
    std::uint64_t damaged_bytes = 0;  // stretches of damage
    std::uint64_t damaged_ranges = 0;
  };
  // What a record says, the sequence number and bytes of its frame, where it stands.
  using Apply =
      std::function<void(Record&& record, Sequence sequence, std::size_t bytes, SegmentNumber segment)>;

  explicit Replay(Apply apply) : apply_(std::move(apply)) {}

  // Segments come in ascending order, between begin() and end(). `upto`: the sequence number behind their
  // last record, as a later segment tells it; none does of the newest.
  void begin(SegmentNumber segment) { segment_ = segment; }
  void end(std::optional<Sequence> upto);
  // Behind begin(), instead of all else: a segment that belongs to the store but has no file.
  void missing_segment(std::optional<Sequence> upto);
  void add(const Frame& frame);
  void add(const DamagedRange& damage);
  void add(const TornEnd&) {}
  // The same of format 1, whose records have no numbers: their offsets serve.
  void add(Format1Record&& record);
  void format1_damage(const DamagedRange& damage);
  void format1_end(std::uint64_t file_bytes) { next_ = file_bytes + 1; }
  void finish();

  // After finish(): of the next record to be written.
  Sequence next() const { return next_; }
  // A message whose last whole state was written before it may lack records; 0: nothing is missing.
  Sequence last_missing() const { return last_missing_; }
  const Counts& counts() const { return counts_; }
  // In the order in which they were found missing; none of format 1, which has no numbers.
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
  SegmentNumber segment_ = 0;  // being read
  Sequence next_ = 1;
  bool started_ = false;
  bool at_boundary_ = true;  // whatever stood before is accounted for: the next record may have any number
  bool damage_since_frame_ = false;  // since the last frame
  Sequence damaged_records_ = 0;
  std::vector<Pending> pending_;  // a batch without its end so far
  Sequence last_missing_ = 0;
  Counts counts_;
  std::vector<MissingRun> missing_runs_;
};

}  // namespace heronvane::store
