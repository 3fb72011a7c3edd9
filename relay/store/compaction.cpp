// How the store gets room back: what is live in a segment is written anew, then its file goes.
#include <algorithm>
#include <utility>

#include "fail_points.hpp"
#include "store/store.hpp"

namespace heronvane::store {
namespace {

// Of one step: bytes that are written anew, records that are looked at.
constexpr std::uint64_t kStepBytes = 32 * 1024;
constexpr std::size_t kStepRecords = 512;
constexpr std::size_t kStepForgottenRecords = 1024;  // of a segment that is gone
constexpr std::size_t kMaxSmallSegments =
    32;  // segments that hold under a quarter of what they may, of many starts
// A segment that holds more than this share of live records is not worth the writing.
constexpr double kMaxLiveShare = 0.9;

}  // namespace

bool Store::is_pending_removal(SegmentNumber number) const {
  return std::any_of(pending_removals_.begin(), pending_removals_.end(),
                     [&](const PendingRemoval& d) { return d.number == number; });
}

bool Store::is_removable(SegmentNumber number) const {
  return !(active_ && number == active_->number) && !is_pending_removal(number) &&
         unremovable_.count(number) == 0;
}

bool Store::has_many_small_segments() const {
  const auto& segments = ledger_.segments();
  return segments.size() > kMaxSmallSegments &&
         static_cast<std::size_t>(std::count_if(segments.begin(), segments.end(), [this](const auto& s) {
           return s.second.bytes < segment_bytes(options_.limit_bytes) / 4;
         })) > kMaxSmallSegments;
}

bool Store::wants_compaction() const {
  if (!rewrite_queue_.empty()) return false;
  if (victim_ || (!pending_removals_.empty() && pending_removals_.front().dropped_at <= synced_)) return true;
  return select_victim().has_value();
}

// Damaged files, those of format 1 and those with nothing live first, then the one with the least that is
// live.
std::optional<SegmentNumber> Store::select_victim() const {
  const bool short_of_space = needs_compaction(space_usage()) || over_limit(),
             many = has_many_small_segments();
  std::optional<SegmentNumber> best;
  double lowest_share = kMaxLiveShare;
  for (const auto& [number, s] : ledger_.segments()) {
    if (!is_removable(number)) continue;
    if (s.damaged || s.format1 || s.live == 0) return number;
    if (!short_of_space && !many) continue;
    // Of many small ones the smallest, whatever it holds.
    const auto size = static_cast<double>(many ? segment_bytes(options_.limit_bytes) : s.bytes);
    const double share = static_cast<double>(s.live) / std::max(size, 1.0);
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
    const Held* h = find(number);
    if (h == nullptr) continue;  // can't be: what is over is moved as such
    RecordSummary summary;
    summary.kind = Kind::accepted, summary.number = number;
    summary.bytes = static_cast<std::uint32_t>(batch.add(number, *h));
    summaries.push_back(std::move(summary));
  }
  for (const MessageId number : live.progress)
    if (const Held* h = find(number)) put(record::Progress{number, h->attempts, h->ending, h->doubt});
  for (const MessageId number : live.over) put(table_.finished_record(number));
  for (const auto& key : live.facts) {
    const auto it = facts().find(key);
    put(record::Fact{key, it == facts().end() ? std::string() : it->second});
  }
  if (!more && batch.empty()) {
    // Nothing may say that it is dropped while what took its records' place could still be lost: what was
    // written anew, and later records that left them dead.
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

// Once nothing in it is live the segment is declared dropped; from then on its file does not count.
Store::Step Store::schedule_removal(SegmentNumber number) {
  ledger_.drop_oldest_tombstones(number);
  const auto& segment = ledger_.segments().at(number);
  if (segment.live != 0) {
    // Guards against a fault in the ledger: better a file too many than a record too few.
    options_.log("store: " + file_name(number) + " is kept: " + std::to_string(segment.live) +
                 " bytes in it are live that were not found");
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

// The file of one, or a part of what is known of the records in it: those of a whole segment take longer than
// a step may.
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
      options_.log("store: " + name + " can't be " + (removal.quarantine ? "set aside: " : "removed: ") +
                   error.message());
    return false;
  }
  if (removal.quarantine)
    options_.log("store: " + name +
                 " was damaged; what could be read of it stands elsewhere now, the file is damaged-" + name);
  else
    used_ -= bytes_on_disk(ledger_.segments().at(removal.number).bytes);
  return true;
}

}  // namespace heronvane::store
