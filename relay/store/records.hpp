// The records of the store and their bytes (format 2; docs/design/store-format.md).
//
// A record travels in a frame: a header of 20 bytes with a sum of its own, the payload, the payload's sum.
// Sums are CRC-32 (store/crc32.hpp) begun with the store's salt, which no client knows: bytes that a client
// hands in can't pass for a frame when a damaged file is searched for the next one. Integers are
// little-endian.
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
// Counts the records of a store from 1 on, without gaps, over all its segments.
using Sequence = std::uint64_t;

constexpr std::uint16_t kVersion = 2;
constexpr std::size_t kHeaderBytes = 20, kSumBytes = 4, kFrameBytes = kHeaderBytes + kSumBytes;
constexpr std::uint32_t kMaxPayload = 1 << 20;

// Where the clocks stood when it was written: lasting time goes on from the last one.
struct Anchor {
  std::string boot;           // names the run of the machine; empty: unknown
  Microseconds boottime = 0;  // since that run began
  Microseconds wall = 0;      // Unix time
  Microseconds persistent = 0;
};

namespace record {

// First in each segment.
struct Segment {
  std::uint16_t version = kVersion;
  SegmentNumber number = 0;
  MessageId next_message = 1;  // above every number given until then
  Anchor anchor;
  struct Other {
    SegmentNumber number = 0;
    Sequence end = 0;  // behind its last record
  };
  std::vector<Other> others;  // that belong to the store besides this one
};
// A message with all that is known of it: as it was taken on, or as compaction wrote it anew. Takes the place
// of all earlier records of that message.
struct Accepted {
  MessageId number = 0;
  Held held;
};
// All but the message itself, written anew by compaction: takes the place of earlier Sent, Ended, GivenUp.
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
// Nothing is owed any more.
struct Finished {
  MessageId number = 0;
  std::string id;                   // the client's; empty where it is not remembered
  Microseconds remember_until = 0;  // handed in again until then, it is known
};
// Something else to keep over a restart; an empty value drops it.
struct Fact {
  std::string key, value;
};
// A segment whose live records stand elsewhere: its file is to be ignored from here on, if it is still there.
struct Dropped {
  SegmentNumber segment = 0;
};

}  // namespace record

using Record = std::variant<record::Segment, record::Accepted, record::Progress, record::AttemptSent,
                            record::AttemptEnded, record::GivenUp, record::Finished, record::Fact,
                            record::Dropped, Anchor>;

// The first byte of a record's name on disk. Values never change their meaning.
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

// A payload of that kind as a record; nothing where it is no such payload, to the last byte.
std::optional<Record> decode(Kind kind, std::string_view payload);

// "segment-0000000012-1f2e3d4c.hv2"
std::string segment_name(SegmentNumber number, Salt salt);

std::uint32_t sum_of(Salt salt, std::string_view bytes);

struct FrameHeader {
  bool last = false;  // the last of its batch
  Kind kind = Kind::anchor;
  std::uint32_t size = 0;  // of the payload
  Sequence sequence = 0;
};
// The header that `bytes` (kHeaderBytes at least) begin with; nothing where they begin with none.
std::optional<FrameHeader> read_header(Salt salt, std::string_view bytes);

// Records that are written together: all of them count or none. Stamped with sequence numbers as they are
// written, so that a batch which could not be written can be written elsewhere later.
class Batch {
 public:
  explicit Batch(Salt salt) : salt_(salt) {}

  // Each returns the bytes of the frame.
  std::size_t add(MessageId number, const Held& held);  // record::Taken, without a copy of the message
  std::size_t add(const Record& record);

  bool empty() const { return frames_.empty(); }
  std::size_t count() const { return frames_.size(); }
  std::size_t bytes() const { return text_.size(); }
  void clear() { text_.clear(), frames_.clear(); }

  // The frames as they go to the file, the first record as `first`; valid until the next call.
  const std::string& stamped(Sequence first);

 private:
  template <class Write>
  std::size_t frame(Kind kind, Write write);

  Salt salt_;
  std::string text_;
  std::vector<std::size_t> frames_;  // where each begins
};

// Bytes of the frames that a message may need: the message, each attempt with its outcome, how it is given
// up, its being over.
std::size_t accepted_bytes(const Message& message);
constexpr std::size_t kAttemptBytes = 2 * kFrameBytes + 24 + 13;
constexpr std::size_t kGivenUpBytes = kFrameBytes + 17;
std::size_t finished_bytes(const std::string& id);

}  // namespace heronvane::store
