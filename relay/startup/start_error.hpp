// Why a start failed: at which step, and whether a retry helps.
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
  recovery,       // what an earlier process left is read and taken over
  loop            // the event loop and its signals are set up
};

// The step's name in log lines.
std::string_view name_of(Step step);

// Whether a failure may be gone a moment later.
enum class Persistence {
  transient,  // a retry may succeed: a folder or an address in use, descriptors short, a disk error
  permanent   // only an operator can change it
};

// The persistence of a system call's error during a start. Errors that are not known to be permanent count as
// transient: a start that waits in vain ends by its timeout, one that gives up too soon leaves nobody to
// serve.
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

// Any exception of a start as a StartError; of `step` where the exception does not tell its own.
StartError to_start_error(const std::exception& error, Step step);

}  // namespace heronvane::startup
