// Whether there is room for one message more: the rule that keeps the folder under its limit and leaves every
// message that is held room for its end. No input or output here; all figures in bytes.
#pragma once

#include <algorithm>
#include <cstdint>

#include "store/records.hpp"

namespace heronvane::store {

// What is set aside for messages that are held, or admitted and not taken yet, and for ids that are over.
struct Reservation {
  std::uint64_t messages = 0;   // their records as taken on
  std::uint64_t followups = 0;  // all records that may follow them
  std::uint64_t ids = 0;        // records of ids, remembered or to be remembered
};

struct SpaceUsage {
  std::uint64_t limit = 0;
  std::uint64_t used = 0;     // by all files now
  std::uint64_t pending = 0;  // about to be written
  Reservation reserved;
};

// Shares of the limit, in percent: what messages may take together with their later records; remembered ids;
// other facts; what is never used by new messages.
constexpr std::uint64_t kMessagesPercent = 40, kIdsPercent = 15, kFactsPercent = 5, kUsablePercent = 97;

// A segment is closed at this size, or with the one batch that is larger.
constexpr std::uint64_t segment_bytes(std::uint64_t limit) {
  return std::clamp<std::uint64_t>(limit / 24, 32 * 1024, 8 << 20);
}
// Left free for compaction, which writes anew before it removes.
constexpr std::uint64_t headroom(std::uint64_t limit) {
  return segment_bytes(limit) + std::max<std::uint64_t>(segment_bytes(limit), 72 * 1024);
}

inline Reservation cost_of(const Message& message, int attempts_max, bool remembered) {
  const std::uint64_t finished = finished_bytes(message.id);
  return {accepted_bytes(message),
          static_cast<std::uint64_t>(attempts_max) * kAttemptBytes + kGivenUpBytes + finished,
          remembered ? finished : 0};
}

constexpr bool admits(const SpaceUsage& usage, const Reservation& cost) {
  const Reservation& reserved = usage.reserved;
  const std::uint64_t held = reserved.messages + reserved.followups + cost.messages + cost.followups;
  if (held > usage.limit / 100 * kMessagesPercent) return false;
  if (cost.ids > 0 && reserved.ids + cost.ids > usage.limit / 100 * kIdsPercent) return false;
  return usage.used + usage.pending + cost.messages + reserved.followups + cost.followups +
             headroom(usage.limit) <=
         usage.limit / 100 * kUsablePercent;
}

// Files hold so much that compaction should go on.
constexpr bool needs_compaction(const SpaceUsage& usage) {
  const std::uint64_t keep = usage.reserved.followups + headroom(usage.limit) +
                             std::max(2 * segment_bytes(usage.limit), usage.limit / 10);
  return usage.used + usage.pending + keep > usage.limit / 100 * kUsablePercent;
}

constexpr std::uint64_t bytes_on_disk(std::uint64_t size) { return (size + 511) / 512 * 512; }

}  // namespace heronvane::store
