#include "command_line.hpp"

#include <algorithm>
#include <charconv>
#include <set>

#include "core/drain.hpp"

namespace heronvane {

const char* const kUsage =
    "heronvane: one relay, in the foreground\n"
    "\n"
    "  --config FILE      its configuration, JSON (LB_CONFIG)\n"
    "  --state FOLDER     the folder that lasts (LB_STATE)\n"
    "  --settings FILE    the operator's settings, TOML (HERONVANE_SETTINGS)\n"
    "  --run ID           this run's id, 16 hexadecimal digits; else one is drawn\n"
    "  --undrain FENCE    take a drain back that is kept in the folder\n"
    "  --force-own        with copies: go on with what this folder holds, holders\n"
    "                     unasked; what another relay took over may run twice\n"
    "  --check-config     read the configuration and the settings, say what is there,\n"
    "                     and end\n"
    "  --version, -h, --help\n"
    "\n"
    "Options win over the variables in brackets. SIGTERM ends it, SIGHUP has the\n"
    "configuration read again.\n";

namespace {

constexpr std::size_t kRunDigits = 16;

std::int64_t fence(const std::string& text) {
  std::int64_t v = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc() || end != text.data() + text.size() || v < 0 || v > kMostFence)
    throw UsageError("--undrain: must be a whole number, not '" + text + "'");
  return v;
}

std::string run_id(const std::string& text) {
  const auto hexadecimal = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
  if (text.size() != kRunDigits || !std::all_of(text.begin(), text.end(), hexadecimal))
    throw UsageError("--run: must be 16 hexadecimal digits (0-9, a-f), not '" + text + "'");
  return text;
}

}  // namespace

CommandLine read_command_line(const std::vector<std::string>& arguments) {
  CommandLine c;
  std::set<std::string> seen;
  for (std::size_t i = 0; i < arguments.size(); i++) {
    const auto& word = arguments[i];
    const bool option = word.size() > 2 && word.compare(0, 2, "--") == 0;
    const auto equals = option ? word.find('=') : std::string::npos;
    const std::string name = word.substr(0, equals);
    bool* const flag = name == "--check-config"           ? &c.check_config
                       : name == "--version"              ? &c.version
                       : name == "--force-own"            ? &c.force_own
                       : name == "--help" || name == "-h" ? &c.help
                                                          : nullptr;
    const bool valued = name == "--config" || name == "--state" || name == "--settings" || name == "--run" ||
                        name == "--undrain";
    if (flag == nullptr && !valued)
      throw UsageError((option ? "unknown option '" : "unexpected argument '") + name +
                       "'; --help lists the options");
    if (!seen.insert(name).second) throw UsageError(name + ": given twice");
    if (flag != nullptr) {
      if (equals != std::string::npos) throw UsageError(name + ": takes no value");
      *flag = true;
      continue;
    }
    std::string value;
    if (equals != std::string::npos)
      value = word.substr(equals + 1);
    else if (i + 1 < arguments.size())
      value = arguments[++i];
    // A following option is no value: the value was forgotten.
    if (value.empty() || (equals == std::string::npos && value.compare(0, 2, "--") == 0))
      throw UsageError(name + ": its value is missing; --help lists the options");
    if (name == "--config")
      c.config = value;
    else if (name == "--state")
      c.state = value;
    else if (name == "--settings")
      c.settings = value;
    else if (name == "--run")
      c.run = run_id(value);
    else
      c.undrain = fence(value);
  }
  return c;
}

}  // namespace heronvane
