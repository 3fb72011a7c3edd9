// The words of copies: a relay's log, the members that hold it, epochs, and what members say to each other
// about one log. No I/O and no clock here or in the files beside it (docs/design/copies.md).
//
// A log has one writer, its owner. Its entries stand on the owner's disk and at holders. Whoever wants to
// take the log over, or to go on with it after a restart, claims a higher epoch at a quorum of the holders,
// which then refuse all that comes under a lower one. Where a taken-over log goes is decided once, at a
// quorum of holders (Lamport, "Paxos Made Simple", 2001, with the claim as its first phase and the move as
// its second); fencing by the holders follows BookKeeper's ledgers, the check of the entry before follows
// Raft's (Ongaro and Ousterhout, 2014).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace heronvane::copies {

// A life of a disk: a relay whose disk was lost or put back comes again under a higher incarnation, as
// another member.
struct Member {
  std::string name;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Member&) const = default;
};

// A log is named by who began it.
using LogId = Member;

struct Epoch {
  std::uint64_t number = 0;
  Member claimant;
  auto operator<=>(const Epoch&) const = default;
};

std::ostream& operator<<(std::ostream& out, const Member& m);
std::ostream& operator<<(std::ostream& out, const Epoch& e);

using Position = std::uint64_t;  // of an entry, from 1 on; 0: before the first

struct Entry {
  Epoch epoch;        // under which it was written first
  std::string bytes;  // a batch of the store's records, in its frames
  bool operator==(const Entry&) const = default;
};

// Of a config: who wrote it, and its how manieth step.
struct Version {
  Epoch epoch;
  std::uint64_t number = 0;
  auto operator<=>(const Version&) const = default;
};

// Who holds a log. While it changes there are two sets, and what wants a quorum wants one of each.
struct Config {
  Version version;
  std::vector<Member> replicas;
  std::vector<Member> next;  // empty: it does not change
  bool operator==(const Config&) const = default;
};

// What a log became: its messages are `into`'s.
struct Moved {
  Epoch epoch;  // under which this was accepted
  LogId into;
  bool operator==(const Moved&) const = default;
};

// ---- What members say. Each is about one log, and goes from one member to another. ----
namespace protocol {
// The owner to a holder. `after`: the position before the first entry, written under `after_epoch`. Without
// entries it asks how far the holder is, and tells it that the owner lives.
struct Append {
  Epoch epoch;
  Position after = 0;
  Epoch after_epoch;
  std::vector<Entry> entries;
  Config config;  // none (version 0) where the holder has told that it keeps it
};
struct Appended {
  Epoch epoch;
  Position last = 0;  // the holder has all up to there, as the owner has it
  Version config;     // that it has kept
};
// The holder has not what comes before `after`, as it is told there: this is what it has.
struct Behind {
  Epoch epoch;
  Position last = 0;
  Epoch last_epoch;
};
// The owner to a holder that lacks more than the owner still has by entries: the state itself, as all entries
// up to `last` made it. It travels beside this word, and counts once it is whole (streams.hpp).
struct Snapshot {
  Epoch epoch;
  Position last = 0;
  Epoch last_epoch;
  Config config;
};
// The holder has promised a higher epoch.
struct Refused {
  Epoch promised;
};
// Whoever claims to a holder.
struct Claim {
  Epoch epoch;
};
struct Promised {
  Epoch epoch;
  Position last = 0;
  Epoch last_epoch;
  Config config;
  std::optional<Moved> moved;
};
// For the state that the promise told of, which travels beside the answer.
struct Read {
  Epoch epoch;
};
struct State {
  Epoch epoch;
  Position last = 0;
  Epoch last_epoch;
};
// The claimant to a holder: the log goes `into` this one.
struct Move {
  Epoch epoch;
  LogId into;
};
struct Accepted {
  Epoch epoch;
};
}  // namespace protocol
using ProtocolMessage =
    std::variant<protocol::Append, protocol::Appended, protocol::Behind, protocol::Snapshot,
                 protocol::Refused, protocol::Claim, protocol::Promised, protocol::Read, protocol::State,
                 protocol::Move, protocol::Accepted>;

std::ostream& operator<<(std::ostream& out, const Config& c);
std::ostream& operator<<(std::ostream& out, const ProtocolMessage& s);

struct Envelope {
  Member to;
  ProtocolMessage message;
};

}  // namespace heronvane::copies
