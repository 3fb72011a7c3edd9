// The relay's view of endpoints: the list from discovery and the configuration, and the state that the
// decision module learned in earlier incarnations. Passes changes on to the module.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "committer.hpp"
#include "config.hpp"
#include "core/decision_cycle.hpp"
#include "core/directory.hpp"
#include "core/learned_state_store.hpp"
#include "core/unavailable_endpoints.hpp"

namespace heronvane {

// Owned by the relay. `config`, `committer` and `cycle` must outlive it. Used on the event loop's thread
// only, where the hooks run, too.
class EndpointView {
 public:
  struct Hooks {
    // An endpoint of a list was added or its address may have changed.
    Directory::Named located;
    // An endpoint drains or is gone: no new call may begin there.
    std::function<void(const EndpointId&)> inactive;
  };

  // Reads what earlier incarnations stored about the list and about endpoints.
  EndpointView(const Config& config, Committer& committer, DecisionCycle& cycle, Hooks hooks);

  // Passes the configuration's list to the module as its first event, except where stored later lists differ.
  void start();
  // Passes the stored learned state of the endpoints listed now to the module.
  void restore_learned_state();

  // Applies a list or an update from the discovery at that address.
  void apply(EndpointList list, const std::string& discovery);
  // Passes the next part of a list to the module, if any is pending.
  void notify_next_part();
  // Passes the full list to the module if it changed while the module could not be called.
  void resynchronize();
  // Stores what the module learned since the last call, for a limited number of endpoints at a time.
  void store_learned_state();

  const Directory& directory() const { return directory_; }
  // Whether discovery has delivered a complete list to this process.
  bool list_received() const { return list_received_; }

 private:
  void notify(const std::vector<heronvane::dispatch::Endpoint>& endpoints);
  void restore(const std::vector<heronvane::dispatch::Endpoint>& endpoints);

  const Config& config_;
  Committer& committer_;
  DecisionCycle& cycle_;
  const Hooks hooks_;
  Directory directory_;
  UnavailableEndpoints unavailable_endpoints_;
  RestoredStates stored_states_;  // of earlier incarnations, not passed to the module yet
  std::deque<std::vector<heronvane::dispatch::Endpoint>> parts_;  // of lists, not passed to the module yet
  bool list_received_ = false;
  bool resync_due_ = false;  // the list changed while the module could not be called
};

}  // namespace heronvane
