// What the agent knows of one instance besides what is decided. For the agent's own files alone.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "agent.hpp"

namespace heronvane::fleet {

struct Agent::Instance {
  Instance(boost::asio::io_context& io, const std::string& data, const std::string& instance_name)
      : name(instance_name), folder(data, instance_name), timer(io) {}

  std::string name;
  InstanceFolder folder;
  std::string run;  // of the process
  std::unique_ptr<Process> process;
  std::string config_error;  // of the last attempt to write it
  boost::asio::steady_timer timer;
  std::uint64_t process_number = 0;  // counts processes: answers to an earlier one's questions say nothing
  bool state_folder_seen = false;
  std::string status;       // as last told
  std::string copies_json;  // of it, in short, as JSON; empty: none are kept
  Microseconds status_at = 0;
};

}  // namespace heronvane::fleet
