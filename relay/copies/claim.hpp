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
};

class Claim {
 public:
  enum class Purpose {
    resume,    // the owner: under the new epoch, with the same log
    take_over  // a holder: its messages become those of `self`'s own log
  };
  // won, to go on: last(), last_epoch() and config() tell where the log goes on. Another claim may have won
  // since: nothing may be acted on before the first entry under the new epoch stands (Owner::durable). won,
  // to take over: the messages are this one's to act on, for good; where imports() is false an earlier claim
  // of this one had moved the log, and they are those that it imported then.
  enum class State {
    awaiting_promises,  // for promises
    reading,            // the state of the log, from the holder that has most
    importing,  // the caller puts that state in the place of its own (to go on), or writes it into its own
                // log (to take over), and calls imported() when that is durable
    moving,     // where the log goes is being accepted
    won,        // see above
    moved,      // the log is another one's: into()
    preempted,  // a higher epoch is about: try again later, under one above beaten_by()
  };

  // `config`: as far as `self` knows it. `last`: what the owner's own disk has of the log; a holder's copy is
  // asked for like any other, by a word to itself.
  Claim(Member self, Purpose purpose, Epoch epoch, Config config, LogId own_log, Position last,
        Epoch last_epoch, ClaimOptions options);

  State state() const { return state_; }
  const Epoch& epoch() const { return epoch_; }
  const Epoch& preempted_by() const { return preempted_by_; }
  Position last() const { return last_; }
  const Epoch& last_epoch() const { return last_epoch_; }
  bool state_was_read() const { return state_was_read_; }  // the state was read
  const Member& source() const { return source_; }
  const Config& config() const { return config_; }
  const LogId& into() const { return into_; }

  // What is to be said now. Each may be said again as often as answers stay away: call it again.
  std::vector<Envelope> requests() const;
  void handle(const Member& from, const ProtocolMessage& message);
  std::string describe() const;  // all of its state, for logs and the checker
  void state_imported();         // what was read stands where it belongs

 private:
  void handle_promise(const Member& from, const protocol::Promised& promise);
  std::vector<Member> members() const;

  Member self_;
  Purpose purpose_;
  Epoch epoch_;
  Config config_;
  LogId own_log_, into_;
  Position last_;
  Epoch last_epoch_;
  bool state_was_read_ = false;
  ClaimOptions options_;
  State state_ = State::awaiting_promises;
  Epoch preempted_by_;
  std::map<Member, protocol::Promised> promises_;
  Member source_;
  std::set<Member> accepted_;
};

}  // namespace heronvane::copies
