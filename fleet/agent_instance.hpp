// The agent's own state of one instance, beside the decider's. For agent.cpp and agent_api.cpp alone.
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
  std::string run;  // of `process`
  std::unique_ptr<Process> process;
  std::string config_error;  // of the last write_config(); empty: it succeeded
  boost::asio::steady_timer timer;
  std::uint64_t process_number =
      0;  // changes at each start and end: answers of an earlier process are dropped
  bool state_folder_seen = false;
  std::string status;       // last status answer, JSON; empty: none, or longer than kMaxStatusBytes
  std::string copies_json;  // summary of its member `copies`, JSON; empty: it has none
  Microseconds status_at = 0;
};

}  // namespace heronvane::fleet
