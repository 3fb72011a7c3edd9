// The real agent with its relays and its platform, and the real tool, as child processes. One thread.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "books.hpp"
#include "processes.hpp"
#include "standins/clients.hpp"

namespace heronvane::rig {

// The outcome of one run of the tool.
struct ToolResult {
  int status = -1;  // exit status; -1: timed out or ended by a signal
  pid_t pid = 0;
  std::string out;  // standard output
  std::string err;
  Ms duration = 0;
};

class Machine {
 public:
  // A running tool.
  struct Tool {
    pid_t pid = -1;
    std::string output_stem;  // its output goes to this path with ".out" and ".err" appended
    Ms started = 0;
  };
  struct Operation {
    std::uint64_t id = 0;
    std::string kind, by, state, message;
    std::vector<std::string> unfinished_steps;  // "n3 failed: reason" for each step that is not done
    std::size_t done = 0;                       // steps done
  };
  struct Instance {
    std::string name, phase;
    std::uint64_t restarts = 0;
  };

  // Uses a folder and a loopback address that no other process uses. The destructor ends all processes
  // started here.
  explicit Machine(int count);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  std::string name(int i) const { return "n" + std::to_string(i); }
  std::string unused_address() const { return address_ + ":9"; }
  std::vector<standins::ClientsOptions::Relay> relays() const;
  std::string folder() const { return folder_; }
  std::string data() const { return folder_ + "/data"; }
  pid_t agent() const { return agent_; }

  void write_fleet(const std::string& partners) const;  // writes fleet.toml and the partner list
  void start_agent();                                   // returns when the agent answers
  void kill_agent();
  const std::vector<Ms>& agent_starts() const { return agent_starts_; }

  // Starts the tool with these arguments, for this agent.
  Tool start_tool(const std::vector<std::string>& arguments);
  bool ended(const Tool& tool) const;  // whether finish_tool() would return at once
  ToolResult finish_tool(const Tool& tool);
  ToolResult tool(const std::vector<std::string>& arguments) { return finish_tool(start_tool(arguments)); }

  std::vector<Operation> operations();  // newest first
  std::vector<Instance> instances();    // by name; empty if the agent does not answer
  bool all_in(const std::string& phase);
  bool healthy(int i) const;            // whether its health check gives 200
  std::vector<Notice> notices() const;  // stored by the platform
  std::string log() const;              // the last 6,000 bytes of the agent's log

  Sampler& sampler() { return sampler_; }

 private:
  int count_;
  std::string folder_, address_;
  pid_t agent_ = -1;
  int tools_ = 0;
  Sampler sampler_;
  std::vector<Ms> agent_starts_;
};

}  // namespace heronvane::rig
