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
constexpr std::size_t kStepForgotten = 1024;  // of a segment that is gone
constexpr std::size_t kMostSmall = 32;  // segments that hold under a quarter of what they may, of many starts
// A segment that holds more than this share of live records is not worth the writing.
constexpr double kMostLive = 0.9;

}  // namespace

bool Store::is_doomed(SegmentNumber number) const {
  return std::any_of(doomed_.begin(), doomed_.end(), [&](const Doomed& d) { return d.number == number; });
}

bool Store::may_go(SegmentNumber number) const {
  return !(active_ && number == active_->number) && !is_doomed(number) && stuck_.count(number) == 0;
}

bool Store::many_small() const {
  const auto& segments = ledger_.segments();
  return segments.size() > kMostSmall &&
         static_cast<std::size_t>(std::count_if(segments.begin(), segments.end(), [this](const auto& s) {
           return s.second.bytes < segment_bytes(options_.limit_bytes) / 4;
         })) > kMostSmall;
}

bool Store::wants_compaction() const {
  if (!rewrite_.empty()) return false;
  if (victim_ || (!doomed_.empty() && doomed_.front().after <= synced_)) return true;
  return best_victim().has_value();
}

// Damaged files, those of format 1 and those with nothing live first, then the one with the least that is
// live.
std::optional<SegmentNumber> Store::best_victim() const {
  const bool short_of_room = crowded(room()) || over_limit(), many = many_small();
  std::optional<SegmentNumber> best;
  double least = kMostLive;
  for (const auto& [number, s] : ledger_.segments()) {
    if (!may_go(number)) continue;
    if (s.damaged || s.old || s.live == 0) return number;
    if (!short_of_room && !many) continue;
    // Of many small ones the smallest, whatever it holds.
    const auto size = static_cast<double>(many ? segment_bytes(options_.limit_bytes) : s.bytes);
    const double share = static_cast<double>(s.live) / std::max(size, 1.0);
    if (share < least) best = number, least = share;
  }
  return best;
}

Store::Step Store::compact() {
  if (!commit()) return Step::blocked;
  if (!doomed_.empty() && doomed_.front().after <= synced_) return finish_doomed();
  if (much_unsynced()) return Step::blocked;
  if (!victim_) {
    const auto best = best_victim();
    if (!best) return Step::idle;
    victim_ = Victim{*best, 0, 0};
  }
  return move_step();
}

Store::Step Store::move_step() {
  HERONVANE_POINT("compact.move");
  Victim next = *victim_;
  Moving moving;
  const bool more = ledger_.moving(next.number, next.at, kStepRecords, kStepBytes, moving);
  Batch batch(salt_);
  std::vector<Note> notes;
  const auto put = [&](const Record& record) {
    const std::size_t bytes = batch.add(record);
    notes.push_back(note_of(record, bytes));
  };
  for (const MessageId number : moving.whole) {
    const Held* h = find(number);
    if (h == nullptr) continue;  // can't be: what is over is moved as such
    Note note;
    note.kind = Kind::taken, note.number = number;
    note.bytes = static_cast<std::uint32_t>(batch.add(number, *h));
    notes.push_back(std::move(note));
  }
  for (const MessageId number : moving.progress)
    if (const Held* h = find(number)) put(record::Progress{number, h->attempts, h->ending, h->doubt});
  for (const MessageId number : moving.over) put(table_.over_of(number));
  for (const auto& key : moving.facts) {
    const auto it = facts().find(key);
    put(record::Fact{key, it == facts().end() ? std::string() : it->second});
  }
  if (!more && batch.empty()) {
    // Nothing may say that it is dropped while what took its records' place could still be lost: what was
    // written anew, and later records that left them dead.
    if (next.dead_at == 0) next.dead_at = next_ - 1, victim_ = next;
    if (next.dead_at > synced_) return Step::blocked;
    const Step step = doom(next.number);
    if (step != Step::blocked) victim_.reset();
    return step;
  }
  if (used_ + batch.bytes() + booked_.later > std::max(ceiling_, options_.limit_bytes)) return Step::blocked;
  const std::size_t bytes = batch.bytes();
  if (!write(batch, notes)) return Step::blocked;
  HERONVANE_POINT("compact.moved");
  copied_bytes_ += bytes;
  victim_ = next;
  return Step::more;
}

// Once nothing in it is live the segment is declared dropped; from then on its file does not count.
Store::Step Store::doom(SegmentNumber number) {
  ledger_.settle_oldest(number);
  const auto& segment = ledger_.segments().at(number);
  if (segment.live != 0) {
    // Guards against a fault in the ledger: better a file too many than a record too few.
    options_.log("store: " + name_of(number) + " is kept: " + std::to_string(segment.live) +
                 " bytes in it are live that were not found");
    stuck_.insert(number);
    return Step::more;
  }
  Batch batch(salt_);
  const record::Dropped dropped{number};
  std::vector<Note> notes = {note_of(dropped, batch.add(dropped))};
  if (!write(batch, notes)) return Step::blocked;
  HERONVANE_POINT("compact.dropped");
  doomed_.push_back({number, next_ - 1, segment.damaged});
  return Step::more;
}

// The file of one, or a part of what is known of the records in it: those of a whole segment take longer than
// a step may.
Store::Step Store::finish_doomed() {
  Doomed& doomed = doomed_.front();
  if (!doomed.gone) {
    if (!remove_file(doomed)) return Step::blocked;
    HERONVANE_POINT("compact.removed");
    doomed.gone = true;
    lower_ceiling();
    return Step::more;
  }
  if (ledger_.thin_out(doomed.number, kStepForgotten)) return Step::more;
  ledger_.remove_segment(doomed.number);
  names_.erase(doomed.number);
  doomed_.erase(doomed_.begin());
  return Step::more;
}

bool Store::remove_file(Doomed& doomed) {
  const std::string name = name_of(doomed.number);
  const auto bad = doomed.set_aside ? disk_.rename(name, "damaged-" + name) : disk_.remove(name);
  if (bad && bad != std::errc::no_such_file_or_directory) {
    if (!std::exchange(doomed.told, true))
      options_.log("store: " + name + " can't be " + (doomed.set_aside ? "set aside: " : "removed: ") +
                   bad.message());
    return false;
  }
  if (doomed.set_aside)
    options_.log("store: " + name +
                 " was damaged; what could be read of it stands elsewhere now, the file is damaged-" + name);
  else
    used_ -= on_disk(ledger_.segments().at(doomed.number).bytes);
  return true;
}

}  // namespace heronvane::store
