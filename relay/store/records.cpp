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

// Writes fields behind one another.
class Packer {
 public:
  explicit Packer(std::string& text) : text_(text) {}
  template <class T>
  Packer& number(T v) {
    static_assert(std::is_arithmetic_v<T>);
    text_.append(reinterpret_cast<const char*>(&v), sizeof v);
    return *this;
  }
  Packer& text(std::string_view s) {
    number(static_cast<std::uint32_t>(s.size()));
    text_ += s;
    return *this;
  }

 private:
  std::string& text_;
};

// Reads them again. What is not there reads as zeros and is told by whole().
class Unpacker {
 public:
  explicit Unpacker(std::string_view text) : text_(text) {}
  template <class T>
  T number() {
    static_assert(std::is_arithmetic_v<T>);
    T v{};
    if (const char* at = bytes(sizeof v)) std::memcpy(&v, at, sizeof v);
    return v;
  }
  bool flag() {
    const auto v = number<std::uint8_t>();
    ok_ = ok_ && v <= 1;
    return v == 1;
  }
  std::string text() {
    const auto size = number<std::uint32_t>();
    const char* at = bytes(size);
    return at == nullptr ? std::string() : std::string(at, size);
  }
  // How many entries follow, of so many bytes each at least.
  std::size_t count(std::size_t min_bytes) {
    const auto n = number<std::uint32_t>();
    if (n > (text_.size() - at_) / min_bytes) ok_ = false;
    return ok_ ? n : 0;
  }
  Outcome outcome() {
    const auto v = number<std::uint8_t>();
    ok_ = ok_ && v <= static_cast<std::uint8_t>(Outcome::not_sent);
    return static_cast<Outcome>(v);
  }
  void refuse() { ok_ = false; }
  bool whole() const { return ok_ && at_ == text_.size(); }

 private:
  const char* bytes(std::size_t n) {
    if (!ok_ || text_.size() - at_ < n) {
      ok_ = false;
      return nullptr;
    }
    at_ += n;
    return text_.data() + at_ - n;
  }
  std::string_view text_;
  std::size_t at_ = 0;
  bool ok_ = true;
};

constexpr std::size_t kAttemptFieldBytes = 13;
// Flags of a message, in the byte that told `repeat` alone before there were keys.
constexpr std::uint8_t kRepeat = 1, kHasKey = 2;

void put(Packer& p, const std::vector<Attempt>& attempts, const std::optional<Ending>& ending, bool doubt) {
  p.number(static_cast<std::uint32_t>(attempts.size()));
  for (const auto& a : attempts)
    p.number(a.sent)
        .number(static_cast<std::int32_t>(a.zone))
        .number(static_cast<std::uint8_t>(a.outcome ? 1 + static_cast<int>(*a.outcome) : 0));
  p.number(static_cast<std::uint8_t>(ending ? 1 + (ending->deferred ? 1 : 0) : 0));
  p.number(ending ? ending->again : Microseconds{0}).number(static_cast<std::uint8_t>(doubt));
}
void take(Unpacker& u, std::vector<Attempt>& attempts, std::optional<Ending>& ending, bool& doubt) {
  attempts.resize(u.count(kAttemptFieldBytes));
  for (auto& a : attempts) {
    a.sent = u.number<Microseconds>(), a.zone = u.number<std::int32_t>();
    const auto outcome = u.number<std::uint8_t>();
    if (outcome > 1 + static_cast<int>(Outcome::not_sent)) u.refuse();
    if (outcome > 0) a.outcome = static_cast<Outcome>(outcome - 1);
  }
  const auto how = u.number<std::uint8_t>();
  const auto again = u.number<Microseconds>();
  if (how > 2) u.refuse();
  if (how > 0) ending = Ending{how == 2, again};
  doubt = u.flag();
}

void put(Packer& p, const Anchor& a) {
  p.text(a.boot).number(a.boottime).number(a.wall).number(a.persistent);
}
Anchor take_anchor(Unpacker& u) {
  Anchor a;
  a.boot = u.text(), a.boottime = u.number<Microseconds>(), a.wall = u.number<Microseconds>(),
  a.persistent = u.number<Microseconds>();
  return a;
}

void put(Packer& p, MessageId number, const Held& h) {
  const Message& m = h.message;
  p.number(number).text(m.id).text(m.message_class).text(m.tenant).number(m.destination).number(m.deadline);
  const bool keyed = !m.idempotency_key.empty();
  p.number(static_cast<std::uint8_t>((m.repeat ? kRepeat : 0) | (keyed ? kHasKey : 0)));
  if (keyed) p.text(m.idempotency_key);
  p.text(m.body);
  put(p, h.attempts, h.ending, h.doubt);
}

Kind kind_of(const Record& r) {
  constexpr Kind kinds[] = {Kind::segment,       Kind::accepted, Kind::progress, Kind::attempt_sent,
                            Kind::attempt_ended, Kind::given_up, Kind::finished, Kind::fact,
                            Kind::dropped,       Kind::anchor};
  static_assert(std::size(kinds) == std::variant_size_v<Record>);
  return kinds[r.index()];
}

struct PayloadWriter {
  Packer& p;
  void operator()(const record::Segment& r) const {
    p.number(r.version).number(r.number).number(r.next_message);
    put(p, r.anchor);
    p.number(static_cast<std::uint32_t>(r.others.size()));
    for (const auto& other : r.others) p.number(other.number).number(other.end);
  }
  void operator()(const record::Accepted& r) const { put(p, r.number, r.held); }
  void operator()(const record::Progress& r) const {
    p.number(r.number);
    put(p, r.attempts, r.ending, r.doubt);
  }
  void operator()(const record::AttemptSent& r) const {
    p.number(r.number).number(r.attempt).number(r.at).number(r.zone);
  }
  void operator()(const record::AttemptEnded& r) const {
    p.number(r.number).number(r.attempt).number(static_cast<std::uint8_t>(r.outcome));
  }
  void operator()(const record::GivenUp& r) const {
    p.number(r.number).number(static_cast<std::uint8_t>(r.ending.deferred)).number(r.ending.again);
  }
  void operator()(const record::Finished& r) const { p.number(r.number).text(r.id).number(r.remember_until); }
  void operator()(const record::Fact& r) const { p.text(r.key).text(r.value); }
  void operator()(const record::Dropped& r) const { p.number(r.segment); }
  void operator()(const Anchor& r) const { put(p, r); }
};

// Into `out`, without a copy on the way.
void take(Kind kind, Unpacker& u, Record& out) {
  switch (kind) {
    case Kind::segment: {
      auto& r = out.emplace<record::Segment>();
      r.version = u.number<std::uint16_t>(), r.number = u.number<SegmentNumber>();
      r.next_message = u.number<MessageId>();
      r.anchor = take_anchor(u);
      r.others.resize(u.count(sizeof(SegmentNumber) + sizeof(Sequence)));
      for (auto& other : r.others) other.number = u.number<SegmentNumber>(), other.end = u.number<Sequence>();
      return;
    }
    case Kind::accepted: {
      auto& r = out.emplace<record::Accepted>();
      Message& m = r.held.message;
      r.number = u.number<MessageId>();
      m.id = u.text(), m.message_class = u.text(), m.tenant = u.text();
      m.destination = u.number<std::int64_t>(), m.deadline = u.number<Microseconds>();
      const auto flags = u.number<std::uint8_t>();
      if (flags > (kRepeat | kHasKey)) u.refuse();
      m.repeat = (flags & kRepeat) != 0;
      if ((flags & kHasKey) != 0) m.idempotency_key = u.text();
      m.body = u.text();
      take(u, r.held.attempts, r.held.ending, r.held.doubt);
      return;
    }
    case Kind::progress: {
      auto& r = out.emplace<record::Progress>();
      r.number = u.number<MessageId>();
      take(u, r.attempts, r.ending, r.doubt);
      return;
    }
    case Kind::attempt_sent: {
      auto& r = out.emplace<record::AttemptSent>();
      r.number = u.number<MessageId>(), r.attempt = u.number<std::uint32_t>();
      r.at = u.number<Microseconds>(), r.zone = u.number<std::int32_t>();
      return;
    }
    case Kind::attempt_ended: {
      auto& r = out.emplace<record::AttemptEnded>();
      r.number = u.number<MessageId>(), r.attempt = u.number<std::uint32_t>(), r.outcome = u.outcome();
      return;
    }
    case Kind::given_up: {
      auto& r = out.emplace<record::GivenUp>();
      r.number = u.number<MessageId>(), r.ending.deferred = u.flag(),
      r.ending.again = u.number<Microseconds>();
      return;
    }
    case Kind::finished: {
      auto& r = out.emplace<record::Finished>();
      r.number = u.number<MessageId>(), r.id = u.text(), r.remember_until = u.number<Microseconds>();
      return;
    }
    case Kind::fact: {
      auto& r = out.emplace<record::Fact>();
      r.key = u.text(), r.value = u.text();
      return;
    }
    case Kind::dropped:
      out = record::Dropped{u.number<SegmentNumber>()};
      return;
    case Kind::anchor:
      out = take_anchor(u);
      return;
  }
  u.refuse();
}

}  // namespace

std::optional<Record> decode(Kind kind, std::string_view payload) {
  Unpacker u(payload);
  std::optional<Record> record(std::in_place);
  take(kind, u, *record);
  if (!u.whole()) record.reset();
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
  FrameHeader h;
  h.last = (bytes[2] & kLast) != 0;
  h.kind = static_cast<Kind>(bytes[3]);
  std::memcpy(&h.size, bytes.data() + 4, sizeof h.size);
  std::memcpy(&h.sequence, bytes.data() + 8, sizeof h.sequence);
  if (h.size > kMaxPayload) return std::nullopt;
  return h;
}

// Header: 'H' 'V', flags, kind, length of the payload (4 bytes), sequence number (8), sum of these 16 (4).
template <class Write>
std::size_t Batch::frame(Kind kind, Write write) {
  const std::size_t begin = text_.size();
  frames_.push_back(begin);
  const char head[4] = {kMagic0, kMagic1, 0, static_cast<char>(kind)};
  text_.append(head, sizeof head);
  text_.append(kHeaderBytes - sizeof head, '\0');
  Packer p(text_);
  write(p);
  const std::size_t payload_begin = begin + kHeaderBytes;
  const auto size = static_cast<std::uint32_t>(text_.size() - payload_begin);
  std::memcpy(text_.data() + begin + 4, &size, sizeof size);
  p.number(sum_of(salt_, std::string_view(text_).substr(payload_begin, size)));
  return text_.size() - begin;
}

std::size_t Batch::add(MessageId number, const Held& held) {
  return frame(Kind::accepted, [&](Packer& p) { put(p, number, held); });
}
std::size_t Batch::add(const Record& r) {
  return frame(kind_of(r), [&](Packer& p) { std::visit(PayloadWriter{p}, r); });
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

std::size_t accepted_bytes(const Message& m) {
  return kFrameBytes + 8 + 4 * 4 + m.id.size() + m.message_class.size() + m.tenant.size() + m.body.size() +
         (m.idempotency_key.empty() ? 0 : 4 + m.idempotency_key.size()) + 16 + 1 + 4 + 1 + 8 + 1;
}
std::size_t finished_bytes(const std::string& id) { return kFrameBytes + 20 + id.size(); }

}  // namespace heronvane::store
