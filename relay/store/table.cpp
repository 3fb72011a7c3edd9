#include "store/table.hpp"

#include <algorithm>
#include <utility>

namespace heronvane::store {
namespace {

// Attempts that a damaged record may name: more makes no sense, and none is made up past it.
constexpr std::uint32_t kMostAttempts = 10'000;

}  // namespace

const Held* Table::find(MessageId number) const {
  const auto it = held_.find(number);
  return it == held_.end() ? nullptr : &it->second;
}
Held* Table::held_by(MessageId number) {
  reserve_numbers(number + 1);
  if (finger_ && (*finger_)->first < number) ++*finger_;
  if (!finger_ || *finger_ == held_.end() || (*finger_)->first != number) finger_ = held_.find(number);
  if (*finger_ != held_.end()) return &(*finger_)->second;
  finger_.reset();  // an end would not outlast a move
  return nullptr;
}

void Table::reserve_numbers(MessageId next) { next_number_ = std::max(next_number_, next); }

void Table::taken(MessageId number, Held&& held) {
  reserve_numbers(number + 1);
  // Numbers ascend, but for those that compaction wrote anew.
  const std::size_t before = held_.size();
  const auto it = held_.try_emplace(held_.end(), number);
  if (held_.size() == before) given_up_ -= it->second.ending.has_value();
  it->second = std::move(held);
  given_up_ += it->second.ending.has_value();
}

void Table::progress(const record::Progress& p) {
  Held* h = held_by(p.number);
  if (h == nullptr) return;
  given_up_ -= h->ending.has_value();
  h->attempts = p.attempts, h->ending = p.ending, h->doubt = p.doubt;
  given_up_ += h->ending.has_value();
}

void Table::sent(const record::Sent& s) {
  Held* h = held_by(s.number);
  if (h == nullptr) return;
  const std::size_t attempt = s.attempt == UINT32_MAX ? h->attempts.size() : s.attempt;
  if (attempt >= kMostAttempts) return;
  // An attempt between them whose record is gone has no outcome: it may have run.
  if (h->attempts.size() <= attempt) h->attempts.resize(attempt + 1);
  h->attempts[attempt].sent = s.at, h->attempts[attempt].zone = s.zone;
}

void Table::ended(const record::Ended& e) {
  Held* h = held_by(e.number);
  if (h == nullptr || e.attempt >= kMostAttempts) return;
  if (h->attempts.size() <= e.attempt) h->attempts.resize(e.attempt + 1);
  h->attempts[e.attempt].outcome = e.outcome;
}

void Table::given_up(const record::GivenUp& g) {
  Held* h = held_by(g.number);
  if (h == nullptr) return;
  given_up_ += !h->ending;
  h->ending = g.ending;
}

std::optional<MessageId> Table::over(const record::Over& o) {
  reserve_numbers(o.number + 1);
  if (const auto it = held_.find(o.number); it != held_.end()) forget(it);
  if (o.id.empty()) return std::nullopt;
  const auto [it, fresh] = over_.try_emplace(o.id, Remembered{o.number, o.remember_until});
  std::optional<MessageId> other;
  if (!fresh) {
    if (it->second.number != o.number && it->second.until >= o.remember_until) return o.number;
    if (it->second.number != o.number) {
      other = it->second.number;
      over_ids_.erase(*other);
    }
    it->second = {o.number, o.remember_until};
  }
  over_ids_[o.number] = &*it;
  expiry_.emplace_hint(expiry_.end(), o.remember_until, o.number);  // mostly the last one
  return other;
}

std::uint64_t Table::remembered_bytes() const {
  std::uint64_t bytes = 0;
  for (const auto& [id, entry] : over_) bytes += over_bytes(id);
  return bytes;
}

std::vector<record::Over> Table::remembered_ids() const {
  std::vector<record::Over> all;
  all.reserve(over_.size());
  for (const auto& [id, entry] : over_) all.push_back({entry.number, id, entry.until});
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.number < b.number; });
  return all;
}

record::Over Table::over_of(MessageId number) const {
  const auto it = over_ids_.find(number);
  if (it == over_ids_.end()) return {number, {}, 0};
  return {number, it->second->first, it->second->second.until};
}

void Table::fact(const record::Fact& f) {
  const auto it = facts_.find(f.key);
  if (it != facts_.end()) {
    fact_bytes_ -= it->first.size() + it->second.size();
    if (f.value.empty()) {
      facts_.erase(it);
      return;
    }
    it->second = f.value;
  } else {
    if (f.value.empty()) return;
    facts_.emplace(f.key, f.value);
  }
  fact_bytes_ += f.key.size() + f.value.size();
}

void Table::doubt(MessageId number) {
  if (Held* h = held_by(number)) h->doubt = true;
}

std::vector<record::Over> Table::expire(Microseconds now) {
  std::vector<record::Over> gone;
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    const auto it = over_ids_.find(expiry_.begin()->second);
    // Remembered anew for longer: that entry's time comes later.
    if (it != over_ids_.end() && it->second->second.until <= now) {
      const auto entry = over_.find(it->second->first);
      gone.push_back({it->first, entry->first, entry->second.until});
      over_ids_.erase(it);
      over_.erase(entry);
    }
    expiry_.erase(expiry_.begin());
  }
  return gone;
}

void Table::forget(std::map<MessageId, Held>::iterator it) {
  given_up_ -= it->second.ending.has_value();
  if (finger_ == it) finger_.reset();
  held_.erase(it);
}

}  // namespace heronvane::store
