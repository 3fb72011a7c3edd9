// The demonstration's agent: its process, and a thread that polls its state.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "dial.hpp"
#include "model.hpp"

namespace heronvane::cli {

class AgentConnection;

// Creates a folder with mode 0700 in $TMPDIR or /tmp; the destructor removes it with its content.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// `n` ports of 127.0.0.1 that are free now, below the ephemeral port range. std::runtime_error if there are
// not enough.
std::vector<std::uint16_t> free_ports(std::size_t n);
// The path of the running program.
std::string own_program();
// The path of `program` in the folder of this one, or its bare name, to be found through PATH.
std::string beside(const std::string& program);

// Runs heronvane-agent as a child process with --stop-relays, in its own session so that Ctrl-C does not
// reach it. The child gets SIGTERM when the thread that called start() ends.
class AgentProcess {
 public:
  explicit AgentProcess(std::string folder) : folder_(std::move(folder)) {}
  ~AgentProcess();  // ends the agent (SIGKILL after 4 s) and its relays
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  void start();  // std::system_error
  std::string data() const { return folder_ + "/a"; }
  std::string socket() const {
    return folder_ + "/agent.sock";
  }  // a symbolic link to the socket in data(), for a shorter path
  std::string log() const { return folder_ + "/agent.out"; }
  pid_t pid() const { return pid_; }  // 0: not running
  void signal(int number) const;
  // Whether the process has ended; `how` then gets its exit status or signal.
  bool ended(std::string& how);

 private:
  std::string folder_;
  pid_t pid_ = 0;
};

// Kills relays and agents whose command line names this folder, which are left over from the agent, and waits
// up to about 1 s until they have ended. Returns how many there were at first.
std::size_t end_leftovers(const std::string& folder);

// Applies the fleet and polls the agent on its own thread.
class FleetWatch {
 public:
  struct State {
    bool applied = false;  // the agent has accepted the fleet
    std::string refused;   // why the agent refused a request, "" if it did not
    std::string trouble;   // why the state could not be read, "" if it was
    AgentInfo agent;
    std::vector<Instance> instances;
  };
  // Applies the fleet once the agent answers, then polls its state and passes it to `on_state` on the thread
  // of `io`.
  FleetWatch(boost::asio::io_context& io, std::string socket, std::string fleet,
             std::function<void(State)> on_state);
  ~FleetWatch();
  FleetWatch(const FleetWatch&) = delete;
  FleetWatch& operator=(const FleetWatch&) = delete;

  void drain();  // starts draining all instances

 private:
  void run();
  State read_state(AgentConnection& port);
  void post(AgentConnection& port, const std::string& body);

  boost::asio::io_context& io_;
  std::string socket_, fleet_;
  std::function<void(State)> on_state_;
  Stop stop_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool ending_ = false, drain_ = false, drain_asked_ = false, applied_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::thread thread_;
};

}  // namespace heronvane::cli
