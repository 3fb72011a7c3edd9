#include "endpoint_list.hpp"

#include <charconv>
#include <utility>

namespace heronvane {

using namespace heronvane::dispatch::adapter;
using heronvane::dispatch::Listing;

namespace {

ListedEndpoint read_listed_endpoint(const Value& object, const std::string& path, const NameTables& names) {
  as_object(object, path);
  ListedEndpoint listed;
  auto& endpoint = listed.endpoint;
  endpoint.id = required_field(object, "name", path, as_string);
  endpoint.listing = enum_from_name<Listing>(
      required_field(object, "status", path, as_string),
      {{"ready", Listing::active}, {"draining", Listing::draining}, {"gone", Listing::gone}},
      path + ".status");
  endpoint.destination = required_field(object, "group", path, as_int64);
  endpoint.zone = index_of(names.zones, optional_field(object, "zone", path, as_string, ""));
  endpoint.kind = index_of(names.kinds, optional_field(object, "type", path, as_string, ""));
  endpoint.weight = optional_field(object, "weight", path, as_number, 1.0);
  endpoint.since = optional_field(object, "since_ms", path, as_timestamp_ms, 0);
  listed.address = read_address(required_field(object, "address", path, as_string), path + ".address");
  return listed;
}

}  // namespace

boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw_malformed(path, "must be address:port");
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
  if (error) throw_malformed(path, "must hold a numeric address");
  std::uint16_t port = 0;
  const char* const first = text.data() + colon + 1;
  const char* const last = text.data() + text.size();
  const auto [end, port_error] = std::from_chars(first, last, port);
  if (port_error != std::errc() || end != last) throw_malformed(path, "must end in a port");
  return {address, port};
}

EndpointList read_endpoint_list(const Value& object, const std::string& path, const NameTables& names) {
  as_object(object, path);
  EndpointList list;
  list.index = required_field(object, "index", path, as_int64);
  list.snapshot = required_field(object, "snapshot", path, as_bool);
  const std::string endpoints_path = path + ".endpoints";
  for (const auto& entry : as_array(required_member(object, "endpoints", path), endpoints_path).GetArray()) {
    list.endpoints.push_back(read_listed_endpoint(entry, endpoints_path, names));
  }
  return list;
}

}  // namespace heronvane
