// The list of endpoints in discovery's form, as the configuration and the platform give it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "heronvane/dispatch/dispatcher.hpp"
#include "settings.hpp"

namespace heronvane {

struct Member {
  heronvane::dispatch::Endpoint endpoint;
  boost::asio::ip::tcp::endpoint address;
};

struct MemberList {
  std::int64_t index = 0;
  bool snapshot = false;  // the whole list, else what changed
  std::vector<Member> members;
  // A long list comes in parts; lists may come between those of another one.
  std::uint64_t serial = 0;  // of the list: the same for all of its parts, above those of earlier ones
  bool begins = true, ends = true;
};

// Throws WireError, naming the field, on what can't be read.
MemberList read_members(const heronvane::dispatch::adapter::Value& v, const std::string& path,
                        const heronvane::dispatch::adapter::NameTables& names);

// "127.0.0.1:8081"; throws WireError naming `path`.
boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path);

}  // namespace heronvane
