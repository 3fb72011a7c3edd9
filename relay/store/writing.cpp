// Writing: batches to the active segment, the space reserve, syncs.
#include <algorithm>
#include <utility>

#include "fail_points.hpp"
#include "store/store.hpp"

namespace heronvane::store {
namespace {

constexpr std::uint64_t kReserveStepBytes = 64 * 1024;
// Between a failed sync and the next attempt.
constexpr Microseconds kMinSyncBackoff = 50'000, kMaxSyncBackoff = 2'000'000;
// Upper bound for the first record of a segment without its list of other segments.
constexpr std::size_t kSegmentHeadBytes = 256;
constexpr std::size_t kOtherBytes = sizeof(SegmentNumber) + sizeof(Sequence);

}  // namespace

void Store::write_failed(const std::string& what) {
  const bool first = write_failure_.empty();
  write_failure_ = what;
  if (first) options_.log("store: " + what + "; admitting no messages until a write succeeds");
}

// Writes the whole batch or, as far as a later start is concerned, nothing. A batch that failed is kept for
// another attempt.
bool Store::write(Batch& batch, std::vector<RecordSummary>& summaries) {
  if (batch.empty()) return true;
  std::error_code error;
  for (int attempt = 0; attempt < 2; attempt++) {
    const std::uint64_t growth = batch.bytes() + kSegmentHeadBytes + kOtherBytes * ledger_.segments().size() +
                                 1024;  // rounding to whole blocks of 512 bytes
    if (used_ + growth > ceiling_ && used_ + growth > options_.limit_bytes) {
      write_failed("the size limit of " + std::to_string(options_.limit_bytes) + " bytes is reached");
      return false;
    }
    const bool full = active_ && active_->size >= segment_bytes(options_.limit_bytes);
    const bool large = active_ && active_->size + batch.bytes() > 2 * segment_bytes(options_.limit_bytes);
    const bool begins = !active_ || full || large;
    error = begins ? begin_segment() : std::error_code{};
    const bool begun = begins && !error;
    if (!error) error = append(batch, batch.stamped(next_));
    if (!error) {
      if (sink_ != nullptr && &batch == &pending_)
        sink_->written(next_ + batch.count() - 1, batch.stamped(next_));
      batch_written(batch, summaries);
      if (!std::exchange(write_failure_, {}).empty()) options_.log("store: writes succeed again");
      return true;
    }
    if (begun && !active_) discard_segment(last_number_);
    if (error != std::errc::no_space_on_device || reserve_bytes_ == 0) break;
    release_reserve();
    reserve_short_ = true;
  }
  write_failed("write failed: " + error.message());
  return false;
}

std::error_code Store::append(const Batch& batch, const std::string& bytes) {
  std::size_t done = 0;
  const auto error = disk_.write(active_->file, active_->size, bytes, done);
  written_bytes_ += done;
  if (!error) {
    used_ += bytes_on_disk(active_->size + batch.bytes()) - bytes_on_disk(active_->size);
    active_->size += batch.bytes();
    ledger_.grow(active_->number, batch.bytes());
    return {};
  }
  // A partly written batch has no last frame, so it never counts. If it can't be truncated, writing must
  // continue in a new segment.
  if (done > 0 && disk_.truncate(active_->file, active_->size)) {
    used_ += bytes_on_disk(active_->size + done) - bytes_on_disk(active_->size);
    ledger_.grow(active_->number, done);
    seal();
  } else if (error == std::errc::io_error) {
    seal();
  }
  return error;
}

// Closes the active segment for writing.
void Store::seal() {
  if (!active_) return;
  if (options_.durability == Durability::machine)
    unsynced_files_.push_back(active_->file);
  else
    disk_.close(active_->file);
  ledger_.close(active_->number, next_);
  active_.reset();
}

// Removes a segment that was begun and sealed within one write and so contains no records that count.
// Otherwise each attempt would leave one, until the limit is reached.
void Store::discard_segment(SegmentNumber number) {
  if (options_.durability == Durability::machine) {
    disk_.close(unsynced_files_.back());
    unsynced_files_.pop_back();
  }
  if (disk_.remove(file_name(number))) return;
  used_ -= bytes_on_disk(ledger_.segments().at(number).bytes);
  unsynced_segments_.erase(number);
  ledger_.forget_segment(number);
  file_names_.erase(number);
}

std::error_code Store::begin_segment() {
  record::Segment head;
  head.number = last_number_ + 1;
  head.next_message = table_.next_number();
  head.anchor = clock_.anchor();
  for (const auto& [number, segment] : ledger_.segments())
    if (!is_pending_removal(number)) head.others.push_back({number, segment.end == 0 ? next_ : segment.end});
  Batch first(salt_);
  first.add(head);
  const std::string name = segment_name(head.number, salt_);
  Active next_active;
  next_active.number = head.number;
  if (const auto error = disk_.open(name, Disk::Access::create, next_active.file)) return error;
  last_number_ = head.number;
  std::size_t done = 0;
  const auto error = disk_.write(next_active.file, 0, first.stamped(next_), done);
  written_bytes_ += done;
  if (error) {
    disk_.close(next_active.file);
    // A file that can't be removed contains no complete batch: it reads as torn.
    if (disk_.remove(name)) used_ += bytes_on_disk(done);
    return error;
  }
  HERONVANE_POINT("segment.new");
  seal();
  if (options_.durability == Durability::machine) unsynced_segments_[next_active.number] = next_;
  next_active.size = first.bytes();
  used_ += bytes_on_disk(next_active.size);
  file_names_[next_active.number] = name;
  ledger_.add_segment(next_active.number);
  ledger_.grow(next_active.number, next_active.size);
  active_ = next_active;
  next_++;
  anchored_at_ = head.anchor.persistent;
  folder_dirty_ = true;
  return {};
}

void Store::batch_written(Batch& batch, std::vector<RecordSummary>& summaries) {
  next_ += batch.count();
  for (auto& summary : summaries) {
    // The id may have been forgotten while the record waited to be written.
    if (summary.kind == Kind::finished && summary.remembered)
      summary.remembered = !table_.finished_record(summary.number).id.empty();
    ledger_.add_record(summary, active_->number);
  }
  if (options_.durability == Durability::process) {
    synced_ = next_ - 1;
    batch.clear(), summaries.clear();
    return;
  }
  unsynced_bytes_ += batch.bytes();
  unsynced_.push_back({std::exchange(batch, Batch(salt_)), std::exchange(summaries, {}), next_ - 1});
  start_sync();
}

// ---- Space reserved on the volume, so that held messages can be finished even if others fill it. ----
bool Store::ensure_reserve(std::uint64_t followups) {
  // Without the reserve messages are admitted all the same; it is opened as soon as possible.
  if (!reserve_unsupported_ && !open_reserve()) return true;
  if (reserve_unsupported_ ||
      (followups <= reserve_bytes_ && reserve_bytes_ < 4 * followups + 2 * kReserveStepBytes)) {
    reserve_short_ = false;
    return true;
  }
  const std::uint64_t bytes = (followups + kReserveStepBytes - 1) / kReserveStepBytes * kReserveStepBytes;
  if (bytes < reserve_bytes_) release_reserve();
  const auto error = bytes == 0 ? std::error_code{} : disk_.allocate(reserve_, bytes);
  if (error == std::errc::operation_not_supported || error == std::errc::function_not_supported) {
    reserve_unsupported_ = true;
    options_.log(
        "store: the file system can't reserve space; if others fill the volume, held messages may not be "
        "finished in time");
    return true;
  }
  const bool was_short = std::exchange(reserve_short_, static_cast<bool>(error));
  if (error) {
    // A part of the space may have been reserved all the same; nothing else would release it.
    if (reserve_bytes_ == 0) release_reserve();
    if (!was_short)
      options_.log("store: can't reserve space for the records of held messages: " + error.message());
    return false;
  }
  if (was_short) options_.log("store: space for the records of held messages is reserved again");
  reserve_bytes_ = bytes;
  return true;
}

void Store::release_reserve() {
  if (reserve_ >= 0) disk_.truncate(reserve_, 0);
  reserve_bytes_ = 0;
}

// ---- Durability::machine. ----
// Starts a sync unless one is running; records written meanwhile are covered by the next one.
void Store::start_sync() {
  if (syncing_ || !rewrite_queue_.empty() || synced_ == next_ - 1) return;
  syncing_ = true, sync_started_at_ = clock_.now();
  const Sequence upto = next_ - 1;
  const bool folder = std::exchange(folder_dirty_, false);
  auto closing = std::exchange(unsynced_files_, {});
  auto files = closing;
  if (active_) files.push_back(active_->file);
  syncer_->sync(std::move(files), folder,
                [this, upto, folder, closing, alive = std::weak_ptr(alive_)](std::error_code error) {
                  if (alive.expired()) return;
                  sync_finished(upto, folder, closing, error);
                });
}

void Store::sync_finished(Sequence upto, bool folder, const std::vector<FileId>& closing,
                          std::error_code error) {
  syncing_ = false;
  for (const FileId file : closing) disk_.close(file);
  if (error) {
    // After a failed sync the durable content of the file is unknown, even if a later sync succeeds: all
    // unsynced records are written again, to a new segment.
    if (sync_failure_.empty())
      options_.log("store: sync failed: " + error.message() +
                   "; admitting no messages until a sync succeeds");
    sync_failure_ = "sync failed: " + error.message();
    // Backs off: otherwise all unsynced records would be written again and again to a disk that fails for
    // long.
    retry_sync_at_ = clock_.now() + sync_backoff_;
    sync_backoff_ = std::clamp(2 * sync_backoff_, kMinSyncBackoff, kMaxSyncBackoff);
    mark_sync_failed();
    folder_dirty_ = folder_dirty_ || folder;
    if (active_) {
      disk_.close(active_->file);
      ledger_.close(active_->number, next_);
      active_.reset();
    }
    for (const FileId file : std::exchange(unsynced_files_, {})) disk_.close(file);
    truncate_unsynced();
    rewrite_queue_ = std::exchange(unsynced_, {});
    unsynced_bytes_ = 0;
  } else {
    if (!std::exchange(sync_failure_, {}).empty()) options_.log("store: syncs succeed again");
    sync_backoff_ = 0;
    synced_ = upto;
    std::erase_if(unsynced_segments_, [upto](const auto& entry) { return entry.second <= upto; });
    while (!unsynced_.empty() && unsynced_.front().last <= upto) {
      unsynced_bytes_ -= unsynced_.front().batch.bytes();
      unsynced_.pop_front();
    }
    start_sync();
  }
  if (sync_handler_) sync_handler_();
}

// Empties the segments that contain only records to be written again: otherwise each failed sync would leave
// one, until the limit is reached and nothing can be written at all.
void Store::truncate_unsynced() {
  const auto all = std::exchange(unsynced_segments_, {});
  // The newest first: a segment that remains names the ends of those before it.
  for (auto it = all.rbegin(); it != all.rend(); ++it) {
    const auto segment = ledger_.segments().find(it->first);
    if (segment == ledger_.segments().end()) continue;
    FileId file = -1;
    if (disk_.open(file_name(it->first), Disk::Access::write, file)) return;
    const auto error = disk_.truncate(file, 0);
    disk_.close(file);
    if (error) return;
    used_ -= bytes_on_disk(segment->second.bytes);
    ledger_.mark_emptied(it->first);
    // The file is removed, too: otherwise a disk that fails for long would fill the folder with empty files.
    if (disk_.remove(file_name(it->first))) continue;
    folder_dirty_ = true;
    if (victim_ && victim_->number == it->first) victim_.reset();
    ledger_.forget_segment(it->first);
    file_names_.erase(it->first);
  }
}

bool Store::rewrite_unsynced() {
  while (!rewrite_queue_.empty()) {
    auto& unsynced = rewrite_queue_.front();
    if (!write(unsynced.batch, unsynced.summaries)) return false;
    rewrite_queue_.pop_front();
  }
  start_sync();
  return true;
}

}  // namespace heronvane::store
