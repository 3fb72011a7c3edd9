// The demonstration's agent: its process, and what it tells, asked on a thread of its own.
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

// A folder of mode 0700 in $TMPDIR or /tmp that is removed with all that is in it.
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

// So many ports of 127.0.0.1 that nobody has now, below those that connections are given.
std::vector<std::uint16_t> free_ports(std::size_t n);
// Where this program is; a program beside it, or its bare name, which is looked for in PATH.
std::string own_program();
std::string beside(const std::string& program);

// heronvane-agent as a child, in a session of its own so that Ctrl-C does not reach it, told to end its
// relays with it. It ends (SIGTERM) when the thread that started it does.
class AgentProcess {
 public:
  explicit AgentProcess(std::string folder) : folder_(std::move(folder)) {}
  ~AgentProcess();  // ends it, and its relays, within some seconds
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  void start();  // std::system_error
  std::string data() const { return folder_ + "/a"; }
  std::string socket() const { return folder_ + "/agent.sock"; }  // a short way to the one in its data
  std::string log() const { return folder_ + "/agent.out"; }
  pid_t pid() const { return pid_; }  // 0: it does not run
  void signal(int number) const;
  // True once it has ended; `how` tells how.
  bool ended(std::string& how);

 private:
  std::string folder_;
  pid_t pid_ = 0;
};

// Ends processes that name this folder in their command line, which are what the agent left, and waits until
// they are gone. How many there were.
std::size_t end_leftovers(const std::string& folder);

class FleetWatch {
 public:
  struct Seen {
    bool applied = false;  // the agent has the fleet
    std::string refused;   // why it does not take it
    std::string trouble;   // why nothing could be learned
    AgentInfo agent;
    std::vector<Instance> instances;
  };
  // Has the agent take the fleet once it answers, and hands on what it tells, in the thread of `io`.
  FleetWatch(boost::asio::io_context& io, std::string socket, std::string fleet,
             std::function<void(Seen)> take);
  ~FleetWatch();
  FleetWatch(const FleetWatch&) = delete;
  FleetWatch& operator=(const FleetWatch&) = delete;

  void drain();  // all instances

 private:
  void run();
  Seen look(AgentConnection& port);
  void post(AgentConnection& port, const std::string& body);

  boost::asio::io_context& io_;
  std::string socket_, fleet_;
  std::function<void(Seen)> take_;
  Stop stop_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool ending_ = false, drain_ = false, drain_asked_ = false, applied_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::thread thread_;
};

}  // namespace heronvane::cli
