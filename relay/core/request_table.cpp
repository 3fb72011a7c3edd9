#include "core/request_table.hpp"

#include <utility>

namespace heronvane {

bool RequestTable::coalesce(const std::string& client_id, ReplyCallback& reply) {
  const auto first = duplicates_.find(client_id);
  if (first == duplicates_.end()) return false;
  first->second.push_back(std::move(reply));
  return true;
}

ReplyCallback RequestTable::shared(const std::string& client_id, ReplyCallback reply) {
  duplicates_[client_id];
  return [this, client_id, reply = std::move(reply)](const ClientReply& answer) {
    reply(answer);
    const auto duplicates = duplicates_.extract(client_id);
    for (const auto& duplicate : duplicates.mapped()) duplicate(answer);
  };
}

void RequestTable::enqueue(Message message, ReplyCallback reply) {
  queued_.push_back({std::move(message), std::move(reply)});
}

std::vector<RequestTable::Queued> RequestTable::take_queued() { return std::exchange(queued_, {}); }

std::optional<MessageId> RequestTable::find(const std::string& client_id) const {
  const auto it = ids_.find(client_id);
  if (it == ids_.end()) return std::nullopt;
  return it->second;
}

std::optional<ReplyCallback> RequestTable::take_reply(MessageId id) {
  const auto it = unanswered_.find(id);
  if (it == unanswered_.end()) return std::nullopt;
  ReplyCallback reply = std::move(it->second);
  unanswered_.erase(it);
  return reply;
}

std::map<MessageId, ReplyCallback> RequestTable::take_replies() { return std::exchange(unanswered_, {}); }

}  // namespace heronvane
