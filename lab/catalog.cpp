#include "catalog.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <map>

namespace heronvane::lab {

Catalog::Catalog(const PlatformOptions& options, const Plan& plan, std::vector<std::string> zones)
    : options_(options),
      endpoints_(plan.endpoints),
      destinations_(plan.destinations),
      zones_(std::move(zones)) {
  const Microseconds long_ago = -3'600'000'000;
  for (Index e = 0; e < plan.endpoints_at_start; e++) log_.push_back({1, long_ago, e, Status::ready});
}

void Catalog::change(Microseconds now, Index endpoint, Status status) {
  log_.push_back({log_.empty() ? 1 : log_.back().index + 1, now, endpoint, status});
}

std::optional<Microseconds> Catalog::admit(Microseconds now) {
  if (down_) return std::nullopt;
  const Microseconds begins = std::max(now, free_at_);
  if (begins - now > options_.longest_wait) return std::nullopt;
  free_at_ = begins + static_cast<Microseconds>(1e6 / options_.calls_per_s);
  return free_at_;
}

std::int64_t Catalog::told(Microseconds now) const {
  std::int64_t index = 0;
  for (const auto& c : log_)
    if (c.at + options_.late <= now) index = c.index;
  return index;
}

std::vector<Catalog::Change> Catalog::changed(Microseconds now, std::int64_t since) const {
  std::vector<Change> all;
  for (const auto& c : log_)
    if (c.index > since && c.at + options_.late <= now) all.push_back(c);
  return all;
}

std::string Catalog::whole(Microseconds now, const AddressOf& address) const {
  std::map<Index, Change> latest;
  for (const auto& c : changed(now, 0)) latest[c.endpoint] = c;
  std::vector<Change> entries;
  for (const auto& [endpoint, c] : latest)
    if (c.status != Status::gone) entries.push_back(c);
  return text(told(now), true, entries, address);
}

std::string Catalog::changes(Microseconds now, std::int64_t since, const AddressOf& address) const {
  std::map<Index, Change> latest;
  for (const auto& c : changed(now, since)) latest[c.endpoint] = c;
  std::vector<Change> entries;
  for (const auto& [endpoint, c] : latest) entries.push_back(c);
  return text(told(now), false, entries, address);
}

std::string Catalog::text(std::int64_t index, bool snapshot, const std::vector<Change>& entries,
                          const AddressOf& address) const {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  const auto string = [&](const char* name, const std::string& value) {
    json.Key(name);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  json.Key("index"), json.Int64(index);
  json.Key("snapshot"), json.Bool(snapshot);
  json.Key("endpoints"), json.StartArray();
  for (const auto& c : entries) {
    const auto& e = endpoints_.at(c.endpoint);
    json.StartObject();
    string("name", e.name);
    string("address", address(c.endpoint));
    string("zone", zones_.at(static_cast<std::size_t>(e.zone)));
    string("type", destinations_.at(e.destination).routes_apart ? kApartType : kPlainType);
    json.Key("group"), json.Int64(destinations_.at(e.destination).number);
    string("status", c.status == Status::ready      ? "ready"
                     : c.status == Status::draining ? "draining"
                                                    : "gone");
    json.Key("weight"), json.Double(1);
    json.Key("since_ms"), json.Int64(0);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return out.GetString();
}

}  // namespace heronvane::lab
