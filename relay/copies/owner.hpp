// The owner's side of its log while it lives: what is sent to whom, what stands, when it is fenced. No I/O,
// no clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "group.hpp"
#include "log.hpp"

namespace heronvane::copies {

struct OwnerOptions {
  Acks acks = Acks::majority;
  std::size_t most_entries = 64;  // in one Append
};

class Owner {
 public:
  // `entries`: the log as it stands on the owner's disk, or as a claim found it (claim.hpp). `epoch` is the
  // owner's: of a log that it begins, or that its claim won.
  Owner(Member self, Epoch epoch, Config config, std::vector<Entry> entries, OwnerOptions options);

  // The next entry stands on the owner's own disk.
  void wrote(std::string bytes);
  // All up to there stands at enough holders too: it may be acted on. Never goes back; stays where it is once
  // fenced. What was written under earlier epochs stands with the first entry under this one (Raft, 5.4.2):
  // after a claim the owner writes one at once.
  Position durable() const { return durable_; }
  Position last() const { return entries_.size(); }
  const std::vector<Entry>& entries() const { return entries_; }
  const Epoch& epoch() const { return epoch_; }
  const Config& config() const { return config_; }

  // A holder promised a higher epoch, this one: nothing stands any more until the owner has claimed a higher
  // one itself.
  const std::optional<Epoch>& fenced() const { return fenced_; }

  // What is to be sent to a holder now: what it lacks, or, with `ask`, a word that the owner lives. At most
  // one Append is out to each; `again` says that the last one was lost, or its answer.
  std::optional<Letter> next(const Member& holder, bool ask = false);
  void again(const Member& holder);
  void hear(const Member& from, const Saying& saying);

  // Puts `fresh` in the place of `old`, one at a time: both sets bind until a quorum of each has the change
  // and `fresh` has all that stands. False: a change is under way, or `old` does not hold it, or `fresh` does
  // already.
  bool replace(const Member& old, const Member& fresh);
  bool changing() const { return !config_.next.empty(); }
  // Holders that are sent to: of both sets.
  std::vector<Member> holders() const;
  Position lag(const Member& holder) const;  // entries that it lacks
  std::string describe() const;              // all of its state, for logs and the checker

 private:
  struct Progress {
    Position has = 0;   // as it told
    Position from = 0;  // the next Append begins after it
    Version config;
    bool out = false;
  };
  void settle();

  Member self_;
  Epoch epoch_;
  Config config_;
  std::vector<Entry> entries_;
  OwnerOptions options_;
  std::map<Member, Progress> progress_;
  Position durable_ = 0;
  std::optional<Epoch> fenced_;
};

}  // namespace heronvane::copies
