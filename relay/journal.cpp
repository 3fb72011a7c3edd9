#include "journal.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <bit>
#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <system_error>

namespace heronvane {
namespace {

// A file is this line, then frames: length and CRC-32 of the payload (4 bytes each), the payload.
// Payload: kind (1 byte), message number (8), fields. Integers are little-endian, as the machine has them.
const std::string kMagic = "heronvane journal 1\n";
enum Kind : char { kTake = 'T', kSent = 'S', kOutcome = 'O', kEnding = 'E', kOver = 'X' };
constexpr std::uint64_t kFrame = 8;
constexpr std::uint32_t kMostPayload = 1 << 20;
// Room set aside with each message for the records that follow: eight attempts, ending and end.
constexpr std::uint64_t kLaterRecords = 8 * (29 + 22) + 64;
// Shares of the limit: what may be held, when to compact, and what is never touched by new messages.
constexpr std::uint64_t kHeldShare = 40, kCompactShare = 50, kFullShare = 97;
constexpr std::size_t kStepBytes = 128 * 1024;  // copied in one step, and one message more

static_assert(std::endian::native == std::endian::little);

[[noreturn]] void fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

class Packer {
 public:
  Packer(Kind kind, MessageId id) { text_.push_back(kind), number(id); }
  template <class T>
  Packer& number(T v) {
    text_.append(reinterpret_cast<const char*>(&v), sizeof v);
    return *this;
  }
  Packer& text(const std::string& s) {
    number(static_cast<std::uint32_t>(s.size()));
    text_ += s;
    return *this;
  }
  const std::string& payload() const { return text_; }

 private:
  std::string text_;
};

class Unpacker {
 public:
  explicit Unpacker(const std::string& text) : text_(text) {}
  template <class T>
  T number() {
    T v;
    std::memcpy(&v, bytes(sizeof v), sizeof v);
    return v;
  }
  std::string text() {
    const auto size = number<std::uint32_t>();
    return {bytes(size), size};
  }

 private:
  const char* bytes(std::size_t n) {
    if (text_.size() - at_ < n) throw std::runtime_error("journal: short record");
    at_ += n;
    return text_.data() + at_ - n;
  }
  const std::string& text_;
  std::size_t at_ = 0;
};

std::string framed(const std::string& payload) {
  boost::crc_32_type crc;
  crc.process_bytes(payload.data(), payload.size());
  const auto size = static_cast<std::uint32_t>(payload.size());
  const std::uint32_t sum = crc.checksum();
  std::string frame(reinterpret_cast<const char*>(&size), 4);
  frame.append(reinterpret_cast<const char*>(&sum), 4);
  return frame + payload;
}

std::string take_record(MessageId id, const Message& m) {
  return Packer(kTake, id)
      .text(m.id)
      .text(m.message_class)
      .text(m.tenant)
      .number(m.destination)
      .number(m.deadline)
      .number(m.repeat)
      .text(m.body)
      .payload();
}
std::string sent_record(MessageId id, const Attempt& a) {
  return Packer(kSent, id).number(a.sent).number(static_cast<std::int32_t>(a.zone)).payload();
}
std::string outcome_record(MessageId id, int attempt, Outcome o) {
  return Packer(kOutcome, id)
      .number(static_cast<std::int32_t>(attempt))
      .number(static_cast<char>(o))
      .payload();
}
std::string ending_record(MessageId id, const Ending& e) {
  return Packer(kEnding, id).number(e.deferred).number(e.again).payload();
}

// All that is known of a message, as records.
std::string records_of(MessageId id, const Held& h) {
  std::string all = framed(take_record(id, h.message));
  for (std::size_t i = 0; i < h.attempts.size(); i++) {
    all += framed(sent_record(id, h.attempts[i]));
    if (h.attempts[i].outcome) all += framed(outcome_record(id, static_cast<int>(i), *h.attempts[i].outcome));
  }
  if (h.ending) all += framed(ending_record(id, *h.ending));
  return all;
}

// Each file counts in whole 512 bytes.
std::uint64_t on_disk(std::uint64_t size) { return (size + 511) / 512 * 512; }

int open_file(const std::string& path, int flags) {
  const int file = ::open(path.c_str(), flags | O_CLOEXEC, 0600);
  if (file < 0) fail("journal: " + path);
  return file;
}

}  // namespace

bool Attempt::may_have_run() const {
  return !outcome ||
         !(*outcome == Outcome::full || *outcome == Outcome::connect_failed || *outcome == Outcome::not_sent);
}

Journal::Journal(const std::string& folder, std::uint64_t limit_bytes)
    : path_(folder + "/journal"), next_path_(folder + "/journal.next"), limit_(limit_bytes) {
  // Left by a process that was killed while it compacted: the first file is still whole.
  if (::unlink(next_path_.c_str()) != 0 && errno != ENOENT) fail("journal: " + next_path_);
  file_ = open_file(path_, O_RDWR | O_CREAT);
  try {
    recover();
  } catch (...) {
    ::close(file_);
    throw;
  }
}

Journal::~Journal() {
  ::close(file_);
  if (next_ >= 0) ::close(next_);
}

void Journal::recover() {
  struct stat info {};
  if (::fstat(file_, &info) != 0) fail("journal: " + path_);
  std::string all(static_cast<std::size_t>(info.st_size), '\0');
  for (std::size_t got = 0; got < all.size();) {
    const auto n = ::pread(file_, all.data() + got, all.size() - got, static_cast<off_t>(got));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) fail("journal: " + path_);
    if (n == 0) all.resize(got);
    got += static_cast<std::size_t>(n);
  }
  std::size_t good = 0;
  if (all.compare(0, kMagic.size(), kMagic) == 0) {
    good = kMagic.size();
    while (all.size() - good >= kFrame) {
      std::uint32_t size = 0, sum = 0;
      std::memcpy(&size, all.data() + good, 4);
      std::memcpy(&sum, all.data() + good + 4, 4);
      if (size > kMostPayload || all.size() - good - kFrame < size) break;
      const std::string payload = all.substr(good + kFrame, size);
      boost::crc_32_type crc;
      crc.process_bytes(payload.data(), payload.size());
      if (crc.checksum() != sum) break;
      try {
        apply(payload);
      } catch (const std::runtime_error&) {
        break;
      }
      good += kFrame + size;
    }
  }
  // A record torn by the end of the process was never acted on: it goes, all before it stands.
  dropped_ = all.size() - good;
  if (::ftruncate(file_, static_cast<off_t>(good)) != 0) fail("journal: " + path_);
  size_ = good;
  if (size_ == 0) write_file(file_, size_, kMagic);
}

void Journal::apply(const std::string& payload) {
  Unpacker in(payload);
  const char kind = in.number<char>();
  const auto id = in.number<MessageId>();
  if (kind == kTake) {
    Held h;
    h.message.id = in.text();
    h.message.message_class = in.text(), h.message.tenant = in.text();
    h.message.destination = in.number<std::int64_t>(), h.message.deadline = in.number<Time>();
    h.message.repeat = in.number<bool>(), h.message.body = in.text();
    reserved_ += cost(h.message);
    held_.insert_or_assign(id, std::move(h));
    return;
  }
  const auto it = held_.find(id);
  if (it == held_.end()) return;  // over before the file was compacted
  Held& h = it->second;
  if (kind == kSent) {
    Attempt a;
    a.sent = in.number<Time>(), a.zone = in.number<std::int32_t>();
    h.attempts.push_back(a);
  } else if (kind == kOutcome) {
    const auto attempt = static_cast<std::size_t>(in.number<std::int32_t>());
    const auto outcome = static_cast<Outcome>(in.number<char>());
    if (attempt < h.attempts.size()) h.attempts[attempt].outcome = outcome;
  } else if (kind == kEnding) {
    Ending e;
    e.deferred = in.number<bool>(), e.again = in.number<Time>();
    endings_ += !h.ending;
    h.ending = e;
  } else if (kind == kOver) {
    forget(it);
  }
}

void Journal::forget(std::map<MessageId, Held>::iterator it) {
  reserved_ -= cost(it->second.message);
  endings_ -= it->second.ending.has_value();
  held_.erase(it);
}

std::uint64_t Journal::cost(const Message& m) { return framed(take_record(0, m)).size() + kLaterRecords; }

std::uint64_t Journal::bytes() const { return on_disk(size_) + on_disk(next_size_); }

bool Journal::room_for(const Message& message, std::uint64_t also) const {
  const std::uint64_t more = cost(message) + also;
  if (reserved_ + more > limit_ / 100 * kHeldShare) return false;
  // While a second file stands, what is held is still to come into it, and news go into both.
  const std::uint64_t pending = pending_.size() + next_pending_.size();
  return bytes() + pending + 2 * more + reserved_ <= limit_ / 100 * kFullShare;
}

void Journal::add(MessageId id, const std::string& payload) {
  const std::string frame = framed(payload);
  pending_ += frame;
  if (next_ >= 0 && id <= copied_) next_pending_ += frame;
}
void Journal::take(MessageId id, Message message) {
  add(id, take_record(id, message));
  reserved_ += cost(message);
  held_[id].message = std::move(message);
}
void Journal::sent(MessageId id, Time when, int zone) {
  auto& attempts = held_.at(id).attempts;
  attempts.push_back({when, zone, std::nullopt});
  add(id, sent_record(id, attempts.back()));
}
void Journal::outcome(MessageId id, int attempt, Outcome o) {
  held_.at(id).attempts.at(static_cast<std::size_t>(attempt)).outcome = o;
  add(id, outcome_record(id, attempt, o));
}
void Journal::ending(MessageId id, Ending ending) {
  auto& slot = held_.at(id).ending;
  endings_ += !slot;
  slot = ending;
  add(id, ending_record(id, ending));
}
void Journal::over(MessageId id) {
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  add(id, Packer(kOver, id).payload());
  forget(it);
}

void Journal::write_file(int file, std::uint64_t& size, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto n = ::pwrite(file, bytes.data() + done, bytes.size() - done, static_cast<off_t>(size + done));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      const std::system_error error(n == 0 ? ENOSPC : errno, std::generic_category(), "journal: " + path_);
      // All or nothing: half a record would hide those written after it.
      if (::ftruncate(file, static_cast<off_t>(size)) != 0) fail("journal: " + path_);
      throw error;
    }
    done += static_cast<std::size_t>(n);
  }
  size += bytes.size();
}

bool Journal::commit() {
  if (pending_.empty() && next_pending_.empty()) return true;
  const std::uint64_t after = on_disk(size_ + pending_.size()) + on_disk(next_size_ + next_pending_.size());
  if (after > limit_) return false;
  try {
    if (!pending_.empty()) write_file(file_, size_, pending_);
    pending_.clear();
    if (!next_pending_.empty()) write_file(next_, next_size_, next_pending_);
    next_pending_.clear();
  } catch (const std::system_error&) {
    return false;
  }
  return true;
}

bool Journal::wants_compaction() const { return next_ >= 0 || size_ > limit_ / 100 * kCompactShare; }

bool Journal::compact() {
  if (!commit()) return true;
  try {
    return compact_step();
  } catch (const std::system_error&) {
    // The first file is whole; without room for the second it must do for now.
    if (next_ >= 0) ::close(next_), ::unlink(next_path_.c_str());
    next_ = -1, next_size_ = 0, next_pending_.clear();
    return false;
  }
}

bool Journal::compact_step() {
  if (next_ < 0) {
    next_ = open_file(next_path_, O_RDWR | O_CREAT | O_TRUNC);
    next_size_ = 0, copied_ = 0;
    write_file(next_, next_size_, kMagic);
  }
  std::string step;
  auto it = held_.upper_bound(copied_);
  for (; it != held_.end() && step.size() < kStepBytes; ++it) {
    step += records_of(it->first, it->second);
    copied_ = it->first;
  }
  if (on_disk(size_) + on_disk(next_size_ + step.size()) > limit_)
    throw std::system_error(ENOSPC, std::generic_category(), "journal: " + next_path_);
  write_file(next_, next_size_, step);
  if (it != held_.end()) return true;
  if (::rename(next_path_.c_str(), path_.c_str()) != 0) fail("journal: " + path_);
  ::close(file_);
  file_ = next_, size_ = next_size_;
  next_ = -1, next_size_ = 0;
  return false;
}

}  // namespace heronvane
