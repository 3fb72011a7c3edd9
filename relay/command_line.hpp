// The command line of `heronvane`. No input or output here.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace heronvane {

struct CommandLine {
  std::string config, state, settings;  // paths; empty: not given
  std::string run;                      // 16 hexadecimal digits; empty: one is drawn
  std::optional<std::int64_t> undrain;  // the fence under which a drain is taken back
  // What the folder holds is this relay's, whatever its copies at others say; it is not asked.
  bool force_own = false;
  bool check_config = false, version = false, help = false;
};

// One line that tells what can't be understood.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// `arguments` without the program's name: "--state FOLDER" or "--state=FOLDER". Throws UsageError.
CommandLine read_command_line(const std::vector<std::string>& arguments);

extern const char* const kUsage;  // what --help prints

}  // namespace heronvane
