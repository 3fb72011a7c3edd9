// Takes up requests that earlier incarnations of this relay, or other relays, accepted and did not finish.
#include <algorithm>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "fail_points.hpp"
#include "log.hpp"
#include "relay_server.hpp"

namespace heronvane {

namespace event = heronvane::dispatch::event;

namespace {

constexpr Microseconds kUnknownAge = std::numeric_limits<Microseconds>::max() / 4;

}  // namespace

// Resumes the requests that earlier incarnations accepted: each is still owed its final answer.
void RelayServer::recover() {
  if (HERONVANE_DEFECT("forget-folder")) return;
  std::vector<MessageId> unknown_class;
  for (const auto& [id, held] : store_.held())
    if (!copies_->is_failover_pending(id) && !resume_request(id, held)) unknown_class.push_back(id);
  WriteAheadPlan plan;
  for (const MessageId id : unknown_class) end_request(plan, id, {});
  committer_.commit(std::move(plan));
  if (!store_.held().empty()) log("recovered " + std::to_string(store_.held().size()) + " messages");
  cycle_.run();
}

// Registers a held request that the decision module does not know yet, and hands it to the module or, if it
// has ended, sends its notification. Returns false if the settings do not have its class.
bool RelayServer::resume_request(MessageId id, const Held& held) {
  requests_.add(id, held.message.id);
  status_.request_added(id, held.message.message_class, held_since(held));
  if (held.ending) {
    platform_.notices().send(id, held.message.id, *held.ending);
    return true;
  }
  if (!config_.names.classes.contains(held.message.message_class)) return false;
  cycle_.enqueue(recovered(id, held));
  return true;
}

event::RequestRecovered RelayServer::recovered(MessageId id, const Held& held) const {
  const Microseconds now = store_.clock().now();
  event::RequestRecovered request;
  request.message = arrival(id, held.message);
  request.attempts = static_cast<int>(held.attempts.size());
  request.tried = held.doubt;
  for (const auto& attempt : held.attempts) {
    request.tried = request.tried || attempt.possibly_received();
    if (!attempt.possibly_executed() || request.possibly_executed_zone) continue;
    request.possibly_executed_zone = attempt.zone;
    request.possibly_executed_age = std::max<Microseconds>(now - attempt.sent, 0);
  }
  if (held.doubt) {
    // Records may have been lost: zone and time of a possible attempt are unknown.
    request.possibly_executed_zone = -1;
    request.possibly_executed_age = kUnknownAge;
  }
  if (HERONVANE_DEFECT("forget-attempt")) request.possibly_executed_zone.reset();
  return request;
}

// When a request of an earlier incarnation was accepted is not recorded. Estimates it as the deadline less
// the configured deadline of its class, or the time of the first attempt if that is earlier.
Microseconds RelayServer::held_since(const Held& held) const {
  Microseconds since = store_.clock().now();
  const auto cls = config_.names.classes.find(held.message.message_class);
  if (cls != config_.names.classes.end()) {
    const auto& settings = config_.settings.classes[static_cast<std::size_t>(cls->second)];
    since = std::min(since, held.message.deadline - settings.deadline);
  }
  if (!held.attempts.empty()) since = std::min(since, held.attempts.front().sent);
  return since;
}

// Gives up all held requests after another relay took over the log; that relay finishes them. Answers to
// calls that are still in flight are ignored.
void RelayServer::on_log_lost() {
  committer_.reject_waiting_replies();
  committer_.withdraw_all();
  std::vector<MessageId> all;
  for (const auto& [id, held] : store_.held()) all.push_back(id);
  for (const MessageId id : all) {
    const Held* const held = store_.find(id);
    if (held == nullptr) continue;
    for (std::size_t i = 0; i < held->attempts.size(); i++)
      if (!held->attempts[i].outcome) executor_.cancel(id, static_cast<int>(i));
    if (!held->ending) cycle_.notify(event::RequestWithdrawn{id});
    completed(id, false);
  }
}

// Takes over the requests with ids in [from, to) of a failed relay; from here on they are treated as if this
// relay had accepted them.
void RelayServer::taken_over(MessageId from, MessageId to) {
  std::vector<MessageId> duplicates;
  std::vector<MessageId> unknown_class;
  std::vector<MessageId> possibly_executed;  // ids of this relay's own requests
  std::size_t count = 0;
  for (auto it = store_.held().lower_bound(from); it != store_.held().end() && it->first < to; ++it) {
    const auto& [id, held] = *it;
    if (!is_known(held.message.id)) {
      count++;
      if (!resume_request(id, held)) unknown_class.push_back(id);
      continue;
    }
    // The client sent the same request to this relay, too: only one final answer is owed.
    duplicates.push_back(id);
    const auto own_id = requests_.find(held.message.id);
    const Held* const own = own_id ? store_.find(*own_id) : nullptr;
    if (own != nullptr && !own->ending && held.possibly_executed() && may_be_non_idempotent(held.message))
      possibly_executed.push_back(*own_id);
  }
  WriteAheadPlan plan;
  for (const MessageId id : unknown_class) end_request(plan, id, {});
  // The other relay may have executed these, so they must not be executed here.
  for (const MessageId id : possibly_executed) {
    cycle_.notify(event::RequestWithdrawn{id});
    end_request(plan, id, {});
  }
  for (const MessageId id : duplicates) store_.finish(id, false);
  log("copies: " + std::to_string(count) + " messages taken over, " + std::to_string(duplicates.size()) +
      " of them known here");
  committer_.commit(std::move(plan));
  cycle_.schedule(DecisionCycle::Urgency::urgent);
}

// True if the request's class is not idempotent, or unknown.
bool RelayServer::may_be_non_idempotent(const Message& message) const {
  const auto cls = config_.names.classes.find(message.message_class);
  return cls == config_.names.classes.end() ||
         config_.settings.classes[static_cast<std::size_t>(cls->second)].idempotency !=
             heronvane::dispatch::Idempotency::idempotent;
}

}  // namespace heronvane
