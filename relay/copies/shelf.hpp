// The logs that this relay holds for others: each a folder of its own with a store in it, whose records are
// the owner's, with what was promised beside them in the same batch. Read anew at the start; a copy that is
// whole takes the place of an earlier one at once.
//
// Called from one thread. Files under `folder` alone are touched, NAME.NUMBER.COUNT for a log.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "holder.hpp"
#include "packet.hpp"
#include "rows.hpp"
#include "store/disk.hpp"
#include "store/store.hpp"
#include "store/sync_thread.hpp"

namespace heronvane::copies {

struct ReplicaLogsOptions {
  std::string folder;             // made where it is missing
  std::uint64_t limit_bytes = 0;  // of all logs together, by what their owners may fill
  store::Durability durability = store::Durability::process;
  std::function<Microseconds()> now;     // this relay's lasting time
  std::function<Microseconds()> steady;  // that a step of no clock moves, from any zero
  store::SyncThread::Post post;          // Durability::machine only
  std::function<void(const std::string&)> log = [](const std::string&) {};
};

class ReplicaLogs {
 public:
  using Reply = std::function<void(Packet)>;

  // Throws std::exception where the folder can't be had.
  explicit ReplicaLogs(ReplicaLogsOptions options);
  ~ReplicaLogs();

  // Something of it can't be read any more: what was promised may be forgotten. All of it is gone then, and
  // this relay must come back as another member.
  bool lost_promises() const { return lost_promises_; }

  // A word, a part, a release: answered exactly once (a release never), when what it says stands on the disk.
  void handle(const Packet& packet, Reply reply);
  // Others hold that log in this one's place: what it says goes, what was promised stays.
  void discard_entries(const LogId& log);
  // All of it goes, with what was promised: this relay is another member from now on.
  void discard_all();
  // The owner of that log was heard just now.
  void note_contact(const LogId& log);
  // Bounded work that is left over: compaction. True: there is more.
  bool compact();

  struct View {
    LogId log;
    ReplicaState state;
    Microseconds last_contact = 0;  // steady time
    std::size_t messages = 0;
    std::uint64_t bytes = 0;
    std::string error;
  };
  std::vector<View> all() const;
  std::optional<View> find(const LogId& log) const;

 private:
  struct Folder {  // one folder
    std::string path;
    std::unique_ptr<store::Disk> disk;
    std::unique_ptr<store::SyncThread> sync;
    std::unique_ptr<store::Store> store;
    ~Folder();
  };
  struct ReplicaLog {
    LogId log;
    std::uint64_t folder_count = 0;  // of its folders, ever
    std::unique_ptr<Folder> current, staging;
    std::uint64_t next_chunk = 0;
    bool replaced = false;  // others hold that log: only promises are here
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
