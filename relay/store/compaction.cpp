// Compaction: writes the live records of a segment anew, then removes its file.
#include <algorithm>
#include <utility>

#include "fail_points.hpp"
#include "store/store.hpp"

namespace heronvane::store {
namespace {

// Bounds of one step: bytes written anew, records examined.
constexpr std::uint64_t kStepBytes = 32 * 1024;
constexpr std::size_t kStepRecords = 512;
constexpr std::size_t kStepForgottenRecords = 1024;  // records of a removed segment that one step forgets
// Of segments smaller than a quarter of the full size, which many starts leave.
constexpr std::size_t kMaxSmallSegments = 32;
// A segment with a larger share of live records is not worth rewriting.
constexpr double kMaxLiveShare = 0.9;

}  // namespace

bool Store::is_pending_removal(SegmentNumber number) const {
  return std::any_of(pending_removals_.begin(), pending_removals_.end(),
                     [&](const PendingRemoval& removal) { return removal.number == number; });
}

bool Store::is_removable(SegmentNumber number) const {
  return !(active_ && number == active_->number) && !is_pending_removal(number) &&
         unremovable_.count(number) == 0;
}

bool Store::has_many_small_segments() const {
  const auto& segments = ledger_.segments();
  return segments.size() > kMaxSmallSegments &&
         static_cast<std::size_t>(std::count_if(segments.begin(), segments.end(), [this](const auto& entry) {
           return entry.second.bytes < segment_bytes(options_.limit_bytes) / 4;
         })) > kMaxSmallSegments;
}

bool Store::wants_compaction() const {
  if (!rewrite_queue_.empty()) return false;
  if (victim_ || (!pending_removals_.empty() && pending_removals_.front().dropped_at <= synced_)) return true;
  return select_victim().has_value();
}

// Damaged segments, those of format 1 and those without live records first, then the one with the smallest
// live share.
std::optional<SegmentNumber> Store::select_victim() const {
  const bool short_of_space = needs_compaction(space_usage()) || over_limit(),
             many = has_many_small_segments();
  std::optional<SegmentNumber> best;
  double lowest_share = kMaxLiveShare;
  for (const auto& [number, segment] : ledger_.segments()) {
    if (!is_removable(number)) continue;
    if (segment.damaged || segment.format1 || segment.live == 0) return number;
    if (!short_of_space && !many) continue;
    // Among many small segments the one with the fewest live bytes, whatever its share.
    const auto size = static_cast<double>(many ? segment_bytes(options_.limit_bytes) : segment.bytes);
    const double share = static_cast<double>(segment.live) / std::max(size, 1.0);
    if (share < lowest_share) best = number, lowest_share = share;
  }
  return best;
}

Store::Step Store::compact() {
  if (!commit()) return Step::blocked;
  if (!pending_removals_.empty() && pending_removals_.front().dropped_at <= synced_) return finish_removal();
  if (exceeds_unsynced_bound()) return Step::blocked;
  if (!victim_) {
    const auto best = select_victim();
    if (!best) return Step::idle;
    victim_ = Victim{*best, 0, 0};
  }
  return move_step();
}

Store::Step Store::move_step() {
  HERONVANE_POINT("compact.move");
  Victim next = *victim_;
  LiveRecords live;
  const bool more = ledger_.collect_live(next.number, next.position, kStepRecords, kStepBytes, live);
  Batch batch(salt_);
  std::vector<RecordSummary> summaries;
  const auto put = [&](const Record& record) {
    const std::size_t bytes = batch.add(record);
    summaries.push_back(summary_of(record, bytes));
  };
  for (const MessageId number : live.whole) {
    const Held* held = find(number);
    if (held == nullptr) continue;  // not expected: finished messages are moved as Finished records
    RecordSummary summary;
    summary.kind = Kind::accepted, summary.number = number;
    summary.bytes = static_cast<std::uint32_t>(batch.add(number, *held));
    summaries.push_back(std::move(summary));
  }
  for (const MessageId number : live.progress)
    if (const Held* held = find(number))
      put(record::Progress{number, held->attempts, held->ending, held->doubt});
  for (const MessageId number : live.finished) put(table_.finished_record(number));
  for (const auto& key : live.facts) {
    const auto it = facts().find(key);
    put(record::Fact{key, it == facts().end() ? std::string() : it->second});
  }
  if (!more && batch.empty()) {
    // The segment must not be declared dropped while the records that replaced its own could still be lost:
    // those written anew, and later records that made others obsolete.
    if (next.dead_at == 0) next.dead_at = next_ - 1, victim_ = next;
    if (next.dead_at > synced_) return Step::blocked;
    const Step step = schedule_removal(next.number);
    if (step != Step::blocked) victim_.reset();
    return step;
  }
  if (used_ + batch.bytes() + reserved_.followups > std::max(ceiling_, options_.limit_bytes))
    return Step::blocked;
  const std::size_t bytes = batch.bytes();
  if (!write(batch, summaries)) return Step::blocked;
  HERONVANE_POINT("compact.moved");
  copied_bytes_ += bytes;
  victim_ = next;
  return Step::more;
}

// Declares a segment without live records dropped; from then on its file does not count.
Store::Step Store::schedule_removal(SegmentNumber number) {
  ledger_.drop_oldest_tombstones(number);
  const auto& segment = ledger_.segments().at(number);
  if (segment.live != 0) {
    // Guards against a bug in the ledger: keeping a file too many is better than losing a record.
    options_.log("store: " + file_name(number) + " is kept: " + std::to_string(segment.live) +
                 " live bytes in it were not found");
    unremovable_.insert(number);
    return Step::more;
  }
  Batch batch(salt_);
  const record::Dropped dropped{number};
  std::vector<RecordSummary> summaries = {summary_of(dropped, batch.add(dropped))};
  if (!write(batch, summaries)) return Step::blocked;
  HERONVANE_POINT("compact.dropped");
  pending_removals_.push_back({number, next_ - 1, segment.damaged});
  return Step::more;
}

// Removes the file of a dropped segment, or forgets a part of its records: those of a whole segment take
// longer than one step may.
Store::Step Store::finish_removal() {
  PendingRemoval& removal = pending_removals_.front();
  if (!removal.file_removed) {
    if (!remove_file(removal)) return Step::blocked;
    HERONVANE_POINT("compact.removed");
    removal.file_removed = true;
    lower_ceiling();
    return Step::more;
  }
  if (ledger_.forget_records(removal.number, kStepForgottenRecords)) return Step::more;
  ledger_.remove_segment(removal.number);
  file_names_.erase(removal.number);
  pending_removals_.erase(pending_removals_.begin());
  return Step::more;
}

bool Store::remove_file(PendingRemoval& removal) {
  const std::string name = file_name(removal.number);
  const auto error = removal.quarantine ? disk_.rename(name, "damaged-" + name) : disk_.remove(name);
  if (error && error != std::errc::no_such_file_or_directory) {
    if (!std::exchange(removal.failure_logged, true))
      options_.log("store: " + name + " can't be " + (removal.quarantine ? "renamed: " : "removed: ") +
                   error.message());
    return false;
  }
  if (removal.quarantine)
    options_.log("store: " + name +
                 " was damaged; its readable records are stored elsewhere, the file is now damaged-" + name);
  else
    used_ -= bytes_on_disk(ledger_.segments().at(removal.number).bytes);
  return true;
}

}  // namespace heronvane::store
