// The list of endpoints in discovery's form, as the configuration and the platform give it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "settings.hpp"

namespace heronvane {

struct ListedEndpoint {
  heronvane::dispatch::Endpoint endpoint;
  boost::asio::ip::tcp::endpoint address;
};

struct EndpointList {
  std::int64_t index = 0;
  bool snapshot = false;  // the whole list, else what changed
  std::vector<ListedEndpoint> endpoints;
  // A long list comes in parts; lists may come between those of another one.
  std::uint64_t serial = 0;  // of the list: the same for all of its parts, above those of earlier ones
  bool first_part = true;
  bool last_part = true;
};

// Throws WireError, naming the field, on what can't be read.
EndpointList read_endpoint_list(const heronvane::dispatch::adapter::Value& v, const std::string& path,
                                const heronvane::dispatch::adapter::NameTables& names);

// "127.0.0.1:8081"; throws WireError naming `path`.
boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path);

}  // namespace heronvane
