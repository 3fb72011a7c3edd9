// Coordinates a decision pass: applies the events, runs the scheduler and collects the actions. Decides
// nothing itself; docs/design/decisions.md lists which component owns each decision and which may depend on
// which.
#include "heronvane/dispatch/dispatcher.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "call_cancellation.hpp"
#include "call_sender.hpp"
#include "decision_pass.hpp"
#include "dispatcher_factory.hpp"
#include "endpoint_tracker.hpp"
#include "list_polling.hpp"
#include "request_lifecycle.hpp"
#include "request_scheduler.hpp"
#include "request_state.hpp"
#include "wake_up_timer.hpp"

namespace heronvane::dispatch {

class Dispatcher::State {
 public:
  State(Settings settings, std::uint64_t seed, const SchedulerFactory& make_scheduler)
      : settings_(std::move(settings)),
        random_(seed),
        requests_(settings_),
        endpoints_(settings_, requests_.priority.shortest_objective_s()),
        lifecycle_(requests_, microseconds(endpoints_.backoff_scale().initial())),
        cancellation_(requests_, endpoints_),
        sender_(requests_, lifecycle_, endpoints_),
        scheduler_(make_scheduler({requests_, lifecycle_, cancellation_, sender_})) {}

  void handle(Microseconds now, const std::vector<Event>& events, std::vector<Action>& actions) {
    now_ = std::max(now_, now);
    ActionSink sink(actions);
    WakeUp wake_up(now_ + settings_.min_decision_interval);
    DecisionPass pass{now_, settings_, random_, sink, wake_up};
    for (const Event& event : events)
      std::visit([&](const auto& typed_event) { apply(typed_event, pass); }, event);
    if (settings_.list_subscription) list_polling_.poll_when_due(pass);
    scheduler_->run(pass);
    endpoints_.release_warmed_up(pass);
    endpoints_.close_rarely_used(pass);
    requests_.order_keys.forget_quiet(now_);
    endpoints_.forget_gone(now_);
    timer_.set(pass);
  }

  std::vector<LearnedState> take_changed_state(Microseconds now, std::size_t max_entries) {
    now_ = std::max(now_, now);
    return endpoints_.checkpoint().take_changed(now_, max_entries, endpoints_.registry());
  }

  void endpoint_states(Microseconds now, std::size_t max_entries, std::vector<LearnedState>& states) const {
    endpoints_.checkpoint().observe(now_, now, max_entries, endpoints_.registry(), states);
  }

  std::size_t queued_requests() const { return requests_.send_queue.size(); }

  std::size_t retained_objects() const {
    return endpoints_.registry().size() + requests_.requests.size() + requests_.order_keys.retained() +
           requests_.calls.size() + endpoints_.checkpoint().size();
  }

 private:
  void apply(const event::EndpointListSnapshot& list, DecisionPass& pass) {
    endpoints_.apply(list, pass);
    unblock_destinations(list.endpoints);
    if (!list.cached) {
      list_polling_.record_list();
    } else if (settings_.list_subscription) {
      list_polling_.poll_at(pass.now);
    }
  }
  void apply(const event::EndpointListUpdate& update, DecisionPass& pass) {
    endpoints_.apply(update, pass);
    unblock_destinations(update.endpoints);
    list_polling_.record_list();
  }
  void apply(const event::EndpointListFailed& /*failed*/, DecisionPass& pass) {
    list_polling_.record_failure(pass);
  }
  void apply(const event::LearnedStateRestored& record, DecisionPass& pass) {
    const EndpointState* const endpoint = endpoints_.apply(record, pass);
    if (endpoint != nullptr) requests_.send_queue.unblock(endpoint->info.destination);
  }
  void apply(const event::GossipReceived& gossip, DecisionPass& pass) { endpoints_.apply(gossip, pass); }

  void apply(const event::RequestArrived& arrived, DecisionPass& pass) { lifecycle_.arrive(arrived, pass); }
  void apply(const event::RequestRecovered& recovered, DecisionPass& pass) {
    lifecycle_.recover(recovered, pass);
  }
  void apply(const event::RequestWithdrawn& withdrawn, DecisionPass& pass) {
    lifecycle_.withdraw(withdrawn.id, pass.now);
  }
  void apply(const event::AttemptEnded& ended, DecisionPass& pass);

  void apply(const event::TimerExpired& /*expired*/, DecisionPass& pass) { timer_.record_expired(pass.now); }
  // Health checks are ordinary requests, whose outcomes arrive as event::AttemptEnded.
  void apply(const event::HealthCheckEnded& /*ended*/, DecisionPass& /*pass*/) {}

  void unblock_destinations(const std::vector<Endpoint>& listed) {
    for (const Endpoint& endpoint : listed) requests_.send_queue.unblock(endpoint.destination);
  }

  // In the order of construction: members refer to those declared before them.
  const Settings settings_;
  Random random_;
  RequestState requests_;
  EndpointTracker endpoints_;
  RequestLifecycle lifecycle_;
  CallCancellation cancellation_;
  CallSender sender_;
  std::unique_ptr<RequestScheduler> scheduler_;
  ListPolling list_polling_;
  WakeUpTimer timer_;
  Microseconds now_ = 0;  // of the last pass
};

// Records the outcome at the endpoint first, because it determines the backoff of the retry.
void Dispatcher::State::apply(const event::AttemptEnded& ended, DecisionPass& pass) {
  Request* const request = requests_.requests.find(ended.id);
  if (request == nullptr) return;
  const std::optional<CallId> call_id = lifecycle_.take_attempt(*request, ended.attempt);
  if (!call_id) return;
  Call& call = *requests_.calls.find(*call_id);
  EndpointState& endpoint = *call.endpoint;
  const Microseconds sent_at = call.sent_at;
  call.without_outcome--;
  const bool is_last = call.without_outcome == 0;
  if (endpoints_.record_attempt(endpoint, ended, {*call_id, sent_at, call.batch_size(), is_last, call.judged},
                                pass)) {
    call.judged = true;
  }
  if (is_last) requests_.calls.finish(*call_id);
  requests_.send_queue.unblock(endpoint.info.destination);
  const double backoff_delay_s =
      std::max(endpoint.limits().backoff_delay(pass.now), endpoints_.backoff_scale().least());
  lifecycle_.record_result(
      *request, {ended.outcome, ended.request_completed, endpoint.info.zone, sent_at, backoff_delay_s}, pass);
}

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed)
    : Dispatcher(DispatcherFactory::make(settings, seed, make_indexed_scheduler)) {}
Dispatcher::Dispatcher(std::unique_ptr<State> state) : state_(std::move(state)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

Dispatcher DispatcherFactory::make(const Settings& settings, std::uint64_t seed,
                                   const SchedulerFactory& make_scheduler) {
  validate(settings);
  return Dispatcher(std::make_unique<Dispatcher::State>(settings, seed, make_scheduler));
}

void Dispatcher::handle(Microseconds now, const std::vector<Event>& events, std::vector<Action>& actions) {
  state_->handle(now, events, actions);
}

std::vector<LearnedState> Dispatcher::take_changed_state(Microseconds now, std::size_t max_entries) {
  return state_->take_changed_state(now, max_entries);
}

void Dispatcher::endpoint_states(Microseconds now, std::size_t max_entries,
                                 std::vector<LearnedState>& states) const {
  state_->endpoint_states(now, max_entries, states);
}

std::size_t Dispatcher::queued_requests() const { return state_->queued_requests(); }

std::size_t Dispatcher::retained_objects() const { return state_->retained_objects(); }

}  // namespace heronvane::dispatch
