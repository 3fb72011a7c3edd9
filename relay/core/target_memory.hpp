// What the module learned of its targets, as the store keeps it. No input or output here.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// The key under which the store keeps what was learned of that endpoint.
std::string target_key(const heronvane::dispatch::EndpointId& endpoint);

// With the moment when it was learned, in lasting time; nothing where the text is no such thing.
std::string write_target(const heronvane::dispatch::LearnedState& memory,
                         heronvane::dispatch::Microseconds learned);
struct LearnedTarget {
  heronvane::dispatch::LearnedState memory;
  heronvane::dispatch::Microseconds learned = 0;
};
std::optional<LearnedTarget> read_target(const heronvane::dispatch::EndpointId& endpoint,
                                         const std::string& text);

// What earlier lives learned and this one has not given back to the module yet.
class RecalledTargets {
 public:
  struct Which {
    bool health = true;  // health, ramp, delay and pace
    bool waits = true;   // told waits
  };
  RecalledTargets(const std::map<std::string, std::string>& facts, Which which,
                  heronvane::dispatch::Microseconds now);

  // Keys of `facts` that tell nothing any more: of endpoints that were not seen for a week, mostly since they
  // went while no relay ran, or that can't be read.
  const std::vector<std::string>& outdated() const { return outdated_; }

  // What was learned of an endpoint that is listed now, as an event at `now`; once. `gap`: of the time since
  // then, what only the wall clock vouches for; no wait is shortened by it.
  std::optional<heronvane::dispatch::event::LearnedStateRestored> take(
      const heronvane::dispatch::EndpointId& endpoint, heronvane::dispatch::Microseconds now,
      heronvane::dispatch::Microseconds gap);
  std::size_t size() const { return targets_.size(); }

 private:
  Which which_;
  std::vector<std::string> outdated_;
  std::map<heronvane::dispatch::EndpointId, LearnedTarget> targets_;
};

}  // namespace heronvane
