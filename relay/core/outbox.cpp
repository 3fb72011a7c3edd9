#include "core/outbox.hpp"

#include <iterator>

namespace heronvane {

void Outbox::written(std::uint64_t ticket) {
  for (auto it = waiting_.rbegin(); it != waiting_.rend() && it->ticket == kNotWritten; ++it)
    it->ticket = ticket;
}

std::optional<WriteAheadPlan> Outbox::next(std::uint64_t durable) {
  if (waiting_.empty() || waiting_.front().ticket > durable) return std::nullopt;
  WriteAheadPlan plan = std::move(waiting_.front().plan);
  waiting_.pop_front();
  return plan;
}

// Calls `withdrawn` only after all messages are removed, since it may call the outbox again.
template <class Pick>
void Outbox::withdraw_if(Pick pick, const Withdrawn& withdrawn) {
  struct Picked {
    EndpointId endpoint;
    Outgoing message;
  };
  std::vector<Picked> out;
  for (auto& waiting : waiting_) {
    auto& calls = waiting.plan.calls;
    for (auto& call : calls) {
      std::erase_if(call.messages, [&](Outgoing& message) {
        if (!pick(call.endpoint, message)) return false;
        out.push_back({call.endpoint, std::move(message)});
        return true;
      });
    }
    std::erase_if(calls, [](const PlannedCall& call) { return call.messages.empty(); });
  }
  for (const auto& [endpoint, message] : out) withdrawn(endpoint, message);
}

void Outbox::withdraw(const EndpointId& endpoint, const Withdrawn& withdrawn) {
  withdraw_if([&](const EndpointId& to, const Outgoing& /*message*/) { return to == endpoint; }, withdrawn);
}
void Outbox::withdraw_all(const Withdrawn& withdrawn) {
  withdraw_if([](const EndpointId& /*to*/, const Outgoing& /*message*/) { return true; }, withdrawn);
}
void Outbox::withdraw(MessageId id, int attempt, const Withdrawn& withdrawn) {
  withdraw_if([&](const EndpointId& /*to*/, const Outgoing& m) { return m.id == id && m.attempt == attempt; },
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
