#include "core/unavailable_endpoints.hpp"

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
std::string encode(const Unavailability& u) {
  return std::string(u.listing == Listing::gone ? "gone " : "draining ") + std::to_string(u.index) + " " +
         std::to_string(u.told) + " " + u.discovery;
}

std::optional<Unavailability> decode_unavailability(const std::string& text) {
  std::istringstream in(text);
  std::string word;
  Unavailability u;
  if (!(in >> word >> u.index >> u.told >> u.discovery) || (word != "gone" && word != "draining"))
    return std::nullopt;
  u.listing = word == "gone" ? Listing::gone : Listing::draining;
  return u;
}

UnavailableEndpoints::UnavailableEndpoints(const std::map<std::string, std::string>& facts,
                                           const EndpointList& known, Microseconds now, Keep keep)
    : keep_(std::move(keep)) {
  for (const auto& m : known.endpoints) known_.insert(m.endpoint.id);
  std::vector<std::string> dropped;
  for (auto it = facts.lower_bound(kPrefix);
       it != facts.end() && it->first.compare(0, kPrefix.size(), kPrefix) == 0; ++it) {
    const EndpointId id = it->first.substr(kPrefix.size());
    const auto unfit = decode_unavailability(it->second);
    const bool old = unfit && now - unfit->told > kLongest && known_.count(id) == 0;
    if (unfit && !old)
      endpoints_.emplace(id, *unfit);
    else
      dropped.push_back(it->first);
  }
  for (const auto& key : dropped) keep_(key, "");
}

EndpointList UnavailableEndpoints::restrict_configured(EndpointList list) const {
  std::erase_if(list.endpoints, [this](ListedEndpoint& m) {
    const auto it = endpoints_.find(m.endpoint.id);
    if (it == endpoints_.end()) return false;
    m.endpoint.listing = it->second.listing;
    return it->second.listing == Listing::gone;
  });
  return list;
}

EndpointList UnavailableEndpoints::reconcile(EndpointList list, const std::string& discovery,
                                             Microseconds now) {
  std::erase_if(list.endpoints, [&](ListedEndpoint& m) {
    const auto it = endpoints_.find(m.endpoint.id);
    const bool older = it != endpoints_.end() && it->second.discovery == discovery &&
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

void UnavailableEndpoints::mark_gone(const EndpointId& endpoint, std::int64_t index,
                                     const std::string& discovery, Microseconds now) {
  remember(endpoint, {Listing::gone, index, now, discovery});
}

void UnavailableEndpoints::remember(const EndpointId& endpoint, Unavailability unfit) {
  const auto it = endpoints_.find(endpoint);
  // Told again: what it was first told by is as good.
  if (it != endpoints_.end() && it->second.listing == unfit.listing &&
      it->second.discovery == unfit.discovery)
    return;
  while (endpoints_.size() >= kMost) make_room();
  const std::string text = encode(unfit);
  endpoints_[endpoint] = std::move(unfit);
  // It may be the one that makes room.
  while (endpoints_.count(endpoint) > 0 && !keep_(kPrefix + endpoint, text) && endpoints_.size() > 1)
    make_room();
}

void UnavailableEndpoints::forget(const EndpointId& endpoint) {
  if (endpoints_.erase(endpoint) > 0) keep_(kPrefix + endpoint, "");
}

void UnavailableEndpoints::make_room() {
  const auto oldest =
      std::min_element(endpoints_.begin(), endpoints_.end(), [this](const auto& a, const auto& b) {
        return std::pair(known_.count(a.first), a.second.told) <
               std::pair(known_.count(b.first), b.second.told);
      });
  if (oldest != endpoints_.end()) forget(EndpointId(oldest->first));
}

}  // namespace heronvane
