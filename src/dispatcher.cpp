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

#include "call_table.hpp"
#include "decision_pass.hpp"
#include "endpoint_tracker.hpp"
#include "fleet_size.hpp"
#include "list_polling.hpp"
#include "load_shedding.hpp"
#include "order_keys.hpp"
#include "priority.hpp"
#include "reevaluation_queue.hpp"
#include "request.hpp"
#include "request_lifecycle.hpp"
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
};

}  // namespace

struct Dispatcher::State {
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

  State(const Settings& s, std::uint64_t seed)
      : set(s),
        random(seed),
        request_state(set),
        lifecycle(request_state,
                  microseconds(BackoffScale(request_state.priority.shortest_objective_s()).initial())),
        endpoints(set, request_state.priority.shortest_objective_s()) {}

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
  double urgency(const Request& m, Microseconds answer) const {
    return priority.urgency({m.request_class, m.full_weight, m.objective_at}, answer);
  }
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
  bool trial_free() const { return endpoints.health_check_slots().is_any_free(set); }
  // Cheaper first: shorter expected wait there, its fee, the distance.
  double price(const EndpointState& e) const {
    const auto zone = static_cast<std::size_t>(e.info.zone);
    const double fee = e.has_own_limits && zone < set.zone_costs.size() ? set.zone_costs[zone] : 0;
    const double load = static_cast<double>(e.calls.size()) + 1 + e.evidence.consecutive_failures();
    return load * e.latency.recent() * (e.health.is_slow_start() ? 2 : 1) * (1 + fee) +
           (e.info.zone == set.zone ? 0 : 0.02);
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

  // Guards against calls taken and never answered: they would hold slots, and repeatable messages, until
  // the long time-out that slow destinations need. Given up are calls that later ones have overtaken and,
  // while slots are short, sooner, also those since whose send nothing was served there. Unsafe messages,
  // which it loses, have an aim's time first. May cut a call that is merely heavy.
  void give_up(Request& m, bool slots_short) {
    const auto [attempt, call_id] = *m.in_flight.begin();
    const Call& call = *calls.find(call_id);
    const bool unsafe = m.request_class->idempotency == Idempotency::non_idempotent,
               overtaken = call.endpoint->calls.is_overtaken(call.sent_at);
    const bool silent =
        call.endpoint->calls.is_silent_since(call.sent_at);  // answers to earlier calls: slow, at work
    if (m.cancelled_attempt == attempt || !(overtaken || (slots_short && silent))) return;
    const double least = unsafe ? seconds(m.request_class->latency_objective) : 0;
    const LatencyEstimate& latency = call.endpoint->latency;
    double after = slots_short ? latency.overdue_seconds() : latency.given_up_seconds();
    // Later it is worth less; but where all destinations answer slowly, patience is cheaper than cutting.
    if (slots_short)
      after =
          std::min(after, seconds(m.request_class->latency_objective)) * std::max(1.0, endpoints.slowness());
    const Microseconds due = call.sent_at + micros(std::max(least, after));
    if (now < due) return wake_by(due);
    m.cancelled_attempt = attempt;
    pass->actions.add(action::Cancel{m.id, attempt});
  }

  // ---- What goes next. ----
  // Messages that come after this one may go in its call, whatever kept them before.
  void share_call(const Request& with, EndpointState& e) {
    begun.push_back(&e);
    const Microseconds ahead = now + micros(kAssumedLatencySeconds);
    const double u = urgency(with, ahead);
    send_queue.unblock_if(with.destination, [&](const SendQueue::Entry& other) {
      const double v = urgency(static_cast<const Request&>(other), ahead);
      return v < u || (v == u && other.id > with.id);
    });
  }
#ifdef HERONVANE_FULL_WALK
#include HERONVANE_FULL_WALK
#else
  void dispatch() {
    const bool slots_short = calls.full();
    const std::size_t held_then = requests.uncompleted();
    reevaluation.add_due(now);
    const Microseconds ahead = now + micros(kAssumedLatencySeconds);
    send_queue.advance_phases(ahead);
    std::vector<MessageId> due = overdue_messages(slots_short), ended;
    for (const MessageId id : reevaluation.pending()) {
      Request* const m = requests.find(id);
      if (m == nullptr || m->completed) continue;
      now >= retry_policy.ends_at(*m) ? due.push_back(id) : line_up(*m, ahead);
    }
    std::sort(due.begin(), due.end());
    due.erase(std::unique(due.begin(), due.end()), due.end());
    for (const MessageId id : due) {
      Request& m = *requests.find(id);
      if (now < retry_policy.ends_at(m)) {
        give_up(m, slots_short);
        continue;
      }
      lifecycle.fail(m, *pass);
      ended.push_back(id);
    }
    const auto urgent = [&](const SendQueue::Entry& e) {
      return urgency(static_cast<const Request&>(e), ahead);
    };
    const auto unlucky = send_open(urgent);
    fill_calls(urgent);
    for (Request* m : unlucky) send_queue.enqueue(*m, subqueue_of(*m));
    // Buffer nearly full: hand back what is worth least, rather than have the next ones turned away.
    if (const std::size_t excess = load_shedding.excess(held_then); excess > 0)
      for (auto* e : send_queue.least_urgent(excess, urgent)) {
        Request& m = static_cast<Request&>(*e);
        // What an earlier life took on is tried before it is handed back: what comes in now waits or is
        // refused.
        if (!LoadShedding::may_shed(m)) continue;
        lifecycle.reject(m, *pass);
        ended.push_back(m.id);
      }
    for (auto id : ended) lifecycle.forget_if_done(*requests.find(id), now);
    for (const MessageId id : reevaluation.pending())
      if (Request* const m = requests.find(id)) plan(*m);
    reevaluation.clear_pending();
    // Short from now on: some that are out may be given up sooner.
    if (set.cancellation && !slots_short && calls.full()) wake_by(now);
    if (reevaluation.next_due() < kNever) wake_by(reevaluation.next_due());
    if (send_queue.next_recheck() < kNever) wake_by(send_queue.next_recheck());
  }
  // Those in flight that may be given up.
  std::vector<MessageId> overdue_messages(bool slots_short) const {
    std::vector<MessageId> found;
    if (!set.cancellation) return found;
    for (const auto& [id, call] : calls.all()) {
      const bool overtaken = call.endpoint->calls.is_overtaken(call.sent_at),
                 silent = call.endpoint->calls.is_silent_since(call.sent_at);
      if (!overtaken && !(slots_short && silent)) continue;
      for (const MessageId with : call.requests) {
        const Request* const m = requests.find(with);
        const bool there = m != nullptr && !m->completed && !m->in_flight.empty();
        if (there && m->in_flight.begin()->second == id) found.push_back(with);
      }
    }
    return found;
  }
  // Waits from now on, if its time has come and it does not wait already.
  void line_up(Request& m, Microseconds ahead) {
    if (!m.in_flight.empty() || m.ready_at > now) return;
    if (!m.added()) send_queue.add(m, ahead);
    if (m.subqueue() == nullptr && lifecycle.turn_at(m, now) <= now) send_queue.enqueue(m, subqueue_of(m));
  }
  void plan(Request& m) {
    ReevaluationQueue::mark_evaluated(m);
    Microseconds at = m.completed ? kNever : retry_policy.ends_at(m);
    if (!m.completed && m.in_flight.empty() && m.subqueue() == nullptr)
      at = std::min(at, std::max(m.ready_at, lifecycle.turn_at(m, now)));
    reevaluation.schedule(m, at);
  }
  // Those that were tried in vain, and are to be tried in the next round.
  template <class Urgency>
  std::vector<Request*> send_open(const Urgency& urgent) {
    send_queue.unblock_due(now);
    std::vector<Request*> again;
    while (!calls.full()) {
      auto* const first = send_queue.most_urgent(urgent, trial_free());
      if (first == nullptr) break;
      Request& m = static_cast<Request&>(*first);
      Gate gate;
      if (try_send(m, gate)) continue;
      if (gate.chance || (gate.own && gate.trial))
        send_queue.dequeue(m), again.push_back(&m), wake_by(gate.when);
      else if (gate.own)
        send_queue.defer(m, gate.when);
      else
        gate.trial ? send_queue.block_until_health_check(*m.subqueue(), gate.when)
                   : send_queue.block(*m.subqueue(), gate.when);
    }
    return again;
  }
  // Calls begun in this round may have room for more, whatever the slots.
  template <class Urgency>
  void fill_calls(const Urgency& urgent) {
    using Next = std::tuple<double, MessageId, EndpointState*>;
    const auto later = [](const Next& a, const Next& b) {
      return std::get<0>(a) != std::get<0>(b) ? std::get<0>(a) < std::get<0>(b)
                                              : std::get<1>(a) > std::get<1>(b);
    };
    std::priority_queue<Next, std::vector<Next>, decltype(later)> queue(later);
    std::vector<SendQueue::SubqueueKey> without;  // subqueues that find no room
    const auto put = [&](EndpointState* e) {
      if (!room_in_call(*e)) return;
      if (auto* const m = send_queue.most_urgent_for(e->info.destination, urgent, without))
        queue.emplace(urgent(*m), m->id, e);
    };
    for (EndpointState* e : std::exchange(begun, {})) put(e);
    while (!queue.empty()) {
      const auto [u, id, e] = queue.top();
      queue.pop();
      Request* const m = requests.find(id);
      if (m != nullptr && m->subqueue() != nullptr && room_in_call(*e)) {
        const auto key = subqueue_of(*m);
        Gate gate;
        if (std::find(without.begin(), without.end(), key) == without.end() && !try_send(*m, gate))
          without.push_back(key);
      }
      put(e);
    }
  }
#endif

  void handle(Microseconds at, const std::vector<Event>& events, std::vector<Action>& actions) {
    now = std::max(now, at);
    ActionSink sink(actions);
    WakeUp wake_up(now + set.min_decision_interval);
    DecisionPass this_pass{now, set, random, sink, wake_up};
    pass = &this_pass;
    for (const auto& ev : events) std::visit([this](const auto& e) { on(e); }, ev);
    if (set.list_subscription) list_polling.poll_when_due(*pass);
    dispatch();
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

Dispatcher::Dispatcher(const Settings& settings, std::uint64_t seed) {
  validate(settings);
  state_ = std::make_unique<State>(settings, seed);
}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

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
