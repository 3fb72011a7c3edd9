#include "store/records.hpp"

#include <bit>
#include <cstdio>
#include <cstring>
#include <type_traits>

#include "store/crc32.hpp"

namespace heronvane::store {
namespace {

static_assert(std::endian::native == std::endian::little);

constexpr char kMagic0 = 'H', kMagic1 = 'V';
constexpr char kLast = 1;  // flag: the last frame of its batch

// Appends fields to a string.
class Packer {
 public:
  explicit Packer(std::string& text) : text_(text) {}
  template <class T>
  Packer& number(T value) {
    static_assert(std::is_arithmetic_v<T>);
    text_.append(reinterpret_cast<const char*>(&value), sizeof value);
    return *this;
  }
  Packer& text(std::string_view value) {
    number(static_cast<std::uint32_t>(value.size()));
    text_ += value;
    return *this;
  }

 private:
  std::string& text_;
};

// Reads the fields that Packer wrote. Missing fields read as zeros; then whole() returns false.
class Unpacker {
 public:
  explicit Unpacker(std::string_view text) : text_(text) {}
  template <class T>
  T number() {
    static_assert(std::is_arithmetic_v<T>);
    T value{};
    if (const char* at = bytes(sizeof value)) std::memcpy(&value, at, sizeof value);
    return value;
  }
  bool flag() {
    const auto value = number<std::uint8_t>();
    ok_ = ok_ && value <= 1;
    return value == 1;
  }
  std::string text() {
    const auto size = number<std::uint32_t>();
    const char* at = bytes(size);
    return at == nullptr ? std::string() : std::string(at, size);
  }
  // The number of entries that follow, each at least `min_bytes` long.
  std::size_t count(std::size_t min_bytes) {
    const auto entries = number<std::uint32_t>();
    if (entries > (text_.size() - at_) / min_bytes) ok_ = false;
    return ok_ ? entries : 0;
  }
  Outcome outcome() {
    const auto value = number<std::uint8_t>();
    ok_ = ok_ && value <= static_cast<std::uint8_t>(Outcome::not_sent);
    return static_cast<Outcome>(value);
  }
  void refuse() { ok_ = false; }
  bool whole() const { return ok_ && at_ == text_.size(); }

 private:
  const char* bytes(std::size_t size) {
    if (!ok_ || text_.size() - at_ < size) {
      ok_ = false;
      return nullptr;
    }
    at_ += size;
    return text_.data() + at_ - size;
  }
  std::string_view text_;
  std::size_t at_ = 0;
  bool ok_ = true;
};

constexpr std::size_t kAttemptFieldBytes = 13;
// Flags of a message, in the byte that held `repeat` alone before there were idempotency keys.
constexpr std::uint8_t kRepeat = 1, kHasKey = 2;

void put(Packer& packer, const std::vector<Attempt>& attempts, const std::optional<Ending>& ending,
         bool doubt) {
  packer.number(static_cast<std::uint32_t>(attempts.size()));
  for (const auto& attempt : attempts)
    packer.number(attempt.sent)
        .number(static_cast<std::int32_t>(attempt.zone))
        .number(static_cast<std::uint8_t>(attempt.outcome ? 1 + static_cast<int>(*attempt.outcome) : 0));
  packer.number(static_cast<std::uint8_t>(ending ? 1 + (ending->deferred ? 1 : 0) : 0));
  packer.number(ending ? ending->again : Microseconds{0}).number(static_cast<std::uint8_t>(doubt));
}
void take(Unpacker& unpacker, std::vector<Attempt>& attempts, std::optional<Ending>& ending, bool& doubt) {
  attempts.resize(unpacker.count(kAttemptFieldBytes));
  for (auto& attempt : attempts) {
    attempt.sent = unpacker.number<Microseconds>(), attempt.zone = unpacker.number<std::int32_t>();
    const auto outcome = unpacker.number<std::uint8_t>();
    if (outcome > 1 + static_cast<int>(Outcome::not_sent)) unpacker.refuse();
    if (outcome > 0) attempt.outcome = static_cast<Outcome>(outcome - 1);
  }
  const auto how = unpacker.number<std::uint8_t>();
  const auto again = unpacker.number<Microseconds>();
  if (how > 2) unpacker.refuse();
  if (how > 0) ending = Ending{how == 2, again};
  doubt = unpacker.flag();
}

void put(Packer& packer, const Anchor& anchor) {
  packer.text(anchor.boot).number(anchor.boottime).number(anchor.wall).number(anchor.persistent);
}
Anchor take_anchor(Unpacker& unpacker) {
  Anchor anchor;
  anchor.boot = unpacker.text(), anchor.boottime = unpacker.number<Microseconds>(),
  anchor.wall = unpacker.number<Microseconds>(), anchor.persistent = unpacker.number<Microseconds>();
  return anchor;
}

void put(Packer& packer, MessageId number, const Held& held) {
  const Message& message = held.message;
  packer.number(number)
      .text(message.id)
      .text(message.message_class)
      .text(message.tenant)
      .number(message.destination)
      .number(message.deadline);
  const bool keyed = !message.idempotency_key.empty();
  packer.number(static_cast<std::uint8_t>((message.repeat ? kRepeat : 0) | (keyed ? kHasKey : 0)));
  if (keyed) packer.text(message.idempotency_key);
  packer.text(message.body);
  put(packer, held.attempts, held.ending, held.doubt);
}

Kind kind_of(const Record& record) {
  constexpr Kind kinds[] = {Kind::segment,       Kind::accepted, Kind::progress, Kind::attempt_sent,
                            Kind::attempt_ended, Kind::given_up, Kind::finished, Kind::fact,
                            Kind::dropped,       Kind::anchor};
  static_assert(std::size(kinds) == std::variant_size_v<Record>);
  return kinds[record.index()];
}

struct PayloadWriter {
  Packer& packer;
  void operator()(const record::Segment& record) const {
    packer.number(record.version).number(record.number).number(record.next_message);
    put(packer, record.anchor);
    packer.number(static_cast<std::uint32_t>(record.others.size()));
    for (const auto& other : record.others) packer.number(other.number).number(other.end);
  }
  void operator()(const record::Accepted& record) const { put(packer, record.number, record.held); }
  void operator()(const record::Progress& record) const {
    packer.number(record.number);
    put(packer, record.attempts, record.ending, record.doubt);
  }
  void operator()(const record::AttemptSent& record) const {
    packer.number(record.number).number(record.attempt).number(record.at).number(record.zone);
  }
  void operator()(const record::AttemptEnded& record) const {
    packer.number(record.number).number(record.attempt).number(static_cast<std::uint8_t>(record.outcome));
  }
  void operator()(const record::GivenUp& record) const {
    packer.number(record.number)
        .number(static_cast<std::uint8_t>(record.ending.deferred))
        .number(record.ending.again);
  }
  void operator()(const record::Finished& record) const {
    packer.number(record.number).text(record.id).number(record.remember_until);
  }
  void operator()(const record::Fact& record) const { packer.text(record.key).text(record.value); }
  void operator()(const record::Dropped& record) const { packer.number(record.segment); }
  void operator()(const Anchor& record) const { put(packer, record); }
};

// Decodes into `out`, without intermediate copies.
void take(Kind kind, Unpacker& unpacker, Record& out) {
  switch (kind) {
    case Kind::segment: {
      auto& record = out.emplace<record::Segment>();
      record.version = unpacker.number<std::uint16_t>(), record.number = unpacker.number<SegmentNumber>();
      record.next_message = unpacker.number<MessageId>();
      record.anchor = take_anchor(unpacker);
      record.others.resize(unpacker.count(sizeof(SegmentNumber) + sizeof(Sequence)));
      for (auto& other : record.others)
        other.number = unpacker.number<SegmentNumber>(), other.end = unpacker.number<Sequence>();
      return;
    }
    case Kind::accepted: {
      auto& record = out.emplace<record::Accepted>();
      Message& message = record.held.message;
      record.number = unpacker.number<MessageId>();
      message.id = unpacker.text(), message.message_class = unpacker.text(), message.tenant = unpacker.text();
      message.destination = unpacker.number<std::int64_t>(),
      message.deadline = unpacker.number<Microseconds>();
      const auto flags = unpacker.number<std::uint8_t>();
      if (flags > (kRepeat | kHasKey)) unpacker.refuse();
      message.repeat = (flags & kRepeat) != 0;
      if ((flags & kHasKey) != 0) message.idempotency_key = unpacker.text();
      message.body = unpacker.text();
      take(unpacker, record.held.attempts, record.held.ending, record.held.doubt);
      return;
    }
    case Kind::progress: {
      auto& record = out.emplace<record::Progress>();
      record.number = unpacker.number<MessageId>();
      take(unpacker, record.attempts, record.ending, record.doubt);
      return;
    }
    case Kind::attempt_sent: {
      auto& record = out.emplace<record::AttemptSent>();
      record.number = unpacker.number<MessageId>(), record.attempt = unpacker.number<std::uint32_t>();
      record.at = unpacker.number<Microseconds>(), record.zone = unpacker.number<std::int32_t>();
      return;
    }
    case Kind::attempt_ended: {
      auto& record = out.emplace<record::AttemptEnded>();
      record.number = unpacker.number<MessageId>(), record.attempt = unpacker.number<std::uint32_t>(),
      record.outcome = unpacker.outcome();
      return;
    }
    case Kind::given_up: {
      auto& record = out.emplace<record::GivenUp>();
      record.number = unpacker.number<MessageId>(), record.ending.deferred = unpacker.flag(),
      record.ending.again = unpacker.number<Microseconds>();
      return;
    }
    case Kind::finished: {
      auto& record = out.emplace<record::Finished>();
      record.number = unpacker.number<MessageId>(), record.id = unpacker.text(),
      record.remember_until = unpacker.number<Microseconds>();
      return;
    }
    case Kind::fact: {
      auto& record = out.emplace<record::Fact>();
      record.key = unpacker.text(), record.value = unpacker.text();
      return;
    }
    case Kind::dropped:
      out = record::Dropped{unpacker.number<SegmentNumber>()};
      return;
    case Kind::anchor:
      out = take_anchor(unpacker);
      return;
  }
  unpacker.refuse();
}

}  // namespace

std::optional<Record> decode(Kind kind, std::string_view payload) {
  Unpacker unpacker(payload);
  std::optional<Record> record(std::in_place);
  take(kind, unpacker, *record);
  if (!unpacker.whole()) record.reset();
  return record;
}

std::string segment_name(SegmentNumber number, Salt salt) {
  char text[64];
  std::snprintf(text, sizeof text, "segment-%010llu-%08x.hv%d", static_cast<unsigned long long>(number), salt,
                static_cast<int>(kVersion));
  return text;
}

std::uint32_t sum_of(Salt salt, std::string_view bytes) {
  Crc32 crc;
  crc.add({reinterpret_cast<const char*>(&salt), sizeof salt});
  crc.add(bytes);
  return crc.sum();
}

std::optional<FrameHeader> read_header(Salt salt, std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || bytes[0] != kMagic0 || bytes[1] != kMagic1) return std::nullopt;
  std::uint32_t sum = 0;
  std::memcpy(&sum, bytes.data() + 16, sizeof sum);
  if (sum != sum_of(salt, bytes.substr(0, 16))) return std::nullopt;
  FrameHeader header;
  header.last = (bytes[2] & kLast) != 0;
  header.kind = static_cast<Kind>(bytes[3]);
  std::memcpy(&header.size, bytes.data() + 4, sizeof header.size);
  std::memcpy(&header.sequence, bytes.data() + 8, sizeof header.sequence);
  if (header.size > kMaxPayload) return std::nullopt;
  return header;
}

// Header: 'H' 'V', flags, kind, length of the payload (4 bytes), sequence number (8 bytes), checksum of these
// 16 bytes (4 bytes).
template <class Write>
std::size_t Batch::frame(Kind kind, Write write) {
  const std::size_t begin = text_.size();
  frames_.push_back(begin);
  const char head[4] = {kMagic0, kMagic1, 0, static_cast<char>(kind)};
  text_.append(head, sizeof head);
  text_.append(kHeaderBytes - sizeof head, '\0');
  Packer packer(text_);
  write(packer);
  const std::size_t payload_begin = begin + kHeaderBytes;
  const auto size = static_cast<std::uint32_t>(text_.size() - payload_begin);
  std::memcpy(text_.data() + begin + 4, &size, sizeof size);
  packer.number(sum_of(salt_, std::string_view(text_).substr(payload_begin, size)));
  return text_.size() - begin;
}

std::size_t Batch::add(MessageId number, const Held& held) {
  return frame(Kind::accepted, [&](Packer& packer) { put(packer, number, held); });
}
std::size_t Batch::add(const Record& record) {
  return frame(kind_of(record), [&](Packer& packer) { std::visit(PayloadWriter{packer}, record); });
}

const std::string& Batch::stamped(Sequence first) {
  for (std::size_t i = 0; i < frames_.size(); i++) {
    char* const head = text_.data() + frames_[i];
    head[2] = i + 1 == frames_.size() ? kLast : 0;
    const Sequence sequence = first + i;
    std::memcpy(head + 8, &sequence, sizeof sequence);
    const std::uint32_t sum = sum_of(salt_, {head, 16});
    std::memcpy(head + 16, &sum, sizeof sum);
  }
  return text_;
}

std::size_t accepted_bytes(const Message& message) {
  return kFrameBytes + 8 + 4 * 4 + message.id.size() + message.message_class.size() + message.tenant.size() +
         message.body.size() + (message.idempotency_key.empty() ? 0 : 4 + message.idempotency_key.size()) +
         16 + 1 + 4 + 1 + 8 + 1;
}
std::size_t finished_bytes(const std::string& id) { return kFrameBytes + 20 + id.size(); }

}  // namespace heronvane::store
