// The binding to the module's API as of commit bdb4907: namespace cedarplank.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "cedarplank/dispatcher.hpp"
#include "types.hpp"

namespace decisions {

class Binding {
 public:
  // Throws std::invalid_argument where the module refuses the settings.
  Binding(const Settings& settings, std::uint64_t seed) : dispatcher_(to_module(settings), seed) {}

  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions) {
    module_events_.clear();
    module_actions_.clear();
    for (const Event& e : events)
      module_events_.push_back(std::visit([](const auto& x) { return cedarplank::Event(to_module(x)); }, e));
    dispatcher_.handle(now, module_events_, module_actions_);
    for (const cedarplank::Action& a : module_actions_)
      actions.push_back(std::visit([](const auto& x) { return Action(from_module(x)); }, a));
  }

  std::vector<LearnedState> learned(Micros now, std::size_t most) {
    return from_module(dispatcher_.learned(now, most));
  }
  std::vector<LearnedState> observed(Micros now, std::size_t most) const {
    std::vector<cedarplank::TargetMemory> known;
    dispatcher_.targets(now, most, known);
    return from_module(known);
  }
  std::size_t waiting() const { return dispatcher_.waiting(); }
  std::size_t kept() const { return dispatcher_.kept(); }

 private:
  static cedarplank::ClassSettings to_module(const ClassSettings& s) {
    cedarplank::ClassSettings m;
    m.worth = s.priority_weight;
    m.late_worth = s.weight_at_deadline;
    m.aim = s.latency_objective;
    m.deadline = s.deadline;
    m.effect = static_cast<cedarplank::Effect>(s.idempotency);
    m.group = static_cast<cedarplank::KeyGroup>(s.key_scope);
    m.key_window = s.key_window;
    m.ordered = s.ordered;
    return m;
  }
  static cedarplank::Settings to_module(const Settings& s) {
    cedarplank::Settings m;
    for (const ClassSettings& c : s.classes) m.classes.push_back(to_module(c));
    for (const KindSettings& k : s.kinds) m.kinds.push_back({k.separate_endpoints, k.batch_max});
    for (const double quota : s.tenant_quotas_per_s) m.tenants.push_back({quota});
    m.zone_fees = s.zone_fees;
    m.decay = static_cast<cedarplank::Decay>(s.decay);
    m.weights = static_cast<cedarplank::WeightKind>(s.weights);
    m.over_share_worth = s.over_quota_weight;
    m.relays = s.relays;
    m.rank = s.relay_index;
    m.zone = s.zone;
    m.slots = s.slots;
    m.open_max = s.in_flight_max;
    m.attempts_max = s.attempts_max;
    m.second_copies = s.hedging;
    m.cancelling = s.cancelling;
    m.probes = s.health_checks;
    m.peers = s.gossip;
    m.subscribe = s.subscribe;
    m.tick = s.tick;
    m.connect_timeout = s.connect_timeout;
    m.connection_idle = s.connection_idle;
    m.retry_after_max = s.retry_after_max;
    m.answer_slack = s.answer_slack;
    m.drain_grace = s.drain_grace;
    m.must_ask_in = s.poll_interval_max;
    m.settle_after_doubt = s.key_quiet_period;
    m.fall_multiple = s.collapse_factor;
    m.overload_for = s.overload_span;
    m.cold_from = s.slow_start_share;
    m.cold = s.slow_start_window;
    return m;
  }
  static cedarplank::Endpoint to_module(const Endpoint& e) {
    return {e.id,     e.destination, e.zone, e.kind, static_cast<cedarplank::Listing>(e.listing),
            e.weight, e.added_at};
  }
  static std::vector<cedarplank::Endpoint> to_module(const std::vector<Endpoint>& list) {
    std::vector<cedarplank::Endpoint> m;
    for (const Endpoint& e : list) m.push_back(to_module(e));
    return m;
  }

  static cedarplank::event::ListWhole to_module(const event::ListComplete& e) {
    return {to_module(e.endpoints), e.cached};
  }
  static cedarplank::event::ListChanges to_module(const event::ListChanges& e) {
    return {to_module(e.endpoints)};
  }
  static cedarplank::event::ListFailed to_module(const event::ListFailed&) { return {}; }
  static cedarplank::event::Arrival to_module(const event::Arrival& e) {
    return {e.id, e.destination, e.request_class, e.tenant, e.time_left, e.order_key, e.repeated};
  }
  static cedarplank::event::Recovered to_module(const event::Recovered& e) {
    return {to_module(e.request), e.attempts, e.attempted, e.possibly_executed_zone, e.possibly_executed_ago};
  }
  static cedarplank::event::TargetRecalled to_module(const event::Restored& e) {
    const LearnedState& s = e.state;
    cedarplank::TargetMemory m;
    m.endpoint = s.endpoint;
    m.destination = s.destination;
    m.health = static_cast<cedarplank::Health>(s.health);
    m.health_age = s.health_age;
    m.usual_rate = s.usual_rate;
    m.budget = s.budget;
    m.fail_run = s.failures_in_row;
    m.fail_share = s.failure_share;
    m.doubt = s.outcome_unknown;
    m.bundle = s.batch;
    m.wait_left = s.wait_left;
    m.delay = s.backoff;
    m.pace = s.send_rate;
    m.refusals = s.rejections;
    m.refused_age = s.rejected_age;
    m.let_through = s.admission;
    return {m, e.age};
  }
  static cedarplank::event::AttemptEnded to_module(const event::AttemptEnded& e) {
    return {e.id,      e.attempt, e.endpoint,    static_cast<cedarplank::Outcome>(e.outcome),
            e.latency, e.closed,  e.retry_after, {e.limit_left, e.limit_rate}};
  }
  static cedarplank::event::Withdrawn to_module(const event::Withdrawn& e) { return {e.id}; }
  static cedarplank::event::TimerDue to_module(const event::TimerDue& e) { return {e.token}; }
  static cedarplank::event::ProbeEnded to_module(const event::HealthCheckEnded& e) {
    return {e.endpoint, static_cast<cedarplank::Outcome>(e.outcome), e.latency, {}};
  }
  static cedarplank::event::PeerNote to_module(const event::Gossip& e) { return {e.from, e.body}; }

  static action::Send from_module(const cedarplank::action::Send& a) {
    return {a.id, a.endpoint, a.timeout, a.begin_within};
  }
  static action::Reject from_module(const cedarplank::action::Refuse& a) { return {a.id, a.come_back}; }
  static action::Fail from_module(const cedarplank::action::Fail& a) { return {a.id}; }
  static action::Cancel from_module(const cedarplank::action::Cancel& a) { return {a.id, a.attempt}; }
  static action::CloseIdle from_module(const cedarplank::action::CloseIdle& a) { return {a.endpoint}; }
  static action::SetTimer from_module(const cedarplank::action::SetTimer& a) { return {a.after, a.token}; }
  static action::FetchList from_module(const cedarplank::action::FetchList&) { return {}; }
  static action::Subscribe from_module(const cedarplank::action::Subscribe& a) { return {a.on}; }
  static action::HealthCheck from_module(const cedarplank::action::Probe& a) { return {a.endpoint}; }
  static action::Gossip from_module(const cedarplank::action::TellPeer& a) { return {a.whom, a.body}; }
  static action::Log from_module(const cedarplank::action::Log& a) { return {a.text}; }

  static std::vector<LearnedState> from_module(const std::vector<cedarplank::TargetMemory>& known) {
    std::vector<LearnedState> states;
    for (const cedarplank::TargetMemory& m : known) {
      LearnedState& s = states.emplace_back();
      s.endpoint = m.endpoint;
      s.destination = m.destination;
      s.health = static_cast<Health>(m.health);
      s.health_age = m.health_age;
      s.usual_rate = m.usual_rate;
      s.budget = m.budget;
      s.failures_in_row = m.fail_run;
      s.failure_share = m.fail_share;
      s.outcome_unknown = m.doubt;
      s.batch = m.bundle;
      s.wait_left = m.wait_left;
      s.backoff = m.delay;
      s.send_rate = m.pace;
      s.rejections = m.refusals;
      s.rejected_age = m.refused_age;
      s.admission = m.let_through;
      s.blank = m.blank();
    }
    return states;
  }

  cedarplank::Dispatcher dispatcher_;
  std::vector<cedarplank::Event> module_events_;
  std::vector<cedarplank::Action> module_actions_;
};

}  // namespace decisions
