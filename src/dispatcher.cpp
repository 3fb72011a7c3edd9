// The decisions of the dispatcher. Interface: include/heronvane/dispatch/dispatcher.hpp
//
// Read top to bottom: constants; what is kept of endpoints, targets and messages; learning from
// outcomes (LIMD delay, pace, health); what outlasts the process; the list; the one gate that every send
// passes; choosing what goes next; ends and timers. docs/design.md tells what comes from the design's source
// and what is ours.
#include "heronvane/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <compare>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <stdexcept>
#include <tuple>
#include <unordered_map>

#include "call_cancellation.hpp"
#include "call_table.hpp"
#include "decision_pass.hpp"
#include "dispatcher_factory.hpp"
#include "endpoint_tracker.hpp"
#include "fleet_size.hpp"
#include "list_polling.hpp"
#include "load_shedding.hpp"
#include "order_keys.hpp"
#include "priority.hpp"
#include "reevaluation_queue.hpp"
#include "request.hpp"
#include "request_lifecycle.hpp"
#include "request_scheduler.hpp"
#include "request_sender.hpp"
#include "request_state.hpp"
#include "restored_value.hpp"
#include "retry_policy.hpp"
#include "send_queue.hpp"
#include "tenant_quota.hpp"

namespace heronvane::dispatch {
namespace {

// ---- Constants. Times in seconds, unless derived from settings where they are used. ----
// Time-outs.
constexpr double kSafeTimeoutAims = 2.5;  // least time-out of repeatable messages, in aims
constexpr double kUnsafeTimeoutAims = 5;  // and of the others, which a time-out loses
// List and buffer.
constexpr double kTryWithin = 0.9;  // of what it has left: when it is tried at the latest, if need be

Microseconds micros(double s) { return microseconds(s); }

struct Gate {                  // what kept a message from being sent
  Microseconds when = kNever;  // nothing changes before, but by what happens at its destination
  bool own = false;            // others that wait there may pass
  bool trial = false;          // for want of a trial call
  bool chance = false;         // drawn anew in the next round

  SendResult::Kind kind() const {
    if (chance || (own && trial)) return SendResult::Kind::retry_next_pass;
    if (own) return SendResult::Kind::request_blocked;
    return trial ? SendResult::Kind::awaiting_health_check : SendResult::Kind::subqueue_blocked;
  }
};

}  // namespace

struct Dispatcher::State : RequestSender {
  Settings set;
  Random random;
  Microseconds now = 0;
  DecisionPass* pass = nullptr;  // set while handle() runs
  RequestState request_state;
  RequestLifecycle lifecycle;
  EndpointTracker endpoints;
  Microseconds timer_at = kNever;
  ListPolling list_polling;
  std::vector<EndpointState*> begun;  // in this round: with calls for many

  CallCancellation cancellation;
  std::unique_ptr<RequestScheduler> scheduler;

  State(const Settings& s, std::uint64_t seed, const SchedulerFactory& make_scheduler)
      : set(s),
        random(seed),
        request_state(set),
        lifecycle(request_state,
                  microseconds(BackoffScale(request_state.priority.shortest_objective_s()).initial())),
        endpoints(set, request_state.priority.shortest_objective_s()),
        cancellation(request_state, endpoints),
        scheduler(make_scheduler({request_state, lifecycle, cancellation, *this})) {}

  Priority& priority = request_state.priority;
  RetryPolicy& retry_policy = request_state.retry_policy;
  LoadShedding& load_shedding = request_state.load_shedding;
  RequestTable& requests = request_state.requests;
  OrderKeys& order_keys = request_state.order_keys;
  CallTable& calls = request_state.calls;
  ReevaluationQueue& reevaluation = request_state.reevaluation;
  SendQueue& send_queue = request_state.send_queue;

  double uniform() { return random.uniform(); }
  double jittered(double d) { return random.jittered(d); }
  void log(const std::string& text) { pass->actions.add(action::Log{text}); }
  void wake_by(Microseconds t) { pass->wake_up.no_later_than(t); }

  std::vector<LearnedState> take_changed_state(Microseconds at, std::size_t most) {
    now = std::max(now, at);
    return endpoints.checkpoint().take_changed(now, most, endpoints.registry());
  }

  // ---- Endpoints. ----
  void on(const event::EndpointListSnapshot& ev) {
    endpoints.apply(ev, *pass);
    for (const Endpoint& listed : ev.endpoints) send_queue.unblock(listed.destination);
    if (!ev.cached)
      list_polling.record_list();
    else if (set.list_subscription)
      list_polling.poll_at(now);
  }
  void on(const event::EndpointListUpdate& ev) {
    endpoints.apply(ev, *pass);
    for (const Endpoint& listed : ev.endpoints) send_queue.unblock(listed.destination);
    list_polling.record_list();
  }
  void on(const event::EndpointListFailed&) { list_polling.record_failure(*pass); }
  void on(const event::GossipReceived& ev) { endpoints.apply(ev, *pass); }
  void on(const event::LearnedStateRestored& ev) {
    if (const EndpointState* const e = endpoints.apply(ev, *pass)) send_queue.unblock(e->info.destination);
  }

  // ---- Messages. ----
  void on(const event::RequestArrived& ev) { lifecycle.arrive(ev, *pass); }
  void on(const event::RequestRecovered& ev) { lifecycle.recover(ev, *pass); }
  void on(const event::RequestWithdrawn& ev) { lifecycle.withdraw(ev.id, now); }
  // Whether the share that is let through keeps it back. An unattempted message's one try comes at a moment
  // drawn evenly from what it has left: the shares of hundreds of relays that came back together are far
  // below one call each in its time, while what they have to try is bounded by what they held.
  bool try_comes(Request& m, const RateLimitScope& limits, Gate& gate) {
    if (limits.admission().probability(now) >= 1 || limits.serves_this_relay(now)) return true;
    if (m.first_attempt_at == kNever)
      m.first_attempt_at =
          now + micros(kTryWithin * uniform() * seconds(retry_policy.latest_attempt(m) - now));
    if (now >= m.first_attempt_at) return true;
    gate.own = true;
    gate.when = std::min({gate.when, m.first_attempt_at, limits.admission().full_at()});
    return false;
  }
  void on(const event::TimerExpired&) {
    if (now >= timer_at) timer_at = kNever;
  }
  void on(const event::HealthCheckEnded&) {}

  void on(const event::AttemptEnded& ev) {
    Request* const found = requests.find(ev.id);
    if (found == nullptr) return;
    Request& m = *found;
    const std::optional<CallId> taken = lifecycle.take_attempt(m, ev.attempt);
    if (!taken) return;
    const CallId call_id = *taken;
    Call& call = *calls.find(call_id);
    EndpointState& e = *call.endpoint;
    const Microseconds sent = call.sent_at;
    const bool is_last = --call.without_outcome == 0;
    const EndpointTracker::EndedAttempt ended{call_id, sent, call.batch_size(), is_last, call.judged};
    if (endpoints.record_attempt(e, ev, ended, *pass)) call.judged = true;
    if (is_last) calls.finish(call_id);
    send_queue.unblock(e.info.destination);

    const double backoff_delay =
        std::max(endpoints.limits_of(e).backoff_delay(now), endpoints.backoff_scale().least());
    lifecycle.record_result(m, {ev.outcome, ev.request_completed, e.info.zone, sent, backoff_delay}, *pass);
  }
  // ---- The gate. Every send passes here; it tells when to look again. ----
  // What it says of a message holds for all of its subqueue, but for what it calls the message's own; and
  // until the time it tells, unless something happens at the destination or, where it wants one, a trial call
  // is free.
  bool passes(Request& m, EndpointState& e, Gate& gate) {
    Microseconds& when = gate.when;
    if (e.info.listing != Listing::active) return false;
    if (const auto zone = RetryPolicy::required_zone(m); zone && e.info.zone != *zone) return false;
    RateLimitScope& limits = endpoints.limits_of(e);
    const bool own_try =
        m.unattempted && !limits.is_presumed_unavailable(set);  // else by the share let through
    const Microseconds held = own_try ? limits.retry_after_until() : limits.held_until();
    if (held > now) return when = std::min(when, held), false;
    if (room_in_call(e)) return true;
    if (calls.full()) return false;
    endpoints.advance_health(e, *pass);
    const Microseconds ready = std::max(endpoints.budget_ready_at(e, now), limits.send_rate_ready_at());
    // Its health changes with time, whatever else keeps messages from it.
    if (!e.health.is_healthy()) when = std::min(when, endpoints.health_ends_at(e));
    if (ready > now) return when = std::min(when, ready), false;
    if (e.health.is_ejected() && m.request_class->idempotency == Idempotency::non_idempotent &&
        e.evidence.last_failure_possibly_executed() && now < m.objective_at) {
      // A trial call that may be lost is no place for a message that can't be repeated.
      return gate.own = true, when = std::min(when, m.objective_at), false;
    }
    if (static_cast<int>(e.calls.size()) >= endpoints.call_limit(e, now))
      return gate.trial |= e.is_on_trial(), false;
    return !own_try || !e.health.is_healthy() || try_comes(m, limits, gate);
  }
  bool room_in_call(const EndpointState& e) const { return e.batching.has_room(now); }
  bool is_health_check_allowed() const override { return endpoints.health_check_slots().is_any_free(set); }
  // Cheaper first: shorter expected wait there, its fee, the distance.
  double price(const EndpointState& e) const {
    const auto zone = static_cast<std::size_t>(e.info.zone);
    const double fee = e.has_own_limits && zone < set.zone_costs.size() ? set.zone_costs[zone] : 0;
    const double load = static_cast<double>(e.calls.size()) + 1 + e.evidence.consecutive_failures();
    return load * e.latency.recent() * (e.health.is_slow_start() ? 2 : 1) * (1 + fee) +
           (e.info.zone == set.zone ? 0 : 0.02);
  }
  std::size_t health_checks_in_flight() const override { return endpoints.health_check_slots().in_use(); }
  std::vector<EndpointState*> take_open_endpoints() override { return std::exchange(begun, {}); }
  SendResult try_send(Request& m, DecisionPass&) override {
    Gate gate;
    if (try_send(m, gate)) return {SendResult::Kind::sent, gate.when};
    return {gate.kind(), gate.when};
  }
  bool try_send(Request& m, Gate& gate) {
    if (!retry_policy.has_attempt_left(m, now)) return false;
    EndpointState* best = nullptr;
    double best_price = 0;
    const DestinationState* const destination = endpoints.registry().find(m.destination);
    if (destination == nullptr) return false;
    for (auto* e : destination->endpoints) {
      if (!passes(m, *e, gate)) continue;
      const double p = room_in_call(*e) ? -1 : price(*e) * (1 + 0.1 * uniform());
      if (best == nullptr || p < best_price) best = e, best_price = p;
    }
    if (best == nullptr) return false;
    RateLimitScope& limits = endpoints.limits_of(*best);
    const bool by_share =
        best->health.is_healthy() && !(m.unattempted && !limits.is_presumed_unavailable(set));
    gate.chance = !room_in_call(*best) && by_share && !limits.admit(*pass);
    // Another route may take it in the next round.
    if (gate.chance && destination->endpoints.size() > 1) wake_by(now);
    if (gate.chance) return false;
    send(m, *best);
    return true;
  }
  void send(Request& m, EndpointState& e) {
    if (!room_in_call(e)) {
      endpoints.record_call_began(e, calls.start(e, now), m.attempts_made == 0, *pass);
      if (e.batching.trusted() > 1) share_call(m, e);
    }
    e.batching.add_request();
    calls.add_request(e.batching.open_call(), m.id);
    const bool unsafe = m.request_class->idempotency == Idempotency::non_idempotent;
    const double aims =
        seconds(m.request_class->latency_objective) * (unsafe ? kUnsafeTimeoutAims : kSafeTimeoutAims);
    const Microseconds timeout =
        std::min(micros(std::max(aims, e.latency.timeout_seconds())), m.deadline - now);
    lifecycle.record_sent(m, e.batching.open_call());
    action::Send a{m.id, e.info.id, timeout, {}};
    a.start_within = retry_policy.start_within(m, now);
    pass->actions.add(std::move(a));
  }

  // ---- What goes next. ----
  // Messages that come after this one may go in its call, whatever kept them before.
  void share_call(const Request& with, EndpointState& e) {
    begun.push_back(&e);
    const Microseconds ahead = Priority::expected_delivery(now);
    const double u = priority.urgency(with.weight_curve(), ahead);
    send_queue.unblock_if(with.destination, [&](const SendQueue::Entry& other) {
      const double v = priority.urgency(request_of(other).weight_curve(), ahead);
      return v < u || (v == u && other.id > with.id);
    });
  }
  void handle(Microseconds at, const std::vector<Event>& events, std::vector<Action>& actions) {
    now = std::max(now, at);
    ActionSink sink(actions);
    WakeUp wake_up(now + set.min_decision_interval);
    DecisionPass this_pass{now, set, random, sink, wake_up};
    pass = &this_pass;
    for (const auto& ev : events) std::visit([this](const auto& e) { on(e); }, ev);
    if (set.list_subscription) list_polling.poll_when_due(*pass);
    scheduler->run(this_pass);
    endpoints.release_warmed_up(*pass);
    endpoints.close_rarely_used(*pass);
    order_keys.forget_quiet(now);
    endpoints.forget_gone(now);
    if (const Microseconds wake = wake_up.at(); wake < timer_at && wake < kNever) {
      timer_at = wake;
      sink.add(action::SetTimer{std::min<Microseconds>(wake - now, 3'600'000'000), 0});
    }
    pass = nullptr;
  }
};

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

std::size_t Dispatcher::retained_objects() const {
  const State& s = *state_;
  return s.endpoints.registry().size() + s.requests.size() + s.order_keys.retained() + s.calls.size() +
         s.endpoints.checkpoint().size();
}

std::size_t Dispatcher::queued_requests() const { return state_->send_queue.size(); }

std::vector<LearnedState> Dispatcher::take_changed_state(Microseconds now, std::size_t most) {
  return state_->take_changed_state(now, most);
}

void Dispatcher::endpoint_states(Microseconds now, std::size_t most, std::vector<LearnedState>& known) const {
  state_->endpoints.checkpoint().observe(state_->now, now, most, state_->endpoints.registry(), known);
}

void Dispatcher::handle(Microseconds now, const std::vector<Event>& events, std::vector<Action>& actions) {
  state_->handle(now, events, actions);
}

}  // namespace heronvane::dispatch
