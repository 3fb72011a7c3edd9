// A relay's own log among its holders, and the logs that it holds for others: the decisions (owner.hpp,
// claim.hpp, holder.hpp) carried out over connections, the relay's store and the shelves.
//
// One thread: all calls from the one that runs `io`. docs/design/copies.md.
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
#include "owner.hpp"
#include "rows.hpp"
#include "settings.hpp"
#include "shelf.hpp"
#include "store/store.hpp"
#include "streams.hpp"
#include "takeover.hpp"

namespace heronvane::copies {

struct Options {
  Settings settings;
  std::string name;                // this relay's
  std::string folder;              // for the logs of others
  std::uint64_t disk_bytes = 0;    // of the relay's own folder
  std::uint64_t memory_bytes = 0;  // that the process may take
  bool force_own = false;          // what the folder holds is this relay's: its holders are not asked
  store::Durability durability = store::Durability::process;
  std::function<void(const std::string&)> log = [](const std::string&) {};
};

class LogReplicator : public LogReplication, public store::LogSink {
 public:
  struct Hooks {
    // What was added to the store is to be written, and what waited for its records done.
    std::function<void()> commit;
    std::function<void()> durable_advanced;  // store.durable() has moved on
    // The log is this relay's, and stands: what it holds may be acted on. Once after a start, and once more
    // after each disown().
    std::function<void()> ready;
    // The log went to another relay: nothing that is held is this one's any more.
    std::function<void()> disown;
    // The messages of these numbers are this relay's now.
    std::function<void(MessageId from, MessageId to)> taken_over;
    // What waits for copies has waited too long: whoever waits is told.
    std::function<void()> wait_is_over;
  };

  // Listens at once; speaks to nobody before start(). `store` must outlive it. Throws std::exception where
  // the address, the folder or the settings can't be used.
  LogReplicator(boost::asio::io_context& io, store::Store& store, Options options, Hooks hooks);
  ~LogReplicator() override;

  void start() override;
  bool ready() const override { return ready_; }
  bool is_under_replicated() const override { return short_; }
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
    choosing,  // holders of a log that begins
    claiming,  // the log that an earlier life, or this one until it was fenced, wrote
    leading
  };
  struct SnapshotTransfer {  // of a snapshot to one holder
    std::unique_ptr<StateWriter> state_writer;
    std::uint64_t next_chunk = 0;
    std::string written_since;  // frames written since the last part
    bool in_flight = false;
  };
  struct ReplicaHealth {
    Microseconds away_since = 0;  // 0: connected
    std::string error;            // why it takes nothing; empty: it does
    Microseconds failing_since = 0;
    Microseconds retry_at = 0;  // after it was full
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
  void apply_progress();  // after the owner heard something, or wrote
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
  store::Sequence announced_mark_ = 0;  // how far it said that it is; at first, how far an earlier life got
  bool rollback_detected_ = false;
  Config config_;      // as it is kept
  Position last_ = 0;  // of the log on this disk,
  Epoch last_epoch_;   // of the entry there
  std::optional<Leader> leader_;
  Position epoch_start_ = 0;  // where the owner's epoch began
  std::optional<Claim> claim_;
  Microseconds last_sent_at_ = 0, claim_retry_at_ = 0;
  std::uint64_t next_read_chunk_ = 0;
  Microseconds read_requested_at_ = 0;
  std::set<MessageId> read_numbers_;  // numbers in the state that is read
  bool leaderless_frames_dropped_ = false;
  std::string leaderless_frames_;  // frames written while there is no owner
  struct UncommittedEntry {
    Position position;
    store::Sequence last;
    Microseconds since;
  };
  std::deque<UncommittedEntry> uncommitted_;  // entries that do not stand yet
  std::map<Member, SnapshotTransfer> transfers_;
  std::map<std::string, std::pair<std::uint64_t, store::Sequence>>
      peer_marks_;  // told by others: incarnation, how far
  std::map<std::string, ReplicaHealth> replica_health_;
  bool ready_ = false, short_ = false, started_ = false, settling_ = false;
  std::uint64_t shortages_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is posted
};

}  // namespace heronvane::copies
