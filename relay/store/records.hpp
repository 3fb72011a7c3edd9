// The records of the store and their encoding (format 2; docs/design/store-format.md).
//
// Each record is stored in a frame: a header of 20 bytes with a checksum of its own, the payload, and the
// payload's checksum. Checksums are CRC-32 (store/crc32.hpp) seeded with the store's salt, which no client
// knows: bytes from a client can't pass for a frame when a damaged file is searched for the next one.
// Integers are little-endian.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/message.hpp"

namespace heronvane::store {

using Salt = std::uint32_t;
using SegmentNumber = std::uint64_t;
// Numbers the records of a store from 1 on, without gaps, across all segments.
using Sequence = std::uint64_t;

constexpr std::uint16_t kVersion = 2;
constexpr std::size_t kHeaderBytes = 20, kSumBytes = 4, kFrameBytes = kHeaderBytes + kSumBytes;
constexpr std::uint32_t kMaxPayload = 1 << 20;

// Readings of the clocks when it was written: the persistent clock continues from the last anchor.
struct Anchor {
  std::string boot;           // id of the boot of this machine; empty: unknown
  Microseconds boottime = 0;  // since that boot
  Microseconds wall = 0;      // Unix time
  Microseconds persistent = 0;
};

namespace record {

// The first record of each segment.
struct Segment {
  std::uint16_t version = kVersion;
  SegmentNumber number = 0;
  MessageId next_message = 1;  // above every number assigned until then
  Anchor anchor;
  struct Other {
    SegmentNumber number = 0;
    Sequence end = 0;  // sequence number after its last record
  };
  std::vector<Other> others;  // the other segments of the store
};
// A message with all that is known of it, as it was accepted or as compaction rewrote it. Replaces all
// earlier records of that message.
struct Accepted {
  MessageId number = 0;
  Held held;
};
// The state of a message without the message itself, written by compaction. Replaces earlier AttemptSent,
// AttemptEnded and GivenUp records.
struct Progress {
  MessageId number = 0;
  std::vector<Attempt> attempts;
  std::optional<Ending> ending;
  bool doubt = false;
};
struct AttemptSent {
  MessageId number = 0;
  std::uint32_t attempt = 0;
  Microseconds at = 0;
  std::int32_t zone = -1;
};
struct AttemptEnded {
  MessageId number = 0;
  std::uint32_t attempt = 0;
  Outcome outcome = Outcome::served;
};
struct GivenUp {
  MessageId number = 0;
  Ending ending;
};
// Nothing is owed for the message any more.
struct Finished {
  MessageId number = 0;
  std::string id;                   // the client's; empty if it is not remembered
  Microseconds remember_until = 0;  // until then a repetition of the id is recognized
};
// An opaque value that is kept over restarts; an empty value deletes it.
struct Fact {
  std::string key, value;
};
// A segment whose live records are stored elsewhere: from here on its file is ignored if it still exists.
struct Dropped {
  SegmentNumber segment = 0;
};

}  // namespace record

using Record = std::variant<record::Segment, record::Accepted, record::Progress, record::AttemptSent,
                            record::AttemptEnded, record::GivenUp, record::Finished, record::Fact,
                            record::Dropped, Anchor>;

// The kind of a record as stored in its frame header. Values never change their meaning.
enum class Kind : std::uint8_t {
  segment = 'H',
  accepted = 'M',
  progress = 'P',
  attempt_sent = 'S',
  attempt_ended = 'O',
  given_up = 'E',
  finished = 'X',
  fact = 'K',
  dropped = 'D',
  anchor = 'A'
};

// Decodes a payload of that kind; nullopt unless the whole payload is valid.
std::optional<Record> decode(Kind kind, std::string_view payload);

// File name of a segment, for example "segment-0000000012-1f2e3d4c.hv2".
std::string segment_name(SegmentNumber number, Salt salt);

// CRC-32 of `bytes`, seeded with the salt.
std::uint32_t sum_of(Salt salt, std::string_view bytes);

struct FrameHeader {
  bool last = false;  // the last frame of its batch
  Kind kind = Kind::anchor;
  std::uint32_t size = 0;  // of the payload
  Sequence sequence = 0;
};
// Decodes the header at the beginning of `bytes` (at least kHeaderBytes); nullopt if there is no valid one.
std::optional<FrameHeader> read_header(Salt salt, std::string_view bytes);

// Records that are written together: all of them count or none. They get their sequence numbers as they are
// written, so a batch whose write failed can be written elsewhere later.
class Batch {
 public:
  explicit Batch(Salt salt) : salt_(salt) {}

  // Each returns the size of the frame in bytes.
  std::size_t add(MessageId number, const Held& held);  // record::Accepted, without a copy of the message
  std::size_t add(const Record& record);

  bool empty() const { return frames_.empty(); }
  std::size_t count() const { return frames_.size(); }
  std::size_t bytes() const { return text_.size(); }
  void clear() { text_.clear(), frames_.clear(); }

  // The encoded frames, numbered from `first` on; valid until the next call.
  const std::string& stamped(Sequence first);

 private:
  template <class Write>
  std::size_t frame(Kind kind, Write write);

  Salt salt_;
  std::string text_;
  std::vector<std::size_t> frames_;  // the offset at which each begins
};

// Sizes of the frames that a message may need: Accepted, each attempt with its outcome, GivenUp, Finished.
std::size_t accepted_bytes(const Message& message);
constexpr std::size_t kAttemptBytes = 2 * kFrameBytes + 24 + 13;
constexpr std::size_t kGivenUpBytes = kFrameBytes + 17;
std::size_t finished_bytes(const std::string& id);

}  // namespace heronvane::store
