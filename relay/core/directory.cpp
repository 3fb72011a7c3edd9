#include "core/directory.hpp"

#include <algorithm>

namespace heronvane {

using heronvane::dispatch::DestinationId;
using heronvane::dispatch::Endpoint;
using heronvane::dispatch::EndpointId;
using heronvane::dispatch::Listing;

namespace {

constexpr std::size_t kMostUnlisted = 10'000;  // destinations without endpoints that are remembered

// Whether the module need not hear of it.
bool same(const Endpoint& a, const Endpoint& b) {
  return a.destination == b.destination && a.zone == b.zone && a.kind == b.kind && a.listing == b.listing &&
         a.weight == b.weight && a.since == b.since;
}

}  // namespace

void Directory::unlink(DestinationId destination, const EndpointId& id) {
  const auto of = by_destination_.find(destination);
  if (of == by_destination_.end()) return;
  std::erase(of->second, id);
  if (of->second.empty()) by_destination_.erase(of);
}

void Directory::put(const Endpoint& endpoint, Changes& changes) {
  const auto [it, fresh] = endpoints_.try_emplace(endpoint.id);
  Entry& entry = it->second;
  entry.named = snapshot_;
  if (!fresh && same(entry.endpoint, endpoint)) return;
  if (!fresh && entry.endpoint.destination != endpoint.destination)
    unlink(entry.endpoint.destination, endpoint.id);
  if (fresh || entry.endpoint.destination != endpoint.destination)
    by_destination_[endpoint.destination].push_back(endpoint.id);
  active_ -= !fresh && entry.endpoint.listing == Listing::active;
  active_ += endpoint.listing == Listing::active;
  entry.endpoint = endpoint;
  destinations_.insert(endpoint.destination);
  changes.endpoints.push_back(endpoint);
  if (endpoint.listing != Listing::active) changes.inactive.push_back(endpoint.id);
}

Directory::Entries::iterator Directory::remove(Entries::iterator it, Changes& changes) {
  const Endpoint& e = it->second.endpoint;
  active_ -= e.listing == Listing::active;
  unlink(e.destination, it->first);
  changes.endpoints.push_back(e);
  changes.endpoints.back().listing = Listing::gone;
  changes.inactive.push_back(it->first);
  return endpoints_.erase(it);
}

Directory::Changes Directory::apply(const EndpointList& list, const Left& left, const Located& located) {
  Changes changes;
  if (list.snapshot && list.first_part) snapshot_ = list.serial;
  for (const ListedEndpoint& m : list.endpoints) {
    located(m);
    if (m.endpoint.listing != Listing::gone) {
      put(m.endpoint, changes);
      continue;
    }
    destinations_.insert(m.endpoint.destination);
    const auto it = endpoints_.find(m.endpoint.id);
    if (it != endpoints_.end()) {
      remove(it, changes);
    } else {
      // The module may know it yet.
      changes.endpoints.push_back(m.endpoint);
      changes.inactive.push_back(m.endpoint.id);
    }
  }
  if (list.snapshot && list.last_part && list.serial == snapshot_)
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
      if (it->second.named == snapshot_) {
        ++it;
        continue;
      }
      left(it->first);
      it = remove(it, changes);
    }
  if (destinations_.size() > kMostUnlisted + endpoints_.size()) {
    destinations_.clear();
    for (const auto& [destination, ids] : by_destination_) destinations_.insert(destination);
  }
  return changes;
}

const Endpoint* Directory::find(const EndpointId& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second.endpoint;
}

const std::vector<EndpointId>& Directory::endpoints_of(DestinationId destination) const {
  static const std::vector<EndpointId> none;
  const auto it = by_destination_.find(destination);
  return it == by_destination_.end() ? none : it->second;
}

std::vector<Endpoint> Directory::all() const {
  std::vector<Endpoint> all;
  all.reserve(endpoints_.size());
  for (const auto& [id, entry] : endpoints_) all.push_back(entry.endpoint);
  return all;
}

}  // namespace heronvane
