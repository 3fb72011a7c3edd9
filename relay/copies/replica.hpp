// A replica's side of one log: its position, its promises and its answers. No I/O, no clock. The caller keeps
// the state that the entries produce (replica_logs.hpp).
#pragma once

#include <optional>
#include <vector>

#include "log.hpp"

namespace heronvane::copies {

// Must be on the replica's disk, together with the state it describes, before an answer is sent, and is
// restored after a restart. A replica that lost its disk returns under another incarnation, with no log at
// all.
struct ReplicaState {
  Epoch promised;     // lower epochs are refused for good
  Position last = 0;  // the state includes all entries up to here
  Epoch last_epoch;   // epoch of the entry at `last`
  Config config;
  std::optional<Moved> moved;
  bool operator==(const ReplicaState&) const = default;
};

class Replica {
 public:
  struct Result {
    std::optional<ProtocolMessage>
        answer;                  // sent once the result is on disk; none: the message is not for a replica
    std::vector<Entry> entries;  // to apply to the state, in this order
    bool snapshot_installed = false;  // the transferred snapshot becomes the state
  };

  explicit Replica(ReplicaState state = {}) : state_(std::move(state)) {}

  const ReplicaState& state() const { return state_; }
  // Handles a message about this log.
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
