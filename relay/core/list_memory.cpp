#include "core/list_memory.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace heronvane {

using heronvane::dispatch::EndpointId;
using heronvane::dispatch::Listing;
using heronvane::dispatch::Microseconds;

namespace {

const std::string kPrefix = "endpoint/";
// Long past the lists that a restart may bring back. Lists that are older after that come from a discovery
// that counts anew.
constexpr Microseconds kLongest = 3'600'000'000;
constexpr std::size_t kMost = 4096;  // the oldest that `known` does not name make room

}  // namespace

// "draining 41 1700000000000000 127.0.0.1:8500"
std::string write_unfit(const Unfit& u) {
  return std::string(u.listing == Listing::gone ? "gone " : "draining ") + std::to_string(u.index) + " " +
         std::to_string(u.told) + " " + u.discovery;
}

std::optional<Unfit> read_unfit(const std::string& text) {
  std::istringstream in(text);
  std::string word;
  Unfit u;
  if (!(in >> word >> u.index >> u.told >> u.discovery) || (word != "gone" && word != "draining"))
    return std::nullopt;
  u.listing = word == "gone" ? Listing::gone : Listing::draining;
  return u;
}

ListMemory::ListMemory(const std::map<std::string, std::string>& facts, const EndpointList& known,
                       Microseconds now, Keep keep)
    : keep_(std::move(keep)) {
  for (const auto& m : known.endpoints) known_.insert(m.endpoint.id);
  std::vector<std::string> dropped;
  for (auto it = facts.lower_bound(kPrefix);
       it != facts.end() && it->first.compare(0, kPrefix.size(), kPrefix) == 0; ++it) {
    const EndpointId id = it->first.substr(kPrefix.size());
    const auto unfit = read_unfit(it->second);
    const bool old = unfit && now - unfit->told > kLongest && known_.count(id) == 0;
    if (unfit && !old)
      unfit_.emplace(id, *unfit);
    else
      dropped.push_back(it->first);
  }
  for (const auto& key : dropped) keep_(key, "");
}

EndpointList ListMemory::known(EndpointList list) const {
  std::erase_if(list.endpoints, [this](ListedEndpoint& m) {
    const auto it = unfit_.find(m.endpoint.id);
    if (it == unfit_.end()) return false;
    m.endpoint.listing = it->second.listing;
    return it->second.listing == Listing::gone;
  });
  return list;
}

EndpointList ListMemory::told(EndpointList list, const std::string& discovery, Microseconds now) {
  std::erase_if(list.endpoints, [&](ListedEndpoint& m) {
    const auto it = unfit_.find(m.endpoint.id);
    const bool older = it != unfit_.end() && it->second.discovery == discovery &&
                       list.index < it->second.index && now - it->second.told <= kLongest;
    if (older) {
      m.endpoint.listing = it->second.listing;
      return list.snapshot && m.endpoint.listing == Listing::gone;
    }
    if (m.endpoint.listing == Listing::active)
      forget(m.endpoint.id);
    else
      remember(m.endpoint.id, {m.endpoint.listing, list.index, now, discovery});
    return false;
  });
  return list;
}

void ListMemory::gone(const EndpointId& endpoint, std::int64_t index, const std::string& discovery,
                      Microseconds now) {
  remember(endpoint, {Listing::gone, index, now, discovery});
}

void ListMemory::remember(const EndpointId& endpoint, Unfit unfit) {
  const auto it = unfit_.find(endpoint);
  // Told again: what it was first told by is as good.
  if (it != unfit_.end() && it->second.listing == unfit.listing && it->second.discovery == unfit.discovery)
    return;
  while (unfit_.size() >= kMost) make_room();
  const std::string text = write_unfit(unfit);
  unfit_[endpoint] = std::move(unfit);
  // It may be the one that makes room.
  while (unfit_.count(endpoint) > 0 && !keep_(kPrefix + endpoint, text) && unfit_.size() > 1) make_room();
}

void ListMemory::forget(const EndpointId& endpoint) {
  if (unfit_.erase(endpoint) > 0) keep_(kPrefix + endpoint, "");
}

void ListMemory::make_room() {
  const auto oldest = std::min_element(unfit_.begin(), unfit_.end(), [this](const auto& a, const auto& b) {
    return std::pair(known_.count(a.first), a.second.told) < std::pair(known_.count(b.first), b.second.told);
  });
  if (oldest != unfit_.end()) forget(EndpointId(oldest->first));
}

}  // namespace heronvane
