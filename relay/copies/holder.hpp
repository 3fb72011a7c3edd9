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
struct HolderState {
  Epoch promised;     // lower ones are refused, for good
  Position last = 0;  // the state is that of all entries up to there,
  Epoch last_epoch;   // of which the last was written under this
  Config config;
  std::optional<Moved> moved;
  bool operator==(const HolderState&) const = default;
};

class Holder {
 public:
  struct Heard {
    std::optional<Saying>
        answer;                  // to be sent once all of this stands on the disk; none: no word to a holder
    std::vector<Entry> entries;  // to be added to the state, in this order
    bool replaced = false;       // the state is the one that came with the snapshot
  };

  explicit Holder(HolderState state = {}) : state_(std::move(state)) {}

  const HolderState& state() const { return state_; }
  // What a member says of this log.
  Heard hear(const Saying& saying);

 private:
  void append(const say::Append& a, Heard& out);
  void snapshot(const say::Snapshot& s, Heard& out);
  bool writes(const Epoch& epoch, const Config& config, Heard& out);
  Saying claim(const say::Claim& c);
  Saying read(const say::Read& r) const;
  Saying move(const say::Move& m);
  Saying appended(const Epoch& epoch) const {
    return say::Appended{epoch, state_.last, state_.config.version};
  }

  HolderState state_;
};

}  // namespace heronvane::copies
