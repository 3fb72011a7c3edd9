// A machine: a folder that is its disk, its addresses, and the relay's process on it. One thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "experiment.hpp"
#include "launcher.hpp"

namespace heronvane::lab {

struct MachineOptions {
  std::string name, folder, program;
  std::string settings;                  // the operator's file, as text; empty: none
  std::vector<std::string> environment;  // NAME=value, beside what every relay is told
  boost::asio::ip::tcp::endpoint health;
  // The configuration of its next start, whose seed differs each time.
  std::function<std::string(unsigned life)> config;
  Microseconds start_at_most = 20'000'000;
};

class Machine {
 public:
  enum class End { wanted, by_itself };
  struct Hooks {
    std::function<void()> up;        // its health said 200 after a start
    std::function<void(End)> ended;  // its process
    std::function<void()> no_start;  // in time; it goes on trying to become ready
  };
  Machine(boost::asio::io_context& io, Launcher& launcher, MachineOptions options, Hooks hooks);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  void start();                         // where no process runs, but for the next one of overlap()
  void kill();                          // SIGKILL
  void terminate(Microseconds killed);  // SIGTERM; SIGKILL where it still runs so much later
  // Starts the next process beside the one that runs, which then gets SIGTERM, and SIGKILL where it still
  // runs so much later. The next start() takes the next process over; it is the machine's only then.
  void overlap(Microseconds killed);
  void stop();   // SIGSTOP
  void go_on();  // SIGCONT
  bool running() const;
  pid_t pid() const;

  void lose_disk();                         // while no process runs
  void copy_disk(const std::string& name);  // as it is; a process that runs stands still meanwhile
  bool put_back(const std::string& name);   // that copy, while no process runs; false: there is none
  void fill_disk(bool full);                // nothing more can be written to it; while its process runs
  // Bytes of memory that its process holds now (/proc); 0: none runs.
  std::uint64_t resident() const;
  double cpu_seconds() const;  // that its process has used

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::lab
