#include "store/table.hpp"

#include <algorithm>
#include <utility>

namespace heronvane::store {
namespace {

// Bounds the attempt numbers that a damaged record may contain: a larger one is ignored.
constexpr std::uint32_t kMaxAttempts = 10'000;

}  // namespace

const Held* Table::find(MessageId number) const {
  const auto it = held_.find(number);
  return it == held_.end() ? nullptr : &it->second;
}
Held* Table::find_mutable(MessageId number) {
  reserve_numbers(number + 1);
  if (cursor_ && (*cursor_)->first < number) ++*cursor_;
  if (!cursor_ || *cursor_ == held_.end() || (*cursor_)->first != number) cursor_ = held_.find(number);
  if (*cursor_ != held_.end()) return &(*cursor_)->second;
  cursor_.reset();  // an end iterator would not survive a move of the table
  return nullptr;
}

void Table::reserve_numbers(MessageId next) { next_number_ = std::max(next_number_, next); }

void Table::accepted(MessageId number, Held&& held) {
  reserve_numbers(number + 1);
  // Numbers ascend, except for messages that compaction rewrote.
  const std::size_t before = held_.size();
  const auto it = held_.try_emplace(held_.end(), number);
  if (held_.size() == before) given_up_ -= it->second.ending.has_value();
  it->second = std::move(held);
  given_up_ += it->second.ending.has_value();
}

void Table::progress(const record::Progress& record) {
  Held* held = find_mutable(record.number);
  if (held == nullptr) return;
  given_up_ -= held->ending.has_value();
  held->attempts = record.attempts, held->ending = record.ending, held->doubt = record.doubt;
  given_up_ += held->ending.has_value();
}

void Table::attempt_sent(const record::AttemptSent& record) {
  Held* held = find_mutable(record.number);
  if (held == nullptr) return;
  const std::size_t attempt = record.attempt == UINT32_MAX ? held->attempts.size() : record.attempt;
  if (attempt >= kMaxAttempts) return;
  // An earlier attempt whose record is missing has no outcome: it may have run.
  if (held->attempts.size() <= attempt) held->attempts.resize(attempt + 1);
  held->attempts[attempt].sent = record.at, held->attempts[attempt].zone = record.zone;
}

void Table::attempt_ended(const record::AttemptEnded& record) {
  Held* held = find_mutable(record.number);
  if (held == nullptr || record.attempt >= kMaxAttempts) return;
  if (held->attempts.size() <= record.attempt) held->attempts.resize(record.attempt + 1);
  held->attempts[record.attempt].outcome = record.outcome;
}

void Table::given_up(const record::GivenUp& record) {
  Held* held = find_mutable(record.number);
  if (held == nullptr) return;
  given_up_ += !held->ending;
  held->ending = record.ending;
}

std::optional<MessageId> Table::finished(const record::Finished& record) {
  reserve_numbers(record.number + 1);
  if (const auto it = held_.find(record.number); it != held_.end()) erase(it);
  if (record.id.empty()) return std::nullopt;
  const auto [it, inserted] =
      remembered_by_id_.try_emplace(record.id, Remembered{record.number, record.remember_until});
  std::optional<MessageId> forgotten;
  if (!inserted) {
    if (it->second.number != record.number && it->second.until >= record.remember_until) return record.number;
    if (it->second.number != record.number) {
      forgotten = it->second.number;
      remembered_by_number_.erase(*forgotten);
    }
    it->second = {record.number, record.remember_until};
  }
  remembered_by_number_[record.number] = &*it;
  expiry_.emplace_hint(expiry_.end(), record.remember_until, record.number);  // usually the latest
  return forgotten;
}

std::uint64_t Table::remembered_bytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [id, entry] : remembered_by_id_) bytes += finished_bytes(id);
  return bytes;
}

std::vector<record::Finished> Table::remembered_ids() const {
  std::vector<record::Finished> all;
  all.reserve(remembered_by_id_.size());
  for (const auto& [id, entry] : remembered_by_id_) all.push_back({entry.number, id, entry.until});
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.number < b.number; });
  return all;
}

record::Finished Table::finished_record(MessageId number) const {
  const auto it = remembered_by_number_.find(number);
  if (it == remembered_by_number_.end()) return {number, {}, 0};
  return {number, it->second->first, it->second->second.until};
}

void Table::fact(const record::Fact& record) {
  const auto it = facts_.find(record.key);
  if (it != facts_.end()) {
    fact_bytes_ -= it->first.size() + it->second.size();
    if (record.value.empty()) {
      facts_.erase(it);
      return;
    }
    it->second = record.value;
  } else {
    if (record.value.empty()) return;
    facts_.emplace(record.key, record.value);
  }
  fact_bytes_ += record.key.size() + record.value.size();
}

void Table::doubt(MessageId number) {
  if (Held* held = find_mutable(number)) held->doubt = true;
}

std::vector<record::Finished> Table::expire(Microseconds now) {
  std::vector<record::Finished> expired;
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    const auto it = remembered_by_number_.find(expiry_.begin()->second);
    // If the id was remembered again for longer, the later entry applies.
    if (it != remembered_by_number_.end() && it->second->second.until <= now) {
      const auto entry = remembered_by_id_.find(it->second->first);
      expired.push_back({it->first, entry->first, entry->second.until});
      remembered_by_number_.erase(it);
      remembered_by_id_.erase(entry);
    }
    expiry_.erase(expiry_.begin());
  }
  return expired;
}

void Table::erase(std::map<MessageId, Held>::iterator it) {
  given_up_ -= it->second.ending.has_value();
  if (cursor_ == it) cursor_.reset();
  held_.erase(it);
}

}  // namespace heronvane::store
