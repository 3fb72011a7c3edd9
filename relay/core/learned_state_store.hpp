// The decision module's learned state of endpoints, as the durable store holds it over restarts. Does no
// input or output.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// The learned state of an endpoint, and the time of learning on the persistent clock.
struct LearnedStateRecord {
  heronvane::dispatch::LearnedState state;
  heronvane::dispatch::Microseconds learned_at = 0;
};

// The key under which the store keeps the record of an endpoint.
std::string learned_state_key(const heronvane::dispatch::EndpointId& endpoint);

// Encodes a record as the text that the store holds, without the endpoint's id.
std::string encode(const LearnedStateRecord& record);
// Empty if the text is malformed or has another format version.
std::optional<LearnedStateRecord> decode_learned_state(const heronvane::dispatch::EndpointId& endpoint,
                                                       const std::string& text);

// The states that earlier incarnations learned, for endpoints that this one has not seen listed yet. Not
// thread-safe.
class RestoredStates {
 public:
  // Which parts of the state are restored; all others are dropped.
  struct Filter {
    bool health = true;  // health, slow start, backoff and send rate
    bool waits = true;   // Retry-After waits
  };

  // `now` is on the persistent clock, here and below.
  RestoredStates(const std::map<std::string, std::string>& facts, Filter filter,
                 heronvane::dispatch::Microseconds now);

  // Keys of `facts` to remove: of malformed records, and of records older than a week.
  const std::vector<std::string>& outdated_keys() const { return outdated_keys_; }

  // Removes the state of an endpoint and returns it as an event at `now`; empty if there is none or it was
  // taken before. `gap` is the part of the elapsed time that only the wall clock shows; it does not shorten
  // waits.
  std::optional<heronvane::dispatch::event::LearnedStateRestored> take(
      const heronvane::dispatch::EndpointId& endpoint, heronvane::dispatch::Microseconds now,
      heronvane::dispatch::Microseconds gap);

  // The number of endpoints whose states were not taken yet.
  std::size_t size() const { return records_.size(); }

 private:
  Filter filter_;
  std::vector<std::string> outdated_keys_;
  std::map<heronvane::dispatch::EndpointId, LearnedStateRecord> records_;
};

}  // namespace heronvane
