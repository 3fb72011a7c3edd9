#include "core/unavailable_endpoints.hpp"

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>
#include <vector>

namespace heronvane {

using heronvane::dispatch::EndpointId;
using heronvane::dispatch::Listing;
using heronvane::dispatch::Microseconds;

namespace {

const std::string kKeyPrefix = "endpoint/";  // of the keys in the store
const std::string kGone = "gone";
const std::string kDraining = "draining";
// Longer than old lists can reappear after a restart. A list with a lower index after that time comes from a
// discovery that has restarted its index.
constexpr Microseconds kMaxAge = 3'600'000'000;
constexpr std::size_t kMaxEndpoints = 4096;

// Whether a stored listing takes precedence over a list with that index.
bool overrules(const Unavailability& known, std::int64_t index, const std::string& discovery,
               Microseconds now) {
  return known.discovery == discovery && index < known.index && now - known.since <= kMaxAge;
}

}  // namespace

// Example: "draining 41 1700000000000000 127.0.0.1:8500".
std::string encode(const Unavailability& unavailability) {
  const std::string& listing = unavailability.listing == Listing::gone ? kGone : kDraining;
  return listing + " " + std::to_string(unavailability.index) + " " + std::to_string(unavailability.since) +
         " " + unavailability.discovery;
}

std::optional<Unavailability> decode_unavailability(const std::string& text) {
  std::istringstream in(text);
  std::string listing;
  Unavailability read;
  if (!(in >> listing >> read.index >> read.since >> read.discovery)) return std::nullopt;
  if (listing != kGone && listing != kDraining) return std::nullopt;
  read.listing = listing == kGone ? Listing::gone : Listing::draining;
  return read;
}

UnavailableEndpoints::UnavailableEndpoints(const std::map<std::string, std::string>& facts,
                                           const EndpointList& configured, Microseconds now, Keep keep)
    : keep_(std::move(keep)) {
  for (const auto& listed : configured.endpoints) configured_.insert(listed.endpoint.id);
  std::vector<std::string> dropped;
  for (auto it = facts.lower_bound(kKeyPrefix); it != facts.end() && it->first.starts_with(kKeyPrefix);
       ++it) {
    const EndpointId id = it->first.substr(kKeyPrefix.size());
    const auto read = decode_unavailability(it->second);
    const bool is_outdated = read && now - read->since > kMaxAge && !configured_.contains(id);
    if (read && !is_outdated) {
      endpoints_.emplace(id, *read);
    } else {
      dropped.push_back(it->first);
    }
  }
  // After the loop, since `keep_` may change `facts`.
  for (const auto& key : dropped) keep_(key, "");
}

EndpointList UnavailableEndpoints::restrict_configured(EndpointList list) const {
  std::erase_if(list.endpoints, [this](ListedEndpoint& listed) {
    const auto it = endpoints_.find(listed.endpoint.id);
    if (it == endpoints_.end()) return false;
    listed.endpoint.listing = it->second.listing;
    return it->second.listing == Listing::gone;
  });
  return list;
}

EndpointList UnavailableEndpoints::reconcile(EndpointList list, const std::string& discovery,
                                             Microseconds now) {
  std::erase_if(list.endpoints, [&](ListedEndpoint& listed) {
    auto& endpoint = listed.endpoint;
    const auto it = endpoints_.find(endpoint.id);
    if (it != endpoints_.end() && overrules(it->second, list.index, discovery, now)) {
      endpoint.listing = it->second.listing;
      return list.snapshot && endpoint.listing == Listing::gone;
    }
    if (endpoint.listing == Listing::active) {
      forget(endpoint.id);
    } else {
      remember(endpoint.id, {endpoint.listing, list.index, now, discovery});
    }
    return false;
  });
  return list;
}

void UnavailableEndpoints::mark_gone(const EndpointId& endpoint, std::int64_t index,
                                     const std::string& discovery, Microseconds now) {
  remember(endpoint, {Listing::gone, index, now, discovery});
}

void UnavailableEndpoints::remember(const EndpointId& endpoint, Unavailability unavailability) {
  const auto it = endpoints_.find(endpoint);
  // Already stored with the same listing from the same discovery.
  if (it != endpoints_.end() && it->second.listing == unavailability.listing &&
      it->second.discovery == unavailability.discovery) {
    return;
  }
  while (endpoints_.size() >= kMaxEndpoints) evict_oldest();
  const std::string text = encode(unavailability);
  endpoints_[endpoint] = std::move(unavailability);
  // evict_oldest() may remove this endpoint itself.
  while (endpoints_.contains(endpoint) && !keep_(kKeyPrefix + endpoint, text) && endpoints_.size() > 1) {
    evict_oldest();
  }
}

void UnavailableEndpoints::forget(const EndpointId& endpoint) {
  if (endpoints_.erase(endpoint) > 0) keep_(kKeyPrefix + endpoint, "");
}

void UnavailableEndpoints::evict_oldest() {
  const auto rank = [this](const auto& entry) {
    return std::tuple(configured_.contains(entry.first), entry.second.since);
  };
  const auto oldest = std::min_element(endpoints_.begin(), endpoints_.end(),
                                       [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (oldest != endpoints_.end()) forget(EndpointId(oldest->first));
}

}  // namespace heronvane
