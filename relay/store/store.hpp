// The durable store of a relay: the messages that it accepted, their attempts, the outcome notifications that
// it still owes, and the facts that its rules need after a restart.
//
// Records are appended to segment files; each start begins a new segment. Compaction copies the live records
// of a segment into the active one, in bounded steps, and removes the old file; the segment with the smallest
// live share goes first. All files together never exceed the size limit. docs/design/store.md gives the
// reasons, store-format.md the format.
//
// held(), remembers() and facts() show a change at once. Callers must not act on it before commit() has
// returned true and durable() has reached the value that written() had then.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/message.hpp"
#include "store/admission.hpp"
#include "store/disk.hpp"
#include "store/ledger.hpp"
#include "store/persistent_clock.hpp"
#include "store/records.hpp"
#include "store/recovery.hpp"
#include "store/replay.hpp"
#include "store/table.hpp"

namespace heronvane::store {

// Which failure records must survive before the plan that depends on them is executed.
enum class Durability {
  process,  // a kill of the process: written is enough
  machine   // a loss of power: synced
};

// Syncs files on a thread of its own and calls `done` on the caller's thread when it has finished. The files
// must stay open until then.
class Syncer {
 public:
  virtual ~Syncer() = default;
  virtual void sync(std::vector<FileId> files, bool folder, std::function<void(std::error_code)> done) = 0;
};

struct Options {
  std::uint64_t limit_bytes = 0;   // of all files, each rounded up to whole blocks of 512 bytes
  int attempts_max = 8;            // attempts for which space is reserved with each message
  std::uint64_t memory_bytes = 0;  // held messages may use half of it; 0: bounded by the disk only
  Durability durability = Durability::process;
  Microseconds remember_window = 10'000'000;  // how long an id is remembered after its message's deadline
  // Whether the id of a message is remembered after it has finished: true where it must not run again.
  std::function<bool(const Message&)> remembers = [](const Message&) { return true; };
  // Keys of a few small facts that may be stored even when the share for facts is used up.
  std::set<std::string> vital_facts;
  std::function<void(const std::string&)> log = [](const std::string&) {};
  std::string boot = system_boot();
  ReadClocks clocks = system_clocks;
};

// Receives each batch that commit() writes, for replication to other stores. Batches of compaction are left
// out, since they change no state. Called within commit(); must not call commit().
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void closing() = 0;  // the batch is about to be written: records may still be added to it
  // The batch is written. `last`: sequence number of its last frame; `frames` is valid during the call.
  virtual void written(Sequence last, std::string_view frames) = 0;
};

// What the start found in the folder.
struct Recovery {
  Replay::Counts counts;
  std::vector<std::string> damaged;  // one line for each damage: file and bytes
  std::size_t messages = 0, doubtful = 0;
  std::uint64_t segments = 0, bytes = 0;
};

class Store {
 public:
  // Reads the folder. `disk` and `syncer` must outlive the store; Durability::machine needs a syncer. Throws
  // StoreError or std::system_error, having changed nothing.
  Store(Disk& disk, Options options, Syncer* syncer = nullptr);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const Recovery& recovery() const { return recovery_; }
  const PersistentClock& clock() const { return clock_; }

  // Held messages by their numbers, which ascend in the order of acceptance.
  const std::map<MessageId, Held>& held() const { return table_.held(); }
  const Held* find(MessageId number) const { return table_.find(number); }
  // The number of held messages that are not given up.
  std::size_t open() const { return held().size() - table_.given_up(); }
  MessageId next_number() const { return table_.next_number(); }
  // Whether a message with that id has finished and must not run again.
  bool remembers(const std::string& id) const { return table_.remembers(id); }
  const std::map<std::string, std::string>& facts() const { return table_.facts(); }

  // Reserves space for a message and all records that may follow; false, with nothing reserved, if there is
  // not enough space now. Each admitted message must be passed to accept() or cancel_admission().
  bool admit(const Message& message);
  void cancel_admission(const Message& message);
  void accept(MessageId number, Message message);  // numbers ascend, from next_number() on
  // Record that an attempt was begun in `zone` (-1: unknown), and its outcome.
  void sent(MessageId number, Microseconds when, int zone);
  void outcome(MessageId number, int attempt, Outcome outcome);
  // The message gets no more attempts; its outcome notification is owed.
  void give_up(MessageId number, Ending ending);
  // Nothing is owed for the message any more. Its id is remembered if Options::remembers asks for it and
  // `acknowledged`: its client was told that it was accepted.
  void finish(MessageId number, bool acknowledged = true);
  // Stores a fact, an opaque value by key. False if `part` percent of the share for facts are used up. An
  // empty value deletes the fact.
  bool set_fact(const std::string& key, const std::string& value, unsigned part = 100);

  // Imports a record of another store unchanged: a message with its number and all that is known of it, or a
  // record that follows one. Reserves the space without checking that there is enough: the caller must bound
  // what it imports. Facts are stored whatever their share. Records of messages that are not held, and
  // records of segments, change nothing.
  void put(Record record);
  // Numbers below `next` are not assigned to new messages any more, until the next start.
  void reserve_numbers(MessageId next) { table_.reserve_numbers(next); }
  std::vector<record::Finished> remembered_ids() const { return table_.remembered_ids(); }

  // Writes all records added since the last commit, all or nothing. False if the disk can't take them now:
  // they are kept for the next commit.
  bool commit();
  // Sequence numbers: of the last record written, and of the last one that has the configured durability (and
  // is replicated, if set_replicated() limits that).
  Sequence written() const { return next_ - 1; }
  Sequence durable() const { return std::min(synced_, replicated_); }
  Sequence locally_durable() const { return synced_; }  // regardless of replication
  // Replication: batches are passed to `sink`, too, which must outlive the store or be reset with nullptr.
  // Records after `upto`, which are stored here alone, do not count as durable.
  void set_log_sink(LogSink* sink) { sink_ = sink; }
  void set_replicated(Sequence upto = kAllRecords) { replicated_ = upto; }
  static constexpr Sequence kAllRecords = std::numeric_limits<Sequence>::max();
  Salt salt() const { return salt_; }
  // Called when durable() has advanced or a sync has failed; Durability::machine only.
  void on_sync(std::function<void()> handler) { sync_handler_ = std::move(handler); }

  enum class Step { idle, more, blocked };
  // Whether compact() has work to do.
  bool wants_compaction() const;
  // Performs one bounded step. `blocked`: no step is possible until something changes or time passes.
  Step compact();

  // Why the store admits no messages at present; it recovers by itself. Empty if it admits them.
  std::string unavailable_reason() const;
  // A sync has been running so long (3 s) that callers should not wait for it.
  bool sync_stalled() const;
  std::uint64_t bytes() const { return used_; }  // of all files
  std::uint64_t limit() const { return options_.limit_bytes; }
  const std::map<SegmentNumber, Ledger::Segment>& segments() const { return ledger_.segments(); }
  // Since the start: by commits and compaction, and by compaction alone.
  std::uint64_t written_bytes() const { return written_bytes_; }
  std::uint64_t copied_bytes() const { return copied_bytes_; }

 private:
  struct Active {
    SegmentNumber number = 0;
    FileId file = -1;
    std::uint64_t size = 0;
  };
  struct UnsyncedBatch {  // written, but not synced yet
    Batch batch;
    std::vector<RecordSummary> summaries;
    Sequence last = 0;
  };
  struct Victim {
    SegmentNumber number = 0;
    std::size_t position = 0;
    Sequence dead_at = 0;  // once this record is durable nothing in it is live; 0 while it has live records
  };
  // A segment whose live records are stored elsewhere; its file is removed once that is durable.
  struct PendingRemoval {
    SegmentNumber number = 0;
    Sequence dropped_at = 0;
    bool quarantine = false;
    bool file_removed = false;    // the ledger's entries follow in steps
    bool failure_logged = false;  // that the file can't be removed
  };

  // recovery.cpp
  void recover();
  void adopt_format1(const Contents& found);
  void mark_sync_failed();
  void sync_all(bool rewrite);
  void log_recovery();

  // writing.cpp
  void add(const Record& record);
  bool write(Batch& batch, std::vector<RecordSummary>& summaries);
  std::error_code append(const Batch& batch, const std::string& bytes);
  std::error_code begin_segment();
  void batch_written(Batch& batch, std::vector<RecordSummary>& summaries);
  void seal();
  void discard_segment(SegmentNumber number);
  bool open_reserve();
  bool ensure_reserve(std::uint64_t followups);
  void release_reserve();
  void start_sync();
  void sync_finished(Sequence upto, bool folder, const std::vector<FileId>& closing, std::error_code error);
  void truncate_unsynced();
  bool rewrite_unsynced();
  void write_failed(const std::string& what);

  // compaction.cpp
  std::optional<SegmentNumber> select_victim() const;
  bool is_removable(SegmentNumber number) const;
  bool has_many_small_segments() const;
  bool is_pending_removal(SegmentNumber number) const;
  Step move_step();
  Step schedule_removal(SegmentNumber number);
  Step finish_removal();
  bool remove_file(PendingRemoval& removal);

  bool is_unavailable() const {
    return !write_failure_.empty() || !sync_failure_.empty() || reserve_short_ || over_limit() ||
           sync_stalled();
  }
  // Past this bound nothing more is admitted or moved: otherwise a stuck disk would fill the memory, and
  // after a failed sync there would be no space to write all unsynced records again.
  bool exceeds_unsynced_bound() const { return unsynced_bytes_ > segment_bytes(options_.limit_bytes); }
  bool over_limit() const { return used_ > options_.limit_bytes; }
  void lower_ceiling();
  SpaceUsage space_usage() const;
  Reservation cost(const Message& message) const;
  bool fits_memory(const Reservation& cost) const;
  void release_reservation(const Reservation& cost);
  const std::string& file_name(SegmentNumber number) const { return file_names_.at(number); }

  Disk& disk_;
  Options options_;
  Syncer* syncer_;
  PersistentClock clock_;
  Salt salt_ = 0;
  Table table_;
  Ledger ledger_;
  Recovery recovery_;

  Batch pending_;
  std::vector<RecordSummary> pending_summaries_;
  std::optional<Active> active_;
  SegmentNumber last_number_ = 0;
  Sequence next_ = 1;
  std::map<SegmentNumber, std::string> file_names_;  // of the segments' files
  std::uint64_t used_ = 0, ceiling_ = 0;
  std::uint64_t written_bytes_ = 0, copied_bytes_ = 0;
  Reservation reserved_;
  Microseconds anchored_at_ = 0;
  bool anchor_pending_ = false;  // an anchor is among the pending records

  FileId reserve_ = -1;
  std::uint64_t reserve_bytes_ = 0;
  bool reserve_short_ = false, reserve_unsupported_ = false;
  std::string write_failure_;  // of the last write; empty if it succeeded
  std::string sync_failure_;   // of the last sync; empty if it succeeded

  std::optional<Victim> victim_;
  std::vector<PendingRemoval> pending_removals_;
  std::set<SegmentNumber> unremovable_;

  LogSink* sink_ = nullptr;
  Sequence synced_ = 0, replicated_ = kAllRecords;
  bool syncing_ = false, folder_dirty_ = false;
  Microseconds sync_started_at_ = 0, retry_sync_at_ = 0;
  Microseconds sync_backoff_ = 0;  // after the next sync that fails
  // Segments begun since the last sync, with their first sequence numbers.
  std::map<SegmentNumber, Sequence> unsynced_segments_;
  std::vector<FileId> unsynced_files_;  // of sealed segments
  // Batches that no sync covers yet; those that are to be written again after a failed sync.
  std::deque<UnsyncedBatch> unsynced_, rewrite_queue_;
  std::uint64_t unsynced_bytes_ = 0;
  std::function<void()> sync_handler_;
  // Tells syncs that finish later whether the store still exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace heronvane::store
