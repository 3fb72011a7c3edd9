// The decision cycle: collects events, passes them to the decision module, and schedules the next cycle.
//
// Cycles are paced (cycle_pacing.hpp): all events that arrive between two cycles are decided on together. The
// module's own timers are returned to it as events.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "clock.hpp"
#include "core/cycle_pacing.hpp"
#include "core/timer.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// Owned by the relay, outlived by it; called on the event loop's thread only, and calls back there.
class DecisionCycle {
 public:
  struct Hooks {
    // Called before a cycle; if it returns false, the cycle is skipped, and the next one needs a schedule().
    std::function<bool()> may_run;
    // Does the cycle's work, and calls decide() to ask the module.
    std::function<void()> run;
  };
  enum class Urgency {
    usual,
    urgent  // an attempt may begin at once
  };

  DecisionCycle(boost::asio::io_context& io, const heronvane::dispatch::Settings& settings,
                std::uint64_t seed, CyclePacing pacing, Hooks hooks);

  // Add an event for the next decide(). enqueue() schedules no cycle, notify() does.
  void enqueue(heronvane::dispatch::Event event);
  void notify(heronvane::dispatch::Event event);
  // Schedules a cycle for the earliest time that the pacing allows.
  void schedule(Urgency urgency = Urgency::usual);
  // Runs a cycle at once.
  void run();

  // Called within a cycle: returns the module's actions for all events so far. The module's current time is
  // the start of the cycle.
  std::vector<heronvane::dispatch::Action> decide();
  // Sets a timer of the module, `after` microseconds from the start of the cycle.
  void set_timer(Microseconds after, std::uint64_t token);
  // The start of the last cycle, on the steady clock.
  Microseconds started_at() const { return started_at_; }
  // Takes at most `most` changed endpoint states from the module, to be stored.
  std::vector<heronvane::dispatch::LearnedState> take_changed_state(std::size_t most);
  const heronvane::dispatch::Dispatcher& dispatcher() const { return dispatcher_; }

 private:
  void arm_timers();
  void expire_timers();

  heronvane::dispatch::Dispatcher dispatcher_;
  const Hooks hooks_;
  CyclePacing pacing_;
  std::vector<heronvane::dispatch::Event> events_;
  std::multimap<Microseconds, std::uint64_t> timers_;  // the module's, by due time on the steady clock
  Microseconds started_at_ = 0;
  std::optional<Microseconds> due_at_;  // due time of the next cycle; empty: none is scheduled
  Timer cycle_timer_;
  Timer module_timer_;
};

}  // namespace heronvane
