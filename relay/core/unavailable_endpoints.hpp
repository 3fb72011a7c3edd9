// The endpoints that discovery listed as draining or gone, kept over restarts. No input or output here.
//
// After a restart the configuration's list, or one from a discovery that lags, may name such an endpoint as
// ready. What discovery said holds until a list of the same discovery that is not older says otherwise, or a
// list of another discovery does, or an hour is over. The configuration's list never overrules it.
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

// Why an endpoint is not to be used.
struct Unavailability {
  heronvane::dispatch::Listing listing = heronvane::dispatch::Listing::draining;  // or gone
  std::int64_t index = 0;                                                         // of the list that said so
  heronvane::dispatch::Microseconds since = 0;  // time of the persistent clock
  std::string discovery;                        // the address of the discovery that said so
};

// The text that the durable store keeps.
std::string encode(const Unavailability& unavailability);
// Nothing where the text is malformed.
std::optional<Unavailability> decode_unavailability(const std::string& text);

// Times are those of the persistent clock. Not thread-safe.
class UnavailableEndpoints {
 public:
  // Keeps a value by its key over restarts; an empty value drops the key. False where there is no room.
  using Keep = std::function<bool(const std::string& key, const std::string& value)>;

  // Restores from `facts` what earlier incarnations kept. Drops what is malformed, or older than an hour and
  // not named by `configured`, the configuration's list. `keep` is called while this lives.
  UnavailableEndpoints(const std::map<std::string, std::string>& facts, const EndpointList& configured,
                       heronvane::dispatch::Microseconds now, Keep keep);

  // The configuration's list as it holds: without endpoints that are gone, with others as draining.
  EndpointList restrict_configured(EndpointList list) const;

  // A list of `discovery` as it holds, with stale entries overruled or left out. What it says is remembered.
  EndpointList reconcile(EndpointList list, const std::string& discovery,
                         heronvane::dispatch::Microseconds now);

  // A snapshot with that index does not name the endpoint any more.
  void mark_gone(const heronvane::dispatch::EndpointId& endpoint, std::int64_t index,
                 const std::string& discovery, heronvane::dispatch::Microseconds now);

  std::size_t size() const { return endpoints_.size(); }

 private:
  void remember(const heronvane::dispatch::EndpointId& endpoint, Unavailability unavailability);
  void forget(const heronvane::dispatch::EndpointId& endpoint);
  // Forgets the oldest, first of those that the configuration does not name.
  void evict_oldest();

  Keep keep_;
  std::set<heronvane::dispatch::EndpointId> configured_;  // that the configuration names
  std::map<heronvane::dispatch::EndpointId, Unavailability> endpoints_;
};

}  // namespace heronvane
