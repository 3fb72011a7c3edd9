// The endpoints that are listed, by their ids and by their destinations. No input or output here.
//
// A list is compared with what is known: what it changes is told, and nothing else; so a changed entry costs
// what changed, not what is listed.
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

class Directory {
 public:
  // What a list changed, each endpoint once: those that are new, that differ, and (as gone) that left. Those
  // of them that are no longer active stand in `inactive` too.
  struct Changes {
    std::vector<heronvane::dispatch::Endpoint> endpoints;
    std::vector<heronvane::dispatch::EndpointId> inactive;
  };

  // Takes a list, or changes, or a part of one. Of a whole list (`snapshot`) what it does not name is gone,
  // and told `left` before it is forgotten: with its last part, unless another whole list has begun
  // meanwhile. Addresses are not kept here: `located` hears of each that is named.
  using Left = std::function<void(const heronvane::dispatch::EndpointId&)>;
  using Located = std::function<void(const ListedEndpoint&)>;
  Changes apply(const EndpointList& list, const Left& left, const Located& located);

  // Null where it is not listed; valid until the next list.
  const heronvane::dispatch::Endpoint* find(const heronvane::dispatch::EndpointId& id) const;
  // The endpoints of a destination, in no order; empty where it has none.
  const std::vector<heronvane::dispatch::EndpointId>& endpoints_of(
      heronvane::dispatch::DestinationId destination) const;
  // All that are listed, in no order.
  std::vector<heronvane::dispatch::Endpoint> all() const;
  // Whether any list has named that destination. Those without endpoints are forgotten once there are very
  // many of them.
  bool knows_destination(heronvane::dispatch::DestinationId destination) const {
    return destinations_.count(destination) > 0;
  }
  void add_destination(heronvane::dispatch::DestinationId destination) { destinations_.insert(destination); }
  bool any_active() const { return active_ > 0; }
  std::size_t size() const { return endpoints_.size(); }

 private:
  struct Entry {
    heronvane::dispatch::Endpoint endpoint;
    std::uint64_t named = 0;  // the whole list since whose begin it was named last
  };
  using Entries = std::unordered_map<heronvane::dispatch::EndpointId, Entry>;

  void put(const heronvane::dispatch::Endpoint& endpoint, Changes& changes);
  Entries::iterator remove(Entries::iterator it, Changes& changes);
  void unlink(heronvane::dispatch::DestinationId destination, const heronvane::dispatch::EndpointId& id);

  Entries endpoints_;
  std::unordered_map<heronvane::dispatch::DestinationId, std::vector<heronvane::dispatch::EndpointId>>
      by_destination_;
  std::unordered_set<heronvane::dispatch::DestinationId> destinations_;
  std::size_t active_ = 0;
  std::uint64_t snapshot_ = 0;  // the whole list that began last
};

}  // namespace heronvane
