// Processes that the agent starts detached from itself, watches and signals by pidfd.
//
// A pid alone does not identify a process, since the kernel reuses pids. A process is identified by its pid,
// its start time and the machine's boot id; an open one by its pidfd, which never refers to another process.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace heronvane::fleet {

// Valid across restarts of the agent, not of the machine.
struct ProcessId {
  pid_t pid = 0;
  std::uint64_t start_time = 0;  // clock ticks after boot, from /proc/PID/stat
  std::string boot;              // boot id of the machine; empty if the system has none

  bool operator==(const ProcessId&) const = default;
};

// The machine's boot id; empty if it can't be read.
std::string boot_id();
// nullopt if no process has that pid, or only a zombie.
std::optional<ProcessId> identify(pid_t pid);

struct Command {
  std::string program;                 // path
  std::vector<std::string> arguments;  // without argv[0]
  std::string folder;                  // working directory
  std::string log;                     // file to which standard output and error are appended
  std::vector<std::string> hidden;     // environment variables that it does not inherit
  std::uint64_t descriptors = 0;       // soft limit of open files; 0: the caller's
};

// Starts the program in its own session, with standard input from /dev/null, no other inherited descriptors
// and default signal handling; it outlives the caller. Until exec the child holds the caller's descriptors,
// including locks. Returns after exec, with `pid` set, or the error of fork, of the preparation or of exec;
// the child is reaped then.
std::error_code start_detached(const Command& command, pid_t& pid);

// How a process ended. The kernel reports this for children of the caller only.
struct ExitStatus {
  bool known = false;  // false: not a child of the caller
  int status = 0;      // exit status; valid if signal is 0
  int signal = 0;
};

// One watched process. Destroying the object ends the watch, not the process.
class Process {
 public:
  using EndHandler = std::function<void(ExitStatus)>;

  // Returns nullptr and sets `error` if the process no longer exists (also if its pid was reused) or no pidfd
  // is available. `ended` is called at most once, on the io_context's thread, never after this object is
  // destroyed; it may destroy the object.
  static std::unique_ptr<Process> open(boost::asio::io_context& io, const ProcessId& id, EndHandler ended,
                                       std::error_code& error);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const ProcessId& id() const { return id_; }
  // Sends the signal to this process, never to another; no_such_process if it has ended.
  std::error_code signal(int number);

 private:
  Process(boost::asio::io_context& io, ProcessId id, int descriptor, EndHandler ended);
  void watch();

  ProcessId id_;
  boost::asio::posix::stream_descriptor descriptor_;
  EndHandler on_end_;
  std::shared_ptr<bool> alive_;
};

// The argument after the first `option` on the process's command line; nullopt if there is none.
std::optional<std::string> argument_of(pid_t pid, const std::string& option);
// All processes of this user whose command line has `option`, by the argument after it.
std::multimap<std::string, ProcessId> find_by_option(const std::string& option);

}  // namespace heronvane::fleet
