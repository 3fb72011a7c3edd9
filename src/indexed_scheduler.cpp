// The product's scheduler. Finds by index, without a walk over all requests, those that an event concerned,
// those that are due, and the most urgent of those that are eligible.
#include <algorithm>
#include <queue>
#include <utility>
#include <vector>

#include "endpoint_state.hpp"
#include "request_scheduler.hpp"

namespace heronvane::dispatch {
namespace {

class IndexedScheduler final : public RequestScheduler {
 public:
  explicit IndexedScheduler(const SchedulerContext& context)
      : state_(context.state),
        lifecycle_(context.lifecycle),
        cancellation_(context.cancellation),
        sender_(context.sender) {}

  void run(DecisionPass& pass) override;

 private:
  // An endpoint with a call of this pass that has room, and the most urgent request that may join the call.
  struct JoinCandidate {
    double urgency = 0;
    MessageId request = 0;
    EndpointState* endpoint = nullptr;
  };
  struct LessUrgent {
    bool operator()(const JoinCandidate& a, const JoinCandidate& b) const {
      return a.urgency != b.urgency ? a.urgency < b.urgency : a.request > b.request;
    }
  };
  using JoinQueue = std::priority_queue<JoinCandidate, std::vector<JoinCandidate>, LessUrgent>;

  std::vector<MessageId> requests_to_end(bool slots_short, const DecisionPass& pass);
  void end_or_cancel(const std::vector<MessageId>& ids, bool slots_short, DecisionPass& pass);
  void enqueue_if_ready(Request& request, const DecisionPass& pass);
  std::vector<Request*> send_most_urgent(DecisionPass& pass);
  void hold_back(Request& request, const SendResult& result);
  void fill_open_calls(DecisionPass& pass);
  void push_join_candidate(EndpointState& endpoint, JoinQueue& queue, const DecisionPass& pass) const;
  void shed_load(std::size_t in_flight, DecisionPass& pass);
  void schedule_reevaluation(const DecisionPass& pass);
  double urgency(const SendQueue::Entry& entry, const DecisionPass& pass) const;

  RequestState& state_;
  RequestLifecycle& lifecycle_;
  const CallCancellation& cancellation_;
  RequestSender& sender_;
  std::vector<MessageId> ended_;                                // in this pass
  std::vector<SendQueue::SubqueueKey> subqueues_without_room_;  // in the open calls of this pass
};

void IndexedScheduler::run(DecisionPass& pass) {
  const bool slots_short = state_.calls.full();
  const std::size_t in_flight = state_.requests.uncompleted();
  state_.reevaluation.add_due(pass.now);
  state_.send_queue.advance_phases(Priority::expected_delivery(pass.now));
  end_or_cancel(requests_to_end(slots_short, pass), slots_short, pass);
  const std::vector<Request*> retried = send_most_urgent(pass);
  fill_open_calls(pass);
  for (Request* const request : retried) state_.send_queue.enqueue(*request, subqueue_of(*request));
  shed_load(in_flight, pass);
  for (const MessageId id : std::exchange(ended_, {}))
    lifecycle_.forget_if_done(*state_.requests.find(id), pass.now);
  schedule_reevaluation(pass);
  // Now that slots are short, attempts in flight become overdue sooner.
  const bool became_short = !slots_short && state_.calls.full();
  if (pass.settings.cancellation && became_short) pass.wake_up.no_later_than(pass.now);
  pass.wake_up.no_later_than(state_.reevaluation.next_due());
  pass.wake_up.no_later_than(state_.send_queue.next_recheck());
}

// Returns the ids, ascending, of requests that may have to be ended or cancelled. Adds the other pending
// requests to the send queue where they are ready.
std::vector<MessageId> IndexedScheduler::requests_to_end(bool slots_short, const DecisionPass& pass) {
  std::vector<MessageId> found;
  if (pass.settings.cancellation) found = cancellation_.overdue(slots_short);
  for (const MessageId id : state_.reevaluation.pending()) {
    Request* const request = state_.requests.find(id);
    if (request == nullptr || request->completed) continue;
    if (pass.now >= state_.retry_policy.ends_at(*request)) {
      found.push_back(id);
    } else {
      enqueue_if_ready(*request, pass);
    }
  }
  std::sort(found.begin(), found.end());
  found.erase(std::unique(found.begin(), found.end()), found.end());
  return found;
}

void IndexedScheduler::end_or_cancel(const std::vector<MessageId>& ids, bool slots_short,
                                     DecisionPass& pass) {
  for (const MessageId id : ids) {
    Request& request = *state_.requests.find(id);
    if (pass.now < state_.retry_policy.ends_at(request)) {
      cancellation_.cancel_if_overdue(request, slots_short, pass);
      continue;
    }
    lifecycle_.fail(request, pass);
    ended_.push_back(id);
  }
}

void IndexedScheduler::enqueue_if_ready(Request& request, const DecisionPass& pass) {
  if (!request.in_flight.empty() || request.ready_at > pass.now) return;
  if (!request.added()) state_.send_queue.add(request, Priority::expected_delivery(pass.now));
  if (request.subqueue() == nullptr && lifecycle_.turn_at(request, pass.now) <= pass.now)
    state_.send_queue.enqueue(request, subqueue_of(request));
}

// Returns the requests that could not be sent and are tried again in the next pass.
std::vector<Request*> IndexedScheduler::send_most_urgent(DecisionPass& pass) {
  const auto by_urgency = [&](const SendQueue::Entry& entry) { return urgency(entry, pass); };
  std::vector<Request*> retried;
  state_.send_queue.unblock_due(pass.now);
  while (!state_.calls.full()) {
    auto* const entry =
        state_.send_queue.most_urgent(by_urgency, sender_.is_health_check_allowed(pass.settings));
    if (entry == nullptr) break;
    Request& request = request_of(*entry);
    const SendResult result = sender_.try_send(request, pass);
    if (result.is_sent()) continue;
    if (result.kind == SendResult::Kind::retry_next_pass) {
      pass.wake_up.no_later_than(result.retry_at);
      retried.push_back(&request);
    }
    hold_back(request, result);
  }
  return retried;
}

// Excludes a request that cannot be sent, and all that cannot be sent for the same reason, from further
// selection.
void IndexedScheduler::hold_back(Request& request, const SendResult& result) {
  switch (result.kind) {
    case SendResult::Kind::sent:
      return;
    case SendResult::Kind::retry_next_pass:
      state_.send_queue.dequeue(request);
      return;
    case SendResult::Kind::request_blocked:
      state_.send_queue.defer(request, result.retry_at);
      return;
    case SendResult::Kind::subqueue_blocked:
      state_.send_queue.block(*request.subqueue(), result.retry_at);
      return;
    case SendResult::Kind::awaiting_health_check:
      state_.send_queue.block_until_health_check(*request.subqueue(), result.retry_at);
      return;
  }
}

// Adds requests to calls that were started in this pass and have room, even where all slots are taken.
void IndexedScheduler::fill_open_calls(DecisionPass& pass) {
  JoinQueue queue;
  subqueues_without_room_.clear();
  for (EndpointState* const endpoint : sender_.take_open_endpoints())
    push_join_candidate(*endpoint, queue, pass);
  while (!queue.empty()) {
    const JoinCandidate next = queue.top();
    queue.pop();
    Request* const request = state_.requests.find(next.request);
    const bool may_join =
        request != nullptr && request->subqueue() != nullptr && next.endpoint->batching.has_room(pass.now);
    if (may_join) {
      const SendQueue::SubqueueKey key = subqueue_of(*request);
      const bool is_excluded = std::find(subqueues_without_room_.begin(), subqueues_without_room_.end(),
                                         key) != subqueues_without_room_.end();
      if (!is_excluded && !sender_.try_send(*request, pass).is_sent()) subqueues_without_room_.push_back(key);
    }
    push_join_candidate(*next.endpoint, queue, pass);
  }
}

void IndexedScheduler::push_join_candidate(EndpointState& endpoint, JoinQueue& queue,
                                           const DecisionPass& pass) const {
  if (!endpoint.batching.has_room(pass.now)) return;
  const auto by_urgency = [&](const SendQueue::Entry& entry) { return urgency(entry, pass); };
  const auto* const entry =
      state_.send_queue.most_urgent_for(endpoint.info.destination, by_urgency, subqueues_without_room_);
  if (entry != nullptr) queue.push({urgency(*entry, pass), entry->id, &endpoint});
}

void IndexedScheduler::shed_load(std::size_t in_flight, DecisionPass& pass) {
  const std::size_t excess = state_.load_shedding.excess(in_flight);
  if (excess == 0) return;
  const auto by_urgency = [&](const SendQueue::Entry& entry) { return urgency(entry, pass); };
  for (SendQueue::Entry* const entry : state_.send_queue.least_urgent(excess, by_urgency)) {
    Request& request = request_of(*entry);
    if (!LoadShedding::may_shed(request)) continue;
    lifecycle_.reject(request, pass);
    ended_.push_back(request.id);
  }
}

void IndexedScheduler::schedule_reevaluation(const DecisionPass& pass) {
  for (const MessageId id : state_.reevaluation.pending()) {
    Request* const request = state_.requests.find(id);
    if (request == nullptr) continue;
    ReevaluationQueue::mark_evaluated(*request);
    Microseconds moment = kNever;
    if (!request->completed) moment = state_.retry_policy.ends_at(*request);
    if (!request->completed && request->in_flight.empty() && request->subqueue() == nullptr)
      moment = std::min(moment, std::max(request->ready_at, lifecycle_.turn_at(*request, pass.now)));
    state_.reevaluation.schedule(*request, moment);
  }
  state_.reevaluation.clear_pending();
}

double IndexedScheduler::urgency(const SendQueue::Entry& entry, const DecisionPass& pass) const {
  return state_.priority.urgency(request_of(entry).weight_curve(), Priority::expected_delivery(pass.now));
}

}  // namespace

std::unique_ptr<RequestScheduler> make_indexed_scheduler(const SchedulerContext& context) {
  return std::make_unique<IndexedScheduler>(context);
}

}  // namespace heronvane::dispatch
