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
#include "fleet_size.hpp"
#include "list_polling.hpp"
#include "load_shedding.hpp"
#include "order_keys.hpp"
#include "priority.hpp"
#include "rates.hpp"
#include "reevaluation_queue.hpp"
#include "request.hpp"
#include "request_lifecycle.hpp"
#include "request_state.hpp"
#include "restored_value.hpp"
#include "retry_policy.hpp"
#include "send_queue.hpp"
#include "state.hpp"
#include "tenant_quota.hpp"

namespace heronvane::dispatch {
namespace {

// ---- Constants. Times in seconds, unless derived from settings where they are used. ----
// Health.
constexpr double kLeastCalls = 3;  // calls a second of all relays that an endpoint is taken to get
// Time-outs.
constexpr double kSafeTimeoutAims = 2.5;  // least time-out of repeatable messages, in aims
constexpr double kUnsafeTimeoutAims = 5;  // and of the others, which a time-out loses
// List and buffer.
constexpr double kTryWithin = 0.9;  // of what it has left: when it is tried at the latest, if need be

// What outlasts the process.
constexpr double kGiveGap = 1;      // seconds between changes given of one endpoint, unless they are urgent
constexpr double kGiveShare = 0.2;  // change of a delay, a pace or a share that is worth giving

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
  std::vector<Action>* out = nullptr;
  DecisionPass* pass = nullptr;  // set while handle() runs
  std::map<EndpointId, EndpointState> endpoints;
  std::map<DestinationId, DestinationState> destinations;
  RequestState request_state;
  RequestLifecycle lifecycle;
  bool list_changed = false;
  std::set<EndpointId> gone;     // from the list, and still kept
  std::set<DestinationId> bare;  // perhaps without endpoints
  HealthCheckSlots health_check_slots;
  double shortest_aim;
  BackoffScale backoff_scale;
  SharedLimits shared_limits;
  SlowStartPolicy slow_start_policy;
  BackgroundFailureRate background_failures;
  Slowness slowness;
  Microseconds timer_at = kNever;
  ListPolling list_polling;
  std::vector<EndpointState*> begun, warmed;  // in this round: with calls for many; no more on trial
  std::set<EndpointId> ended_at;              // endpoints at which a call ended in this round
  std::set<Due> dirty;                        // targets with changes to give out, soonest first
  std::deque<std::pair<EndpointId, DestinationId>> swept;  // since they were given as known

  State(const Settings& s, std::uint64_t seed)
      : set(s),
        random(seed),
        request_state(set),
        lifecycle(request_state,
                  microseconds(BackoffScale(request_state.priority.shortest_objective_s()).initial())),
        shortest_aim(request_state.priority.shortest_objective_s()),
        backoff_scale(shortest_aim),
        shared_limits(s.kinds.size() + 1, shortest_aim),
        slow_start_policy(set, shortest_aim) {}

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
  void log(const std::string& text) { out->push_back(action::Log{text}); }
  void wake_by(Microseconds t) { pass->wake_up.no_later_than(t); }

  DestinationState& destination_of(DestinationId id) {
    const auto [it, fresh] = destinations.try_emplace(id, backoff_scale);
    if (fresh) bare.insert(id);
    return it->second;
  }
  Target& target_of(EndpointState& e) { return e.apart ? e.own : destination_of(e.info.destination).target; }

  void on(const event::GossipReceived& ev) {
    const std::optional<EndpointId> rejecting = RejectionGossip::parse(ev.body);
    if (!rejecting) return;
    const auto it = endpoints.find(*rejecting);
    if (it == endpoints.end()) return;
    target_of(it->second).limits.slow_down_by_gossip(now, shared_limits);
    give_later(it->second);
  }

  // ---- Health: one ladder for every symptom. ----
  int overdue(const EndpointState& e) const { return e.calls.overdue(now, e.latency.overdue_after()); }
  // After each change of its health, its run of failures or its calls.
  void count_trials(EndpointState& e) {
    health_check_slots.set(e.health_check_slots, e.is_on_trial() ? e.calls.size() : 0);
  }
  void eject(EndpointState& e, HealthChange why) {
    if (e.health.is_healthy())
      e.slow_start.begin(now, std::max(e.asked.at(now), kLeastCalls / set.relays), uniform());
    else
      settle_budget(e);
    if (!e.health.is_ejected()) give_by(e, now);
    e.health.apply(*pass, why, e.info.id);
    e.slow_start.schedule_health_check(now + trial_gap(e));
    count_trials(e);
  }
  Microseconds trial_gap(EndpointState& e) {
    return micros(jittered(std::max(target_of(e).limits.backoff_delay(now), backoff_scale.initial())));
  }
  void settle_budget(EndpointState& e) { e.slow_start.settle(now, slow_start_policy, e.recovery_phase()); }
  // The end of the present health, where time alone ends it.
  Microseconds health_ends_at(const EndpointState& e) const {
    return e.health.since() + slow_start_policy.window();
  }
  // Moves the health on where its time is up.
  void advance_health(EndpointState& e) {
    if (e.health.is_healthy() || now < health_ends_at(e)) return;
    settle_budget(e);
    if (e.health.is_slow_start()) {
      e.health.apply(*pass, HealthChange::warmed_up, e.info.id);
      e.evidence.clear();
      // A health check that this frees is for the next pass: which request comes first was settled without
      // it.
      warmed.push_back(&e);
    } else {
      // Slow start follows health checks too that the budget never allowed: requests that waited must not go
      // all at once.
      e.health.apply(*pass, HealthChange::outage_expired, e.info.id);
    }
    give_by(e, now);
  }
  Microseconds budget_ready(const EndpointState& e) const {
    return e.health.is_healthy() ? now : e.slow_start.ready_at(slow_start_policy, e.recovery_phase());
  }

  void call_served(EndpointState& e, Microseconds sent, Microseconds latency) {
    settle_budget(e);
    e.calls.record_served(now, sent);
    target_of(e).limits.record_served(now, shared_limits);
    e.served.add(now);
    e.latency.record_served(latency, slowness);
    const bool was_only_slow = e.evidence.record_served(background_failures);
    if (e.health.is_ejected()) {
      const auto change = was_only_slow ? HealthChange::answered_late : HealthChange::served_after_ejection;
      e.health.apply(*pass, change, e.info.id);
      give_by(e, now);
    }
    e.connections.record_served();
    e.batching.record_served();
    e.concurrency.record_served(now);
  }
  void call_rejected(EndpointState& e) {
    RateLimitScope& limits = target_of(e).limits;
    settle_budget(e);
    limits.record_rejected(now, shared_limits);
    if (!e.health.is_ejected()) limits.slow_down(*pass, e.info.id, shared_limits);
    e.evidence.record_rejected();
    const bool is_outage = limits.is_outage(now);
    if (!is_outage && e.health.is_healthy()) return;
    e.evidence.mark_failing();
    if (e.apart) {
      if (is_outage || e.health.is_ejected()) eject(e, HealthChange::ejected_rejections);
      return;
    }
    for (EndpointState* const sibling : destination_of(e.info.destination).endpoints) {
      if (!is_outage && !sibling->health.is_ejected()) continue;
      settle_budget(*sibling);
      sibling->evidence.add_failure();
      eject(*sibling, HealthChange::ejected_rejections);
    }
  }
  void call_failed(EndpointState& e, const event::AttemptEnded& ev, int taken) {
    target_of(e).limits.record_failed(now);
    settle_budget(e);
    note_connections_exhausted(e, ev.outcome);
    e.evidence.record_failed(ev.outcome);
    if (ev.outcome == Outcome::timeout || ev.outcome == Outcome::cancelled) {
      e.latency.record_unanswered(ev.latency);
      e.connections.close_in_doubt(*pass, e.info.id);
    }
    // Not where it may be a failure by chance: under a limit of calls, small batches would starve the rest.
    if (background_failures.run_beyond_chance() == 1 || e.evidence.consecutive_failures() > 1)
      e.batching.record_failed(taken);
    const FailureEvidence::Circumstances circumstances{e.health.state(), ev.outcome, e.asked.at(now),
                                                       overdue(e)};
    if (e.evidence.is_outlier(circumstances, background_failures)) eject(e, ejection_by(ev.outcome));
  }
  // A connection that fails while calls are out and answered: the endpoint's table of connections may be
  // full.
  void note_connections_exhausted(EndpointState& e, Outcome outcome) {
    if (outcome == Outcome::connect_failed && e.evidence.consecutive_failures() == 0 && !e.calls.empty() &&
        overdue(e) == 0 && e.health.is_healthy())
      e.concurrency.record_connections_exhausted(now, e.calls.size());
  }
  static HealthChange ejection_by(Outcome outcome) {
    if (outcome == Outcome::connect_failed) return HealthChange::ejected_connect_failed;
    if (outcome == Outcome::error) return HealthChange::ejected_errors;
    return HealthChange::ejected_unanswered;
  }

  // Guards against connection tables filled by idle connections of many relays, and against connections
  // that die unseen: one that will hardly be used again before its end is closed once its call is over.
  // Costs a handshake where the next call comes sooner than the mean gap tells.
  void drop_unused() {
    for (const auto& id : ended_at) {
      EndpointState& e = endpoints.at(id);
      if (e.connections.is_rarely_used(set)) out->push_back(action::CloseIdle{id});
    }
    ended_at.clear();
  }

  // ---- What outlasts the process. Nothing here may change a decision: no draws, no Rate::at. ----
  void give_by(EndpointState& e, Microseconds at) {
    Target& t = target_of(e);
    if (t.due <= at) return;
    Due due{t.due, e.apart, e.apart ? 0 : e.info.destination, e.apart ? e.info.id : EndpointId()};
    if (t.due < kNever) dirty.erase(due);
    due.at = t.due = at;
    dirty.insert(std::move(due));
  }
  // Called after each outcome: nearly always there is nothing to give, or it is due already.
  void give_later(EndpointState& e) {
    const Target& t = target_of(e);
    const bool known = t.limits.has_learned(set) || !e.health.is_healthy();
    if (known || t.given_known) give_by(e, std::max(now, t.looked_at + micros(kGiveGap)));
  }
  LearnedState memory_of(const EndpointState& e, const Target& t) const {
    LearnedState m;
    m.endpoint = e.info.id, m.destination = e.info.destination;
    t.limits.save(now, set, m);
    // A ramp that is over is noticed with the next message only.
    if (e.health.is_healthy() || (e.health.is_slow_start() && now >= health_ends_at(e))) return m;
    m.health = e.health.state();
    m.time_in_health = now - e.health.since();
    m.baseline_rate = e.slow_start.baseline_rate();
    m.slow_start_budget =
        std::clamp(e.slow_start.budget(now, slow_start_policy, e.recovery_phase()), 0.0, 1.0);
    m.consecutive_failures = e.evidence.consecutive_failures();
    m.failure_rate = e.evidence.failure_rate();
    m.last_failure_possibly_executed = e.evidence.last_failure_possibly_executed();
    m.batch_size = e.batching.trusted();
    return m;
  }
  // When `m` may be given: now, later, or never where it tells nothing new.
  Microseconds give_at(const EndpointState& e, const Target& t, const LearnedState& m) const {
    const Given& g = e.given;
    if (m.health != g.health || (m.retry_after_left > 0 && now + m.retry_after_left > g.wait_until))
      return now;
    const auto differs = [](double a, double b) { return std::abs(a - b) > kGiveShare * std::max(a, b); };
    const double let_then = Admission::recovered(g.admission_probability, now - g.at);
    const bool changed =
        m.blank() || !g.known
            ? m.blank() == g.known
            : (m.health != Health::healthy && e.health.since() != g.since) ||
                  m.consecutive_rejections != g.refusals ||
                  differs(m.backoff_delay, t.limits.stored_delay_after(g.delay, now - g.at)) ||
                  differs(m.send_rate, g.pace) || differs(m.admission_probability, let_then);
    return changed ? std::max(now, g.at + micros(kGiveGap)) : kNever;
  }
  // When what was given of the endpoint is over with time alone; kNever where it takes more than that.
  Microseconds over_at(const EndpointState& e, const Target& t) const {
    if (!e.given.known || e.health.is_ejected()) return kNever;
    Microseconds at = t.limits.blank_at(now, set);
    if (at == kNever) return kNever;
    if (e.health.is_slow_start()) at = std::max(at, health_ends_at(e));
    return at + 1'000;  // rounded up
  }
  std::vector<LearnedState> take_changed_state(Microseconds at, std::size_t most) {
    now = std::max(now, at);
    std::vector<LearnedState> given;
    for (; !swept.empty() && given.size() < most; swept.pop_front())
      given.emplace_back().endpoint = swept.front().first, given.back().destination = swept.front().second;
    while (given.size() < most && !dirty.empty() && dirty.begin()->at <= now) {
      const Due due = *dirty.begin();
      dirty.erase(dirty.begin());
      if (due.apart) {
        EndpointState& e = endpoints.at(due.endpoint);
        e.own.due = kNever;
        if (e.apart) give_target(e.own, {&e}, most, given);
      } else {
        DestinationState& d = destinations.at(due.destination);
        d.target.due = kNever;
        give_target(d.target, d.endpoints, most, given);
      }
    }
    return given;
  }
  void give_target(Target& t, const std::vector<EndpointState*>& of, std::size_t most,
                   std::vector<LearnedState>& given) {
    t.given_known = false, t.looked_at = now;
    for (EndpointState* e : of) {
      if (&target_of(*e) != &t) continue;  // moved
      LearnedState m = memory_of(*e, t);
      Microseconds next = give_at(*e, t, m);
      if (next <= now && given.size() < most) {
        e->given = Given{!m.blank(),
                         now,
                         m.health,
                         e->health.since(),
                         now + m.retry_after_left,
                         m.backoff_delay,
                         m.send_rate,
                         m.admission_probability,
                         m.consecutive_rejections};
        given.push_back(std::move(m));
        next = kNever;
      }
      t.given_known |= e->given.known;
      if (next == kNever) next = over_at(*e, t);
      if (next < kNever) give_by(*e, next);
    }
  }
  // Costs what is listed, little where nothing is known of it.
  void endpoint_states(Microseconds at, std::size_t most, std::vector<LearnedState>& known) const {
    for (const auto& [id, d] : destinations)
      for (const EndpointState* e : d.endpoints) {
        if (e->info.listing == Listing::gone || e->info.destination != id) continue;
        const Target& t = e->apart ? e->own : d.target;
        const bool blank = e->health.is_healthy() && t.limits.is_blank(at);
        if (known.size() >= (blank ? most : 4 * most)) continue;
        LearnedState& m = known.emplace_back(memory_of(*e, t));
        // As of the last round, but for what runs off by itself.
        m.retry_after_left = std::max<Microseconds>(0, t.limits.retry_after_until() - std::max(at, now));
      }
  }
  void on(const event::LearnedStateRestored& ev) {
    const auto it = endpoints.find(ev.state.endpoint);
    if (it == endpoints.end() || it->second.info.listing == Listing::gone) return;
    EndpointState& e = it->second;
    if (e.recalled) return;
    e.recalled = true;
    const LearnedState& m = ev.state;
    const Microseconds written = now - bounded_duration(ev.age);
    const Microseconds time_in_health = bounded_duration(m.time_in_health);
    Target& t = target_of(e);
    if (e.apart || m.destination == e.info.destination) t.limits.restore(now, written, m);
    const bool known = m.health == Health::ejected || m.health == Health::slow_start;
    if (known && !e.heard && e.health.is_healthy() && e.evidence.consecutive_failures() == 0) {
      // It warms up whoever calls. But none made health checks that would have kept it ejected; and it may
      // have been ejected anew within the gap before the end.
      const Microseconds since = m.health == Health::slow_start
                                     ? written - time_in_health
                                     : now - std::max<Microseconds>(0, time_in_health - micros(kGiveGap));
      e.health.restore(*pass, m.health, since, e.info.id);
      e.evidence.restore(m);
      e.batching.restore(m.batch_size);
      // No more than it could have grown to, and spread as in eject().
      e.slow_start.begin(written, bounded(0.0, m.baseline_rate, 1e9), bounded(0.0, m.slow_start_budget, 1.0));
      e.slow_start.limit_budget(now, uniform(), slow_start_policy, e.recovery_phase());
      e.slow_start.schedule_health_check(now + trial_gap(e));
    }
    count_trials(e);
    send_queue.unblock(e.info.destination);
    e.given.known = t.given_known = true;  // the store holds it
    give_by(e, now);
  }

  // ---- The list. ----
  void take(const Endpoint& info) {
    list_changed = true;
    auto [it, fresh] = endpoints.try_emplace(info.id, backoff_scale);
    EndpointState& e = it->second;
    const DestinationId from = fresh ? info.destination : e.info.destination;
    e.info = info;
    info.listing == Listing::gone ? void(gone.insert(info.id)) : void(gone.erase(info.id));
    send_queue.unblock(info.destination);
    const auto place = std::min(static_cast<std::size_t>(std::max(info.kind, 0)), set.kinds.size());
    const KindSettings kind = place < set.kinds.size() ? set.kinds[place] : KindSettings{};
    e.own.limits.set_kind(place);
    destination_of(info.destination).target.limits.set_kind(place);
    e.apart = kind.per_endpoint_limits;
    e.batching.set_most(kind.max_batch_size);
    if (fresh) {
      e.batching.reset();
      e.connections.start(set.relays);
      e.asked.start(now);
    }
    auto& siblings = destinations.at(info.destination).endpoints;
    if (from != info.destination) {
      std::erase(destinations.at(from).endpoints, &e);
      bare.insert(from);
      siblings.push_back(&e);
    }
    if (!fresh) return;
    // A new endpoint of a destination that is out or returning is no way around its siblings' state.
    const EndpointState* model = nullptr;
    for (const auto* other : siblings)
      if (model == nullptr || other->health.is_healthy()) model = other;
    if (model != nullptr && !e.apart && !model->health.is_healthy()) {
      e.health.copy_from(model->health);
      e.slow_start.begin(now, model->slow_start.baseline_rate(), uniform());
      e.slow_start.schedule_health_check(now);
      give_by(e, now);
    }
    siblings.push_back(&e);
  }
  void on(const event::EndpointListSnapshot& ev) {
    for (auto& [id, e] : endpoints) e.info.listing = Listing::gone;
    list_changed = true;
    for (const auto& info : ev.endpoints) take(info);
    for (auto& [id, e] : endpoints)
      if (e.info.listing == Listing::gone) gone.insert(id);
    if (!ev.cached)
      list_polling.record_list();
    else if (set.list_subscription)
      list_polling.poll_at(now);
  }
  void on(const event::EndpointListUpdate& ev) {
    for (const auto& info : ev.endpoints) take(info);
    list_polling.record_list();
  }
  void on(const event::EndpointListFailed&) { list_polling.record_failure(*pass); }

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
  bool try_comes(Request& m, const Target& t, Gate& gate) {
    if (t.limits.admission().probability(now) >= 1 || t.limits.serves_this_relay(now)) return true;
    if (m.first_attempt_at == kNever)
      m.first_attempt_at =
          now + micros(kTryWithin * uniform() * seconds(retry_policy.latest_attempt(m) - now));
    if (now >= m.first_attempt_at) return true;
    gate.own = true;
    gate.when = std::min({gate.when, m.first_attempt_at, t.limits.admission().full_at()});
    return false;
  }
  // Nothing is kept for ever: keys go when they are empty and rested; endpoints that left the list, when
  // their calls are over and what is known of an outage there has aged out; destinations with their last
  // endpoint.
  void sweep() {
    order_keys.forget_quiet(now);
    if (!list_changed) return;
    list_changed = false;
    for (auto it = gone.begin(); it != gone.end();) {
      EndpointState& e = endpoints.at(*it);
      const bool known = !e.health.is_healthy() && now < health_ends_at(e);
      if (!e.calls.empty() || known || e.own.limits.retry_after_until() > now) {
        ++it;
        continue;
      }
      std::erase(destinations.at(e.info.destination).endpoints, &e);
      bare.insert(e.info.destination);
      dirty.erase(Due{e.own.due, true, 0, *it});
      if (e.given.known) swept.emplace_back(*it, e.info.destination);
      endpoints.erase(*it);
      it = gone.erase(it);
    }
    for (auto it = bare.begin(); it != bare.end();) {
      const auto d = destinations.find(*it);
      const bool done = d != destinations.end() && d->second.endpoints.empty();
      if (done && d->second.target.limits.retry_after_until() > now) {
        ++it;
        continue;
      }
      if (done) dirty.erase(Due{d->second.target.due, false, *it, {}}), destinations.erase(d);
      it = bare.erase(it);
    }
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
    if (ev.retry_after > 0) {
      target_of(e).limits.extend_retry_after(now + ev.retry_after);
      give_by(e, now);
    }
    const bool last = --call.without_outcome == 0;
    if (last) e.calls.end(call_id);
    // A call that we gave up in silence is a failure; one that was overtaken says nothing of the endpoint.
    const bool overtaken = ev.outcome == Outcome::cancelled && !e.calls.is_silent_since(sent);
    if (!call.judged && ev.outcome != Outcome::not_sent && !overtaken) {
      call.judged = true;
      e.heard = true;
      target_of(e).limits.note_attempt_ended();
      if (ev.outcome == Outcome::served)
        call_served(e, sent, ev.latency);
      else if (ev.outcome == Outcome::rejected)
        call_rejected(e);
      else
        call_failed(e, ev, call.batch_size());
      give_later(e);
    }
    if (last) {
      e.batching.end_call(call_id);
      e.connections.record_call_ended(now);
      calls.finish(call_id);
      ended_at.insert(e.info.id);
    }
    count_trials(e);
    send_queue.unblock(e.info.destination);

    const double backoff_delay = std::max(target_of(e).limits.backoff_delay(now), backoff_scale.least());
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
    Target& t = target_of(e);
    const bool own_try =
        m.unattempted && !t.limits.is_presumed_unavailable(set);  // else by the share let through
    const Microseconds held = own_try ? t.limits.retry_after_until() : t.limits.held_until();
    if (held > now) return when = std::min(when, held), false;
    if (room_in_call(e)) return true;
    if (calls.full()) return false;
    advance_health(e);
    const Microseconds ready = std::max(budget_ready(e), t.limits.send_rate_ready_at());
    // Its health changes with time, whatever else keeps messages from it.
    if (!e.health.is_healthy()) when = std::min(when, health_ends_at(e));
    if (ready > now) return when = std::min(when, ready), false;
    if (e.health.is_ejected() && m.request_class->idempotency == Idempotency::non_idempotent &&
        e.evidence.last_failure_possibly_executed() && now < m.objective_at) {
      // A trial call that may be lost is no place for a message that can't be repeated.
      return gate.own = true, when = std::min(when, m.objective_at), false;
    }
    if (static_cast<int>(e.calls.size()) >= call_limit(e)) return gate.trial |= e.is_on_trial(), false;
    return !own_try || !e.health.is_healthy() || try_comes(m, t, gate);
  }
  bool room_in_call(const EndpointState& e) const { return e.batching.has_room(now); }
  // Bulkhead: one endpoint's calls out, so that a silent or slow one can't hold the slots of the rest.
  int call_limit(EndpointState& e) {
    // Trials are spaced; all of them out together may hold a part of the slots only.
    if (e.is_on_trial()) return trial_free() ? set.max_concurrent_calls : 0;
    const bool is_doubtful = overdue(e) > 0 || e.evidence.consecutive_failures() > 0;
    return e.concurrency.limit(set, {is_doubtful, e.served.at(now), e.latency.recent()});
  }
  bool trial_free() const { return health_check_slots.is_any_free(set); }
  // Cheaper first: shorter expected wait there, its fee, the distance.
  double price(const EndpointState& e) const {
    const auto zone = static_cast<std::size_t>(e.info.zone);
    const double fee = e.apart && zone < set.zone_costs.size() ? set.zone_costs[zone] : 0;
    const double load = static_cast<double>(e.calls.size()) + 1 + e.evidence.consecutive_failures();
    return load * e.latency.recent() * (e.health.is_slow_start() ? 2 : 1) * (1 + fee) +
           (e.info.zone == set.zone ? 0 : 0.02);
  }
  bool try_send(Request& m, Gate& gate) {
    if (!retry_policy.has_attempt_left(m, now)) return false;
    EndpointState* best = nullptr;
    double best_price = 0;
    const auto destination = destinations.find(m.destination);
    if (destination == destinations.end()) return false;
    for (auto* e : destination->second.endpoints) {
      if (!passes(m, *e, gate)) continue;
      const double p = room_in_call(*e) ? -1 : price(*e) * (1 + 0.1 * uniform());
      if (best == nullptr || p < best_price) best = e, best_price = p;
    }
    if (best == nullptr) return false;
    Target& t = target_of(*best);
    const bool by_share =
        best->health.is_healthy() && !(m.unattempted && !t.limits.is_presumed_unavailable(set));
    gate.chance = !room_in_call(*best) && by_share && !t.limits.admit(*pass);
    // Another route may take it in the next round.
    if (gate.chance && destination->second.endpoints.size() > 1) wake_by(now);
    if (gate.chance) return false;
    send(m, *best);
    return true;
  }
  void send(Request& m, EndpointState& e) {
    Target& t = target_of(e);
    if (!room_in_call(e)) {
      const CallId call = calls.start(e, now);
      e.calls.begin(call, now);
      e.batching.begin_call(call, now);
      count_trials(e);
      if (e.batching.trusted() > 1) share_call(m, e);
      if (e.health.is_healthy() && m.attempts_made == 0) e.asked.add(now);
      e.connections.record_call_began(now);
      t.limits.consume(now);
      if (!e.health.is_healthy()) {
        settle_budget(e);
        e.slow_start.consume();
      }
      if (e.health.is_ejected()) e.slow_start.schedule_health_check(now + trial_gap(e));
      if (overdue(e) > 0) e.connections.close_in_doubt(*pass, e.info.id);
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
    out->push_back(std::move(a));
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
      after = std::min(after, seconds(m.request_class->latency_objective)) * std::max(1.0, slowness.value());
    const Microseconds due = call.sent_at + micros(std::max(least, after));
    if (now < due) return wake_by(due);
    m.cancelled_attempt = attempt;
    out->push_back(action::Cancel{m.id, attempt});
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
    out = &actions;
    pass = &this_pass;
    for (const auto& ev : events) std::visit([this](const auto& e) { on(e); }, ev);
    if (set.list_subscription) list_polling.poll_when_due(*pass);
    dispatch();
    if (!warmed.empty()) wake_by(now);
    for (EndpointState* e : std::exchange(warmed, {})) count_trials(*e);
    drop_unused();
    sweep();
    if (const Microseconds wake = wake_up.at(); wake < timer_at && wake < kNever) {
      timer_at = wake;
      actions.push_back(action::SetTimer{std::min<Microseconds>(wake - now, 3'600'000'000), 0});
    }
    out = nullptr;
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
  return s.endpoints.size() + s.destinations.size() + s.requests.size() + s.order_keys.retained() +
         s.calls.size() + s.dirty.size() + s.swept.size();
}

std::size_t Dispatcher::queued_requests() const { return state_->send_queue.size(); }

std::vector<LearnedState> Dispatcher::take_changed_state(Microseconds now, std::size_t most) {
  return state_->take_changed_state(now, most);
}

void Dispatcher::endpoint_states(Microseconds now, std::size_t most, std::vector<LearnedState>& known) const {
  state_->endpoint_states(now, most, known);
}

void Dispatcher::handle(Microseconds now, const std::vector<Event>& events, std::vector<Action>& actions) {
  state_->handle(now, events, actions);
}

}  // namespace heronvane::dispatch
