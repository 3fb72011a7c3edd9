#include "store/store.hpp"

#include <algorithm>
#include <utility>

namespace heronvane::store {
namespace {

constexpr std::size_t kMaxFactBytes = 4096;  // bytes of a key with its value
// Of a message held, beside its own bytes: its entries here, in the relay and in the module.
constexpr std::uint64_t kHeldOverheadBytes = 1024;

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
SpaceUsage Store::space_usage() const { return {options_.limit_bytes, used_, pending_.bytes(), reserved_}; }

Reservation Store::cost(const Message& m) const {
  return cost_of(m, options_.attempts_max, options_.remembers(m));
}

void Store::release_reservation(const Reservation& c) {
  reserved_.messages -= c.messages, reserved_.followups -= c.followups, reserved_.ids -= c.ids;
}

// Guards against a disk that has room for more than the memory has, while a platform that is down takes no
// notices: what is given up is held until it does.
bool Store::fits_memory(const Reservation& c) const {
  return options_.memory_bytes == 0 ||
         reserved_.messages + c.messages + (held().size() + 1) * kHeldOverheadBytes <=
             options_.memory_bytes / 2;
}

bool Store::admit(const Message& message) {
  if (is_unavailable() || exceeds_unsynced_bound()) return false;
  const Reservation c = cost(message);
  if (!fits_memory(c) || !admits(space_usage(), c) || !ensure_reserve(reserved_.followups + c.followups))
    return false;
  reserved_.messages += c.messages, reserved_.followups += c.followups, reserved_.ids += c.ids;
  return true;
}

void Store::cancel_admission(const Message& message) { release_reservation(cost(message)); }

std::string Store::unavailable_reason() const {
  if (!write_failure_.empty()) return write_failure_;
  if (!sync_failure_.empty()) return sync_failure_;
  if (reserve_short_) return "no room on the volume for the records of what is held";
  if (over_limit())
    return "its files hold " + std::to_string(used_) + " bytes, more than the limit of " +
           std::to_string(options_.limit_bytes);
  if (sync_stalled()) return "a sync of the disk takes long";
  return {};
}

bool Store::sync_stalled() const {
  constexpr Microseconds kSyncStallThreshold = 3'000'000;
  return syncing_ && clock_.now() - sync_started_at_ > kSyncStallThreshold;
}

// Where the limit was lowered under what is there, its records may still be written; as files go, that room
// goes with them.
void Store::lower_ceiling() {
  const std::uint64_t need = used_ + reserved_.followups + headroom(options_.limit_bytes);
  ceiling_ = std::max(options_.limit_bytes, std::min(ceiling_, need));
}

// ---- Changes. ----
void Store::add(const Record& record) {
  const std::size_t bytes = pending_.add(record);
  pending_summaries_.push_back(summary_of(record, bytes));
}

void Store::accept(MessageId number, Message message) {
  Held held;
  held.message = std::move(message);
  const std::size_t bytes = pending_.add(number, held);
  RecordSummary summary;
  summary.kind = Kind::accepted, summary.number = number, summary.bytes = static_cast<std::uint32_t>(bytes);
  pending_summaries_.push_back(std::move(summary));
  table_.accepted(number, std::move(held));
}

void Store::sent(MessageId number, Microseconds when, int zone) {
  const record::AttemptSent r{number, static_cast<std::uint32_t>(held().at(number).attempts.size()), when,
                              zone};
  add(r);
  table_.attempt_sent(r);
}

void Store::outcome(MessageId number, int attempt, Outcome outcome) {
  const record::AttemptEnded r{number, static_cast<std::uint32_t>(attempt), outcome};
  add(r);
  table_.attempt_ended(r);
}

void Store::give_up(MessageId number, Ending ending) {
  const record::GivenUp r{number, ending};
  add(r);
  table_.given_up(r);
}

void Store::finish(MessageId number, bool acknowledged) {
  const Held* h = find(number);
  if (h == nullptr) return;
  const Message& m = h->message;
  const bool remember = acknowledged && options_.remembers(m);
  Reservation c = cost(m);
  if (remember) c.ids = 0;  // booked on until it is forgotten
  release_reservation(c);
  record::Finished r{number, {}, 0};
  if (remember) r.id = m.id, r.remember_until = std::max(m.deadline, clock_.now()) + options_.remember_window;
  add(r);
  if (const auto other = table_.finished(r)) {
    reserved_.ids -= finished_bytes(r.id);
    ledger_.forget_id(*other);
  }
}

bool Store::set_fact(const std::string& key, const std::string& value, unsigned part) {
  const auto it = facts().find(key);
  if (it == facts().end() ? value.empty() : it->second == value) return true;
  const std::uint64_t bytes = key.size() + value.size();
  const std::uint64_t before = it == facts().end() ? 0 : key.size() + it->second.size();
  const std::uint64_t most = options_.limit_bytes / 100 * kFactsPercent * part / 100 +
                             (options_.vital_facts.count(key) > 0 ? kMaxFactBytes : 0);
  if (!value.empty() &&
      (bytes > kMaxFactBytes || (bytes > before && table_.fact_bytes() - before + bytes > most)))
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
    void operator()(record::Accepted& r) const {
      const std::size_t bytes = s.pending_.add(r.number, r.held);
      RecordSummary summary;
      summary.kind = Kind::accepted, summary.number = r.number,
      summary.bytes = static_cast<std::uint32_t>(bytes);
      s.pending_summaries_.push_back(std::move(summary));
      if (const Held* const before = s.find(r.number)) s.release_reservation(s.cost(before->message));
      const Reservation c = s.cost(r.held.message);
      s.reserved_.messages += c.messages, s.reserved_.followups += c.followups, s.reserved_.ids += c.ids;
      s.table_.accepted(r.number, std::move(r.held));
    }
    void operator()(record::Progress& r) const {
      if (s.find(r.number) != nullptr) s.add(r), s.table_.progress(r);
    }
    void operator()(record::AttemptSent& r) const {
      if (s.find(r.number) != nullptr) s.add(r), s.table_.attempt_sent(r);
    }
    void operator()(record::AttemptEnded& r) const {
      if (s.find(r.number) != nullptr) s.add(r), s.table_.attempt_ended(r);
    }
    void operator()(record::GivenUp& r) const {
      if (s.find(r.number) != nullptr) s.add(r), s.table_.given_up(r);
    }
    void operator()(record::Finished& r) const {
      const Held* const held = s.find(r.number);
      if (held == nullptr && r.id.empty()) return;
      Reservation c;
      if (held != nullptr) c = s.cost(held->message);
      // What is remembered stays booked until it is forgotten.
      if (!r.id.empty() && std::exchange(c.ids, 0) == 0) s.reserved_.ids += finished_bytes(r.id);
      s.release_reservation(c);
      s.add(r);
      if (const auto other = s.table_.finished(r)) {
        s.reserved_.ids -= finished_bytes(r.id);
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
    reserved_.ids -= finished_bytes(forgotten.id);
    ledger_.forget_id(forgotten.number);
  }
  if (!rewrite_queue_.empty() && (now < retry_sync_at_ || !rewrite_unsynced())) return false;
  // Room that the volume did not have for what is held is asked for again.
  if (reserve_short_) ensure_reserve(reserved_.followups);
  if (pending_.empty() && write_failure_.empty()) return true;
  // A write that failed is tried again, be it with nothing but the time.
  constexpr Microseconds kAnchorInterval = 1'000'000;
  // One only in what waits: else it would outgrow the limit while the disk fails for long.
  if (pending_.empty() || (now - anchored_at_ >= kAnchorInterval && !anchor_pending_)) {
    add(clock_.anchor());
    anchored_at_ = now, anchor_pending_ = true;
  }
  if (sink_ != nullptr) sink_->closing();
  if (!write(pending_, pending_summaries_)) return false;
  anchor_pending_ = false;
  return true;
}

}  // namespace heronvane::store
