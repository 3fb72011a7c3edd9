// The commands and their options, as parsed from the command line. A new command needs a struct, an entry in
// kCommands and an alternative in Command; run.hpp then has to declare a call operator for it, and
// options.cpp has to parse it.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heronvane::cli {

struct CommandInfo {
  std::string_view name, help;
  enum class Takes { nothing, instances, file, other } takes;
  std::string_view options;  // the command's own options, for completion; the shell completes file names
};

inline constexpr std::string_view kGlobalOptions =
    "--agent --cert --key --ca --output -o --timeout --help --version";

inline constexpr std::array kCommands{
    CommandInfo{"up", "Start instances (all without names)", CommandInfo::Takes::instances,
                "--no-wait --supersede --max-unavailable"},
    CommandInfo{"down", "Stop instances (all without names)", CommandInfo::Takes::instances,
                "--no-wait --supersede --max-unavailable"},
    CommandInfo{"list", "One line for each instance", CommandInfo::Takes::nothing, "--names"},
    CommandInfo{"status", "Sum up, and say what needs attention", CommandInfo::Takes::nothing, "--watch"},
    CommandInfo{"show", "All that is known of one instance", CommandInfo::Takes::instances, ""},
    CommandInfo{"message", "Where a message is and how its attempts went", CommandInfo::Takes::other, ""},
    CommandInfo{"drain", "Take no new messages, finish what is held, end", CommandInfo::Takes::instances,
                "--all --no-wait --supersede --max-unavailable"},
    CommandInfo{"undrain", "Take messages again", CommandInfo::Takes::instances,
                "--all --no-wait --supersede --max-unavailable"},
    CommandInfo{"restart", "End and start again, few at a time", CommandInfo::Takes::instances,
                "--all --rolling --no-wait --supersede --max-unavailable"},
    CommandInfo{"takeover", "Have a holder take over what a relay owes", CommandInfo::Takes::other, "--yes"},
    CommandInfo{"apply", "Make the fleet what a fleet file says", CommandInfo::Takes::file,
                "--dry-run --yes --no-wait --supersede --max-unavailable"},
    CommandInfo{"rollback", "Go back to an earlier generation", CommandInfo::Takes::other,
                "--dry-run --yes --no-wait --supersede --max-unavailable"},
    CommandInfo{"history", "Operations, newest first", CommandInfo::Takes::nothing, "--limit"},
    CommandInfo{"logs", "The log of an instance", CommandInfo::Takes::instances, "--follow -f --lines -n"},
    CommandInfo{"cancel", "Cancel an operation", CommandInfo::Takes::other, ""},
    CommandInfo{"operation", "One operation and its steps, until it ends", CommandInfo::Takes::other,
                "--no-wait"},
    CommandInfo{"completion", "Print a completion script", CommandInfo::Takes::other, ""},
    CommandInfo{"demo", "A fleet of its own at work, to look at and to try", CommandInfo::Takes::nothing,
                "--seconds --plain"},
    CommandInfo{"version", "The versions of this tool and of agents", CommandInfo::Takes::nothing, ""},
};

// Options of every command that starts an operation.
struct ChangeOptions {
  bool wait = true;
  bool supersede = false;
  std::optional<unsigned> max_unavailable;
};

// up, down, drain, undrain, restart. `kind` is the operation's name in the API; empty `names` means all
// instances.
struct Change {
  std::string kind;
  std::vector<std::string> names;
  ChangeOptions options;
};
// Takes over the messages of a relay, whose machine may be lost.
struct TakeOver {
  std::string relay;
  bool yes = false;
};
struct Apply {
  std::string file;
  bool dry_run = false, yes = false;
  ChangeOptions options;
};
struct Rollback {
  std::optional<std::uint64_t> to;  // empty: the generation before the last apply or rollback
  bool dry_run = false, yes = false;
  ChangeOptions options;
};
struct List {
  bool names = false;  // print only the names, one per line
};
struct Status {
  bool watch = false;
};
struct Show {
  std::string instance;
};
struct Message {
  std::string id;
};
struct History {
  unsigned limit = 20;
};
struct Logs {
  std::string instance;
  bool follow = false;
  unsigned lines = 100;
};
struct Cancel {
  std::uint64_t operation = 0;
};
struct ShowOperation {
  std::uint64_t operation = 0;
  bool wait = true;
};
struct Completion {
  std::string shell;
};
struct Demo {
  std::optional<double> seconds;  // empty: until Ctrl-C
  bool plain = false;             // print lines rather than draw a screen
};
struct Version {};

using Command = std::variant<Change, TakeOver, Apply, Rollback, List, Status, Show, Message, History, Logs,
                             Cancel, ShowOperation, Completion, Demo, Version>;

enum class Output { table, json };

struct Global {
  std::vector<std::string> agents;  // socket paths or URLs; at least one after parsing
  bool agents_named = false;        // given with --agent, not the default address
  std::string cert, key, ca;
  Output output = Output::table;
  std::optional<double> timeout;  // seconds; empty: the defaults
};

struct Invocation {
  Global global;
  Command command;
};

// Exit statuses (docs/operate/heronvanectl.md).
enum Exit : int {
  kDone = 0,
  kUsage = 1,
  kRefused = 2,
  kConflict = 3,
  kPartial = 4,
  kUnreachable = 5,
  kInterrupted = 130
};

}  // namespace heronvane::cli
