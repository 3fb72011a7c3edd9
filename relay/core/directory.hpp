// The endpoints that are listed, by their ids and by their destinations. No input or output here.
//
// A list is compared with what is known, and only what it changes is returned: an update costs what changed,
// not what is listed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "endpoint_list.hpp"
#include "heronvane/dispatch/dispatcher.hpp"

namespace heronvane {

// Not thread-safe.
class Directory {
 public:
  // What a list changed.
  struct Changes {
    // Each endpoint once: those that are new, that differ, and (as gone) that were removed.
    std::vector<heronvane::dispatch::Endpoint> endpoints;
    // Those of them that are draining or gone.
    std::vector<heronvane::dispatch::EndpointId> inactive;
  };

  // Called for an endpoint that a snapshot leaves out, before it is forgotten.
  using Removed = std::function<void(const heronvane::dispatch::EndpointId&)>;
  // Called for each endpoint that a list names. The directory keeps no addresses.
  using Named = std::function<void(const ListedEndpoint&)>;

  // Applies a snapshot, an update, or a part of one. Endpoints that a snapshot leaves out are removed with
  // its last part, unless another snapshot has begun meanwhile.
  Changes apply(const EndpointList& list, const Removed& removed, const Named& named);

  // Null where it is not listed; valid until the next list.
  const heronvane::dispatch::Endpoint* find(const heronvane::dispatch::EndpointId& id) const;

  // The endpoints of a destination, in no order; valid until the next list.
  const std::vector<heronvane::dispatch::EndpointId>& endpoints_of(
      heronvane::dispatch::DestinationId destination) const;

  // All that are listed, in no order.
  std::vector<heronvane::dispatch::Endpoint> all() const;

  // Whether any list has named that destination, or add_destination() has. Of the destinations without
  // endpoints many thousands are remembered at least.
  bool knows_destination(heronvane::dispatch::DestinationId destination) const {
    return destinations_.contains(destination);
  }
  void add_destination(heronvane::dispatch::DestinationId destination) { destinations_.insert(destination); }

  bool any_active() const { return active_ > 0; }
  // The number of endpoints that are listed.
  std::size_t size() const { return endpoints_.size(); }

 private:
  struct Entry {
    heronvane::dispatch::Endpoint endpoint;
    std::uint64_t snapshot = 0;  // the serial of the snapshot that had begun when it was named last
  };
  using Entries = std::unordered_map<heronvane::dispatch::EndpointId, Entry>;

  void apply_entry(const ListedEndpoint& listed, Changes& changes);
  void put(const heronvane::dispatch::Endpoint& endpoint, Changes& changes);
  void remove_unnamed(const Removed& removed, Changes& changes);
  Entries::iterator remove(Entries::iterator it, Changes& changes);
  void unlink(heronvane::dispatch::DestinationId destination, const heronvane::dispatch::EndpointId& id);
  void limit_destinations();

  Entries endpoints_;
  std::unordered_map<heronvane::dispatch::DestinationId, std::vector<heronvane::dispatch::EndpointId>>
      by_destination_;
  std::unordered_set<heronvane::dispatch::DestinationId> destinations_;  // that were named
  std::size_t active_ = 0;                                               // endpoints whose listing is active
  std::uint64_t snapshot_ = 0;  // the serial of the snapshot that began last
};

}  // namespace heronvane
