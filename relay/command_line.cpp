#include "command_line.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

#include "core/drain.hpp"

namespace heronvane {

const char* const kUsage =
    "heronvane: one relay, in the foreground\n"
    "\n"
    "  --config FILE      the configuration, JSON (LB_CONFIG)\n"
    "  --state FOLDER     the state folder, kept over restarts (LB_STATE)\n"
    "  --settings FILE    the operator's settings, TOML (HERONVANE_SETTINGS)\n"
    "  --run ID           the id of this run, 16 hexadecimal digits; default: random\n"
    "  --undrain FENCE    end a drain that is stored in the state folder\n"
    "  --force-own        with copies: use the state folder without asking the relays\n"
    "                     that hold copies; messages taken over there may run twice\n"
    "  --check-config     read the configuration and the settings, print a summary,\n"
    "                     and exit\n"
    "  --version, -h, --help\n"
    "\n"
    "Options take precedence over the environment variables in brackets. SIGTERM\n"
    "stops the relay, SIGHUP reloads the configuration.\n";

namespace {

constexpr std::size_t kRunDigits = 16;

std::int64_t read_fence(const std::string& text) {
  std::int64_t fence = -1;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, fence);
  if (error != std::errc() || end != last || fence < 0 || fence > kMaxFence) {
    throw UsageError("--undrain: must be a whole number, not '" + text + "'");
  }
  return fence;
}

std::string read_run_id(const std::string& text) {
  const auto hexadecimal = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
  if (text.size() != kRunDigits || !std::all_of(text.begin(), text.end(), hexadecimal)) {
    throw UsageError("--run: must be 16 hexadecimal digits (0-9, a-f), not '" + text + "'");
  }
  return text;
}

struct FlagOption {
  std::string_view name;
  bool CommandLine::*field;
};

constexpr FlagOption kFlags[] = {
    {"--check-config", &CommandLine::check_config},
    {"--version", &CommandLine::version},
    {"--force-own", &CommandLine::force_own},
    {"--help", &CommandLine::help},
    {"-h", &CommandLine::help},
};

struct ValueOption {
  std::string_view name;
  void (*set)(CommandLine& options, const std::string& value);
};

constexpr ValueOption kValues[] = {
    {"--config", [](CommandLine& options, const std::string& value) { options.config = value; }},
    {"--state", [](CommandLine& options, const std::string& value) { options.state = value; }},
    {"--settings", [](CommandLine& options, const std::string& value) { options.settings = value; }},
    {"--run", [](CommandLine& options, const std::string& value) { options.run = read_run_id(value); }},
    {"--undrain",
     [](CommandLine& options, const std::string& value) { options.undrain = read_fence(value); }},
};

// Returns the option called `name` in the table `options`, or nullptr.
template <class Option, std::size_t size>
const Option* find_option(const Option (&options)[size], const std::string& name) {
  const auto* const found =
      std::find_if(std::begin(options), std::end(options), [&](const Option& o) { return o.name == name; });
  return found == std::end(options) ? nullptr : found;
}

bool begins_with_dashes(const std::string& argument) { return argument.compare(0, 2, "--") == 0; }

// Parses the arguments from first to last.
class Parser {
 public:
  explicit Parser(const std::vector<std::string>& arguments) : arguments_(arguments) {}

  CommandLine parse() {
    while (next_ < arguments_.size()) take_option(arguments_[next_++]);
    return std::move(options_);
  }

 private:
  void take_option(const std::string& argument) {
    const bool is_long = argument.size() > 2 && begins_with_dashes(argument);
    const auto equals = is_long ? argument.find('=') : std::string::npos;
    const bool has_value = equals != std::string::npos;
    const std::string name = argument.substr(0, equals);
    const FlagOption* const flag = find_option(kFlags, name);
    const ValueOption* const valued = find_option(kValues, name);
    if (flag == nullptr && valued == nullptr) {
      throw UsageError((is_long ? "unknown option '" : "unexpected argument '") + name +
                       "'; --help lists the options");
    }
    if (!seen_.insert(name).second) throw UsageError(name + ": given twice");
    if (flag != nullptr) {
      if (has_value) throw UsageError(name + ": takes no value");
      options_.*flag->field = true;
      return;
    }
    valued->set(options_, has_value ? non_empty(name, argument.substr(equals + 1)) : next_value(name));
  }

  // An argument that begins with dashes is taken for the next option, so the value is missing.
  std::string next_value(const std::string& name) {
    if (next_ == arguments_.size() || begins_with_dashes(arguments_[next_])) throw_missing_value(name);
    return non_empty(name, arguments_[next_++]);
  }

  static std::string non_empty(const std::string& name, const std::string& value) {
    if (value.empty()) throw_missing_value(name);
    return value;
  }

  [[noreturn]] static void throw_missing_value(const std::string& name) {
    throw UsageError(name + ": its value is missing; --help lists the options");
  }

  const std::vector<std::string>& arguments_;
  std::size_t next_ = 0;
  std::set<std::string> seen_;
  CommandLine options_;
};

}  // namespace

CommandLine read_command_line(const std::vector<std::string>& arguments) { return Parser(arguments).parse(); }

}  // namespace heronvane
