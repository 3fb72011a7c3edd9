#include "listings.hpp"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heronvane {
namespace {

using cedarplank::Listing;

const std::string kKey = "listing ", kDraining = "draining ", kGone = "gone ";

// "draining 43": since the list of that index.
std::optional<std::pair<Listing, std::int64_t>> read(std::string_view value) {
  const auto listing = value.starts_with(kDraining) ? Listing::draining : Listing::gone;
  const auto& word = listing == Listing::draining ? kDraining : kGone;
  if (!value.starts_with(word)) return std::nullopt;
  value.remove_prefix(word.size());
  std::int64_t index = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), index);
  if (error != std::errc() || end != value.data() + value.size()) return std::nullopt;
  return std::pair(listing, index);
}

}  // namespace

MemberList last_told(MemberList known, store::Store& store) {
  std::unordered_map<EndpointId, Member*> members;
  for (auto& m : known.members) members[m.endpoint.id] = &m;
  std::vector<std::string> outdated;
  for (const auto& [key, value] : store.facts()) {
    if (!key.starts_with(kKey)) continue;
    const auto told = read(value);
    const auto member = members.find(key.substr(kKey.size()));
    if (!told || member == members.end() || told->second < known.index)
      outdated.push_back(key);
    else
      member->second->endpoint.listing = told->first;
  }
  for (const auto& key : outdated) store.keep(key, {});
  std::erase_if(known.members, [](const Member& m) { return m.endpoint.listing == Listing::gone; });
  return known;
}

void keep_told(const MemberList& known, const std::map<EndpointId, cedarplank::Endpoint>& endpoints,
               std::int64_t index, store::Store& store) {
  for (const auto& m : known.members) {
    const auto found = endpoints.find(m.endpoint.id);
    const Listing now = found == endpoints.end() ? Listing::gone : found->second.listing;
    const std::string key = kKey + m.endpoint.id;
    const auto kept = store.facts().find(key);
    const auto before = kept == store.facts().end() ? std::nullopt : read(kept->second);
    if (now == (before ? before->first : m.endpoint.listing)) continue;
    // That it is active is not kept: at worst nothing is sent there until the list is told.
    store.keep(key, now == Listing::active
                        ? std::string()
                        : (now == Listing::draining ? kDraining : kGone) + std::to_string(index));
  }
}

}  // namespace heronvane
