// Types of log replication: a relay's log, the members that keep a replica of it, epochs, and the messages
// that members exchange about one log. Neither this file nor claim, group, replica and leader does I/O or
// reads a clock (docs/design/copies.md).
//
// A log has one writer, its leader. Entries are written to the leader's disk and to the replicas. A member
// that takes the log over, or a leader that resumes it after a restart, claims a higher epoch at a quorum of
// the replicas. These then reject all messages of lower epochs. Where a taken-over log moves is decided once,
// at a quorum of replicas (Lamport, "Paxos Made Simple", 2001, with the claim as its first phase and the move
// as its second); fencing by the replicas follows BookKeeper's ledgers, the check of the preceding entry
// follows Raft's (Ongaro and Ousterhout, 2014).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace heronvane::copies {

// A relay with one particular disk. A relay whose disk was lost or restored from a backup returns under a
// higher incarnation, which makes it another member.
struct Member {
  std::string name;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Member&) const = default;
};

// Name of the relay that began the log, and a number of its own for each log that the relay begins.
using LogId = Member;

struct Epoch {
  std::uint64_t number = 0;
  Member claimant;
  auto operator<=>(const Epoch&) const = default;
};

std::ostream& operator<<(std::ostream& out, const Member& m);
std::ostream& operator<<(std::ostream& out, const Epoch& e);

using Position = std::uint64_t;  // of an entry, counted from 1; 0: before the first entry

struct Entry {
  Epoch epoch;        // in which the entry was first written
  std::string bytes;  // a batch of store records in the store's framing
  bool operator==(const Entry&) const = default;
};

// Version of a Config: the epoch of the leader that wrote it, and a counter of its changes.
struct Version {
  Epoch epoch;
  std::uint64_t number = 0;
  auto operator<=>(const Version&) const = default;
};

// The replicas of a log. While the set changes, a quorum is needed in both the old and the new set.
struct Config {
  Version version;
  std::vector<Member> replicas;
  std::vector<Member> next;  // the new set; empty: no change is in progress
  bool operator==(const Config&) const = default;
};

// Records that the messages of a log moved to the log `into`.
struct Moved {
  Epoch epoch;  // in which the move was accepted
  LogId into;
  bool operator==(const Moved&) const = default;
};

// ---- Messages. Each is about one log and goes from one member to another. ----
namespace protocol {
// Leader to replica. `after` is the position before the first entry, and `after_epoch` that entry's epoch. An
// Append without entries asks for the replica's position and is the leader's heartbeat.
struct Append {
  Epoch epoch;
  Position after = 0;
  Epoch after_epoch;
  std::vector<Entry> entries;
  Config config;  // version 0 (none) once the replica has confirmed the config
};
struct Appended {
  Epoch epoch;
  Position last = 0;  // the replica matches the leader's log up to here
  Version config;     // stored by the replica
};
// The replica's log does not match the leader's at `after`. Reports the replica's last entry.
struct Behind {
  Epoch epoch;
  Position last = 0;
  Epoch last_epoch;
};
// Leader to a replica that needs entries which the leader no longer keeps: the state after all entries up to
// `last`. The state is sent in chunks (Packet::Kind::snapshot_chunk) and installed when it is complete.
struct Snapshot {
  Epoch epoch;
  Position last = 0;
  Epoch last_epoch;
  Config config;
};
// The replica has promised a higher epoch.
struct Refused {
  Epoch promised;
};
// Claimant to replica.
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
// Claimant to replica: asks for the state that the promise reported. The state is sent beside the answer.
struct Read {
  Epoch epoch;
};
struct State {
  Epoch epoch;
  Position last = 0;
  Epoch last_epoch;
};
// Claimant to replica: the log moves `into` this one.
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
