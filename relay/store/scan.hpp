// Splits the bytes of a store file into frames and damage. No I/O here.
//
// A torn end differs from damage: if the bytes end inside a header or a payload, the write was cut off. A
// complete frame whose checksum is wrong, or bytes that are no frame, are damage, even at the end of the
// file. Damage ends where the next valid frame begins.
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
  std::string_view payload;  // valid as long as the scanned bytes
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
  // `headers_only`: checksums of the payloads of messages are not verified, for callers that look for other
  // records.
  Scan(Salt salt, std::string_view bytes, bool headers_only = false)
      : salt_(salt), bytes_(bytes), headers_only_(headers_only) {}
  // The next frame, damaged range or torn end; nullopt at the end of the bytes.
  std::optional<ScanItem> next();

 private:
  std::optional<Frame> frame_at(std::size_t offset) const;
  Salt salt_;
  std::string_view bytes_;
  bool headers_only_;
  std::size_t at_ = 0;
};

// Format 1, the file `journal` of earlier versions: a line of text, then frames of length, CRC-32 and
// payload. Its times are wall time.
struct Format1Record {
  std::uint64_t offset = 0;
  std::size_t bytes = 0;
  Record record;
};
using Format1Item = std::variant<Format1Record, DamagedRange, TornEnd>;

// As the attempt of an AttemptSent of format 1: the next attempt of its message.
constexpr std::uint32_t kNextAttempt = UINT32_MAX;

class Format1Scan {
 public:
  enum class Head { good, damaged, unknown_version, foreign };
  explicit Format1Scan(std::string_view bytes);
  // Whether the bytes are a file of format 1. Files that are `foreign` or of an `unknown_version` must not be
  // changed.
  Head head() const { return head_; }
  std::optional<Format1Item> next();

 private:
  std::optional<Format1Record> record_at(std::size_t offset) const;
  std::string_view bytes_;
  std::size_t at_ = 0;
  Head head_ = Head::good;
};

}  // namespace heronvane::store
