// Errors of a start: the step that failed, and whether a retry may help.
#pragma once

#include <boost/system/error_code.hpp>
#include <exception>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>

namespace heronvane::startup {

// The steps of a start, in their order.
enum class Step {
  configuration,  // the configuration and the operator's settings are read
  state_folder,   // the state folder is opened and locked
  listener,       // the addresses are bound
  recovery,       // the requests that an earlier process left are recovered
  loop            // the event loop and its signal sets are created
};

// The step's name in log lines.
std::string_view name_of(Step step);

// Whether a failure may pass by itself.
enum class Persistence {
  transient,  // a retry may succeed: folder or address in use, lack of descriptors, disk error
  permanent   // needs an action of the operator
};

// Classifies the error of a system call during a start. Errors that are not known to be permanent count as
// transient: a start that retries in vain ends by its timeout, while one that gives up too soon leaves
// clients without a relay.
Persistence persistence_of(const std::error_code& error);
Persistence persistence_of(const boost::system::error_code& error);

// The failure of a start.
class StartError : public std::runtime_error {
 public:
  StartError(Step step, Persistence persistence, const std::string& what)
      : std::runtime_error(what), step_(step), persistence_(persistence) {}

  Step step() const { return step_; }
  bool is_transient() const { return persistence_ == Persistence::transient; }

 private:
  Step step_;
  Persistence persistence_;
};

// Converts any exception of a start into a StartError, with `step` unless the exception has a step of its
// own.
StartError to_start_error(const std::exception& error, Step step);

}  // namespace heronvane::startup
