// The listed endpoints, by id and by destination. Does no input or output.
//
// Compares each list with the current entries and returns only the differences, so that the decision module's
// work depends on the number of changes, not on the length of the list.
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
  // The differences that a list made.
  struct Changes {
    // New, changed and removed endpoints, each once; the listing of a removed one is `gone`.
    std::vector<heronvane::dispatch::Endpoint> endpoints;
    // The ids of those among them that are draining or gone.
    std::vector<heronvane::dispatch::EndpointId> inactive;
  };

  // Called for an endpoint that a snapshot leaves out, before it is removed.
  using Removed = std::function<void(const heronvane::dispatch::EndpointId&)>;
  // Called for each entry of a list, since the directory stores no addresses.
  using Named = std::function<void(const ListedEndpoint&)>;

  // Applies a snapshot, an update, or a part of one. Endpoints that a snapshot leaves out are removed with
  // its last part, unless another snapshot has begun meanwhile.
  Changes apply(const EndpointList& list, const Removed& removed, const Named& named);

  // Null if the endpoint is not listed. The pointer is valid until the next apply().
  const heronvane::dispatch::Endpoint* find(const heronvane::dispatch::EndpointId& id) const;

  // The endpoints of a destination, unordered. The reference is valid until the next apply().
  const std::vector<heronvane::dispatch::EndpointId>& endpoints_of(
      heronvane::dispatch::DestinationId destination) const;

  // All listed endpoints, unordered.
  std::vector<heronvane::dispatch::Endpoint> all() const;

  // Whether a list has named the destination, or add_destination() has added it. Destinations without
  // endpoints are remembered up to a limit of 10,000.
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
    std::uint64_t snapshot = 0;  // serial of the snapshot in which the endpoint was last named
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
  std::unordered_set<heronvane::dispatch::DestinationId> destinations_;  // all that were named
  std::size_t active_ = 0;                                               // endpoints whose listing is active
  std::uint64_t snapshot_ = 0;                                           // serial of the latest snapshot
};

}  // namespace heronvane
