// The owner's side of its log while it lives: what is sent to whom, what stands, when it is fenced. No I/O,
// no clock.
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
  // `last`, `last_epoch`: where the log stands on the owner's disk, or where a claim found it (claim.hpp).
  // `epoch` is the owner's: of a log that it begins, or that its claim won.
  Leader(Member self, Epoch epoch, Config config, Position last, Epoch last_epoch, LeaderOptions options);

  // The next entry stands on the owner's own disk.
  void append(std::string bytes);
  // All up to there stands at enough holders too: it may be acted on. Never goes back; stays where it is once
  // fenced. What was written under earlier epochs stands with the first entry under this one (Raft, 5.4.2):
  // after a claim the owner writes one at once.
  Position durable() const { return durable_; }
  Position last() const { return base_ + entries_.size(); }
  Epoch epoch_at(Position position) const;  // from base() on
  const Epoch& epoch() const { return epoch_; }
  const Config& config() const { return config_; }

  // Entries after this are kept, for holders that lack them.
  Position base() const { return base_; }
  std::uint64_t bytes() const { return bytes_; }  // of the entries kept
  // Lets go what all holders have, and more, the oldest first, until `most` bytes are left: a holder that
  // lacks any of it then needs a snapshot.
  void trim(std::uint64_t max_bytes);

  // A holder promised a higher epoch, this one: nothing stands any more until the owner has claimed a higher
  // one itself.
  const std::optional<Epoch>& fenced() const { return fenced_; }

  // What is to be sent to a holder now: what it lacks, or, with `ask`, a word that the owner lives. At most
  // one Append is out to each; `again` says that the last one was lost, or its answer. Nothing while the
  // holder needs a snapshot.
  std::optional<Envelope> next_append(const Member& replica, bool probe = false);
  // The entries that it lacks are not kept, or it has others: it needs the state itself. `snapshot` is the
  // word that goes with the state as it stands now; it counts as out.
  bool needs_snapshot(const Member& replica) const;
  std::optional<Envelope> snapshot(const Member& replica);
  void mark_lost(const Member& replica);
  void handle(const Member& from, const ProtocolMessage& message);

  // Puts `fresh` in the place of `old`, one at a time: both sets bind until a quorum of each has the change
  // and `fresh` has all that stands. False: a change is under way, or `old` does not hold it, or `fresh` does
  // already.
  bool replace(const Member& replaced, const Member& replacement);
  bool changing() const { return !config_.next.empty(); }
  // Holders that are sent to: of both sets.
  std::vector<Member> replicas() const;
  Position lag(const Member& replica) const;  // entries that it lacks
  std::string describe() const;               // all of its state, for logs and the checker

 private:
  struct Progress {
    Position acknowledged = 0;  // as it told
    Position append_after = 0;  // the next Append begins after it
    Version config;
    bool in_flight = false, diverged = false;
  };
  void advance();

  Member self_;
  Epoch epoch_;
  Config config_;
  Position epoch_start_;  // where this epoch began
  Position base_;         // before the first entry that is kept,
  Epoch base_epoch_;      // of the entry there
  std::deque<Entry> entries_;
  std::uint64_t bytes_ = 0;
  LeaderOptions options_;
  std::map<Member, Progress> progress_;
  Position durable_ = 0;
  std::optional<Epoch> fenced_;
};

}  // namespace heronvane::copies
