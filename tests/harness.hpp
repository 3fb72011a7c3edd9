// Drives a Dispatcher with scripted events: fixed seeds, no wall clock.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane::dispatch::testing {

constexpr Microseconds kMs = 1'000, kS = 1'000'000;

inline Settings plain() {
  Settings s;
  s.classes = {{.priority_weight = 1,
                .weight_at_deadline = 0,
                .latency_objective = 1 * kS,
                .deadline = 6 * kS,
                .idempotency = Idempotency::idempotent},
               {.priority_weight = 3,
                .weight_at_deadline = 0.3,
                .latency_objective = 2 * kS,
                .deadline = 20 * kS,
                .idempotency = Idempotency::non_idempotent},
               {.priority_weight = 1,
                .weight_at_deadline = 0.3,
                .latency_objective = 2 * kS,
                .deadline = 20 * kS,
                .idempotency = Idempotency::keyed,
                .key_window = 5 * kS}};
  s.kinds = {{}};
  s.max_concurrent_calls = 16;
  s.max_in_flight = 200;
  s.max_attempts = 8;
  s.min_decision_interval = 5 * kMs;
  s.answer_grace = 20 * kMs;
  s.collapse_period = 2 * kS;
  return s;
}

enum Class { kSafe, kUnsafe, kKeyed };

struct Sent {
  MessageId id;
  int attempt;
  EndpointId endpoint;
  Microseconds at, timeout;
};

// Drives one dispatcher: keeps the clock, counts attempts, fires timers and collects the actions.
class Relay {
 public:
  explicit Relay(const Settings& s = plain(), std::uint64_t seed = 1) : dispatcher_(s, seed) {}

  void round(std::vector<Event> events) {
    std::vector<Action> actions;
    dispatcher_.handle(now, events, actions);
    for (const auto& a : actions) {
      if (const auto* x = std::get_if<action::Send>(&a)) {
        const Sent one{x->id, attempts_[x->id]++, x->endpoint, now, x->timeout};
        sent.push_back(one);
        out.push_back(one);
      } else if (const auto* r = std::get_if<action::Reject>(&a)) {
        refused[r->id] = now;
      } else if (const auto* f = std::get_if<action::Fail>(&a)) {
        failed[f->id] = now;
      } else if (const auto* t = std::get_if<action::SetTimer>(&a)) {
        timers_.push_back(now + t->after);
      } else if (const auto* c = std::get_if<action::Cancel>(&a)) {
        cancelled[c->id] = now;
      } else if (const auto* n = std::get_if<action::SendGossip>(&a)) {
        notes.emplace_back(now, n->body);
      } else if (const auto* i = std::get_if<action::CloseIdle>(&a)) {
        idle_closed[i->endpoint].push_back(now);
      } else if (std::holds_alternative<action::Subscribe>(a)) {
        asked.push_back(now);
      } else if (const auto* l = std::get_if<action::Log>(&a)) {
        log.push_back(l->text);
      }
    }
  }
  // Fires the timers due up to `until` and sets the clock to `until`.
  void run_to(Microseconds until) {
    while (true) {
      auto it = std::min_element(timers_.begin(), timers_.end());
      if (it == timers_.end() || *it > until) break;
      now = std::max(now, *it);
      timers_.erase(it);
      round({event::TimerExpired{0}});
    }
    now = until;
  }
  void list(const std::vector<Endpoint>& endpoints) {
    round({event::EndpointListSnapshot{endpoints, false}});
  }
  void change(const Endpoint& e) { round({event::EndpointListUpdate{{e}}}); }
  MessageId arrive(Class c, DestinationId destination = 1, std::string key = "", Microseconds left = 0) {
    event::RequestArrived a;
    a.id = ++last_id_;
    a.destination = destination;
    a.message_class = c;
    a.time_left = left > 0 ? left : plain().classes[c].deadline;
    a.order_key = std::move(key);
    round({a});
    return a.id;
  }
  // Ends the oldest attempt of the message in flight.
  void end(MessageId id, Outcome outcome, Microseconds told_wait = 0) {
    round({ending(id, outcome, told_wait)});
  }
  Event ending(MessageId id, Outcome outcome, Microseconds told_wait = 0) {
    auto it = std::find_if(out.begin(), out.end(), [&](const Sent& s) { return s.id == id; });
    EXPECT_NE(it, out.end()) << "message " << id << " has nothing out";
    event::AttemptEnded e;
    e.id = id;
    e.attempt = it->attempt;
    e.endpoint = it->endpoint;
    e.outcome = outcome;
    e.latency = now - it->at;
    e.request_completed = outcome == Outcome::served;
    e.retry_after = told_wait;
    out.erase(it);
    return e;
  }
  // Runs for `span` in steps of 50 ms. `decide` gives the outcome of attempts in flight for 100 ms or more;
  // messages arrive at `rate` per second.
  template <class Decide>
  void live(Microseconds span, double rate, Class c, DestinationId destination, Decide decide) {
    const Microseconds until = now + span;
    double due = 0;
    while (now < until) {
      run_to(now + 50 * kMs);
      for (const auto& s : std::vector<Sent>(out))
        if (now - s.at >= 100 * kMs)
          if (const auto outcome = decide(s)) end(s.id, *outcome);
      for (due += rate * 0.05; due >= 1; due -= 1) arrive(c, destination);
    }
  }
  std::size_t kept() const { return dispatcher_.retained_objects(); }
  std::vector<LearnedState> learned(std::size_t most) { return dispatcher_.take_changed_state(now, most); }
  bool logged(const std::string& start) const {
    return std::any_of(log.begin(), log.end(), [&](const auto& line) { return line.rfind(start, 0) == 0; });
  }
  int sends_of(MessageId id) const {
    return static_cast<int>(
        std::count_if(sent.begin(), sent.end(), [&](const Sent& s) { return s.id == id; }));
  }
  int sends_between(Microseconds from, Microseconds to, const EndpointId& e = "") const {
    return static_cast<int>(std::count_if(sent.begin(), sent.end(), [&](const Sent& s) {
      return s.at >= from && s.at < to && (e.empty() || s.endpoint == e);
    }));
  }

  Microseconds now = 1 * kS;
  std::vector<Sent> sent, out;
  std::map<MessageId, Microseconds> refused, failed, cancelled;
  std::vector<Microseconds> asked;
  std::map<EndpointId, std::vector<Microseconds>> idle_closed;
  std::vector<std::pair<Microseconds, std::string>> notes;
  std::vector<std::string> log;

 private:
  Dispatcher dispatcher_;
  std::map<MessageId, int> attempts_;
  std::vector<Microseconds> timers_;
  MessageId last_id_ = 0;
};

}  // namespace heronvane::dispatch::testing
