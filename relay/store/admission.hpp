// Space accounting for admission: keeps the folder under its size limit and reserves space for every record
// that a held message may still need. No I/O here; all figures in bytes.
#pragma once

#include <algorithm>
#include <cstdint>

#include "store/records.hpp"

namespace heronvane::store {

// Space reserved for messages that are held or admitted, and for the ids of finished messages.
struct Reservation {
  std::uint64_t messages = 0;   // their `Accepted` records
  std::uint64_t followups = 0;  // all records that may follow those
  std::uint64_t ids = 0;        // `Finished` records of ids that are remembered or will be
};

struct SpaceUsage {
  std::uint64_t limit = 0;
  std::uint64_t used = 0;     // by all files now
  std::uint64_t pending = 0;  // about to be written
  Reservation reserved;
};

// Percentages of the limit: for messages together with the records that follow them; for remembered ids; for
// facts; and the most that new messages may fill.
constexpr std::uint64_t kMessagesPercent = 40, kIdsPercent = 15, kFactsPercent = 5, kUsablePercent = 97;

// Size at which a segment is sealed; one larger batch may exceed it. `limit`: of the folder.
constexpr std::uint64_t segment_bytes(std::uint64_t limit) {
  return std::clamp<std::uint64_t>(limit / 24, 32 * 1024, 8 << 20);
}
// Kept free for compaction, which writes live records anew before it removes their old segment.
constexpr std::uint64_t headroom(std::uint64_t limit) {
  return segment_bytes(limit) + std::max<std::uint64_t>(segment_bytes(limit), 72 * 1024);
}

// Space to reserve for `message`; `remembered`: its id is kept after it has finished.
inline Reservation cost_of(const Message& message, int attempts_max, bool remembered) {
  const std::uint64_t finished = finished_bytes(message.id);
  return {accepted_bytes(message),
          static_cast<std::uint64_t>(attempts_max) * kAttemptBytes + kGivenUpBytes + finished,
          remembered ? finished : 0};
}

// Whether the limit leaves enough space for `cost`.
constexpr bool admits(const SpaceUsage& usage, const Reservation& cost) {
  const Reservation& reserved = usage.reserved;
  const std::uint64_t held = reserved.messages + reserved.followups + cost.messages + cost.followups;
  if (held > usage.limit / 100 * kMessagesPercent) return false;
  if (cost.ids > 0 && reserved.ids + cost.ids > usage.limit / 100 * kIdsPercent) return false;
  return usage.used + usage.pending + cost.messages + reserved.followups + cost.followups +
             headroom(usage.limit) <=
         usage.limit / 100 * kUsablePercent;
}

// Whether so little space is left that compaction should continue.
constexpr bool needs_compaction(const SpaceUsage& usage) {
  const std::uint64_t keep = usage.reserved.followups + headroom(usage.limit) +
                             std::max(2 * segment_bytes(usage.limit), usage.limit / 10);
  return usage.used + usage.pending + keep > usage.limit / 100 * kUsablePercent;
}

// Rounds a file size up to whole blocks of 512 bytes.
constexpr std::uint64_t bytes_on_disk(std::uint64_t size) { return (size + 511) / 512 * 512; }

}  // namespace heronvane::store
