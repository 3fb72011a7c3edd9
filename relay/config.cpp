#include "config.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <stdexcept>

#include "text_file.hpp"

namespace heronvane {

using namespace heronvane::dispatch::adapter;

namespace {

// Descriptors that are no connections of clients or to endpoints: standard streams, the event loop, signals,
// the store's files, discovery, datagrams, the one that listens; one that is turned away.
constexpr std::size_t kOtherFiles = 24;
// The admin socket's: the one that listens, its connections, one that is turned away.
constexpr std::size_t kAdminFiles = 10;
// Of copies: connections to members and from them, three files for each log that is held for another one.
constexpr std::size_t kCopiesFiles = 80;

boost::asio::ip::udp::endpoint udp(const std::string& text, const std::string& path) {
  const auto address = read_address(text, path);
  return {address.address(), address.port()};
}

std::string option_or_variable(const std::string& option, const char* variable) {
  if (!option.empty()) return option;
  const char* value = std::getenv(variable);
  return value == nullptr ? "" : value;
}

std::uint64_t whole_above_zero(const Value& v, const std::string& path) {
  const double number = as_number(v, path);
  if (!(number > 0 && number < 1e9)) throw_malformed(path, "must be above 0");
  return static_cast<std::uint64_t>(number * 1e6);
}

}  // namespace

Config read_config(const std::string& json) {
  rapidjson::Document v;
  v.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (v.HasParseError())
    throw_malformed("config", ("is no JSON at byte " + std::to_string(v.GetErrorOffset()) + ": " +
                               rapidjson::GetParseError_En(v.GetParseError()))
                                  .c_str());
  const std::string path = "config";
  as_object(v, path);
  Config c;
  c.name = required_field(v, "name", path, as_string);
  c.listen = read_address(required_field(v, "listen", path, as_string), path + ".listen");
  c.discovery = read_address(required_field(v, "discovery", path, as_string), path + ".discovery");
  const std::string seed = required_field(v, "seed", path, as_string);
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size())
    throw_malformed(path + ".seed", "must be 64 bits in hexadecimal");
  const Value& limits = as_object(required_member(v, "limits", path), path + ".limits");
  const int sockets = required_field(limits, "sockets", path + ".limits", as_int);
  if (sockets < 64) throw_malformed(path + ".limits.sockets", "must be 64 or more");
  c.client_connections = (static_cast<std::size_t>(sockets) - kOtherFiles) / 2;
  c.endpoint_connections = static_cast<std::size_t>(sockets) - kOtherFiles - c.client_connections;
  c.memory_bytes = required_field(limits, "memory_mb", path + ".limits", whole_above_zero);
  // Taken as 10^6 bytes, the smaller of the two readings of a megabyte.
  c.disk_bytes = required_field(limits, "disk_mb", path + ".limits", whole_above_zero);
  if (const Value* p = find_member(v, "peer_listen"))
    c.peer_listen = udp(as_string(*p, path + ".peer_listen"), path + ".peer_listen");
  if (const Value* p = find_member(v, "peers_all"))
    c.peers_all = udp(as_string(*p, path + ".peers_all"), path + ".peers_all");
  if (const Value* peers = find_member(v, "peers"))
    for (const auto& p : as_array(*peers, path + ".peers").GetArray())
      c.peers.push_back(udp(as_string(p, path + ".peers"), path + ".peers"));
  const Value& settings = required_member(v, "settings", path);
  ParsedSettings parsed = read_settings(settings, path + ".settings");
  c.settings = std::move(parsed.settings);
  c.names = std::move(parsed.names);
  heronvane::dispatch::validate(c.settings);
  // However many calls may be out, each needs a descriptor.
  c.settings.max_concurrent_calls =
      std::min(c.settings.max_concurrent_calls, static_cast<int>(c.endpoint_connections));
  if (const Value* report = find_member(settings, "Report"))
    c.reports_in_answers =
        optional_field(*report, "How", path + ".settings.Report", as_string, "none") == "answers";
  c.generation = optional_field(v, "generation", path, as_int64, std::int64_t{0});
  if (c.generation < 0) throw_malformed(path + ".generation", "must not be negative");
  if (const Value* known = find_member(v, "known"))
    c.known = read_endpoint_list(*known, path + ".known", c.names);
  return c;
}

ConfigPaths find_config_paths(const CommandLine& options) {
  return {option_or_variable(options.config, "LB_CONFIG"), option_or_variable(options.state, "LB_STATE"),
          option_or_variable(options.settings, "HERONVANE_SETTINGS")};
}

Config load_config(const ConfigPaths& paths) {
  if (paths.config.empty())
    throw std::runtime_error(
        "no configuration: name its file by --config FILE or LB_CONFIG; --help lists all options");
  const std::string text = read_text_file(paths.config, "configuration");
  Config c = [&] {
    try {
      return read_config(text);
    } catch (const std::exception& e) {
      throw std::runtime_error(paths.config + ": " + e.what());
    }
  }();
  c.state_folder = paths.state;
  c.own = load_operator_settings(paths.settings);
  if (c.own.admin.socket) {
    c.client_connections -= kAdminFiles / 2, c.endpoint_connections -= kAdminFiles / 2;
  }
  if (c.own.copies.on)
    c.client_connections -= std::min(c.client_connections / 2, kCopiesFiles / 2),
        c.endpoint_connections -= std::min(c.endpoint_connections / 2, kCopiesFiles / 2);
  c.settings.max_concurrent_calls =
      std::min(c.settings.max_concurrent_calls, static_cast<int>(c.endpoint_connections));
  return c;
}

std::string summary(const Config& c, const ConfigPaths& paths) {
  const auto text = [](const boost::asio::ip::tcp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
  };
  return "name " + c.name + ", listens at " + text(c.listen) + ", discovery at " + text(c.discovery) + ", " +
         std::to_string(c.settings.classes.size()) + " classes, " + std::to_string(c.known.endpoints.size()) +
         " endpoints known, generation " + std::to_string(c.generation) + ", settings " +
         (paths.settings.empty() ? "none" : paths.settings);
}

}  // namespace heronvane
