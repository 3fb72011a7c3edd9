// A claim on a log: to take another relay's log over, or to resume the own log after a restart or after
// fencing. Covers everything from the first request to the decision. No I/O, no clock.
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
    resume,    // the leader continues the same log in the new epoch
    take_over  // a replica moves the messages into `self`'s own log
  };
  // After a won resume, last(), last_epoch() and config() are the end of the log and its replicas. A later
  // claim may have won since, so nothing may be acted on before the first entry of the new epoch is committed
  // (Leader::durable). After a won takeover the messages belong to this relay for good. If state_was_read()
  // is false, an earlier claim of this relay had moved the log, and the messages are those imported then.
  enum class State {
    awaiting_promises,  // waits for a quorum of promises
    reading,            // reads the state from the replica with the longest log
    importing,          // the caller replaces its own state with it (resume) or writes it into its own log
                        // (take_over), and calls state_imported() once that is durable
    moving,             // waits until a quorum accepts the move
    won,                // see above
    moved,              // the log belongs to into()
    preempted,          // a higher epoch exists: retry later above preempted_by()
  };

  // `config`: the latest that `self` knows. `last`: the end of the log on the leader's own disk. A claimant's
  // own replica is asked like any other, by a message to itself.
  Claim(Member self, Purpose purpose, Epoch epoch, Config config, LogId own_log, Position last,
        Epoch last_epoch, ClaimOptions options);

  State state() const { return state_; }
  const Epoch& epoch() const { return epoch_; }
  const Epoch& preempted_by() const { return preempted_by_; }
  Position last() const { return last_; }
  const Epoch& last_epoch() const { return last_epoch_; }
  bool state_was_read() const { return state_was_read_; }  // a replica's state was imported
  const Member& source() const { return source_; }
  const Config& config() const { return config_; }
  const LogId& into() const { return into_; }

  // The requests that are still unanswered. May be called and sent again until the answers arrive.
  std::vector<Envelope> requests() const;
  void handle(const Member& from, const ProtocolMessage& message);
  std::string describe() const;  // the complete state, for logs and the checker
  void state_imported();         // the state that was read is durable at its destination

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
