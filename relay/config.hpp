// What the relay is told at its start: the file that LB_CONFIG names, as typed settings.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>
#include <vector>

#include "command_line.hpp"
#include "endpoint_list.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "operator_settings.hpp"
#include "settings.hpp"

namespace heronvane {

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::string state_folder;
  std::uint64_t seed = 0;
  // Parts of the file descriptors that the process may hold: for clients; for calls out and kept connections.
  std::size_t client_connections = 0, endpoint_connections = 0;
  std::uint64_t memory_bytes = 0;
  std::uint64_t disk_bytes = 0;  // that the state folder may hold
  std::optional<boost::asio::ip::udp::endpoint> peer_listen, peers_all;
  std::vector<boost::asio::ip::udp::endpoint> peers;  // by rank
  heronvane::dispatch::Settings settings;
  heronvane::dispatch::adapter::NameTables names;
  bool reports_in_answers = false;
  std::int64_t generation = 0;  // of the agent's desired state that it was written for; 0: none
  EndpointList known;
  OperatorSettings own;
};

// Throws std::exception whose text names the field that can't be read.
Config read_config(const std::string& json);

// Where it is told: options, else the environment's variables.
struct ConfigPaths {
  std::string config, state, settings;  // paths; empty: none is named
};
ConfigPaths find_config_paths(const CommandLine& options);

// All that is told at the start; `state` may be empty. Throws std::exception whose text names the field, or
// says what is missing.
Config load_config(const ConfigPaths& paths);
// What stands in it, for an operator.
std::string summary(const Config& config, const ConfigPaths& paths);

}  // namespace heronvane
