// What discovery told of endpoints that drain or are gone, as it outlasts the process. No input or output
// here.
//
// After a restart the configuration's `known` list, or a list from a discovery that lags, may name such an
// endpoint as ready. What was told holds until a list of the same discovery that is not older says otherwise,
// or another discovery's does, or an hour is over: never until `known` does.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "endpoint_list.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// Of an endpoint that drains or is gone.
struct Unavailability {
  heronvane::dispatch::Listing listing = heronvane::dispatch::Listing::draining;  // or gone
  std::int64_t index = 0;                                                         // of the list that told it
  heronvane::dispatch::Microseconds told = 0;                                     // lasting time
  std::string discovery;                                                          // the address that told it
};
// As kept in the store; nothing where the text is no such thing.
std::string encode(const Unavailability& unfit);
std::optional<Unavailability> decode_unavailability(const std::string& text);

class UnavailableEndpoints {
 public:
  // Keeps a value by its key over restarts, an empty one drops it; false where there is no room.
  using Keep = std::function<bool(const std::string& key, const std::string& value)>;

  // Takes back from `facts` what earlier lives kept; what is older than an hour and not named by `known` is
  // dropped. `now` is lasting time, here and below.
  UnavailableEndpoints(const std::map<std::string, std::string>& facts, const EndpointList& known,
                       heronvane::dispatch::Microseconds now, Keep keep);

  // The configuration's list as it holds: without those that are gone, with those that drain.
  EndpointList restrict_configured(EndpointList list) const;
  // A list or changes as told by `discovery`, as they hold; what they tell is remembered.
  EndpointList reconcile(EndpointList list, const std::string& discovery,
                         heronvane::dispatch::Microseconds now);
  // A whole list with that index does not name the endpoint any more.
  void mark_gone(const heronvane::dispatch::EndpointId& endpoint, std::int64_t index,
                 const std::string& discovery, heronvane::dispatch::Microseconds now);

  std::size_t size() const { return endpoints_.size(); }

 private:
  void remember(const heronvane::dispatch::EndpointId& endpoint, Unavailability unfit);
  void forget(const heronvane::dispatch::EndpointId& endpoint);
  void make_room();

  Keep keep_;
  std::set<heronvane::dispatch::EndpointId> known_;
  std::map<heronvane::dispatch::EndpointId, Unavailability> endpoints_;
};

}  // namespace heronvane
