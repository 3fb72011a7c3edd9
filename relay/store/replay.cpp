#include "store/replay.hpp"

#include <algorithm>
#include <utility>

namespace heronvane::store {
namespace {

constexpr std::uint64_t kMinFrameBytes = kFrameBytes + 8;

}  // namespace

void Replay::add_missing(Sequence from, Sequence to, bool estimated) {
  if (to <= from) return;
  missing_runs_.push_back({segment_, from, to, estimated});
  counts_.missing += to - from;
  last_missing_ = std::max(last_missing_, to - 1);
}

void Replay::apply_pending() {
  for (auto& pending : pending_) {
    counts_.records++;
    next_ = std::max(next_, pending.sequence + 1);
    apply_(std::move(pending.record), pending.sequence, pending.bytes, pending.segment);
  }
  pending_.clear();
}

void Replay::missing_segment(std::optional<Sequence> upto) {
  apply_pending();
  add_missing(next_, std::max(upto.value_or(next_ + 1), next_ + 1), !upto);
  next_ = std::max(next_, upto.value_or(next_));
  at_boundary_ = true;
}

void Replay::end(std::optional<Sequence> upto) {
  if (!upto) return;
  if (expected() < *upto) {
    apply_pending();
    add_missing(next_, *upto);
  } else if (!pending_.empty() && *upto <= pending_.front().sequence) {
    // A batch that could not be written completely was never acted on.
    counts_.torn += pending_.size();
    pending_.clear();
  }
  apply_pending();
  next_ = std::max(next_, *upto);
  damage_since_frame_ = false, damaged_records_ = 0;
  at_boundary_ = true;
}

void Replay::add(const Frame& frame) {
  const Sequence sequence = frame.header.sequence;
  auto record = decode(frame.header.kind, frame.payload);
  if (!record) return add(DamagedRange{frame.offset, frame.offset + frame.bytes()});
  const auto* const head = std::get_if<record::Segment>(&*record);
  if (sequence < expected()) {
    // Already applied, unless a later process began to write again at this number.
    if (sequence < next_ && head == nullptr) return;
    const auto again = std::find_if(pending_.begin(), pending_.end(),
                                    [&](const Pending& pending) { return pending.sequence >= sequence; });
    counts_.torn += static_cast<std::uint64_t>(pending_.end() - again);
    pending_.erase(again, pending_.end());
  } else if (sequence > expected() && (!at_boundary_ || damage_since_frame_)) {
    apply_pending();
    add_missing(started_ ? next_ : sequence - std::min(damaged_records_, sequence - 1), sequence, !started_);
  }
  started_ = true;
  at_boundary_ = damage_since_frame_ = false;
  damaged_records_ = 0;
  Pending& pending = pending_.emplace_back();
  pending.record = std::move(*record);
  pending.sequence = sequence, pending.bytes = frame.bytes(), pending.segment = segment_;
  if (!frame.header.last) return;
  next_ = sequence + 1;
  apply_pending();
}

void Replay::add(const DamagedRange& damage) {
  counts_.damaged_ranges++;
  counts_.damaged_bytes += damage.to - damage.from;
  damage_since_frame_ = true;
  damaged_records_ += (damage.to - damage.from) / kMinFrameBytes + 1;
}

void Replay::add(Format1Record&& old) {
  started_ = true;
  next_ = old.offset + 2;
  counts_.records++;
  apply_(std::move(old.record), old.offset + 1, old.bytes, segment_);
}

void Replay::format1_damage(const DamagedRange& damage) {
  counts_.damaged_ranges++;
  counts_.damaged_bytes += damage.to - damage.from;
  counts_.missing++;
  // The file's first line contains no record.
  if (damage.from > 0) last_missing_ = std::max(last_missing_, damage.to);
}

void Replay::finish() {
  if (damage_since_frame_) {
    // No valid frame follows the damage: it may have covered so many records.
    apply_pending();
    add_missing(next_, next_ + damaged_records_, true);
    next_ += damaged_records_;
    return;
  }
  counts_.torn += pending_.size();
  pending_.clear();
}

}  // namespace heronvane::store
