// Properties that must hold for any bytes read as a file of the store; shared by the fuzz target and the test
// that runs its corpus.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>
#include <variant>

#include "store/replay.hpp"
#include "store/scan.hpp"
#include "store/table.hpp"

namespace heronvane::store {

constexpr Salt kFuzzSalt = 0x1f2e3d4c;

inline void require(bool holds) {
  if (!holds) std::abort();
}

inline std::string payload_of(Kind kind, const Record& record) {
  Batch batch(kFuzzSalt);
  batch.add(record);
  const std::string bytes = batch.stamped(7);
  Scan scan(kFuzzSalt, bytes);
  const auto found = scan.next();
  require(found.has_value() && std::holds_alternative<Frame>(*found));
  const auto& frame = std::get<Frame>(*found);
  require(frame.header.kind == kind && frame.header.last && frame.header.sequence == 7);
  return std::string(frame.payload);
}

// A decoded record has the same size when it is encoded again, and the same bytes from then on. (Fields
// without meaning, such as the wait of a message that was not given up, need not be kept.)
inline void check_record(Kind kind, std::string_view payload) {
  const auto record = decode(kind, payload);
  if (!record) return;
  const std::string once = payload_of(kind, *record);
  require(once.size() == payload.size());
  const auto again = decode(kind, once);
  require(again.has_value() && payload_of(kind, *again) == once);
}

// Checks that the ranges follow one another without gaps and end at the last byte.
class Coverage {
 public:
  void add(std::uint64_t from, std::uint64_t to) {
    require(from == end_ && to > from);
    end_ = to;
  }
  void end(std::uint64_t size) const { require(end_ == size); }
  explicit Coverage(std::uint64_t begin) : end_(begin) {}

 private:
  std::uint64_t end_;
};

inline void check_scan(std::string_view bytes) {
  Scan scan(kFuzzSalt, bytes);
  Coverage coverage(0);
  Table table;
  Replay replay([&](Record&& r, Sequence, std::size_t, SegmentNumber) {
    if (auto* t = std::get_if<record::Accepted>(&r)) table.accepted(t->number, std::move(t->held));
    if (auto* p = std::get_if<record::Progress>(&r)) table.progress(*p);
    if (auto* s = std::get_if<record::AttemptSent>(&r)) table.attempt_sent(*s);
    if (auto* e = std::get_if<record::AttemptEnded>(&r)) table.attempt_ended(*e);
    if (auto* o = std::get_if<record::Finished>(&r)) table.finished(*o);
  });
  replay.begin(1);
  while (const auto found = scan.next()) {
    if (const auto* f = std::get_if<Frame>(&*found)) {
      coverage.add(f->offset, f->offset + f->bytes());
      check_record(f->header.kind, f->payload);
    } else if (const auto* d = std::get_if<DamagedRange>(&*found)) {
      coverage.add(d->from, d->to);
    } else if (const auto* t = std::get_if<TornEnd>(&*found)) {
      coverage.add(t->from, t->to);
    }
    std::visit([&](const auto& item) { replay.add(item); }, *found);
  }
  coverage.end(bytes.size());
  replay.end(std::nullopt);
  replay.finish();
}

inline void check_old_scan(std::string_view bytes) {
  constexpr std::size_t kMagicBytes = 20;
  Format1Scan scan(bytes);
  if (scan.head() == Format1Scan::Head::foreign || scan.head() == Format1Scan::Head::unknown_version) return;
  Coverage coverage(scan.head() == Format1Scan::Head::damaged ? 0 : std::min(bytes.size(), kMagicBytes));
  while (const auto found = scan.next()) {
    if (const auto* r = std::get_if<Format1Record>(&*found))
      coverage.add(r->offset, r->offset + r->bytes);
    else if (const auto* d = std::get_if<DamagedRange>(&*found))
      coverage.add(d->from, d->to);
    else if (const auto* t = std::get_if<TornEnd>(&*found))
      coverage.add(t->from, t->to);
  }
  coverage.end(bytes.size());
}

// The first byte selects the check: 0 a file of format 2; 1 a file of format 1; 2 frames whose checksums are
// corrected first, so that their payloads are read; otherwise a payload of that kind.
inline void check_bytes(std::string_view input) {
  if (input.empty()) return;
  const char check = input[0];
  const std::string_view rest = input.substr(1);
  if (check == 0) return check_scan(rest);
  if (check == 1) return check_old_scan(rest);
  if (check != 2) return check_record(static_cast<Kind>(check), rest);
  std::string bytes;
  // Each frame of the input: kind, flags, length (2 bytes), sequence number (1 byte), payload.
  for (std::size_t at = 0; at + 5 <= rest.size();) {
    const auto size = static_cast<std::uint32_t>(static_cast<unsigned char>(rest[at + 2]) |
                                                 static_cast<unsigned char>(rest[at + 3]) << 8);
    const std::string_view payload = rest.substr(at + 5, size);
    std::string header = {'H', 'V', rest[at + 1], rest[at]};
    const auto length = static_cast<std::uint32_t>(payload.size());
    const Sequence sequence = static_cast<unsigned char>(rest[at + 4]);
    header.append(reinterpret_cast<const char*>(&length), 4);
    header.append(reinterpret_cast<const char*>(&sequence), 8);
    const std::uint32_t header_sum = sum_of(kFuzzSalt, header), sum = sum_of(kFuzzSalt, payload);
    header.append(reinterpret_cast<const char*>(&header_sum), 4);
    bytes += header;
    bytes += payload;
    bytes.append(reinterpret_cast<const char*>(&sum), 4);
    at += 5 + payload.size();
  }
  check_scan(bytes);
}

}  // namespace heronvane::store
