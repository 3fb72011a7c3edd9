// A small process that starts others for the lab: forking the lab itself, with its memory and descriptors,
// would hold up its loop. What it starts ends with it, and it ends with the lab, however that ends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "process.hpp"

namespace heronvane::lab {

struct Command {
  std::vector<std::string> arguments;    // the program first
  std::vector<std::string> environment;  // NAME=value, all of it
  std::string log;                       // its standard output and error are appended there
};

class Launcher {
 public:
  // Forks at once: to be made before threads are, and while the process is small. Throws std::system_error.
  Launcher();
  ~Launcher();  // ends all that it started
  Launcher(const Launcher&) = delete;
  Launcher& operator=(const Launcher&) = delete;

  // Answers come on the loop of `io`, until detach(), which must come before `io` ends.
  void attach(boost::asio::io_context& io);
  void detach();
  // `started` is called on the loop, with an empty Process where it could not be started.
  void start(const Command& command, std::function<void(Process)> started);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heronvane::lab
