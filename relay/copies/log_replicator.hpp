// Replicates a relay's own log and keeps replicas of other relays' logs: applies the decisions of leader.hpp,
// claim.hpp and replica.hpp to connections, the relay's store and the replica logs.
//
// All calls come from the thread that runs `io`. See docs/design/copies.md.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "claim.hpp"
#include "core/log_replication.hpp"
#include "group.hpp"
#include "leader.hpp"
#include "peer_connections.hpp"
#include "replica_logs.hpp"
#include "settings.hpp"
#include "state_records.hpp"
#include "store/store.hpp"
#include "takeover.hpp"

namespace heronvane::copies {

struct Options {
  Settings settings;
  std::string name;                // this relay's name
  std::string folder;              // for replicas of other relays' logs
  std::uint64_t disk_bytes = 0;    // limit of the relay's own folder
  std::uint64_t memory_bytes = 0;  // memory limit of the process
  bool force_own = false;          // starts a new log from the folder without asking the replicas
  store::Durability durability = store::Durability::process;
  std::function<void(const std::string&)> log = [](const std::string&) {};
};

class LogReplicator : public LogReplication, public store::LogSink {
 public:
  struct Hooks {
    // Commits the records added to the store and runs what waits for them.
    std::function<void()> commit;
    std::function<void()> durable_advanced;  // store.durable() has advanced
    // The log is known to be this relay's and may be acted on. Called once after a start and once after each
    // disown().
    std::function<void()> ready;
    // Another relay took the log over: none of the held messages belong to this relay any more.
    std::function<void()> disown;
    // The messages numbered `from` to below `to` belong to this relay now.
    std::function<void(MessageId from, MessageId to)> taken_over;
    // Entries have waited too long for acknowledgements: reject the requests that wait for them.
    std::function<void()> wait_is_over;
  };

  // Listens at once but sends nothing before start(). `store` must outlive this object. Throws std::exception
  // if the address, the folder or the settings can't be used.
  LogReplicator(boost::asio::io_context& io, store::Store& store, Options options, Hooks hooks);
  ~LogReplicator() override;

  void start() override;
  bool ready() const override { return ready_; }
  bool is_under_replicated() const override { return replicas_short_; }
  void send_now() override { send_pending(); }
  bool is_failover_pending(MessageId number) const override { return takeover_.parked(number); }
  std::string take_over(const std::string& name) override { return takeover_.begin_by_operator(name); }
  std::string status_json() const override;
  void members(std::vector<Settings::Member> members) override;

  // store::LogSink
  void closing() override;
  void written(store::Sequence last, std::string_view frames) override;

 private:
  enum class Phase {
    choosing,  // chooses the replicas of a new log
    claiming,  // claims the log that this relay led before a restart or fencing
    leading
  };
  struct SnapshotTransfer {  // a snapshot on its way to one replica
    std::unique_ptr<StateWriter> state_writer;
    std::uint64_t next_chunk = 0;
    std::string written_since;  // frames written since the last chunk
    bool in_flight = false;
  };
  struct ReplicaHealth {
    Microseconds away_since = 0;  // 0: connected
    std::string error;            // why it accepts nothing; empty if it does
    Microseconds failing_since = 0;
    Microseconds retry_at = 0;  // after an error
  };
  Microseconds steady() const;
  void on_tick();
  void restore_from_store();
  void update_connections();
  void try_choose_replicas();
  void begin_log(std::vector<Member> replicas);
  void begin_claim(std::uint64_t above);
  void send_claim_requests();
  void on_claim_state();
  void import_chunk(const Packet& packet);
  void start_leading();
  void abandon_log();
  void listen();
  void on_hello(const Hello& hello);
  void note_mark(const Member& m, store::Sequence mark);
  void handle_disk_rollback();
  void send_pending();
  void send_pending(const Member& replica);
  void send_snapshot_chunk(const Member& replica);
  void apply_progress();  // after a write or an answer
  void check_commit_delay();
  void log_awaited_replicas();
  void replace_lost_replicas();
  Packet packet(ProtocolMessage message) const;
  void on_answer(const Member& from, Packet packet);
  void on_request(const Member& from, Packet packet, PeerConnections::Reply reply);
  void on_peer_connected(const Member& peer);
  void on_peer_disconnected(const std::string& name);
  std::uint64_t next_epoch(std::uint64_t above);
  void put(const std::string& key, const std::string& value) { store_.put(store::record::Fact{key, value}); }
  std::vector<Placement> placements() const;
  const Settings::Member* member(const std::string& name) const;
  Acks acks() const { return options_.settings.require_all_acks ? Acks::all : Acks::majority; }
  bool connected(const Member& m) const;

  boost::asio::io_context& io_;
  store::Store& store_;
  Options options_;
  const Hooks hooks_;
  Placement own_placement_;
  Member self_;
  LogId log_;
  ReplicaLogs replica_logs_;
  std::unique_ptr<PeerConnections> connections_;
  Takeover takeover_;
  boost::asio::steady_timer timer_, send_timer_;
  bool send_scheduled_ = false;
  Microseconds reconnect_at_ = 0, awaited_logged_at_ = 0;

  Phase phase_ = Phase::choosing;
  Microseconds phase_since_ = 0;
  std::uint64_t highest_used_epoch_ = 0;
  store::Sequence announced_mark_ = 0;  // highest own mark sent; at start, that of the earlier process
  bool rollback_detected_ = false;
  Config config_;      // as stored
  Position last_ = 0;  // last position of the log on this disk
  Epoch last_epoch_;   // epoch of that entry
  std::optional<Leader> leader_;
  Position epoch_start_ = 0;  // last position before the leader's epoch
  std::optional<Claim> claim_;
  Microseconds last_sent_at_ = 0, claim_retry_at_ = 0;
  std::uint64_t next_read_chunk_ = 0;
  Microseconds read_requested_at_ = 0;
  std::set<MessageId> read_numbers_;  // numbers of the messages in the state being read
  bool leaderless_frames_dropped_ = false;
  std::string leaderless_frames_;  // frames written while this relay is not the leader
  struct UncommittedEntry {
    Position position;
    store::Sequence last;
    Microseconds since;
  };
  std::deque<UncommittedEntry> uncommitted_;  // entries that are not committed yet
  std::map<Member, SnapshotTransfer> transfers_;
  std::map<std::string, std::pair<std::uint64_t, store::Sequence>>
      peer_marks_;  // reported by others: incarnation and mark
  std::map<std::string, ReplicaHealth> replica_health_;
  bool ready_ = false, replicas_short_ = false, started_ = false, settling_ = false;
  std::uint64_t shortages_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires before posted callbacks run
};

}  // namespace heronvane::copies
