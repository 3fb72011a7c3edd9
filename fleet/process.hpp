// Processes of the machine that the agent keeps: started apart from it, watched and signalled by descriptor.
//
// A pid alone names nobody: the kernel gives it out again. A process is known by its pid, its start time and
// the machine's boot, and once it is open by a descriptor of its own, which never turns into another's.
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

// Outlasts the agent, not the boot.
struct ProcessId {
  pid_t pid = 0;
  std::uint64_t start_time = 0;  // clock ticks after boot, as /proc tells it
  std::string boot;              // of the machine; empty where the system does not tell

  bool operator==(const ProcessId&) const = default;
};

std::string boot_id();
// Nothing where no process has that pid, or only the rest of one that has ended.
std::optional<ProcessId> identify(pid_t pid);

struct Command {
  std::string program;                 // a path
  std::vector<std::string> arguments;  // without the program's own name
  std::string folder;                  // it runs there
  std::string log;                     // standard output and error are appended to it
  std::vector<std::string> hidden;     // variables of the environment that it does not get
  std::uint64_t descriptors = 0;       // its soft limit of open files; 0: the caller's
};

// Starts it in a session of its own, standard input from /dev/null, without any other descriptor, with
// default signals. It runs on when the caller ends. Until it runs the program it keeps the caller's
// descriptors, locks among them. Waits until the program runs or could not be run; then nothing stands of it.
std::error_code start_detached(const Command& command, pid_t& pid);

// How a process ended. Of one that is no child of the caller the system tells nothing.
struct ExitStatus {
  bool known = false;
  int status = 0;  // meant where signal is 0
  int signal = 0;
};

// One process that is watched. Not copied; letting it go ends the watch, not the process.
class Process {
 public:
  using EndHandler = std::function<void(ExitStatus)>;

  // nullptr with `error`: no such process any more (also where the pid is another's now), or no descriptor.
  // `ended` is called once, from the loop, and not after this object is gone; it may let it go.
  static std::unique_ptr<Process> open(boost::asio::io_context& io, const ProcessId& id, EndHandler ended,
                                       std::error_code& error);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const ProcessId& id() const { return id_; }
  // Reaches this process or none: no_such_process where it has ended.
  std::error_code signal(int number);

 private:
  Process(boost::asio::io_context& io, ProcessId id, int descriptor, EndHandler ended);
  void watch();

  ProcessId id_;
  boost::asio::posix::stream_descriptor descriptor_;
  EndHandler on_end_;
  std::shared_ptr<bool> alive_;
};

// The word after the first `option` among the arguments of a process; nothing where there is none such.
std::optional<std::string> argument_of(pid_t pid, const std::string& option);
// All processes of this user that have such an argument, by that word.
std::multimap<std::string, ProcessId> find_by_option(const std::string& option);

}  // namespace heronvane::fleet
