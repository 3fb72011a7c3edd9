// Parses the command line of `heronvane`. Does no input or output.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace heronvane {

// The options as given. The path of an option that is not given is empty.
struct CommandLine {
  std::string config;
  std::string state;
  std::string settings;
  std::string run;                      // 16 hexadecimal digits; empty: the caller draws one
  std::optional<std::int64_t> undrain;  // the fencing token that ends a stored drain
  // Use the state folder without asking the replicas of its log whether it is still this relay's.
  bool force_own = false;
  bool check_config = false;
  bool version = false;
  bool help = false;
};

// An invalid command line; what() is one line that names the argument.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses the arguments after the program's name. The value of an option is the next argument, or follows '='
// in the same one. Throws UsageError.
CommandLine read_command_line(const std::vector<std::string>& arguments);

// The text that --help prints.
extern const char* const kUsage;

}  // namespace heronvane
