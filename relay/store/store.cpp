#include "store/store.hpp"

#include <algorithm>
#include <utility>

namespace heronvane::store {
namespace {

constexpr std::size_t kMaxFactBytes = 4096;  // of a key with its value
// Memory of a held message beside its own bytes: its entries in the store, the relay and the decision module.
constexpr std::uint64_t kHeldOverheadBytes = 1024;

}  // namespace

Store::Store(Disk& disk, Options options, Syncer* syncer)
    : disk_(disk),
      options_(std::move(options)),
      syncer_(syncer),
      clock_(options_.boot, options_.clocks),
      pending_(0) {
  if (options_.durability == Durability::machine && syncer_ == nullptr)
    throw StoreError("state folder: Durability::machine requires a syncer");
  recover();
}

Store::~Store() {
  *alive_ = false;
  if (active_) disk_.close(active_->file);
  for (const FileId file : unsynced_files_) disk_.close(file);
  if (reserve_ >= 0) disk_.close(reserve_);
}

// ---- Admission. ----
SpaceUsage Store::space_usage() const { return {options_.limit_bytes, used_, pending_.bytes(), reserved_}; }

Reservation Store::cost(const Message& message) const {
  return cost_of(message, options_.attempts_max, options_.remembers(message));
}

void Store::release_reservation(const Reservation& reservation) {
  reserved_.messages -= reservation.messages, reserved_.followups -= reservation.followups,
      reserved_.ids -= reservation.ids;
}

// Needed where the disk has more space than the memory: while the platform is down it takes no notifications,
// and messages that were given up are held until it does.
bool Store::fits_memory(const Reservation& reservation) const {
  return options_.memory_bytes == 0 ||
         reserved_.messages + reservation.messages + (held().size() + 1) * kHeldOverheadBytes <=
             options_.memory_bytes / 2;
}

bool Store::admit(const Message& message) {
  if (is_unavailable() || exceeds_unsynced_bound()) return false;
  const Reservation reservation = cost(message);
  if (!fits_memory(reservation) || !admits(space_usage(), reservation) ||
      !ensure_reserve(reserved_.followups + reservation.followups))
    return false;
  reserved_.messages += reservation.messages, reserved_.followups += reservation.followups,
      reserved_.ids += reservation.ids;
  return true;
}

void Store::cancel_admission(const Message& message) { release_reservation(cost(message)); }

std::string Store::unavailable_reason() const {
  if (!write_failure_.empty()) return write_failure_;
  if (!sync_failure_.empty()) return sync_failure_;
  if (reserve_short_) return "the volume has no space left for the records of held messages";
  if (over_limit())
    return "the store's files hold " + std::to_string(used_) + " bytes, more than the limit of " +
           std::to_string(options_.limit_bytes);
  if (sync_stalled()) return "a sync of the disk is taking too long";
  return {};
}

bool Store::sync_stalled() const {
  constexpr Microseconds kSyncStallThreshold = 3'000'000;
  return syncing_ && clock_.now() - sync_started_at_ > kSyncStallThreshold;
}

// If the limit was lowered below what the files hold, the records of held messages may still be written; as
// files are removed, the ceiling falls with them.
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
  const record::AttemptSent record{number, static_cast<std::uint32_t>(held().at(number).attempts.size()),
                                   when, zone};
  add(record);
  table_.attempt_sent(record);
}

void Store::outcome(MessageId number, int attempt, Outcome outcome) {
  const record::AttemptEnded record{number, static_cast<std::uint32_t>(attempt), outcome};
  add(record);
  table_.attempt_ended(record);
}

void Store::give_up(MessageId number, Ending ending) {
  const record::GivenUp record{number, ending};
  add(record);
  table_.given_up(record);
}

void Store::finish(MessageId number, bool acknowledged) {
  const Held* held = find(number);
  if (held == nullptr) return;
  const Message& message = held->message;
  const bool remember = acknowledged && options_.remembers(message);
  Reservation reservation = cost(message);
  if (remember) reservation.ids = 0;  // stays reserved until the id is forgotten
  release_reservation(reservation);
  record::Finished record{number, {}, 0};
  if (remember)
    record.id = message.id,
    record.remember_until = std::max(message.deadline, clock_.now()) + options_.remember_window;
  add(record);
  if (const auto other = table_.finished(record)) {
    reserved_.ids -= finished_bytes(record.id);
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
  const record::Fact record{key, value};
  add(record);
  table_.fact(record);
  return true;
}

// ---- Records of another store. ----
void Store::put(Record record) {
  struct ImportRecord {
    Store& store;
    void operator()(record::Accepted& record) const {
      const std::size_t bytes = store.pending_.add(record.number, record.held);
      RecordSummary summary;
      summary.kind = Kind::accepted, summary.number = record.number,
      summary.bytes = static_cast<std::uint32_t>(bytes);
      store.pending_summaries_.push_back(std::move(summary));
      if (const Held* const before = store.find(record.number))
        store.release_reservation(store.cost(before->message));
      const Reservation reservation = store.cost(record.held.message);
      store.reserved_.messages += reservation.messages, store.reserved_.followups += reservation.followups,
          store.reserved_.ids += reservation.ids;
      store.table_.accepted(record.number, std::move(record.held));
    }
    void operator()(record::Progress& record) const {
      if (store.find(record.number) != nullptr) store.add(record), store.table_.progress(record);
    }
    void operator()(record::AttemptSent& record) const {
      if (store.find(record.number) != nullptr) store.add(record), store.table_.attempt_sent(record);
    }
    void operator()(record::AttemptEnded& record) const {
      if (store.find(record.number) != nullptr) store.add(record), store.table_.attempt_ended(record);
    }
    void operator()(record::GivenUp& record) const {
      if (store.find(record.number) != nullptr) store.add(record), store.table_.given_up(record);
    }
    void operator()(record::Finished& record) const {
      const Held* const held = store.find(record.number);
      if (held == nullptr && record.id.empty()) return;
      Reservation reservation;
      if (held != nullptr) reservation = store.cost(held->message);
      // The space of a remembered id stays reserved until the id is forgotten.
      if (!record.id.empty() && std::exchange(reservation.ids, 0) == 0)
        store.reserved_.ids += finished_bytes(record.id);
      store.release_reservation(reservation);
      store.add(record);
      if (const auto other = store.table_.finished(record)) {
        store.reserved_.ids -= finished_bytes(record.id);
        store.ledger_.forget_id(*other);
      }
    }
    void operator()(record::Fact& record) const {
      const auto it = store.facts().find(record.key);
      if (it == store.facts().end() ? record.value.empty() : it->second == record.value) return;
      store.add(record);
      store.table_.fact(record);
    }
    void operator()(record::Segment&) const {}
    void operator()(record::Dropped&) const {}
    void operator()(Anchor&) const {}
  };
  std::visit(ImportRecord{*this}, record);
}

bool Store::commit() {
  const Microseconds now = clock_.now();
  for (const auto& forgotten : table_.expire(now)) {
    reserved_.ids -= finished_bytes(forgotten.id);
    ledger_.forget_id(forgotten.number);
  }
  if (!rewrite_queue_.empty() && (now < retry_sync_at_ || !rewrite_unsynced())) return false;
  // Tries again to reserve space that the volume did not have.
  if (reserve_short_) ensure_reserve(reserved_.followups);
  if (pending_.empty() && write_failure_.empty()) return true;
  // A failed write is tried again, with an anchor alone if nothing else is pending.
  constexpr Microseconds kAnchorInterval = 1'000'000;
  // At most one anchor among the pending records: otherwise these would outgrow the limit while the disk
  // fails for long.
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
