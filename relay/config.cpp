#include "config.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include "text_file.hpp"

namespace heronvane {

using namespace heronvane::dispatch::adapter;

namespace {

const std::string kRoot = "config";  // the path of the whole document in error texts

// File descriptors other than connections of clients and to endpoints: standard streams, the event loop,
// signals, the store's files, discovery, the gossip socket, the listener, and a connection that is being
// rejected.
constexpr std::size_t kOtherFiles = 24;
// File descriptors of the admin socket: its listener, its connections, and one that is being rejected.
constexpr std::size_t kAdminFiles = 10;
// File descriptors of replication: connections to and from members, and three files for each replica log.
constexpr std::size_t kCopiesFiles = 80;
constexpr int kMinSockets = 64;
constexpr int kSeedBase = 16;
constexpr double kBytesPerMegabyte = 1e6;  // decimal, the smaller of the two common definitions
constexpr double kMaxMegabytes = 1e9;

boost::asio::ip::udp::endpoint as_udp_endpoint(const Value& value, const std::string& path) {
  const auto address = read_address(as_string(value, path), path);
  return {address.address(), address.port()};
}

boost::asio::ip::tcp::endpoint as_tcp_endpoint(const Value& value, const std::string& path) {
  return read_address(as_string(value, path), path);
}

std::uint64_t as_megabytes(const Value& value, const std::string& path) {
  const double number = as_number(value, path);
  if (!(number > 0 && number < kMaxMegabytes)) throw_malformed(path, "must be above 0");
  return static_cast<std::uint64_t>(number * kBytesPerMegabyte);
}

std::uint64_t as_seed(const Value& value, const std::string& path) {
  const std::string text = as_string(value, path);
  std::uint64_t seed = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, seed, kSeedBase);
  if (error != std::errc() || end != last) throw_malformed(path, "must be 64 bits in hexadecimal");
  return seed;
}

std::string option_or_variable(const std::string& option, const char* variable) {
  if (!option.empty()) return option;
  const char* const value = std::getenv(variable);  // NOLINT(concurrency-mt-unsafe): nothing sets variables
  return value == nullptr ? "" : value;
}

rapidjson::Document parse(const std::string& json) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError()) {
    throw_malformed(kRoot, "is no JSON at byte " + std::to_string(document.GetErrorOffset()) + ": " +
                               rapidjson::GetParseError_En(document.GetParseError()));
  }
  return document;
}

void read_limits(const Value& document, Config& config) {
  const std::string path = kRoot + ".limits";
  const Value& limits = as_object(required_member(document, "limits", kRoot), path);
  const int sockets = required_field(limits, "sockets", path, as_int);
  if (sockets < kMinSockets) throw_malformed(path + ".sockets", "must be 64 or more");
  const std::size_t connections = static_cast<std::size_t>(sockets) - kOtherFiles;
  config.client_connections = connections / 2;
  config.endpoint_connections = connections - config.client_connections;
  config.memory_bytes = required_field(limits, "memory_mb", path, as_megabytes);
  config.disk_bytes = required_field(limits, "disk_mb", path, as_megabytes);
}

void read_peers(const Value& document, Config& config) {
  if (const Value* listen = find_member(document, "peer_listen")) {
    config.peer_listen = as_udp_endpoint(*listen, kRoot + ".peer_listen");
  }
  if (const Value* group = find_member(document, "peers_all")) {
    config.peers_all = as_udp_endpoint(*group, kRoot + ".peers_all");
  }
  const Value* const peers = find_member(document, "peers");
  if (peers == nullptr) return;
  const std::string path = kRoot + ".peers";
  for (const auto& peer : as_array(*peers, path).GetArray()) {
    config.peers.push_back(as_udp_endpoint(peer, path));
  }
}

// Each call in flight needs a file descriptor, so the setting is capped at the number available.
void limit_concurrent_calls(Config& config) {
  config.settings.max_concurrent_calls =
      std::min(config.settings.max_concurrent_calls, static_cast<int>(config.endpoint_connections));
}

void read_decision_settings(const Value& document, Config& config) {
  const std::string path = kRoot + ".settings";
  const Value& settings = required_member(document, "settings", kRoot);
  ParsedSettings parsed = read_settings(settings, path);
  heronvane::dispatch::validate(parsed.settings);
  config.settings = std::move(parsed.settings);
  config.names = std::move(parsed.names);
  limit_concurrent_calls(config);
  // Over sockets no list arrives unprompted, whatever the settings say of the simulator's: a watch delivers
  // it.
  config.settings.list_subscription = true;
  if (const Value* report = find_member(settings, "Report")) {
    config.reports_in_answers =
        optional_field(*report, "How", path + ".Report", as_string, "none") == "answers";
  }
}

// Reduces the numbers of connections by the file descriptors of the admin socket and of replication.
void reserve_descriptors(Config& config) {
  if (config.own.admin.socket) {
    config.client_connections -= kAdminFiles / 2;
    config.endpoint_connections -= kAdminFiles / 2;
  }
  if (config.own.copies.on) {
    config.client_connections -= std::min(config.client_connections / 2, kCopiesFiles / 2);
    config.endpoint_connections -= std::min(config.endpoint_connections / 2, kCopiesFiles / 2);
  }
}

// Reads the configuration in `file`. The text of an error begins with the file's path.
Config read_config_of(const std::string& file) {
  const std::string text = read_text_file(file, "configuration");
  try {
    return read_config(text);
  } catch (const std::exception& error) {
    throw std::runtime_error(file + ": " + error.what());
  }
}

}  // namespace

Config read_config(const std::string& json) {
  const rapidjson::Document document = parse(json);
  as_object(document, kRoot);
  Config config;
  config.name = required_field(document, "name", kRoot, as_string);
  config.listen = required_field(document, "listen", kRoot, as_tcp_endpoint);
  config.discovery = required_field(document, "discovery", kRoot, as_tcp_endpoint);
  config.seed = required_field(document, "seed", kRoot, as_seed);
  read_limits(document, config);
  read_peers(document, config);
  read_decision_settings(document, config);
  config.generation = optional_field(document, "generation", kRoot, as_int64, 0);
  if (config.generation < 0) throw_malformed(kRoot + ".generation", "must not be negative");
  if (const Value* known = find_member(document, "known")) {
    config.known = read_endpoint_list(*known, kRoot + ".known", config.names);
  }
  return config;
}

ConfigPaths find_config_paths(const CommandLine& options) {
  return {option_or_variable(options.config, "LB_CONFIG"), option_or_variable(options.state, "LB_STATE"),
          option_or_variable(options.settings, "HERONVANE_SETTINGS")};
}

Config load_config(const ConfigPaths& paths) {
  if (paths.config.empty()) {
    throw std::runtime_error(
        "no configuration: name its file by --config FILE or LB_CONFIG; --help lists all options");
  }
  Config config = read_config_of(paths.config);
  config.state_folder = paths.state;
  config.own = load_operator_settings(paths.settings);
  reserve_descriptors(config);
  limit_concurrent_calls(config);
  return config;
}

std::string summary(const Config& config, const ConfigPaths& paths) {
  const auto text = [](const boost::asio::ip::tcp::endpoint& address) {
    return address.address().to_string() + ":" + std::to_string(address.port());
  };
  return "name " + config.name + ", listens at " + text(config.listen) + ", discovery at " +
         text(config.discovery) + ", " + std::to_string(config.settings.classes.size()) + " classes, " +
         std::to_string(config.known.endpoints.size()) + " endpoints known, generation " +
         std::to_string(config.generation) + ", settings " +
         (paths.settings.empty() ? "none" : paths.settings);
}

}  // namespace heronvane
