// The leader's side of log replication: what is sent to which replica, what is committed, and fencing. No
// I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "group.hpp"
#include "log.hpp"

namespace heronvane::copies {

struct LeaderOptions {
  Acks acks = Acks::majority;
  std::size_t max_entries_per_append = 64;  // in one Append
};

class Leader {
 public:
  // `last`, `last_epoch`: the end of the log on the leader's disk, or as its claim found it (claim.hpp).
  // `epoch` is the epoch in which the leader began the log, or the one that its claim won.
  Leader(Member self, Epoch epoch, Config config, Position last, Epoch last_epoch, LeaderOptions options);

  // Adds the next entry. It must already be on the leader's own disk.
  void append(std::string bytes);
  // The last committed position: all entries up to it are at enough replicas and may be acted on. Never
  // decreases, and stays where it is once the leader is fenced. Entries of earlier epochs are committed with
  // the first entry of this epoch (Raft, 5.4.2), so a leader writes one right after its claim.
  Position durable() const { return durable_; }
  Position last() const { return base_ + entries_.size(); }
  Epoch epoch_at(Position position) const;  // position >= base()
  const Epoch& epoch() const { return epoch_; }
  const Config& config() const { return config_; }

  // Entries after this position are kept for replicas that lack them.
  Position base() const { return base_; }
  std::uint64_t bytes() const { return bytes_; }  // size of the kept entries
  // Drops entries that all replicas have, then the oldest others until `max_bytes` are left. A replica that
  // lacks a dropped entry needs a snapshot.
  void trim(std::uint64_t max_bytes);

  // The higher epoch that a replica promised, if any. Nothing more is committed until the leader has claimed
  // an epoch above it.
  const std::optional<Epoch>& fenced() const { return fenced_; }

  // The next Append for a replica: the entries that it lacks, or with `probe` an empty one as a heartbeat. At
  // most one is in flight per replica; mark_lost() reports that the last one or its answer was lost. Returns
  // nothing for a replica that needs a snapshot.
  std::optional<Envelope> next_append(const Member& replica, bool probe = false);
  // True if the entries that the replica lacks are no longer kept, or its log diverged. snapshot() returns
  // the message that completes the transfer of the current state, and counts it as in flight.
  bool needs_snapshot(const Member& replica) const;
  std::optional<Envelope> snapshot(const Member& replica);
  void mark_lost(const Member& replica);
  void handle(const Member& from, const ProtocolMessage& message);

  // Replaces one replica at a time. Both sets are binding until a quorum of each has the change and
  // `replacement` has every committed entry. False: a change is in progress, the leader is fenced, `replaced`
  // is not a replica, or `replacement` already is one.
  bool replace(const Member& replaced, const Member& replacement);
  bool changing() const { return !config_.next.empty(); }
  // The replicas of both the old and the new set.
  std::vector<Member> replicas() const;
  Position lag(const Member& replica) const;  // number of entries that the replica lacks
  std::string describe() const;               // the complete state, for logs and the checker

 private:
  struct Progress {
    Position acknowledged = 0;  // reported by the replica
    Position append_after = 0;  // the next Append begins after it
    Version config;
    bool in_flight = false, diverged = false;
  };
  void advance();

  Member self_;
  Epoch epoch_;
  Config config_;
  Position epoch_start_;  // last position before this epoch
  Position base_;         // position before the first kept entry
  Epoch base_epoch_;      // epoch of the entry at base_
  std::deque<Entry> entries_;
  std::uint64_t bytes_ = 0;
  LeaderOptions options_;
  std::map<Member, Progress> progress_;
  Position durable_ = 0;
  std::optional<Epoch> fenced_;
};

}  // namespace heronvane::copies
