// What the decision module learned of endpoints, as the durable store keeps it over restarts. No input or
// output here.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// What was learned of an endpoint, and when, by the persistent clock.
struct LearnedStateRecord {
  heronvane::dispatch::LearnedState state;
  heronvane::dispatch::Microseconds learned_at = 0;
};

// The key under which the store keeps the record of an endpoint.
std::string learned_state_key(const heronvane::dispatch::EndpointId& endpoint);

// The text that the store keeps; the endpoint is not in it.
std::string encode(const LearnedStateRecord& record);
// Nothing where the text is malformed or of another format version.
std::optional<LearnedStateRecord> decode_learned_state(const heronvane::dispatch::EndpointId& endpoint,
                                                       const std::string& text);

// What earlier incarnations learned of endpoints that this one has not seen listed yet. Not thread-safe.
class RestoredStates {
 public:
  // What is restored; all else is as if it had never been learned.
  struct Filter {
    bool health = true;  // health, slow start, backoff and send rate
    bool waits = true;   // waits by Retry-After
  };

  // `now` is a time of the persistent clock, here and below.
  RestoredStates(const std::map<std::string, std::string>& facts, Filter filter,
                 heronvane::dispatch::Microseconds now);

  // Keys of `facts` to drop: malformed records, and those of endpoints that were not seen for a week.
  const std::vector<std::string>& outdated_keys() const { return outdated_keys_; }

  // Takes out what was learned of an endpoint, as an event at `now`. Nothing where there is none, or it was
  // taken before. `gap` is the part of the time since then that only the wall clock shows: it shortens no
  // wait.
  std::optional<heronvane::dispatch::event::LearnedStateRestored> take(
      const heronvane::dispatch::EndpointId& endpoint, heronvane::dispatch::Microseconds now,
      heronvane::dispatch::Microseconds gap);

  // The number of endpoints that were not taken yet.
  std::size_t size() const { return records_.size(); }

 private:
  Filter filter_;
  std::vector<std::string> outdated_keys_;
  std::map<heronvane::dispatch::EndpointId, LearnedStateRecord> records_;
};

}  // namespace heronvane
