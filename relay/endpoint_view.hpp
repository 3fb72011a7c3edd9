// What the relay knows of endpoints: the list as discovery and the configuration tell it, and what the
// decision module learned in earlier incarnations. Tells the module of changes.
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

// Owned by the relay, outlived by it, by `config`, `committer` and `cycle`; called on the event loop's thread
// only, and calls back there.
class EndpointView {
 public:
  struct Hooks {
    // Where an endpoint of a list is found.
    Directory::Named located;
    // An endpoint drains or is gone: nothing that has not begun is sent there.
    std::function<void(const EndpointId&)> inactive;
  };

  // Takes back what earlier incarnations stored of the list and of endpoints.
  EndpointView(const Config& config, Committer& committer, DecisionCycle& cycle, Hooks hooks);

  // Takes the configuration's list, as far as later lists do not say otherwise, as the module's first event.
  void start();
  // Gives the module what was learned earlier of the endpoints that are listed now.
  void restore_learned_state();

  // A list or changes of one, as told by discovery at that address.
  void apply(EndpointList list, const std::string& discovery);
  // Tells the module the next part of a list that is told in parts.
  void notify_next_part();
  // Tells the module the whole list, where it changed while the module could not be asked.
  void resynchronize();
  // Stores what the module has learned since.
  void store_learned_state();

  const Directory& directory() const { return directory_; }
  // Whether discovery has told a complete list to this process.
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
  RestoredStates stored_states_;  // by earlier incarnations, not given back to the module yet
  std::deque<std::vector<heronvane::dispatch::Endpoint>> parts_;  // of lists, not told to the module yet
  bool list_received_ = false;
  bool resync_due_ = false;  // the list changed while the module could not be asked
};

}  // namespace heronvane
