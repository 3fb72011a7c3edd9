// One machine: the real agent with its relays and its platform, and the real tool, as child processes.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "books.hpp"
#include "processes.hpp"
#include "standins/clients.hpp"

namespace heronvane::rig {

struct Ran {
  int status = -1;  // of the tool; -1: it did not end in time, or by a signal
  pid_t pid = 0;
  std::string out;  // standard output
  std::string err;
  Ms took = 0;
};

class Machine {
 public:
  // The tool while it runs.
  struct Tool {
    pid_t pid = -1;
    std::string files;  // its output: this and ".out", ".err"
    Ms begun = 0;
  };
  struct Operation {
    std::uint64_t id = 0;
    std::string kind, by, state, message;
    std::vector<std::string> left;  // "n3 failed: why" of steps that were not done
    std::size_t done = 0;           // steps
  };
  struct Instance {
    std::string name, phase;
    std::uint64_t restarts = 0;
  };

  // A folder and loopback addresses of its own. Ends all that it started when it goes.
  explicit Machine(int count);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  std::string name(int i) const { return "n" + std::to_string(i); }
  std::string nobody() const { return address_ + ":9"; }
  std::vector<standins::ClientsOptions::Relay> relays() const;
  std::string folder() const { return folder_; }
  std::string data() const { return folder_ + "/data"; }
  pid_t agent() const { return agent_; }

  void write_fleet(const std::string& partners) const;  // fleet.toml and what it names
  void start_agent();                                   // waits until it answers
  void kill_agent();
  const std::vector<Ms>& agent_starts() const { return agent_starts_; }

  // The tool with this agent.
  Tool start_tool(const std::vector<std::string>& words);
  bool ended(const Tool& tool) const;  // finish_tool would not wait
  Ran finish_tool(const Tool& tool);
  Ran tool(const std::vector<std::string>& words) { return finish_tool(start_tool(words)); }

  std::vector<Operation> operations();  // newest first
  std::vector<Instance> instances();    // by name; empty: no agent answers
  bool all_in(const std::string& phase);
  bool healthy(int i) const;            // its health is 200 now
  std::vector<Notice> notices() const;  // that the platform kept
  std::string log() const;              // the agent's last lines

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
