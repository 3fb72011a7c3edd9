// Reads the endpoint list in discovery's JSON form, which the configuration uses, too.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "settings.hpp"

namespace heronvane {

// An entry of the list, and the endpoint's address.
struct ListedEndpoint {
  heronvane::dispatch::Endpoint endpoint;
  boost::asio::ip::tcp::endpoint address;
};

// A snapshot of the endpoint list or an update to it. A long one is delivered in parts, and other lists may
// be delivered between them.
struct EndpointList {
  std::int64_t index = 0;  // increases with each change; comparable within one discovery only
  bool snapshot = false;   // true: all endpoints; false: those that changed
  std::vector<ListedEndpoint> endpoints;
  std::uint64_t serial = 0;  // the same for all parts of a list, and above that of earlier lists
  bool first_part = true;
  bool last_part = true;
};

// Reads a list as one part. Zones and kinds are numbered by `names`. Throws WireError; `path` is the list's
// path in its document, for error messages.
EndpointList read_endpoint_list(const heronvane::dispatch::adapter::Value& object, const std::string& path,
                                const heronvane::dispatch::adapter::NameTables& names);

// Reads an address and a port, such as "127.0.0.1:8081". Throws WireError for the field at `path`.
boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path);

}  // namespace heronvane
