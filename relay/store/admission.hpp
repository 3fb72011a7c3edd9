// Whether there is room for one message more: the rule that keeps the folder under its limit and leaves every
// message that is held room for its end. No input or output here; all figures in bytes.
#pragma once

#include <algorithm>
#include <cstdint>

#include "store/records.hpp"

namespace heronvane::store {

// What is set aside for messages that are held, or admitted and not taken yet, and for ids that are over.
struct Booked {
  std::uint64_t messages = 0;  // their records as taken on
  std::uint64_t later = 0;     // all records that may follow them
  std::uint64_t ids = 0;       // records of ids, remembered or to be remembered
};

struct Room {
  std::uint64_t limit = 0;
  std::uint64_t used = 0;     // by all files now
  std::uint64_t pending = 0;  // about to be written
  Booked booked;
};

// Shares of the limit, in percent: what messages may take together with their later records; remembered ids;
// other facts; what is never used by new messages.
constexpr std::uint64_t kHeldShare = 40, kIdShare = 15, kFactShare = 5, kFullShare = 97;

// A segment is closed at this size, or with the one batch that is larger.
constexpr std::uint64_t segment_bytes(std::uint64_t limit) {
  return std::clamp<std::uint64_t>(limit / 24, 32 * 1024, 8 << 20);
}
// Left free for compaction, which writes anew before it removes.
constexpr std::uint64_t headroom(std::uint64_t limit) {
  return segment_bytes(limit) + std::max<std::uint64_t>(segment_bytes(limit), 72 * 1024);
}

inline Booked cost_of(const Message& message, int attempts_max, bool remembered) {
  const std::uint64_t over = over_bytes(message.id);
  return {taken_bytes(message),
          static_cast<std::uint64_t>(attempts_max) * kAttemptBytes + kGivenUpBytes + over,
          remembered ? over : 0};
}

constexpr bool admits(const Room& room, const Booked& cost) {
  const Booked& b = room.booked;
  const std::uint64_t held = b.messages + b.later + cost.messages + cost.later;
  if (held > room.limit / 100 * kHeldShare) return false;
  if (cost.ids > 0 && b.ids + cost.ids > room.limit / 100 * kIdShare) return false;
  return room.used + room.pending + cost.messages + b.later + cost.later + headroom(room.limit) <=
         room.limit / 100 * kFullShare;
}

// Files hold so much that compaction should go on.
constexpr bool crowded(const Room& room) {
  const std::uint64_t keep =
      room.booked.later + headroom(room.limit) + std::max(2 * segment_bytes(room.limit), room.limit / 10);
  return room.used + room.pending + keep > room.limit / 100 * kFullShare;
}

constexpr std::uint64_t on_disk(std::uint64_t size) { return (size + 511) / 512 * 512; }

}  // namespace heronvane::store
