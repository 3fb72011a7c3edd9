// What goes over a connection between members, as bytes: a hello from each side, then packets. No I/O.
//
// A frame is two lengths of 4 bytes, little-endian, then a head, which is JSON, and a body, which is frames
// of the store (store-format.md). Nothing is taken from a frame that is longer than its side may send.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/message.hpp"
#include "log.hpp"
#include "store/records.hpp"

namespace heronvane::copies {

constexpr std::size_t kFrameHeaderBytes = 8;
constexpr std::size_t kMaxHelloBytes = 1024;       // before the other side has said who it is
constexpr std::size_t kMaxHeadBytes = 256 * 1024;  // of a member
constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;

struct FrameLengths {
  std::size_t head = 0, body = 0;
};
// Of the frame that these bytes (kFrameHead of them) begin.
FrameLengths read_frame_lengths(std::string_view bytes);

struct Hello {
  std::string cluster;
  Member self;
  // How far its own store's records are, which never goes back; and the furthest that the sender was told by
  // the receiver, under which incarnation: one that is told of more than it has got an older disk back, and
  // has forgotten promises.
  store::Sequence mark = 0;
  std::uint64_t seen_incarnation = 0;
  store::Sequence seen_mark = 0;
};
std::string write_hello(const Hello& hello);
// Nothing: no hello; `head` is that of a frame.
std::optional<Hello> read_hello(std::string_view head);

// One word about one log, with what travels beside it.
struct Packet {
  enum class Kind {
    message,         // `saying`, of the decisions
    snapshot_chunk,  // of a snapshot, the `part`-th: body; with the last one `saying` is the Snapshot
    chunk_accepted,  // the `part`-th
    last_contact,    // how long since its owner was heard? `version`: of the config that the asker knows.
                     // Answer: `ago`; `replaced`: a later config has the asker as a holder no more
    unavailable,     // answer: the holder can't take this now; `text` says why
    release          // the log has moved for good: its messages need not be kept
  };
  Kind kind = Kind::message;
  LogId log;
  std::optional<ProtocolMessage> message;
  Epoch epoch;                         // part, release: of who says it
  std::uint64_t chunk = 0;             // of a snapshot, or of a state that is read, from 0 on
  bool last = false;                   // of the parts
  std::uint64_t numbered_records = 0;  // messages and remembered ids in the state that is read
  Microseconds log_time = 0;           // on the log's clock, its owner's lasting time; 0: not told
  Version version;                     // heard
  bool replaced = false;
  Microseconds last_contact_age = -1;   // heard: so long; -1: the log is not kept here
  store::Salt salt = 0;                 // of the frames in entries and body
  std::uint64_t leader_disk_bytes = 0;  // bytes that the owner's own folder may take
  store::Sequence mark = 0;             // answers: as in Hello
  std::string reason, body;
};

// As it goes over the connection; entries of an Append are its body.
std::string write_packet(const Packet& packet);
// Nothing: it can't be read.
std::optional<Packet> read_packet(std::string_view head, std::string body);

// Configs, epochs and the like as JSON, for what is kept on disk.
std::string write_state(const Epoch& promised, Position last, const Epoch& last_epoch, const Config& config,
                        const std::optional<Moved>& moved, Microseconds clock_offset,
                        std::uint64_t leader_disk_bytes);
struct KeptState {
  Epoch promised, last_epoch;
  Position last = 0;
  Config config;
  std::optional<Moved> moved;
  Microseconds clock_offset = 0;  // the owner's clock before this one's
  std::uint64_t leader_disk_bytes = 0;
};
std::optional<KeptState> read_state(std::string_view json);

// Messages of another log that stand in this one, under the numbers `from` to below `to`, and are nobody's
// here until it is decided where that log goes.
struct Import {
  LogId log;
  Config config;  // of that log, as far as it is known
  Epoch epoch;    // of the claim that brought them
  MessageId from = 0, to = 0;
  std::optional<LogId> via;  // they came with this log, which was taken over whole
};
std::string write_import(const Import& import);
std::optional<Import> read_import(std::string_view json);

}  // namespace heronvane::copies
