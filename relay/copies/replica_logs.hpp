// The replicas that this relay keeps of other relays' logs. Each has a folder with a store of the leader's
// records, and the replica's promises are written in the same batch. Replicas are loaded at start. A complete
// snapshot replaces the earlier copy in one step.
//
// Called from one thread. Touches files under `folder` only: NAME.NUMBER.COUNT for a log.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "frame_codec.hpp"
#include "replica.hpp"
#include "state_records.hpp"
#include "store/disk.hpp"
#include "store/store.hpp"
#include "store/sync_thread.hpp"

namespace heronvane::copies {

struct ReplicaLogsOptions {
  std::string folder;             // created if missing
  std::uint64_t limit_bytes = 0;  // for all logs together, counting each at its leader's limit
  store::Durability durability = store::Durability::process;
  std::function<Microseconds()> now;     // this relay's persistent clock
  std::function<Microseconds()> steady;  // monotonic clock
  store::SyncThread::Post post;          // Durability::machine only
  std::function<void(const std::string&)> log = [](const std::string&) {};
};

class ReplicaLogs {
 public:
  using Reply = std::function<void(Packet)>;

  // Throws std::exception if the folder can't be used.
  explicit ReplicaLogs(ReplicaLogsOptions options);
  ~ReplicaLogs();

  // A replica was unreadable or damaged, so promises may be lost. All replicas have been deleted, and this
  // relay must return as another member.
  bool lost_promises() const { return lost_promises_; }

  // Handles a message, a snapshot chunk or a release. Replies exactly once, when the result is on disk; never
  // to a release.
  void handle(const Packet& packet, Reply reply);
  // This relay is no longer a replica of that log: deletes its entries and keeps its promises.
  void discard_entries(const LogId& log);
  // Deletes everything, promises included. This relay is another member from now on.
  void discard_all();
  // Records contact with the leader of that log.
  void note_contact(const LogId& log);
  // Does a bounded amount of compaction. True: more is left.
  bool compact();

  struct View {
    LogId log;
    ReplicaState state;
    Microseconds last_contact = 0;  // on the monotonic clock
    std::size_t messages = 0;
    std::uint64_t bytes = 0;
    std::string error;
  };
  std::vector<View> all() const;
  std::optional<View> find(const LogId& log) const;

 private:
  struct Folder {
    std::string path;
    std::unique_ptr<store::Disk> disk;
    std::unique_ptr<store::SyncThread> sync;
    std::unique_ptr<store::Store> store;
    ~Folder();
  };
  struct ReplicaLog {
    LogId log;
    std::uint64_t folder_count = 0;  // number of folders ever created
    std::unique_ptr<Folder> current, staging;
    std::uint64_t next_chunk = 0;
    bool replaced = false;  // no longer a replica: only promises are kept
    Replica replica;
    Microseconds last_contact = 0, clock_offset = 0;
    std::uint64_t leader_disk_bytes = 0;
    std::unique_ptr<StateWriter> state_reader;
    std::uint64_t next_read_chunk = 0;
    std::deque<std::pair<store::Sequence, std::function<void()>>> pending_replies;
  };
  void load();
  std::unique_ptr<Folder> open(ReplicaLog& replica_log, const std::string& path);
  std::unique_ptr<Folder> create_folder(ReplicaLog& replica_log);
  void remove(std::unique_ptr<Folder> folder);
  ReplicaLog* find_or_create(const Packet& packet, std::string& error);
  void handle_message(ReplicaLog& replica_log, const Packet& packet, const Reply& reply);
  void handle_chunk(ReplicaLog& replica_log, const Packet& packet, const Reply& reply);
  void handle_read(ReplicaLog& replica_log, const Packet& packet, const Reply& reply);
  void handle_release(ReplicaLog& replica_log, const Packet& packet);
  void rewrite_state_only(ReplicaLog& replica_log, const ReplicaState& state);
  bool keep_state(ReplicaLog& replica_log, Folder& folder, const ReplicaState& state);
  void install_staging(ReplicaLog& replica_log);
  void when_durable(ReplicaLog& replica_log, std::function<void()> then);
  void flush(ReplicaLog& replica_log);
  View make_view(const ReplicaLog& replica_log) const;

  ReplicaLogsOptions options_;
  std::map<LogId, std::unique_ptr<ReplicaLog>> replica_logs_;
  bool lost_promises_ = false;
};

}  // namespace heronvane::copies
