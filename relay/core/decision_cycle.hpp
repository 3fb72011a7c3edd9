// The decision cycle: gathers events, hands them to the decision module, and says when that happens next.
//
// Cycles are paced (cycle_pacing.hpp): what came in between two of them is decided on together. The module's
// own timers come back to it as events.
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
    // Asked as a cycle begins; false: nothing happens, until the next schedule().
    std::function<bool()> may_run;
    // The cycle's work, which calls decide() where the module is to be asked.
    std::function<void()> run;
  };
  enum class Urgency {
    usual,
    urgent  // an attempt may begin at once
  };

  DecisionCycle(boost::asio::io_context& io, const heronvane::dispatch::Settings& settings,
                std::uint64_t seed, CyclePacing pacing, Hooks hooks);

  // Hands an event to the next decide(), whenever that is; notify() sees to it that a cycle comes.
  void enqueue(heronvane::dispatch::Event event);
  void notify(heronvane::dispatch::Event event);
  // A cycle follows the last one as soon as the pacing lets it.
  void schedule(Urgency urgency = Urgency::usual);
  // A cycle now.
  void run();

  // Within a cycle: the module's decision on all events so far. Times are the cycle's start.
  std::vector<heronvane::dispatch::Action> decide();
  // The module's timer, `after` the cycle's start.
  void set_timer(Microseconds after, std::uint64_t token);
  // When the last cycle began, on the steady clock.
  Microseconds started_at() const { return started_at_; }
  // What the module learned and gives out to be stored, at most so many.
  std::vector<heronvane::dispatch::LearnedState> take_changed_state(std::size_t most);
  const heronvane::dispatch::Dispatcher& dispatcher() const { return dispatcher_; }

 private:
  void arm_timers();
  void expire_timers();

  heronvane::dispatch::Dispatcher dispatcher_;
  const Hooks hooks_;
  CyclePacing pacing_;
  std::vector<heronvane::dispatch::Event> events_;
  std::multimap<Microseconds, std::uint64_t> timers_;  // the module's, by the steady clock
  Microseconds started_at_ = 0;
  std::optional<Microseconds> due_at_;  // of the next cycle, where one is scheduled
  Timer cycle_timer_;
  Timer module_timer_;
};

}  // namespace heronvane
