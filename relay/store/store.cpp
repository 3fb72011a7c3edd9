#include "store/store.hpp"

#include <algorithm>
#include <utility>

namespace heronvane::store {
namespace {

constexpr std::size_t kMostFact = 4096;  // bytes of a key with its value
// Of a message held, beside its own bytes: its entries here, in the relay and in the module.
constexpr std::uint64_t kHeldMemory = 1024;

}  // namespace

Store::Store(Disk& disk, Options options, Syncer* syncer)
    : disk_(disk),
      options_(std::move(options)),
      syncer_(syncer),
      clock_(options_.boot, options_.clocks),
      pending_(0) {
  if (options_.durability == Durability::machine && syncer_ == nullptr)
    throw StoreError("state folder: durability for the machine needs a syncer");
  recover();
}

Store::~Store() {
  *alive_ = false;
  if (active_) disk_.close(active_->file);
  for (const FileId file : unsynced_files_) disk_.close(file);
  if (reserve_ >= 0) disk_.close(reserve_);
}

// ---- What there is room for. ----
Room Store::room() const { return {options_.limit_bytes, used_, pending_.bytes(), booked_}; }

Booked Store::cost(const Message& m) const {
  return cost_of(m, options_.attempts_max, options_.remembers(m));
}

void Store::unbook(const Booked& c) {
  booked_.messages -= c.messages, booked_.later -= c.later, booked_.ids -= c.ids;
}

// Guards against a disk that has room for more than the memory has, while a platform that is down takes no
// notices: what is given up is held until it does.
bool Store::fits_memory(const Booked& c) const {
  return options_.memory_bytes == 0 ||
         booked_.messages + c.messages + (held().size() + 1) * kHeldMemory <= options_.memory_bytes / 2;
}

bool Store::admit(const Message& message) {
  if (troubled() || much_unsynced()) return false;
  const Booked c = cost(message);
  if (!fits_memory(c) || !admits(room(), c) || !ensure_reserve(booked_.later + c.later)) return false;
  booked_.messages += c.messages, booked_.later += c.later, booked_.ids += c.ids;
  return true;
}

void Store::give_back(const Message& message) { unbook(cost(message)); }

std::string Store::trouble() const {
  if (!failure_.empty()) return failure_;
  if (!sync_failure_.empty()) return sync_failure_;
  if (reserve_short_) return "no room on the volume for the records of what is held";
  if (over_limit())
    return "its files hold " + std::to_string(used_) + " bytes, more than the limit of " +
           std::to_string(options_.limit_bytes);
  if (sync_hangs()) return "a sync of the disk takes long";
  return {};
}

bool Store::sync_hangs() const {
  constexpr Microseconds kLongSync = 3'000'000;
  return syncing_ && clock_.now() - sync_began_ > kLongSync;
}

// Where the limit was lowered under what is there, its records may still be written; as files go, that room
// goes with them.
void Store::lower_ceiling() {
  const std::uint64_t need = used_ + booked_.later + headroom(options_.limit_bytes);
  ceiling_ = std::max(options_.limit_bytes, std::min(ceiling_, need));
}

// ---- Changes. ----
void Store::add(const Record& record) {
  const std::size_t bytes = pending_.add(record);
  pending_notes_.push_back(note_of(record, bytes));
}

void Store::take(MessageId number, Message message) {
  Held held;
  held.message = std::move(message);
  const std::size_t bytes = pending_.add(number, held);
  Note note;
  note.kind = Kind::taken, note.number = number, note.bytes = static_cast<std::uint32_t>(bytes);
  pending_notes_.push_back(std::move(note));
  table_.taken(number, std::move(held));
}

void Store::sent(MessageId number, Microseconds when, int zone) {
  const record::Sent r{number, static_cast<std::uint32_t>(held().at(number).attempts.size()), when, zone};
  add(r);
  table_.sent(r);
}

void Store::outcome(MessageId number, int attempt, Outcome outcome) {
  const record::Ended r{number, static_cast<std::uint32_t>(attempt), outcome};
  add(r);
  table_.ended(r);
}

void Store::ending(MessageId number, Ending ending) {
  const record::GivenUp r{number, ending};
  add(r);
  table_.given_up(r);
}

void Store::over(MessageId number, bool was_told) {
  const Held* h = find(number);
  if (h == nullptr) return;
  const Message& m = h->message;
  const bool remember = was_told && options_.remembers(m);
  Booked c = cost(m);
  if (remember) c.ids = 0;  // booked on until it is forgotten
  unbook(c);
  record::Over r{number, {}, 0};
  if (remember) r.id = m.id, r.remember_until = std::max(m.deadline, clock_.now()) + options_.remember_window;
  add(r);
  if (const auto other = table_.over(r)) {
    booked_.ids -= over_bytes(r.id);
    ledger_.forget_id(*other);
  }
}

bool Store::keep(const std::string& key, const std::string& value, unsigned part) {
  const auto it = facts().find(key);
  if (it == facts().end() ? value.empty() : it->second == value) return true;
  const std::uint64_t bytes = key.size() + value.size();
  const std::uint64_t before = it == facts().end() ? 0 : key.size() + it->second.size();
  const std::uint64_t most = options_.limit_bytes / 100 * kFactShare * part / 100 +
                             (options_.vital_facts.count(key) > 0 ? kMostFact : 0);
  if (!value.empty() &&
      (bytes > kMostFact || (bytes > before && table_.fact_bytes() - before + bytes > most)))
    return false;
  const record::Fact r{key, value};
  add(r);
  table_.fact(r);
  return true;
}

// ---- Records of another store. ----
void Store::put(Record record) {
  struct Put {
    Store& s;
    void operator()(record::Taken& r) const {
      const std::size_t bytes = s.pending_.add(r.number, r.held);
      Note note;
      note.kind = Kind::taken, note.number = r.number, note.bytes = static_cast<std::uint32_t>(bytes);
      s.pending_notes_.push_back(std::move(note));
      if (const Held* const before = s.find(r.number)) s.unbook(s.cost(before->message));
      const Booked c = s.cost(r.held.message);
      s.booked_.messages += c.messages, s.booked_.later += c.later, s.booked_.ids += c.ids;
      s.table_.taken(r.number, std::move(r.held));
    }
    void operator()(record::Progress& r) const {
      if (s.find(r.number) != nullptr) s.add(r), s.table_.progress(r);
    }
    void operator()(record::Sent& r) const {
      if (s.find(r.number) != nullptr) s.add(r), s.table_.sent(r);
    }
    void operator()(record::Ended& r) const {
      if (s.find(r.number) != nullptr) s.add(r), s.table_.ended(r);
    }
    void operator()(record::GivenUp& r) const {
      if (s.find(r.number) != nullptr) s.add(r), s.table_.given_up(r);
    }
    void operator()(record::Over& r) const {
      const Held* const held = s.find(r.number);
      if (held == nullptr && r.id.empty()) return;
      Booked c;
      if (held != nullptr) c = s.cost(held->message);
      // What is remembered stays booked until it is forgotten.
      if (!r.id.empty() && std::exchange(c.ids, 0) == 0) s.booked_.ids += over_bytes(r.id);
      s.unbook(c);
      s.add(r);
      if (const auto other = s.table_.over(r)) {
        s.booked_.ids -= over_bytes(r.id);
        s.ledger_.forget_id(*other);
      }
    }
    void operator()(record::Fact& r) const {
      const auto it = s.facts().find(r.key);
      if (it == s.facts().end() ? r.value.empty() : it->second == r.value) return;
      s.add(r);
      s.table_.fact(r);
    }
    void operator()(record::Segment&) const {}
    void operator()(record::Dropped&) const {}
    void operator()(Anchor&) const {}
  };
  std::visit(Put{*this}, record);
}

bool Store::commit() {
  const Microseconds now = clock_.now();
  for (const auto& forgotten : table_.expire(now)) {
    booked_.ids -= over_bytes(forgotten.id);
    ledger_.forget_id(forgotten.number);
  }
  if (!rewrite_.empty() && (now < sync_again_ || !write_again())) return false;
  // Room that the volume did not have for what is held is asked for again.
  if (reserve_short_) ensure_reserve(booked_.later);
  if (pending_.empty() && failure_.empty()) return true;
  // A write that failed is tried again, be it with nothing but the time.
  constexpr Microseconds kAnchorEach = 1'000'000;
  // One only in what waits: else it would outgrow the limit while the disk fails for long.
  if (pending_.empty() || (now - anchored_ >= kAnchorEach && !anchor_waits_)) {
    add(clock_.anchor());
    anchored_ = now, anchor_waits_ = true;
  }
  if (sink_ != nullptr) sink_->closing();
  if (!write(pending_, pending_notes_)) return false;
  anchor_waits_ = false;
  return true;
}

}  // namespace heronvane::store
