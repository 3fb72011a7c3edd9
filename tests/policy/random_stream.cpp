#include "random_stream.hpp"

#include <algorithm>

namespace heronvane::dispatch::testing {
namespace {

constexpr Microseconds kMs = 1'000, kS = 1'000'000;
constexpr Microseconds kFar = 3'600 * kS;

}  // namespace

RandomStream::RandomStream(std::uint64_t seed) : random_(seed) {
  Settings& s = settings_;
  const auto classes = 1 + roll(3);
  for (std::uint64_t i = 0; i < classes; i++) {
    ClassSettings c;
    c.priority_weight = 1 + static_cast<double>(roll(4));
    c.weight_at_deadline = chance(30) ? 0 : chance(10) ? 1 : static_cast<double>(roll(9)) / 10;
    c.latency_objective = static_cast<Microseconds>(100 + roll(1'500)) * kMs;
    c.deadline =
        chance(10) ? c.latency_objective : c.latency_objective + static_cast<Microseconds>(roll(6'000)) * kMs;
    c.idempotency = static_cast<Idempotency>(roll(3));
    c.key_scope = static_cast<KeyScope>(roll(3));
    c.key_window = static_cast<Microseconds>(1 + roll(5)) * kS;
    c.ordered = chance(30);
    s.classes.push_back(c);
  }
  const auto kinds = 1 + roll(2);
  for (std::uint64_t i = 0; i < kinds; i++)
    s.kinds.push_back({chance(50), chance(50) ? 1 : 2 + static_cast<int>(roll(8))});
  if (chance(30)) s.tenants = {{5}, {50}}, s.over_quota_weight = 0.2;
  if (chance(30)) s.zone_costs = {0, 0.5};
  s.decay = chance(50) ? WeightDecay::half_life : WeightDecay::linear;
  s.relays = chance(50) ? 1 : 2 + static_cast<int>(roll(300));
  s.max_concurrent_calls = 1 + static_cast<int>(roll(chance(50) ? 5 : 60));
  s.max_in_flight = 5 + static_cast<int>(roll(200));
  s.max_attempts = 1 + static_cast<int>(roll(8));
  s.cancellation = chance(70), s.gossip = chance(50), s.list_subscription = chance(30);
  s.min_decision_interval = static_cast<Microseconds>(1 + roll(10)) * kMs;
  s.answer_grace = 20 * kMs, s.drain_grace = kS;
  s.key_quiet_period = static_cast<Microseconds>(roll(2'000)) * kMs;
  s.collapse_period = kS, s.slow_start_window = static_cast<Microseconds>(1 + roll(8)) * kS;
  destinations_ = 1 + roll(chance(20) ? 40 : 5);
  const auto count = destinations_ + roll(2 * destinations_ + 1);
  for (std::uint64_t i = 0; i < count; i++) {
    Endpoint e;
    e.id = "e-" + std::to_string(i);
    e.destination = static_cast<DestinationId>(i % destinations_ + 1);
    e.zone = static_cast<int>(roll(2));
    e.kind = static_cast<int>(static_cast<std::uint64_t>(e.destination) % kinds);
    endpoints_.push_back(e);
    ways_.push_back(chance(50) ? 0 : chance(30) ? 100 : static_cast<int>(roll(60)));
  }
  most_rounds_ = 40 + static_cast<int>(roll(300));
  busy_ = 5 + static_cast<int>(roll(90));
}

event::RequestArrived RandomStream::arrival() {
  event::RequestArrived a;
  a.id = ++last_id_;
  a.destination = static_cast<DestinationId>(1 + roll(destinations_ + (chance(2) ? 2 : 0)));
  a.message_class = static_cast<int>(roll(settings_.classes.size()));
  const auto& c = settings_.classes[static_cast<std::size_t>(a.message_class)];
  a.time_left =
      chance(60) ? c.deadline : static_cast<Microseconds>(roll(static_cast<std::uint64_t>(2 * c.deadline)));
  a.tenant = settings_.tenants.empty() ? -1 : static_cast<int>(roll(settings_.tenants.size()));
  if (chance(30)) a.order_key = "k" + std::to_string(roll(4));
  attempts_[a.id] = 0;
  return a;
}

void RandomStream::arrivals(std::vector<Event>& events) {
  if (burst_ == 0 && chance(2)) burst_ = 1 + static_cast<int>(roll(6));
  const auto many = burst_ > 0 ? roll(40) : chance(busy_) ? 1 + roll(3) : 0;
  burst_ -= burst_ > 0;
  for (std::uint64_t i = 0; i < many; i++) events.emplace_back(arrival());
}

void RandomStream::lists(std::vector<Event>& events) {
  const auto say = [&](Endpoint e) {
    e.listing = chance(70) ? Listing::active : chance(50) ? Listing::draining : Listing::gone;
    return e;
  };
  if (rounds_ == 0 || chance(1)) {
    event::EndpointListSnapshot whole;
    for (const auto& e : endpoints_)
      if (rounds_ == 0 || !chance(15)) whole.endpoints.push_back(rounds_ == 0 ? e : say(e));
    whole.cached = chance(30);
    events.emplace_back(std::move(whole));
  } else if (chance(3)) {
    event::EndpointListUpdate changes;
    for (auto n = 1 + roll(3); n > 0; n--) {
      Endpoint& e = endpoints_[roll(endpoints_.size())];
      // The endpoint moves to another destination.
      if (chance(5)) e.destination = static_cast<DestinationId>(1 + roll(destinations_));
      changes.endpoints.push_back(say(e));
    }
    events.emplace_back(std::move(changes));
  } else if (chance(1)) {
    events.emplace_back(event::EndpointListFailed{});
  }
  if (chance(3)) ways_[roll(ways_.size())] = chance(50) ? 0 : 100;
}

void RandomStream::others(std::vector<Event>& events) {
  if (settings_.gossip && chance(3))
    events.emplace_back(event::GossipReceived{1, "1re-" + std::to_string(roll(endpoints_.size()))});
  if (!attempts_.empty() && chance(2)) {
    auto it = attempts_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(roll(attempts_.size())));
    // Only for messages without an attempt in flight.
    const auto out =
        std::any_of(calls_.begin(), calls_.end(), [&](const Call& c) { return c.id == it->first; });
    if (!out) events.emplace_back(event::RequestWithdrawn{it->first}), attempts_.erase(it);
  }
  // A backlog at the start, or one more later.
  for (auto left = rounds_ == 0 ? (chance(30) ? 1 + roll(40) : 0) : std::uint64_t{chance(1)}; left > 0;
       left--) {
    event::RequestRecovered r;
    r.message = arrival();
    r.attempts = chance(50) ? 0 : static_cast<int>(roll(3));
    attempts_[r.message.id] = r.attempts;
    r.tried = r.attempts > 0 && chance(70);
    if (r.attempts > 0 && chance(50)) r.possibly_executed_zone = static_cast<int>(roll(2)), r.tried = true;
    r.possibly_executed_age = static_cast<Microseconds>(roll(3'000)) * kMs;
    events.emplace_back(std::move(r));
  }
  for (auto left = chance(rounds_ == 0 ? 30 : 1) ? 1 + roll(rounds_ == 0 ? 4 : 1) : 0; left > 0; left--) {
    event::LearnedStateRestored t;
    const auto& e = endpoints_[roll(endpoints_.size())];
    t.state.endpoint = e.id, t.state.destination = e.destination;
    t.state.health = static_cast<Health>(roll(3));
    t.state.time_in_health = static_cast<Microseconds>(roll(5'000)) * kMs;
    t.state.baseline_rate = static_cast<double>(roll(50)) / 10;
    t.state.slow_start_budget = static_cast<double>(roll(10)) / 10;
    t.state.consecutive_failures = static_cast<int>(roll(4));
    t.state.retry_after_left = chance(30) ? static_cast<Microseconds>(roll(2'000)) * kMs : 0;
    t.state.send_rate = chance(30) ? 1 + static_cast<double>(roll(20)) : 0;
    t.state.consecutive_rejections = static_cast<int>(roll(4));
    t.state.admission_probability = chance(30) ? 0.1 : 1;
    t.age = static_cast<Microseconds>(roll(4'000)) * kMs;
    events.emplace_back(std::move(t));
  }
}

RandomStream::Round RandomStream::next(Microseconds timer) {
  Round round;
  if (rounds_ > 0) {
    const Microseconds step = chance(30) ? settings_.min_decision_interval
                                         : static_cast<Microseconds>(roll(chance(10) ? 1'500 : 60)) * kMs;
    const Microseconds at = now_ + std::max(step, settings_.min_decision_interval);
    round.timer_alone = timer <= at;
    now_ = std::max(std::min(at, timer), now_ + settings_.min_decision_interval);
  }
  round.at = now_;
  if (round.timer_alone) round.events.emplace_back(event::TimerExpired{0});
  for (std::size_t i = 0; i < calls_.size();) {
    const Call c = calls_[i];
    if (c.ends > now_) {
      i++;
      continue;
    }
    calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(i));
    event::AttemptEnded e;
    e.id = c.id, e.attempt = c.attempt, e.endpoint = c.endpoint, e.outcome = c.outcome;
    e.latency = now_ - c.sent;
    e.request_completed = c.outcome == Outcome::served;
    if (c.outcome == Outcome::rejected && chance(40))
      e.retry_after = static_cast<Microseconds>(roll(1'500)) * kMs;
    if (e.request_completed) attempts_.erase(e.id);
    round.events.emplace_back(std::move(e));
    round.timer_alone = false;
  }
  // Sometimes a timer that ends the wait is the round's only event.
  if (!round.timer_alone || chance(50)) {
    round.timer_alone = false;
    lists(round.events);
    others(round.events);
    arrivals(round.events);
  }
  rounds_++;
  return round;
}

void RandomStream::decided(const std::vector<Action>& actions) {
  for (const auto& a : actions) {
    if (const auto* s = std::get_if<action::Send>(&a)) {
      sends_++;
      Call c{s->id, attempts_[s->id]++, s->endpoint, now_, 0, Outcome::served};
      const auto i = static_cast<std::size_t>(std::stoi(s->endpoint.substr(2)));
      if (chance(ways_[i])) {
        const Outcome bad[] = {Outcome::error, Outcome::rejected, Outcome::rejected,       Outcome::timeout,
                               Outcome::reset, Outcome::rejected, Outcome::connect_failed, Outcome::not_sent};
        c.outcome = bad[roll(std::size(bad))];
      }
      const Microseconds takes =
          chance(5) ? kFar : static_cast<Microseconds>(roll(chance(20) ? 900 : 60)) * kMs;
      c.ends = now_ + std::min(takes, s->timeout);
      if (takes >= s->timeout) c.outcome = Outcome::timeout;
      calls_.push_back(c);
    } else if (const auto* x = std::get_if<action::Cancel>(&a)) {
      for (auto& c : calls_)
        if (c.id == x->id && c.attempt == x->attempt) c.ends = now_, c.outcome = Outcome::cancelled;
    } else if (const auto* r = std::get_if<action::Reject>(&a)) {
      attempts_.erase(r->id);
    } else if (const auto* f = std::get_if<action::Fail>(&a)) {
      attempts_.erase(f->id);
    }
  }
}

}  // namespace heronvane::dispatch::testing
