// The learned state that outlasts the process: what of it has changed since it was last given to the store.
//
// Nothing here may change a decision: it draws nothing.
#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <set>
#include <vector>

#include "endpoint_registry.hpp"
#include "endpoint_state.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "slow_start.hpp"

namespace heronvane::dispatch {

// Between two records of one endpoint that tell nothing urgent, in seconds.
constexpr double kCheckpointGapSeconds = 1;

// Collects what changed since it was last given out to be stored.
class Checkpoint : public ForgottenListener {
 public:
  // Both must outlive it.
  Checkpoint(const Settings& settings, const SlowStartPolicy& slow_start)
      : settings_(settings), slow_start_(slow_start) {}

  // Changes of the endpoint and of its scope are given out at `moment` at the latest.
  void schedule(EndpointState& endpoint, Microseconds moment);
  // After each outcome: nearly always there is nothing to give, or it is due already.
  void schedule_after_outcome(EndpointState& endpoint, Microseconds now);
  // The store holds a record of the endpoint.
  static void mark_stored(EndpointState& endpoint);

  // Dispatcher::take_changed_state.
  std::vector<LearnedState> take_changed(Microseconds now, std::size_t most, EndpointRegistry& registry);
  // Dispatcher::endpoint_states. `now`: of the last pass; `at`: of the observer.
  void observe(Microseconds now, Microseconds at, std::size_t most, const EndpointRegistry& registry,
               std::vector<LearnedState>& known) const;

  void endpoint_forgotten(const EndpointState& endpoint) override;
  void destination_forgotten(DestinationId id, const DestinationState& destination) override;

  // How many changes are kept to be given out.
  std::size_t size() const { return due_.size() + forgotten_.size(); }

 private:
  // Names its scope by id: endpoints come and go.
  struct Due {
    Microseconds at = 0;
    bool is_endpoint = false;  // the scope is a single endpoint's
    DestinationId destination = 0;
    EndpointId endpoint;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const Due&) const = default;
  };

  LearnedState state_of(const EndpointState& endpoint, const ScopeState& scope, Microseconds now) const;
  void give_scope(ScopeState& scope, const std::vector<EndpointState*>& endpoints, std::size_t most,
                  Microseconds now, std::vector<LearnedState>& given);
  // When `state` may be given: now, later, or kNever where it tells nothing new.
  static Microseconds give_at(const EndpointState& endpoint, const ScopeState& scope,
                              const LearnedState& state, Microseconds now);
  static bool has_changed(const EndpointState& endpoint, const ScopeState& scope, const LearnedState& state,
                          Microseconds now);
  // When what was given is blank with time alone; kNever where it takes more than that.
  Microseconds blank_at(const EndpointState& endpoint, const ScopeState& scope, Microseconds now) const;

  const Settings& settings_;
  const SlowStartPolicy& slow_start_;
  std::set<Due> due_;                   // scopes with changes to give out, soonest first
  std::deque<LearnedState> forgotten_;  // blank records of endpoints that were given and are forgotten
};

}  // namespace heronvane::dispatch
