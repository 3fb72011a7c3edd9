// A list of endpoints, whatever its bytes are: read in slices it is what it is when read at once.
#pragma once

#include <rapidjson/document.h>

#include <cstddef>
#include <optional>
#include <string>

#include "core/list_reader.hpp"

namespace heronvane {

inline const heronvane::dispatch::adapter::NameTables& list_names() {
  static const heronvane::dispatch::adapter::NameTables names = [] {
    heronvane::dispatch::adapter::NameTables t;
    t.zones = {{"a", 0}, {"b", 1}}, t.kinds = {{"small", 0}};
    return t;
  }();
  return names;
}

// Nothing where it can't be read, why in `why`.
inline std::optional<EndpointList> read_sliced(const std::string& text, std::size_t slice,
                                               std::string* why = nullptr) {
  ListReader reader(text, list_names());
  try {
    while (!reader.step(slice)) {
    }
    return reader.take();
  } catch (const heronvane::dispatch::adapter::WireError& e) {
    if (why != nullptr) *why = e.what();
    return std::nullopt;
  }
}

inline std::optional<EndpointList> read_at_once(const std::string& text) {
  rapidjson::Document v;
  v.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (v.HasParseError()) return std::nullopt;
  try {
    return read_endpoint_list(v, "members", list_names());
  } catch (const heronvane::dispatch::adapter::WireError&) {
    return std::nullopt;
  }
}

inline bool same_lists(const std::optional<EndpointList>& a, const std::optional<EndpointList>& b) {
  if (a.has_value() != b.has_value()) return false;
  if (!a) return true;
  if (a->index != b->index || a->snapshot != b->snapshot || a->endpoints.size() != b->endpoints.size())
    return false;
  for (std::size_t i = 0; i < a->endpoints.size(); i++) {
    const auto &x = a->endpoints[i].endpoint, &y = b->endpoints[i].endpoint;
    if (x.id != y.id || x.destination != y.destination || x.zone != y.zone || x.kind != y.kind ||
        x.listing != y.listing || x.weight != y.weight || a->endpoints[i].address != b->endpoints[i].address)
      return false;
  }
  return true;
}

}  // namespace heronvane
