#include "core/decision_cycle.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace heronvane {
namespace {

// The time from now until `moment`; 0 if it has passed.
std::chrono::microseconds until(Microseconds moment) {
  return std::chrono::microseconds(std::max<Microseconds>(moment - steady_now(), 0));
}

}  // namespace

DecisionCycle::DecisionCycle(boost::asio::io_context& io, const heronvane::dispatch::Settings& settings,
                             std::uint64_t seed, CyclePacing pacing, Hooks hooks)
    : dispatcher_(settings, seed),
      hooks_(std::move(hooks)),
      pacing_(pacing),
      cycle_timer_(io),
      module_timer_(io) {}

void DecisionCycle::enqueue(heronvane::dispatch::Event event) { events_.push_back(std::move(event)); }

void DecisionCycle::notify(heronvane::dispatch::Event event) {
  enqueue(std::move(event));
  schedule();
}

void DecisionCycle::schedule(Urgency urgency) {
  const Microseconds gap = urgency == Urgency::urgent ? pacing_.urgent() : pacing_.usual();
  const Microseconds at = started_at_ + gap;
  if (due_at_ && *due_at_ <= at) return;
  due_at_ = at;
  cycle_timer_.set(until(at), [this] { run(); });
}

void DecisionCycle::run() {
  due_at_.reset();
  if (!hooks_.may_run()) return;
  started_at_ = steady_now();
  hooks_.run();
  pacing_.record_duration(steady_now() - started_at_);
}

std::vector<heronvane::dispatch::Action> DecisionCycle::decide() {
  std::vector<heronvane::dispatch::Action> actions;
  const auto events = std::exchange(events_, {});
  dispatcher_.handle(started_at_, events, actions);
  return actions;
}

std::vector<heronvane::dispatch::LearnedState> DecisionCycle::take_changed_state(std::size_t most) {
  return dispatcher_.take_changed_state(started_at_, most);
}

void DecisionCycle::set_timer(Microseconds after, std::uint64_t token) {
  timers_.emplace(started_at_ + after, token);
  arm_timers();
}

void DecisionCycle::arm_timers() {
  if (timers_.empty()) return;
  module_timer_.set(until(timers_.begin()->first), [this] {
    expire_timers();
    arm_timers();
  });
}

void DecisionCycle::expire_timers() {
  const Microseconds now = steady_now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    notify(heronvane::dispatch::event::TimerExpired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
}

}  // namespace heronvane
