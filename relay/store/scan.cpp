#include "store/scan.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>
#include <string>

namespace heronvane::store {

std::optional<Frame> Scan::frame_at(std::size_t offset) const {
  const auto header = read_header(salt_, bytes_.substr(offset));
  if (!header || bytes_.size() - offset - kHeaderBytes < header->size + kSumBytes) return std::nullopt;
  const auto payload = bytes_.substr(offset + kHeaderBytes, header->size);
  if (headers_only_ && header->kind == Kind::accepted) return Frame{offset, *header, payload};
  std::uint32_t sum = 0;
  std::memcpy(&sum, payload.data() + payload.size(), sizeof sum);
  if (sum != sum_of(salt_, payload)) return std::nullopt;
  return Frame{offset, *header, payload};
}

std::optional<ScanItem> Scan::next() {
  const std::size_t from = at_, left = bytes_.size() - from;
  if (left == 0) return std::nullopt;
  if (const auto frame = frame_at(from)) {
    at_ += frame->bytes();
    return *frame;
  }
  const auto header = read_header(salt_, bytes_.substr(from));
  const bool cut = header ? left < kFrameBytes + header->size : left < kHeaderBytes;
  if (cut) {
    at_ = bytes_.size();
    return TornEnd{from, at_};
  }
  // A valid header tells where its frame ends, whatever happened to the payload.
  if (header) {
    at_ += kFrameBytes + header->size;
    return DamagedRange{from, at_};
  }
  for (at_ = from + 1; at_ < bytes_.size(); at_++) {
    const auto* const found =
        static_cast<const char*>(std::memchr(bytes_.data() + at_, 'H', bytes_.size() - at_));
    if (found == nullptr) break;
    at_ = static_cast<std::size_t>(found - bytes_.data());
    // A valid header suffices: if its frame is cut off or damaged, that is reported separately.
    if (read_header(salt_, bytes_.substr(at_))) return DamagedRange{from, at_};
  }
  at_ = bytes_.size();
  return DamagedRange{from, at_};
}

namespace {

constexpr std::string_view kFormat1Magic = "heronvane journal 1\n";
constexpr std::string_view kFormat1MagicAnyVersion = "heronvane journal ";
constexpr std::size_t kFormat1HeaderBytes = 8;

class Format1Reader {
 public:
  explicit Format1Reader(std::string_view text) : text_(text) {}
  template <class T>
  T number() {
    T value{};
    if (ok_ && text_.size() >= sizeof value) {
      std::memcpy(&value, text_.data(), sizeof value);
      text_.remove_prefix(sizeof value);
    } else {
      ok_ = false;
    }
    return value;
  }
  std::string text() {
    const auto size = number<std::uint32_t>();
    if (!ok_ || text_.size() < size) {
      ok_ = false;
      return {};
    }
    std::string value(text_.substr(0, size));
    text_.remove_prefix(size);
    return value;
  }
  bool flag() {
    const auto value = number<std::uint8_t>();
    ok_ = ok_ && value <= 1;
    return value == 1;
  }
  bool whole() const { return ok_ && text_.empty(); }
  void refuse() { ok_ = false; }

 private:
  std::string_view text_;
  bool ok_ = true;
};

// Whether a payload of that kind can have that size.
bool is_format1_size(char kind, std::uint32_t size) {
  constexpr std::uint32_t kNumbered = 1 + sizeof(MessageId);
  switch (kind) {
    case 'T':
      return size >= kNumbered + 4 * 4 + 8 + 8 + 1 && size <= kMaxPayload;
    case 'S':
      return size == kNumbered + 8 + 4;
    case 'O':
      return size == kNumbered + 4 + 1;
    case 'E':
      return size == kNumbered + 1 + 8;
    case 'X':
      return size == kNumbered;
    default:
      return false;
  }
}

std::optional<Record> decode_format1(std::string_view payload) {
  Format1Reader reader(payload);
  const char kind = reader.number<char>();
  const auto number = reader.number<MessageId>();
  Record record;
  switch (kind) {
    case 'T': {
      record::Accepted accepted;
      Message& message = accepted.held.message;
      accepted.number = number, message.id = reader.text(), message.message_class = reader.text(),
      message.tenant = reader.text();
      message.destination = reader.number<std::int64_t>(), message.deadline = reader.number<Microseconds>();
      message.repeat = reader.flag(), message.body = reader.text();
      record = std::move(accepted);
      break;
    }
    case 'S': {
      const auto at = reader.number<Microseconds>();
      record = record::AttemptSent{number, kNextAttempt, at, reader.number<std::int32_t>()};
      break;
    }
    case 'O': {
      const auto attempt = reader.number<std::int32_t>();
      const auto outcome = reader.number<std::uint8_t>();
      if (attempt < 0 || outcome > static_cast<int>(Outcome::not_sent)) reader.refuse();
      record =
          record::AttemptEnded{number, static_cast<std::uint32_t>(attempt), static_cast<Outcome>(outcome)};
      break;
    }
    case 'E': {
      const bool deferred = reader.flag();
      record = record::GivenUp{number, {deferred, reader.number<Microseconds>()}};
      break;
    }
    case 'X':
      record = record::Finished{number, {}, 0};
      break;
    default:
      return std::nullopt;
  }
  if (!reader.whole()) return std::nullopt;
  return record;
}

}  // namespace

Format1Scan::Format1Scan(std::string_view bytes) : bytes_(bytes) {
  const std::size_t compared = std::min(bytes.size(), kFormat1Magic.size());
  if (bytes.substr(0, compared) == kFormat1Magic.substr(0, compared)) {
    at_ = compared;  // shorter than the line: the first write was cut off
    return;
  }
  const auto matching_bytes = [&] {
    std::size_t count = 0;
    for (std::size_t i = 0; i < compared; i++) count += bytes[i] == kFormat1Magic[i];
    return count;
  };
  if (bytes.substr(0, kFormat1MagicAnyVersion.size()) == kFormat1MagicAnyVersion &&
      bytes.size() > kFormat1Magic.size() && !record_at(kFormat1Magic.size())) {
    head_ = Head::unknown_version;
    return;
  }
  // The line is damaged: a valid record after it, or most of the line itself, identifies the format.
  if (bytes.size() >= kFormat1Magic.size() &&
      (record_at(kFormat1Magic.size()) || 2 * matching_bytes() > kFormat1Magic.size()))
    head_ = Head::damaged;
  else
    head_ = Head::foreign;
}

std::optional<Format1Record> Format1Scan::record_at(std::size_t offset) const {
  if (bytes_.size() - offset < kFormat1HeaderBytes) return std::nullopt;
  std::uint32_t size = 0, sum = 0;
  std::memcpy(&size, bytes_.data() + offset, 4);
  std::memcpy(&sum, bytes_.data() + offset + 4, 4);
  // The smallest payload is a kind and a number.
  if (size < 9 || size > kMaxPayload || bytes_.size() - offset - kFormat1HeaderBytes < size)
    return std::nullopt;
  // Checked before the CRC: otherwise a search through a message body full of plausible lengths would take
  // hours.
  if (!is_format1_size(bytes_[offset + kFormat1HeaderBytes], size)) return std::nullopt;
  const auto payload = bytes_.substr(offset + kFormat1HeaderBytes, size);
  boost::crc_32_type crc;
  crc.process_bytes(payload.data(), payload.size());
  if (crc.checksum() != sum) return std::nullopt;
  auto record = decode_format1(payload);
  if (!record) return std::nullopt;
  return Format1Record{offset, kFormat1HeaderBytes + size, std::move(*record)};
}

std::optional<Format1Item> Format1Scan::next() {
  const std::size_t from = at_;
  if (head_ == Head::damaged && from == 0) {
    at_ = kFormat1Magic.size();
    return DamagedRange{0, at_};
  }
  if (from >= bytes_.size()) return std::nullopt;
  if (auto record = record_at(from)) {
    at_ += record->bytes;
    return std::move(*record);
  }
  std::uint32_t size = 0;
  if (bytes_.size() - from >= kFormat1HeaderBytes) std::memcpy(&size, bytes_.data() + from, 4);
  // A length that leads to a valid record is most likely correct itself. These checksums have no salt: the
  // body of a message may contain records made by its client, which should not count if that can be avoided.
  const std::size_t next_offset = from + kFormat1HeaderBytes + size;
  if (size > 0 && size <= kMaxPayload && next_offset <= bytes_.size() &&
      (next_offset == bytes_.size() || record_at(next_offset))) {
    at_ = next_offset;
    return DamagedRange{from, at_};
  }
  for (at_ = from + 1; at_ + kFormat1HeaderBytes <= bytes_.size(); at_++)
    if (record_at(at_)) return DamagedRange{from, at_};
  at_ = bytes_.size();
  // No valid record follows: a frame longer than the remaining bytes was cut off.
  const std::size_t left = bytes_.size() - from;
  if (left <= kFormat1HeaderBytes ||
      (left - kFormat1HeaderBytes < size && is_format1_size(bytes_[from + kFormat1HeaderBytes], size)))
    return TornEnd{from, at_};
  return DamagedRange{from, at_};
}

}  // namespace heronvane::store
