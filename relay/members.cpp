#include "members.hpp"

#include <charconv>

namespace heronvane {

using namespace heronvane::dispatch::adapter;
using heronvane::dispatch::Listing;

boost::asio::ip::tcp::endpoint read_address(const std::string& text, const std::string& path) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) malformed(path, "must be address:port");
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), bad);
  if (bad) malformed(path, "must hold a numeric address");
  std::uint16_t port = 0;
  const char *first = text.data() + colon + 1, *last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last) malformed(path, "must end in a port");
  return {address, port};
}

MemberList read_members(const Value& v, const std::string& path, const Tables& names) {
  as_object(v, path);
  MemberList list;
  list.index = get(v, "index", path, as_integer);
  list.snapshot = get(v, "snapshot", path, as_bool);
  const std::string where = path + ".endpoints";
  for (const auto& e : as_array(need(v, "endpoints", path), where).GetArray()) {
    as_object(e, where);
    Member m;
    m.endpoint.id = get(e, "name", where, as_text);
    m.endpoint.listing =
        word<Listing>(get(e, "status", where, as_text),
                      {{"ready", Listing::active}, {"draining", Listing::draining}, {"gone", Listing::gone}},
                      where + ".status");
    m.endpoint.destination = get(e, "group", where, as_integer);
    m.endpoint.zone = position(names.zones, get(e, "zone", where, as_text, ""));
    m.endpoint.kind = position(names.kinds, get(e, "type", where, as_text, ""));
    m.endpoint.weight = get(e, "weight", where, as_number, 1.0);
    m.endpoint.since = get(e, "since_ms", where, as_moment_ms, 0);
    m.address = read_address(get(e, "address", where, as_text), where + ".address");
    list.members.push_back(std::move(m));
  }
  return list;
}

}  // namespace heronvane
