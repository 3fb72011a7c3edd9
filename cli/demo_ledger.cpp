#include "demo_ledger.hpp"

namespace heronvane::cli {

using standins::TryResult;

void Ledger::sent(Microseconds now, const std::string& id, bool unsafe) {
  Entry& e = entries_[id];
  e.sent = now, e.unsafe = unsafe;
}

void Ledger::heard(const std::string& id, TryResult heard) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return;
  Entry& e = it->second;
  switch (heard) {
    case TryResult::taken:
      e.client_result = ClientResult::taken;
      totals_.taken++;
      if (e.delivered)
        totals_.delivered++;
      else
        totals_.open++;
      break;
    case TryResult::refused:
    case TryResult::failed:
    case TryResult::no_relay:
      e.client_result = ClientResult::refused;
      check_violation(e);
      break;
    case TryResult::silence:
      e.client_result = ClientResult::silence;
      if (e.delivered) totals_.delivered_unanswered++;
      break;
  }
}

void Ledger::ran(const std::string& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return;
  Entry& e = it->second;
  e.ran++;
  if (!e.unsafe && e.ran > 1) totals_.repeated++;
  check_violation(e);
}

void Ledger::check_violation(Entry& e) {
  const bool violation = (e.unsafe && e.ran > 1) || (e.client_result == ClientResult::refused && e.ran > 0);
  if (!violation || e.violation) return;
  e.violation = true;
  totals_.twice++;
}

void Ledger::delivered(Microseconds now, const std::string& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.delivered) return;
  Entry& e = it->second;
  e.delivered = true;
  latencies_.add(now, now - e.sent);
  if (e.client_result == ClientResult::silence) totals_.delivered_unanswered++;
  if (e.client_result != ClientResult::taken) return;
  totals_.delivered++;
  if (e.ended)
    e.ended = false, totals_.ended--;
  else
    totals_.open--;
}

void Ledger::forget(Microseconds before) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& e = it->second;
    const bool settled = e.client_result == ClientResult::taken ? e.delivered || e.ended
                                                                : e.client_result != ClientResult::nothing;
    it = settled && e.sent < before ? entries_.erase(it) : std::next(it);
  }
}

void Ledger::settle(const std::function<bool(const std::string& id)>& noticed) {
  for (auto& [id, e] : entries_) {
    if (e.client_result != ClientResult::taken || e.delivered || e.ended || !noticed(id)) continue;
    e.ended = true;
    totals_.ended++, totals_.open--;
  }
}

}  // namespace heronvane::cli
