// A holder's side of one log: what it keeps, what it promised, what it answers. Events in, answers out; no
// I/O, no clock.
#pragma once

#include <vector>

#include "log.hpp"

namespace heronvane::copies {

// All of it must be on the holder's disk before an answer goes out, and is there again after a restart. A
// holder whose disk was lost has another incarnation, and with it no log at all.
struct HolderState {
  Epoch promised;              // lower ones are refused, for good
  std::vector<Entry> entries;  // of positions 1, 2, ...
  Config config;
  std::optional<Moved> moved;
  bool operator==(const HolderState&) const = default;

  Position last() const { return entries.size(); }
  Epoch epoch_at(Position p) const { return p == 0 || p > entries.size() ? Epoch{} : entries[p - 1].epoch; }
};

class Holder {
 public:
  // At most so many entries in an answer to Read.
  explicit Holder(HolderState state = {}, std::size_t most_entries = 256)
      : state_(std::move(state)), most_entries_(most_entries) {}

  const HolderState& state() const { return state_; }
  // What a member says of this log; the answer to it, to be sent once `state()` stands on the disk. None: it
  // is no word to a holder.
  std::optional<Saying> hear(const Saying& saying);

 private:
  Saying append(const say::Append& a);
  Saying claim(const say::Claim& c);
  Saying read(const say::Read& r) const;
  Saying move(const say::Move& m);

  HolderState state_;
  std::size_t most_entries_;
};

}  // namespace heronvane::copies
