// The folder that lasts: what the relay has taken on, what it tried, what it still owes, and what the rules
// need of all that over a restart.
//
// Records go to segments, files that are only appended to; each start begins a new one. What is live in a
// segment is written anew, in bounded steps, and the segment removed, the one with least that is live first.
// All files together stay under the limit at every instant. docs/design/store.md tells why; store-format.md
// the bytes.
//
// Changes are seen at once in held(), remembers() and facts(); nothing may be acted on before commit() has
// returned true and durable() has reached what written() was then.
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

// What a plan's records must outlast before it is carried out.
enum class Durability {
  process,  // SIGKILL: written is enough
  machine   // power loss: synced
};

// Syncs files on a thread of its own, and tells on the caller's when it is done. The files stay open until
// then.
class Syncer {
 public:
  virtual ~Syncer() = default;
  virtual void sync(std::vector<FileId> files, bool folder, std::function<void(std::error_code)> done) = 0;
};

struct Options {
  std::uint64_t limit_bytes = 0;   // of all files, each counted in whole 512 bytes
  int attempts_max = 8;            // for which room is set aside with each message
  std::uint64_t memory_bytes = 0;  // half of it may be taken by messages held; 0: no bound but the disk's
  Durability durability = Durability::process;
  Microseconds remember_window = 10'000'000;  // an id is remembered so long past its message's deadline
  // Whether a message's id is to be remembered once it is over: where it must not run again.
  std::function<bool(const Message&)> remembers = [](const Message&) { return true; };
  // Keys of a few small facts that find room though the share of facts is used up.
  std::set<std::string> vital_facts;
  std::function<void(const std::string&)> log = [](const std::string&) {};
  std::string boot = system_boot();
  ReadClocks clocks = system_clocks;
};

// Where each batch that commit() writes goes besides the disk: copies of the store elsewhere. Compaction's
// batches are none of them, for they change nothing. Called within commit(), which neither may call.
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void closing() = 0;  // the batch is about to be written: records may still be added to it
  // It is written: its frames, the last of which has this number; valid during the call.
  virtual void written(Sequence last, std::string_view frames) = 0;
};

// What was found at the start.
struct Recovery {
  Replay::Counts counts;
  std::vector<std::string> damaged;  // files, and from which byte on
  std::size_t messages = 0, doubtful = 0;
  std::uint64_t segments = 0, bytes = 0;
};

class Store {
 public:
  // Reads what is there; `disk` must outlive it, as `syncer`, which Durability::machine needs. Throws
  // StoreError or std::system_error, having changed nothing.
  Store(Disk& disk, Options options, Syncer* syncer = nullptr);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const Recovery& recovery() const { return recovery_; }
  const PersistentClock& clock() const { return clock_; }

  // By their numbers, which ascend in the order in which they were taken on.
  const std::map<MessageId, Held>& held() const { return table_.held(); }
  const Held* find(MessageId number) const { return table_.find(number); }
  std::size_t open() const { return held().size() - table_.given_up(); }
  MessageId next_number() const { return table_.next_number(); }
  // Whether a message of that id is over and must not run again.
  bool remembers(const std::string& id) const { return table_.remembers(id); }
  const std::map<std::string, std::string>& facts() const { return table_.facts(); }

  // Sets room aside for a message and all its later records; false, with nothing set aside, where there is
  // none now. Each that was admitted must be taken, or given back.
  bool admit(const Message& message);
  void cancel_admission(const Message& message);
  void accept(MessageId number, Message message);  // numbers ascend, from next_number() on
  void sent(MessageId number, Microseconds when, int zone);
  void outcome(MessageId number, int attempt, Outcome outcome);
  void give_up(MessageId number, Ending ending);
  // Nothing is owed any more. Its id is remembered where that is asked for and `was_told`: its client knows
  // that it was taken on.
  void finish(MessageId number, bool acknowledged = true);
  // Other things to keep, by key; false where their share of the disk is used up, or `part` percent of it. An
  // empty value drops it.
  bool set_fact(const std::string& key, const std::string& value, unsigned part = 100);

  // A record of another store, as it is: a message with its number and all that is known of it, or what
  // followed. Room for it is booked, asked for by nobody: bound what comes. Facts find room whatever their
  // share. Records of messages that are not held, and of segments, change nothing.
  void put(Record record);
  // No number below is given to a message any more, until the next start.
  void reserve_numbers(MessageId next) { table_.reserve_numbers(next); }
  std::vector<record::Finished> remembered_ids() const { return table_.remembered_ids(); }

  // Writes what was added, all or nothing; false where the disk won't take it now: it is kept for the next
  // commit.
  bool commit();
  // Of records: written by the last commit; outlasting what the durability asks for.
  Sequence written() const { return next_ - 1; }
  Sequence durable() const { return std::min(synced_, replicated_); }
  Sequence locally_durable() const { return synced_; }  // on this disk alone
  // Copies: batches go to `sink`, too, which outlives the store or is taken back by nullptr; and what stands
  // nowhere else than here, from behind `upto` on, is not durable.
  void set_log_sink(LogSink* sink) { sink_ = sink; }
  void set_replicated(Sequence upto = kAllRecords) { replicated_ = upto; }
  static constexpr Sequence kAllRecords = std::numeric_limits<Sequence>::max();
  Salt salt() const { return salt_; }
  // Called when durable() has moved on, or a sync has failed; Durability::machine only.
  void on_sync(std::function<void()> handler) { sync_handler_ = std::move(handler); }

  enum class Step { idle, more, blocked };
  // Something is to be done by compact().
  bool wants_compaction() const;
  // One bounded step. `blocked`: nothing can be done before something changes or time passes.
  Step compact();

  // Why nothing is taken on, until it mends by itself; empty where all is well.
  std::string unavailable_reason() const;
  // A sync takes so long that nobody should wait for it.
  bool sync_stalled() const;
  std::uint64_t bytes() const { return used_; }  // of all files
  std::uint64_t limit() const { return options_.limit_bytes; }
  const std::map<SegmentNumber, Ledger::Segment>& segments() const { return ledger_.segments(); }
  std::uint64_t written_bytes() const { return written_bytes_; }  // since the start, by anything
  std::uint64_t copied_bytes() const { return copied_bytes_; }    // of these, by compaction

 private:
  struct Active {
    SegmentNumber number = 0;
    FileId file = -1;
    std::uint64_t size = 0;
  };
  struct UnsyncedBatch {  // not synced yet
    Batch batch;
    std::vector<RecordSummary> summaries;
    Sequence last = 0;
  };
  struct Victim {
    SegmentNumber number = 0;
    std::size_t position = 0;
    Sequence dead_at = 0;  // nothing in it is live once this record lasts; 0 while something is
  };
  struct PendingRemoval {  // its records stand elsewhere; its file goes once that is durable
    SegmentNumber number = 0;
    Sequence dropped_at = 0;
    bool quarantine = false;
    bool file_removed = false;    // its file; what the ledger knows of it follows in steps
    bool failure_logged = false;  // that its file can't be removed
  };

  // recovery.cpp
  void recover();
  void adopt_format1(const Contents& found);
  void mark_sync_failed();
  void sync_all(bool rewrite_unsynced);
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
  bool ensure_reserve(std::uint64_t later);
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
  // Past this nothing more is taken on or moved: else a stuck disk would fill the memory, and a failed sync
  // leave no room to write all of it once more.
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
  bool anchor_pending_ = false;  // among what is pending

  FileId reserve_ = -1;
  std::uint64_t reserve_bytes_ = 0;
  bool reserve_short_ = false, reserve_unsupported_ = false;
  std::string write_failure_;  // of the last write; empty where it went well
  std::string sync_failure_;   // of the last sync

  std::optional<Victim> victim_;
  std::vector<PendingRemoval> pending_removals_;
  std::set<SegmentNumber> unremovable_;

  LogSink* sink_ = nullptr;
  Sequence synced_ = 0, replicated_ = kAllRecords;
  bool syncing_ = false, folder_dirty_ = false;
  Microseconds sync_started_at_ = 0, retry_sync_at_ = 0;
  Microseconds sync_backoff_ = 0;  // after the next one that fails
  std::map<SegmentNumber, Sequence>
      unsynced_segments_;               // where each that was begun since the last sync begins
  std::vector<FileId> unsynced_files_;  // that are not written to any more
  std::deque<UnsyncedBatch> unsynced_, rewrite_queue_;  // to be written once more, since their sync failed
  std::uint64_t unsynced_bytes_ = 0;
  std::function<void()> sync_handler_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for syncs that end after the store
};

}  // namespace heronvane::store
