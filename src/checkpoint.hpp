// The learned state that outlives the process: what of it has changed since it was last returned for storing.
//
// Nothing here may affect a decision; no random numbers are drawn.
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

// The least time between two records of one endpoint without an urgent change, in seconds.
constexpr double kCheckpointGapSeconds = 1;

// Collects what changed since it was last returned for storing.
class Checkpoint : public ForgottenListener {
 public:
  // Both must outlive it.
  Checkpoint(const Settings& settings, const SlowStartPolicy& slow_start)
      : settings_(settings), slow_start_(slow_start) {}

  // Changes of the endpoint and of its scope are due to be returned at `moment` at the latest.
  void schedule(EndpointState& endpoint, Microseconds moment);
  // To be called after each outcome. Cheap, because mostly nothing has changed or a check is due already.
  void schedule_after_outcome(EndpointState& endpoint, Microseconds now);
  // Notes that the store holds a record of the endpoint.
  static void mark_stored(EndpointState& endpoint);

  // Dispatcher::take_changed_state.
  std::vector<LearnedState> take_changed(Microseconds now, std::size_t max_entries,
                                         EndpointRegistry& registry);
  // Dispatcher::endpoint_states. `now`: of the last pass; `at`: of the observer.
  void observe(Microseconds now, Microseconds at, std::size_t max_entries, const EndpointRegistry& registry,
               std::vector<LearnedState>& states) const;

  void endpoint_forgotten(const EndpointState& endpoint) override;
  void destination_forgotten(DestinationId id, const DestinationState& destination) override;

  // How many changes are kept to be returned.
  std::size_t size() const { return due_.size() + forgotten_.size(); }

 private:
  // Refers to its scope by id, because endpoints and destinations may be forgotten.
  struct Due {
    Microseconds at = 0;
    bool is_endpoint = false;  // the scope is a single endpoint's
    DestinationId destination = 0;
    EndpointId endpoint;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
    auto operator<=>(const Due&) const = default;
  };

  LearnedState state_of(const EndpointState& endpoint, const ScopeState& scope, Microseconds now) const;
  void collect_changes(ScopeState& scope, const std::vector<EndpointState*>& endpoints,
                       std::size_t max_entries, Microseconds now, std::vector<LearnedState>& returned);
  // When `state` may be returned: now, later, or kNever where it contains no change.
  static Microseconds due_for_return_at(const EndpointState& endpoint, const ScopeState& scope,
                                        const LearnedState& state, Microseconds now);
  static bool has_changed(const EndpointState& endpoint, const ScopeState& scope, const LearnedState& state,
                          Microseconds now);
  // When the stored state becomes blank by time alone; kNever where that takes more than time.
  Microseconds blank_at(const EndpointState& endpoint, const ScopeState& scope, Microseconds now) const;

  const Settings& settings_;
  const SlowStartPolicy& slow_start_;
  std::set<Due> due_;                   // scopes to be examined for changes, soonest first
  std::deque<LearnedState> forgotten_;  // blank records of forgotten endpoints that the store still holds
};

}  // namespace heronvane::dispatch
