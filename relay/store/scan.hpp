// What a file of the store holds, frame by frame: bytes in, frames and damage out. No input or output here.
//
// A torn end is told from damage: where the bytes end inside a header or a payload the write was cut off; a
// whole frame whose sum is wrong, or bytes that are no frame, are damage, also at the end. Damage ends where
// the next whole frame begins.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "store/records.hpp"

namespace heronvane::store {

struct Frame {
  std::uint64_t offset = 0;  // in the file
  FrameHeader header;
  std::string_view payload;  // as long as the bytes that are scanned
  std::size_t bytes() const { return kFrameBytes + payload.size(); }
};
struct DamagedRange {
  std::uint64_t from = 0, to = 0;
};
struct TornEnd {
  std::uint64_t from = 0, to = 0;
};

using ScanItem = std::variant<Frame, DamagedRange, TornEnd>;

// Format 2.
class Scan {
 public:
  // `heads_only`: payloads of messages are not summed up, for one who looks for other records.
  Scan(Salt salt, std::string_view bytes, bool headers_only = false)
      : salt_(salt), bytes_(bytes), headers_only_(headers_only) {}
  // The next thing found; nothing at the end.
  std::optional<ScanItem> next();

 private:
  std::optional<Frame> frame_at(std::size_t offset) const;
  Salt salt_;
  std::string_view bytes_;
  bool headers_only_;
  std::size_t at_ = 0;
};

// Format 1, the file `journal` of earlier versions: a line, then frames of length, CRC-32 and payload. Its
// times are wall time.
struct Format1Record {
  std::uint64_t offset = 0;
  std::size_t bytes = 0;
  Record record;
};
using Format1Item = std::variant<Format1Record, DamagedRange, TornEnd>;

// In a Sent of format 1: the next attempt of its message.
constexpr std::uint32_t kNextAttempt = UINT32_MAX;

class Format1Scan {
 public:
  enum class Head { good, damaged, unknown_version, foreign };
  explicit Format1Scan(std::string_view bytes);
  // Whether these bytes are a file of format 1 at all: `foreign` and `unknown_version` must not be touched.
  Head head() const { return head_; }
  std::optional<Format1Item> next();

 private:
  std::optional<Format1Record> record_at(std::size_t offset) const;
  std::string_view bytes_;
  std::size_t at_ = 0;
  Head head_ = Head::good;
};

}  // namespace heronvane::store
