// Taking a log over, or going on with one's own after a restart or a fence: one claim, from its first word to
// what was decided. No I/O, no clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "group.hpp"
#include "log.hpp"

namespace heronvane::copies {

struct ClaimOptions {
  Acks acks = Acks::majority;
  std::size_t most_entries = 256;
};

class Claim {
 public:
  enum class Purpose {
    go_on,     // the owner: under the new epoch, with the same log
    take_over  // a holder: its messages become those of `self`'s own log
  };
  // won, to go on: entries() and config() are the log. Another claim may have won since: nothing may be acted
  // on before the first entry under the new epoch stands (Owner::durable). won, to take over: the messages
  // are this one's to act on, for good; where an earlier claim of this one had moved the log, they are those
  // that it imported then, and entries() is empty.
  enum class State {
    asking,     // for promises
    reading,    // entries, from the holder that has most
    importing,  // the caller writes entries() into its own log, and calls imported() when that is durable
    moving,     // where the log goes is being accepted
    won,        // see above
    moved,      // the log is another one's: into()
    beaten,     // a higher epoch is about: try again later, under one above beaten_by()
  };

  // `config`: as far as `self` knows it. `entries`: what `self` has of the log itself (the owner's disk; a
  // holder's copy is asked for like any other, by a word to itself).
  Claim(Member self, Purpose purpose, Epoch epoch, Config config, LogId own_log, std::vector<Entry> entries,
        ClaimOptions options);

  State state() const { return state_; }
  const Epoch& epoch() const { return epoch_; }
  const Epoch& beaten_by() const { return beaten_by_; }
  const std::vector<Entry>& entries() const { return entries_; }
  const Config& config() const { return config_; }
  const LogId& into() const { return into_; }

  // What is to be said now. Each may be said again as often as answers stay away: call it again.
  std::vector<Letter> words() const;
  void hear(const Member& from, const Saying& saying);
  std::string describe() const;  // all of its state, for logs and the checker
  void imported();               // what was read stands in this one's own log, at enough of its holders

 private:
  void promised(const Member& from, const say::Promised& p);
  void read();
  std::vector<Member> members() const;

  Member self_;
  Purpose purpose_;
  Epoch epoch_;
  Config config_;
  LogId own_log_, into_;
  std::vector<Entry> entries_;
  ClaimOptions options_;
  State state_ = State::asking;
  Epoch beaten_by_;
  std::map<Member, say::Promised> promises_;
  Member source_;
  Position wanted_ = 0;
  std::set<Member> accepted_;
};

}  // namespace heronvane::copies
