#include "core/outbox.hpp"

#include <iterator>

namespace heronvane {

void Outbox::written(std::uint64_t ticket) {
  for (auto it = waiting_.rbegin(); it != waiting_.rend() && it->first == kNotWritten; ++it)
    it->first = ticket;
}

std::optional<WriteAheadPlan> Outbox::next(std::uint64_t durable) {
  if (waiting_.empty() || waiting_.front().first > durable) return std::nullopt;
  WriteAheadPlan plan = std::move(waiting_.front().second);
  waiting_.pop_front();
  return plan;
}

// Told once all are out: what hears of it may come back here.
template <class Pick>
void Outbox::withdraw_if(Pick pick, const Withdrawn& withdrawn) {
  std::vector<std::pair<EndpointId, Outgoing>> out;
  for (auto& [ticket, plan] : waiting_) {
    for (auto& [endpoint, messages] : plan.calls)
      std::erase_if(messages, [&, &to = endpoint](Outgoing& m) {
        if (!pick(to, m)) return false;
        out.emplace_back(to, std::move(m));
        return true;
      });
    std::erase_if(plan.calls, [](const auto& call) { return call.second.empty(); });
  }
  for (const auto& [endpoint, m] : out) withdrawn(endpoint, m);
}

void Outbox::withdraw(const EndpointId& endpoint, const Withdrawn& withdrawn) {
  withdraw_if([&](const EndpointId& to, const Outgoing&) { return to == endpoint; }, withdrawn);
}
void Outbox::withdraw_all(const Withdrawn& withdrawn) {
  withdraw_if([](const EndpointId&, const Outgoing&) { return true; }, withdrawn);
}
void Outbox::withdraw(MessageId id, int attempt, const Withdrawn& withdrawn) {
  withdraw_if([&](const EndpointId&, const Outgoing& m) { return m.id == id && m.attempt == attempt; },
              withdrawn);
}

std::vector<WriteAheadPlan::PendingReply> Outbox::take_replies(bool written) {
  std::vector<WriteAheadPlan::PendingReply> all;
  for (auto& [ticket, plan] : waiting_) {
    if (!written && ticket != kNotWritten) continue;
    std::move(plan.replies.begin(), plan.replies.end(), std::back_inserter(all));
    plan.replies.clear();
  }
  return all;
}

}  // namespace heronvane
