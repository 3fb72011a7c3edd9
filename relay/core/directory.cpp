#include "core/directory.hpp"

#include <algorithm>

namespace heronvane {

using heronvane::dispatch::DestinationId;
using heronvane::dispatch::Endpoint;
using heronvane::dispatch::EndpointId;
using heronvane::dispatch::Listing;

namespace {

constexpr std::size_t kMaxDestinationsWithoutEndpoints = 10'000;

// Whether the two are equal in all fields that the decision module uses.
bool is_same(const Endpoint& a, const Endpoint& b) {
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
  const auto [it, is_new] = endpoints_.try_emplace(endpoint.id);
  Entry& entry = it->second;
  entry.snapshot = snapshot_;
  if (!is_new && is_same(entry.endpoint, endpoint)) return;
  const bool moves = !is_new && entry.endpoint.destination != endpoint.destination;
  if (moves) unlink(entry.endpoint.destination, endpoint.id);
  if (is_new || moves) by_destination_[endpoint.destination].push_back(endpoint.id);
  if (!is_new && entry.endpoint.listing == Listing::active) active_--;
  if (endpoint.listing == Listing::active) active_++;
  entry.endpoint = endpoint;
  destinations_.insert(endpoint.destination);
  changes.endpoints.push_back(endpoint);
  if (endpoint.listing != Listing::active) changes.inactive.push_back(endpoint.id);
}

Directory::Entries::iterator Directory::remove(Entries::iterator it, Changes& changes) {
  const Endpoint& endpoint = it->second.endpoint;
  if (endpoint.listing == Listing::active) active_--;
  unlink(endpoint.destination, it->first);
  changes.endpoints.push_back(endpoint);
  changes.endpoints.back().listing = Listing::gone;
  changes.inactive.push_back(it->first);
  return endpoints_.erase(it);
}

void Directory::apply_entry(const ListedEndpoint& listed, Changes& changes) {
  const Endpoint& endpoint = listed.endpoint;
  if (endpoint.listing != Listing::gone) return put(endpoint, changes);
  destinations_.insert(endpoint.destination);
  const auto it = endpoints_.find(endpoint.id);
  if (it != endpoints_.end()) {
    remove(it, changes);
    return;
  }
  // Reported although it is not listed here, since the decision module may still know it.
  changes.endpoints.push_back(endpoint);
  changes.inactive.push_back(endpoint.id);
}

void Directory::remove_unnamed(const Removed& removed, Changes& changes) {
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    if (it->second.snapshot == snapshot_) {
      ++it;
      continue;
    }
    removed(it->first);
    it = remove(it, changes);
  }
}

// Bounds the set of known destinations: beyond the limit, those without endpoints are dropped.
void Directory::limit_destinations() {
  if (destinations_.size() <= kMaxDestinationsWithoutEndpoints + endpoints_.size()) return;
  destinations_.clear();
  for (const auto& [destination, ids] : by_destination_) destinations_.insert(destination);
}

Directory::Changes Directory::apply(const EndpointList& list, const Removed& removed, const Named& named) {
  Changes changes;
  if (list.snapshot && list.first_part) snapshot_ = list.serial;
  for (const ListedEndpoint& listed : list.endpoints) {
    named(listed);
    apply_entry(listed, changes);
  }
  if (list.snapshot && list.last_part && list.serial == snapshot_) remove_unnamed(removed, changes);
  limit_destinations();
  return changes;
}

const Endpoint* Directory::find(const EndpointId& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second.endpoint;
}

const std::vector<EndpointId>& Directory::endpoints_of(DestinationId destination) const {
  static const std::vector<EndpointId> kNone;
  const auto it = by_destination_.find(destination);
  return it == by_destination_.end() ? kNone : it->second;
}

std::vector<Endpoint> Directory::all() const {
  std::vector<Endpoint> all;
  all.reserve(endpoints_.size());
  for (const auto& [id, entry] : endpoints_) all.push_back(entry.endpoint);
  return all;
}

}  // namespace heronvane
