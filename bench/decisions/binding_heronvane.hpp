// The binding to the module's API in namespace heronvane::dispatch.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "types.hpp"

namespace decisions {

namespace dispatch = heronvane::dispatch;

class Binding {
 public:
  // Throws std::invalid_argument where the module refuses the settings.
  Binding(const Settings& settings, std::uint64_t seed) : dispatcher_(to_module(settings), seed) {}

  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions) {
    module_events_.clear();
    module_actions_.clear();
    for (const Event& e : events)
      module_events_.push_back(std::visit([](const auto& x) { return dispatch::Event(to_module(x)); }, e));
    dispatcher_.handle(now, module_events_, module_actions_);
    for (const dispatch::Action& a : module_actions_)
      actions.push_back(std::visit([](const auto& x) { return Action(from_module(x)); }, a));
  }

  std::vector<LearnedState> learned(Micros now, std::size_t most) {
    return from_module(dispatcher_.take_changed_state(now, most));
  }
  std::vector<LearnedState> observed(Micros now, std::size_t most) const {
    std::vector<dispatch::LearnedState> known;
    dispatcher_.endpoint_states(now, most, known);
    return from_module(known);
  }
  std::size_t waiting() const { return dispatcher_.queued_requests(); }
  std::size_t kept() const { return dispatcher_.retained_objects(); }

 private:
  static dispatch::ClassSettings to_module(const ClassSettings& s) {
    dispatch::ClassSettings m;
    m.priority_weight = s.priority_weight;
    m.weight_at_deadline = s.weight_at_deadline;
    m.latency_objective = s.latency_objective;
    m.deadline = s.deadline;
    m.idempotency = static_cast<dispatch::Idempotency>(s.idempotency);
    m.key_scope = static_cast<dispatch::KeyScope>(s.key_scope);
    m.key_window = s.key_window;
    m.ordered = s.ordered;
    return m;
  }
  static dispatch::Settings to_module(const Settings& s) {
    dispatch::Settings m;
    for (const ClassSettings& c : s.classes) m.classes.push_back(to_module(c));
    for (const KindSettings& k : s.kinds) m.kinds.push_back({k.separate_endpoints, k.batch_max});
    for (const double quota : s.tenant_quotas_per_s) m.tenants.push_back({quota});
    m.zone_costs = s.zone_fees;
    m.decay = static_cast<dispatch::WeightDecay>(s.decay);
    m.weights = static_cast<dispatch::WeightKind>(s.weights);
    m.over_quota_weight = s.over_quota_weight;
    m.relays = s.relays;
    m.relay_index = s.relay_index;
    m.zone = s.zone;
    m.max_concurrent_calls = s.slots;
    m.max_in_flight = s.in_flight_max;
    m.max_attempts = s.attempts_max;
    m.hedging = s.hedging;
    m.cancellation = s.cancelling;
    m.health_checks = s.health_checks;
    m.gossip = s.gossip;
    m.list_subscription = s.subscribe;
    m.min_decision_interval = s.tick;
    m.connect_timeout = s.connect_timeout;
    m.connection_idle_timeout = s.connection_idle;
    m.retry_after_max = s.retry_after_max;
    m.answer_grace = s.answer_slack;
    m.drain_grace = s.drain_grace;
    m.max_poll_interval = s.poll_interval_max;
    m.key_quiet_period = s.key_quiet_period;
    m.collapse_factor = s.collapse_factor;
    m.collapse_period = s.overload_span;
    m.slow_start_min_share = s.slow_start_share;
    m.slow_start_window = s.slow_start_window;
    return m;
  }
  static dispatch::Endpoint to_module(const Endpoint& e) {
    return {e.id,     e.destination, e.zone, e.kind, static_cast<dispatch::Listing>(e.listing),
            e.weight, e.added_at};
  }
  static std::vector<dispatch::Endpoint> to_module(const std::vector<Endpoint>& list) {
    std::vector<dispatch::Endpoint> m;
    for (const Endpoint& e : list) m.push_back(to_module(e));
    return m;
  }

  static dispatch::event::EndpointListSnapshot to_module(const event::ListComplete& e) {
    return {to_module(e.endpoints), e.cached};
  }
  static dispatch::event::EndpointListUpdate to_module(const event::ListChanges& e) {
    return {to_module(e.endpoints)};
  }
  static dispatch::event::EndpointListFailed to_module(const event::ListFailed&) { return {}; }
  static dispatch::event::RequestArrived to_module(const event::Arrival& e) {
    return {e.id, e.destination, e.request_class, e.tenant, e.time_left, e.order_key, e.repeated};
  }
  static dispatch::event::RequestRecovered to_module(const event::Recovered& e) {
    return {to_module(e.request), e.attempts, e.attempted, e.possibly_executed_zone, e.possibly_executed_ago};
  }
  static dispatch::event::LearnedStateRestored to_module(const event::Restored& e) {
    const LearnedState& s = e.state;
    dispatch::LearnedState m;
    m.endpoint = s.endpoint;
    m.destination = s.destination;
    m.health = static_cast<dispatch::Health>(s.health);
    m.time_in_health = s.health_age;
    m.baseline_rate = s.usual_rate;
    m.slow_start_budget = s.budget;
    m.consecutive_failures = s.failures_in_row;
    m.failure_rate = s.failure_share;
    m.last_failure_possibly_executed = s.outcome_unknown;
    m.batch_size = s.batch;
    m.retry_after_left = s.wait_left;
    m.backoff_delay = s.backoff;
    m.send_rate = s.send_rate;
    m.consecutive_rejections = s.rejections;
    m.first_rejection_age = s.rejected_age;
    m.admission_probability = s.admission;
    return {m, e.age};
  }
  static dispatch::event::AttemptEnded to_module(const event::AttemptEnded& e) {
    return {e.id,      e.attempt, e.endpoint,    static_cast<dispatch::Outcome>(e.outcome),
            e.latency, e.closed,  e.retry_after, {e.limit_left, e.limit_rate}};
  }
  static dispatch::event::RequestWithdrawn to_module(const event::Withdrawn& e) { return {e.id}; }
  static dispatch::event::TimerExpired to_module(const event::TimerDue& e) { return {e.token}; }
  static dispatch::event::HealthCheckEnded to_module(const event::HealthCheckEnded& e) {
    return {e.endpoint, static_cast<dispatch::Outcome>(e.outcome), e.latency, {}};
  }
  static dispatch::event::GossipReceived to_module(const event::Gossip& e) { return {e.from, e.body}; }

  static action::Send from_module(const dispatch::action::Send& a) {
    return {a.id, a.endpoint, a.timeout, a.start_within};
  }
  static action::Reject from_module(const dispatch::action::Reject& a) { return {a.id, a.retry_after}; }
  static action::Fail from_module(const dispatch::action::Fail& a) { return {a.id}; }
  static action::Cancel from_module(const dispatch::action::Cancel& a) { return {a.id, a.attempt}; }
  static action::CloseIdle from_module(const dispatch::action::CloseIdle& a) { return {a.endpoint}; }
  static action::SetTimer from_module(const dispatch::action::SetTimer& a) { return {a.after, a.token}; }
  static action::FetchList from_module(const dispatch::action::PollEndpointList&) { return {}; }
  static action::Subscribe from_module(const dispatch::action::Subscribe& a) { return {a.on}; }
  static action::HealthCheck from_module(const dispatch::action::CheckHealth& a) { return {a.endpoint}; }
  static action::Gossip from_module(const dispatch::action::SendGossip& a) { return {a.peer, a.body}; }
  static action::Log from_module(const dispatch::action::Log& a) { return {a.text}; }

  static std::vector<LearnedState> from_module(const std::vector<dispatch::LearnedState>& known) {
    std::vector<LearnedState> states;
    for (const dispatch::LearnedState& m : known) {
      LearnedState& s = states.emplace_back();
      s.endpoint = m.endpoint;
      s.destination = m.destination;
      s.health = static_cast<Health>(m.health);
      s.health_age = m.time_in_health;
      s.usual_rate = m.baseline_rate;
      s.budget = m.slow_start_budget;
      s.failures_in_row = m.consecutive_failures;
      s.failure_share = m.failure_rate;
      s.outcome_unknown = m.last_failure_possibly_executed;
      s.batch = m.batch_size;
      s.wait_left = m.retry_after_left;
      s.backoff = m.backoff_delay;
      s.send_rate = m.send_rate;
      s.rejections = m.consecutive_rejections;
      s.rejected_age = m.first_rejection_age;
      s.admission = m.admission_probability;
      s.blank = m.blank();
    }
    return states;
  }

  dispatch::Dispatcher dispatcher_;
  std::vector<dispatch::Event> module_events_;
  std::vector<dispatch::Action> module_actions_;
};

}  // namespace decisions
