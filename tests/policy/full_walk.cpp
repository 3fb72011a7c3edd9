#include "full_walk.hpp"

#include <algorithm>
#include <memory>
#include <vector>

#include "dispatcher_factory.hpp"
#include "endpoint_state.hpp"
#include "request_scheduler.hpp"

namespace heronvane::dispatch::testing {
namespace {

class FullWalkScheduler final : public RequestScheduler {
 public:
  explicit FullWalkScheduler(const SchedulerContext& context)
      : state_(context.state),
        lifecycle_(context.lifecycle),
        cancellation_(context.cancellation),
        sender_(context.sender) {}

  void run(DecisionPass& pass) override {
    drop_pending();
    const std::vector<Request*> all = uncompleted();
    check_counts(all.size(), pass);
    std::vector<MessageId> ended;
    const bool slots_short = state_.calls.full();
    std::vector<Request*> left = send(waiting(all, slots_short, ended, pass), pass);
    for (std::size_t held = all.size(); state_.load_shedding.excess(held) > 0 && !left.empty(); held--) {
      Request& least_urgent = *left.back();
      left.pop_back();
      if (!LoadShedding::may_shed(least_urgent)) continue;
      lifecycle_.reject(least_urgent, pass);
      ended.push_back(least_urgent.id);
    }
    for (const MessageId id : ended) lifecycle_.forget_if_done(*state_.requests.find(id), pass.now);
    if (pass.settings.cancellation && !slots_short && state_.calls.full())
      pass.wake_up.no_later_than(pass.now);
  }

 private:
  // The walk needs neither the reevaluation queue nor the open calls.
  void drop_pending() {
    for (const MessageId id : state_.reevaluation.pending())
      if (Request* const request = state_.requests.find(id)) ReevaluationQueue::mark_evaluated(*request);
    state_.reevaluation.clear_pending();
    sender_.take_open_endpoints();
  }

  std::vector<Request*> uncompleted() {
    std::vector<Request*> all;
    for (const auto& [id, request] : state_.requests.all())
      if (!request.completed) all.push_back(state_.requests.find(id));
    std::sort(all.begin(), all.end(), [](const Request* a, const Request* b) { return a->id < b->id; });
    return all;
  }

  void check_counts(std::size_t uncompleted, DecisionPass& pass) const {
    std::size_t health_checks = 0;
    for (const auto& [id, call] : state_.calls.all()) {
      const EndpointState& endpoint = *call.endpoint;
      health_checks += endpoint.health_check_slots.calls() > 0 || endpoint.is_on_trial() ? 1 : 0;
    }
    if (health_checks != sender_.health_checks_in_flight()) pass.actions.log("health checks miscounted");
    if (uncompleted != state_.requests.uncompleted()) pass.actions.log("uncompleted requests miscounted");
  }

  // Ends and cancels what is due; returns those that may be sent, but for their order keys.
  std::vector<Request*> waiting(const std::vector<Request*>& all, bool slots_short,
                                std::vector<MessageId>& ended, DecisionPass& pass) {
    std::vector<Request*> found;
    for (Request* const request : all) {
      const Microseconds ends_at = state_.retry_policy.ends_at(*request);
      if (pass.now >= ends_at) {
        lifecycle_.fail(*request, pass);
        ended.push_back(request->id);
        continue;
      }
      pass.wake_up.no_later_than(ends_at);
      if (!request->in_flight.empty()) {
        if (pass.settings.cancellation) cancellation_.cancel_if_overdue(*request, slots_short, pass);
      } else if (request->ready_at > pass.now) {
        pass.wake_up.no_later_than(request->ready_at);
      } else {
        found.push_back(request);
      }
    }
    return found;
  }

  // Returns those that were not sent, the most urgent first.
  std::vector<Request*> send(std::vector<Request*> waiting, DecisionPass& pass) {
    const Microseconds delivery = Priority::expected_delivery(pass.now);
    const auto urgency = [&](const Request* request) {
      return state_.priority.urgency(request->weight_curve(), delivery);
    };
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&](const Request* a, const Request* b) { return urgency(a) > urgency(b); });
    std::vector<Request*> left;
    for (Request* const request : waiting) {
      const Microseconds turn_at = lifecycle_.turn_at(*request, pass.now);
      SendResult result;
      if (turn_at <= pass.now) result = sender_.try_send(*request, pass);
      if (result.is_sent()) continue;
      left.push_back(request);
      if (turn_at > pass.now) pass.wake_up.no_later_than(turn_at);
      pass.wake_up.no_later_than(result.retry_at);
    }
    return left;
  }

  RequestState& state_;
  RequestLifecycle& lifecycle_;
  const CallCancellation& cancellation_;
  RequestSender& sender_;
};

}  // namespace

Dispatcher make_full_walk_dispatcher(const Settings& settings, std::uint64_t seed) {
  return DispatcherFactory::make(settings, seed, [](const SchedulerContext& context) {
    return std::make_unique<FullWalkScheduler>(context);
  });
}

}  // namespace heronvane::dispatch::testing
