// What the module learned of its targets, as the store keeps it. No input or output here.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// The key under which the store keeps what was learned of that endpoint.
std::string learned_state_key(const heronvane::dispatch::EndpointId& endpoint);

// With the moment when it was learned, in lasting time; nothing where the text is no such thing.
std::string write_target(const heronvane::dispatch::LearnedState& memory,
                         heronvane::dispatch::Microseconds learned);
struct LearnedStateRecord {
  heronvane::dispatch::LearnedState memory;
  heronvane::dispatch::Microseconds learned = 0;
};
std::optional<LearnedStateRecord> decode_learned_state(const heronvane::dispatch::EndpointId& endpoint,
                                                       const std::string& text);

// What earlier lives learned and this one has not given back to the module yet.
class RestoredStates {
 public:
  struct Filter {
    bool health = true;  // health, ramp, delay and pace
    bool waits = true;   // told waits
  };
  RestoredStates(const std::map<std::string, std::string>& facts, Filter which,
                 heronvane::dispatch::Microseconds now);

  // Keys of `facts` that tell nothing any more: of endpoints that were not seen for a week, mostly since they
  // went while no relay ran, or that can't be read.
  const std::vector<std::string>& outdated_keys() const { return outdated_keys_; }

  // What was learned of an endpoint that is listed now, as an event at `now`; once. `gap`: of the time since
  // then, what only the wall clock vouches for; no wait is shortened by it.
  std::optional<heronvane::dispatch::event::LearnedStateRestored> take(
      const heronvane::dispatch::EndpointId& endpoint, heronvane::dispatch::Microseconds now,
      heronvane::dispatch::Microseconds gap);
  std::size_t size() const { return records_.size(); }

 private:
  Filter filter_;
  std::vector<std::string> outdated_keys_;
  std::map<heronvane::dispatch::EndpointId, LearnedStateRecord> records_;
};

}  // namespace heronvane
