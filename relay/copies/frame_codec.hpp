// Encoding of what members send over a connection: a hello from each side, then packets. No I/O.
//
// A frame is two 4-byte little-endian lengths, a JSON head, and a body of store frames (store-format.md). A
// frame longer than its sender may send is rejected before it is read.
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
constexpr std::size_t kMaxHelloBytes = 1024;       // until the peer has identified itself
constexpr std::size_t kMaxHeadBytes = 256 * 1024;  // from an identified member
constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;

struct FrameLengths {
  std::size_t head = 0, body = 0;
};
// Decodes the first kFrameHeaderBytes of a frame.
FrameLengths read_frame_lengths(std::string_view bytes);

struct Hello {
  std::string cluster;
  Member self;
  // `mark` is a sequence number of the sender's store that never decreases. `seen_...` is the highest mark
  // that the receiver has told the sender, and for which incarnation. A receiver that is told a higher mark
  // than it has runs on a rolled-back disk and has lost promises.
  store::Sequence mark = 0;
  std::uint64_t seen_incarnation = 0;
  store::Sequence seen_mark = 0;
};
std::string write_hello(const Hello& hello);
// Reads the head of a frame. Returns nothing if it is not a valid hello.
std::optional<Hello> read_hello(std::string_view head);

// One message about one log, with the data sent beside it.
struct Packet {
  enum class Kind {
    message,         // `message`, a protocol message
    snapshot_chunk,  // snapshot chunk number `chunk` in `body`; the last one has the Snapshot in `message`
    chunk_accepted,  // chunk number `chunk` was accepted
    last_contact,  // asks how long the log's leader has been silent; `version` is that of the asker's config.
                   // Answer: `last_contact_age`; `replaced`: a later config no longer has the asker as a
                   // replica
    unavailable,   // answer: the replica can't accept this now, for `reason`
    release        // the log has moved for good: its messages may be dropped
  };
  Kind kind = Kind::message;
  LogId log;
  std::optional<ProtocolMessage> message;
  Epoch epoch;                         // snapshot_chunk, release: the sender's epoch
  std::uint64_t chunk = 0;             // chunk number in a snapshot or a state that is read, from 0
  bool last = false;                   // this is the last chunk
  std::uint64_t numbered_records = 0;  // messages and remembered ids in the state that is read
  Microseconds log_time = 0;           // time on the leader's persistent clock; 0: unknown
  Version version;                     // last_contact
  bool replaced = false;
  Microseconds last_contact_age = -1;   // last_contact: silence; -1: no replica here
  store::Salt salt = 0;                 // of the frames in the entries and the body
  std::uint64_t leader_disk_bytes = 0;  // limit of the leader's own folder
  store::Sequence mark = 0;             // in answers: as in Hello
  std::string reason, body;
};

// Encodes a packet as a frame. The entries of an Append become its body.
std::string write_packet(const Packet& packet);
// Returns nothing if the packet is malformed.
std::optional<Packet> read_packet(std::string_view head, std::string body);

// Encodes a replica's state as JSON for the disk.
std::string write_state(const Epoch& promised, Position last, const Epoch& last_epoch, const Config& config,
                        const std::optional<Moved>& moved, Microseconds clock_offset,
                        std::uint64_t leader_disk_bytes);
struct KeptState {
  Epoch promised, last_epoch;
  Position last = 0;
  Config config;
  std::optional<Moved> moved;
  Microseconds clock_offset = 0;  // the leader's clock minus this relay's clock
  std::uint64_t leader_disk_bytes = 0;
};
std::optional<KeptState> read_state(std::string_view json);

// Messages of another log, imported into this one under the numbers `from` to below `to`. They are parked
// until it is decided where that log moves.
struct Import {
  LogId log;
  Config config;  // the latest known config of that log
  Epoch epoch;    // of the claim that imported them
  MessageId from = 0, to = 0;
  std::optional<LogId> via;  // the taken-over log that contained this import
};
std::string write_import(const Import& import);
std::optional<Import> read_import(std::string_view json);

}  // namespace heronvane::copies
