// The endpoints that discovery listed as draining or gone, stored over restarts. Does no input or output.
//
// After a restart the configuration's list, or one from a discovery that lags, may list such an endpoint as
// ready. A stored listing is in force until a list of the same discovery that is not older, or a list of
// another discovery, says otherwise, or until an hour has passed. The configuration's list never overrules
// it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "endpoint_list.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// Why an endpoint must not be used.
struct Unavailability {
  heronvane::dispatch::Listing listing = heronvane::dispatch::Listing::draining;  // or gone
  std::int64_t index = 0;                       // of the list with this listing
  heronvane::dispatch::Microseconds since = 0;  // on the persistent clock
  std::string discovery;                        // address of the discovery that sent the list
};

// Encodes an entry as the text that the durable store holds.
std::string encode(const Unavailability& unavailability);
// Empty if the text is malformed.
std::optional<Unavailability> decode_unavailability(const std::string& text);

// Times are on the persistent clock. Not thread-safe.
class UnavailableEndpoints {
 public:
  // Stores a value under a key over restarts; an empty value removes the key. Returns false if the store has
  // no capacity.
  using Keep = std::function<bool(const std::string& key, const std::string& value)>;

  // Restores the entries of earlier incarnations from `facts`. Removes malformed entries, and those older
  // than an hour that `configured`, the configuration's list, does not name. `keep` is called until
  // destruction.
  UnavailableEndpoints(const std::map<std::string, std::string>& facts, const EndpointList& configured,
                       heronvane::dispatch::Microseconds now, Keep keep);

  // Returns the configuration's list without stored endpoints that are gone, and with the stored draining
  // ones as draining.
  EndpointList restrict_configured(EndpointList list) const;

  // Returns a list of `discovery` in which stale entries are overruled or left out, and stores its listings.
  EndpointList reconcile(EndpointList list, const std::string& discovery,
                         heronvane::dispatch::Microseconds now);

  // Called when a snapshot with that index no longer names the endpoint.
  void mark_gone(const heronvane::dispatch::EndpointId& endpoint, std::int64_t index,
                 const std::string& discovery, heronvane::dispatch::Microseconds now);

  std::size_t size() const { return endpoints_.size(); }

 private:
  void remember(const heronvane::dispatch::EndpointId& endpoint, Unavailability unavailability);
  void forget(const heronvane::dispatch::EndpointId& endpoint);
  // Removes the oldest entry; those that the configuration does not name go first.
  void evict_oldest();

  Keep keep_;
  std::set<heronvane::dispatch::EndpointId> configured_;  // endpoints that the configuration names
  std::map<heronvane::dispatch::EndpointId, Unavailability> endpoints_;
};

}  // namespace heronvane
