// The command line of `heronvane`. No input or output here.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace heronvane {

// The options as given. Paths are empty where they are not.
struct CommandLine {
  std::string config;
  std::string state;
  std::string settings;
  std::string run;                      // 16 hexadecimal digits; empty: one is to be drawn
  std::optional<std::int64_t> undrain;  // the fencing token of the drain to take back
  // Use the state folder without asking the replicas of its log whether it is still this relay's.
  bool force_own = false;
  bool check_config = false;
  bool version = false;
  bool help = false;
};

// A command line that can't be understood; what() is one line that names the argument.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the arguments behind the program's name. A value follows its option as the next argument or behind
// '='. Throws UsageError.
CommandLine read_command_line(const std::vector<std::string>& arguments);

// What --help prints.
extern const char* const kUsage;

}  // namespace heronvane
