#include "endpoint_list.hpp"

#include <charconv>

namespace heronvane {

using namespace heronvane::dispatch::adapter;
using heronvane::dispatch::Listing;

boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw_malformed(path, "must be address:port");
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), bad);
  if (bad) throw_malformed(path, "must hold a numeric address");
  std::uint16_t port = 0;
  const char *first = text.data() + colon + 1, *last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last) throw_malformed(path, "must end in a port");
  return {address, port};
}

EndpointList read_endpoint_list(const Value& v, const std::string& path, const NameTables& names) {
  as_object(v, path);
  EndpointList list;
  list.index = required_field(v, "index", path, as_int64);
  list.snapshot = required_field(v, "snapshot", path, as_bool);
  const std::string where = path + ".endpoints";
  for (const auto& e : as_array(required_member(v, "endpoints", path), where).GetArray()) {
    as_object(e, where);
    ListedEndpoint m;
    m.endpoint.id = required_field(e, "name", where, as_string);
    m.endpoint.listing = enum_from_name<Listing>(
        required_field(e, "status", where, as_string),
        {{"ready", Listing::active}, {"draining", Listing::draining}, {"gone", Listing::gone}},
        where + ".status");
    m.endpoint.destination = required_field(e, "group", where, as_int64);
    m.endpoint.zone = index_of(names.zones, optional_field(e, "zone", where, as_string, ""));
    m.endpoint.kind = index_of(names.kinds, optional_field(e, "type", where, as_string, ""));
    m.endpoint.weight = optional_field(e, "weight", where, as_number, 1.0);
    m.endpoint.since = optional_field(e, "since_ms", where, as_timestamp_ms, 0);
    m.address = read_address(required_field(e, "address", where, as_string), where + ".address");
    list.endpoints.push_back(std::move(m));
  }
  return list;
}

}  // namespace heronvane
