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

// The relay's configuration as read from its file and the operator's settings; checked.
struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;     // of the listener for clients
  boost::asio::ip::tcp::endpoint discovery;  // of the control plane
  std::string state_folder;                  // the durable store's; empty: none is named
  std::uint64_t seed = 0;                    // of the decision module's random numbers
  // Shares of the file descriptors that the process may hold.
  std::size_t client_connections = 0;
  std::size_t endpoint_connections = 0;                       // for calls in flight and cached connections
  std::uint64_t memory_bytes = 0;                             // for requests that are being read
  std::uint64_t disk_bytes = 0;                               // that the state folder may hold
  std::optional<boost::asio::ip::udp::endpoint> peer_listen;  // of gossip; nothing: there is none
  std::optional<boost::asio::ip::udp::endpoint> peers_all;    // the multicast group of all peers
  std::vector<boost::asio::ip::udp::endpoint> peers;          // by their rank
  heronvane::dispatch::Settings settings;
  heronvane::dispatch::adapter::NameTables names;  // of the classes, tenants, zones and kinds in `settings`
  bool reports_in_answers = false;                 // endpoints put load reports into their answers
  std::int64_t generation = 0;  // of the agent's desired state that it was written for; 0: none
  EndpointList known;           // the endpoint list as it was when the file was written
  OperatorSettings own;
};

// Reads the configuration's JSON, without state folder and operator's settings. Throws an exception whose
// text names the field that is malformed: WireError, or std::invalid_argument from validate().
Config read_config(const std::string& json);

// Paths of what makes up a configuration; empty: none is named.
struct ConfigPaths {
  std::string config;
  std::string state;     // the folder of the durable store
  std::string settings;  // the operator's
};

// From the command line, else from the environment: LB_CONFIG, LB_STATE, HERONVANE_SETTINGS.
ConfigPaths find_config_paths(const CommandLine& options);

// Reads the files at `paths`. `paths.state` may be empty. Throws an exception whose text names the file and
// the field, or says what is missing; std::system_error where a file can't be read.
Config load_config(const ConfigPaths& paths);

// One line on a configuration, for an operator.
std::string summary(const Config& config, const ConfigPaths& paths);

}  // namespace heronvane
