// A holder's side of one log: where it stands, what it promised, what it answers. Events in, answers out; no
// I/O, no clock. What the log says, the state that its entries make, is the caller's (shelf.hpp).
#pragma once

#include <optional>
#include <vector>

#include "log.hpp"

namespace heronvane::copies {

// All of it must be on the holder's disk, together with the state that it is of, before an answer goes out,
// and is there again after a restart. A holder whose disk was lost has another incarnation, and with it no
// log at all.
struct ReplicaState {
  Epoch promised;     // lower ones are refused, for good
  Position last = 0;  // the state is that of all entries up to there,
  Epoch last_epoch;   // of which the last was written under this
  Config config;
  std::optional<Moved> moved;
  bool operator==(const ReplicaState&) const = default;
};

class Replica {
 public:
  struct Result {
    std::optional<ProtocolMessage>
        answer;                  // to be sent once all of this stands on the disk; none: no word to a holder
    std::vector<Entry> entries;  // to be added to the state, in this order
    bool snapshot_installed = false;  // the state is the one that came with the snapshot
  };

  explicit Replica(ReplicaState state = {}) : state_(std::move(state)) {}

  const ReplicaState& state() const { return state_; }
  // What a member says of this log.
  Result handle(const ProtocolMessage& message);

 private:
  void append(const protocol::Append& request, Result& result);
  void snapshot(const protocol::Snapshot& request, Result& result);
  bool accept_writer(const Epoch& epoch, const Config& config, Result& result);
  ProtocolMessage claim(const protocol::Claim& request);
  ProtocolMessage read(const protocol::Read& request) const;
  ProtocolMessage move(const protocol::Move& request);
  ProtocolMessage appended(const Epoch& epoch) const {
    return protocol::Appended{epoch, state_.last, state_.config.version};
  }

  ReplicaState state_;
};

}  // namespace heronvane::copies
