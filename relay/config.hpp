// The configuration of a relay: the JSON file that LB_CONFIG names, with the operator's settings.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "command_line.hpp"
#include "endpoint_list.hpp"
#include "heronvane/dispatch/dispatcher.hpp"
#include "operator_settings.hpp"
#include "settings.hpp"

namespace heronvane {

// The relay's validated configuration, from its file and the operator's settings.
struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;     // where clients connect
  boost::asio::ip::tcp::endpoint discovery;  // the control plane's address
  std::string state_folder;                  // of the durable store; empty: not configured
  std::uint64_t seed = 0;                    // for the decision module's random numbers
  // How the file descriptors that the process may hold are divided.
  std::size_t client_connections = 0;
  std::size_t endpoint_connections = 0;  // for calls in flight and cached connections
  std::uint64_t memory_bytes = 0;        // limit for request bodies, endpoint lists and the store
  std::uint64_t disk_bytes = 0;          // limit of the state folder's size
  std::optional<boost::asio::ip::udp::endpoint> peer_listen;  // where gossip is received; empty: no gossip
  std::optional<boost::asio::ip::udp::endpoint> peers_all;    // the multicast group of all peers
  std::vector<boost::asio::ip::udp::endpoint> peers;          // in the order of their relay indexes
  heronvane::dispatch::Settings settings;
  heronvane::dispatch::adapter::NameTables names;  // of the classes, tenants, zones and kinds in `settings`
  bool reports_in_answers = false;                 // whether endpoints put load reports into their answers
  std::int64_t generation = 0;                     // of the agent's desired state; 0: none
  EndpointList known;                              // the endpoint list as it was when the file was written
  OperatorSettings own;
};

// Reads the configuration from JSON; the state folder and the operator's settings are not part of it. Throws
// WireError, or std::invalid_argument from validate(); the text names the malformed field.
Config read_config(const std::string& json);

// Paths of the files and the folder that make up a configuration; empty: not given.
struct ConfigPaths {
  std::string config;
  std::string state;     // the folder of the durable store
  std::string settings;  // the operator's settings
};

// Takes each path from the command line, else from the environment: LB_CONFIG, LB_STATE, HERONVANE_SETTINGS.
ConfigPaths find_config_paths(const CommandLine& options);

// Reads the files at `paths`; `paths.state` may be empty. Throws an exception whose text names the file and
// the malformed field, or the missing option; std::system_error if a file can't be read.
Config load_config(const ConfigPaths& paths);

// Summarises a configuration for the operator in one line.
std::string summary(const Config& config, const ConfigPaths& paths);

}  // namespace heronvane
