// heronvane-store: the operators' tool for a store's folder that no relay is using.
#include <fstream>
#include <iostream>
#include <optional>
#include <vector>

#include "commands.hpp"
#include "text.hpp"

namespace heronvane::store::tool {
namespace {

constexpr const char* kHelp =
    "heronvane-store: looks at the folder in which a relay keeps its messages\n"
    "\n"
    "  verify FOLDER              what is in its files, what is damaged or missing\n"
    "  show FOLDER [ID] [--body]  messages held, ids remembered, facts; with a\n"
    "                             message's id, or # and its number, all of it; its\n"
    "                             body only with --body\n"
    "  export FOLDER              the same as lines of JSON, with bodies in Base64\n"
    "  repair FOLDER COPY         writes all that can be read to COPY, a new or empty\n"
    "                             folder\n"
    "  snapshot FOLDER COPY       the folder as it is at one moment, also while a\n"
    "                             relay runs on it\n"
    "  restore SNAPSHOT COPY      a folder from a snapshot, for a relay to start on:\n"
    "                             each message may have run since\n"
    "  --help, --version\n"
    "\n"
    "FOLDER (the relay's --state) is never changed. But for snapshot no relay may\n"
    "have it meanwhile: end the relay, or look at a snapshot's folder segments.\n"
    "Exit status: 0 sound, 1 damaged, 2 wrong arguments or nothing done, 3 the folder\n"
    "is in use.\n";

int usage(const std::string& what) {
  std::cerr << "heronvane-store: " << what << "; see heronvane-store --help\n";
  return kFailed;
}

struct Arguments {
  std::vector<std::string> positional;
  bool body = false, help = false, version = false;
  std::string unknown;  // the first unknown option
};

Arguments parse(int argc, char** argv) {
  Arguments arguments;
  bool options = true;
  for (int i = 1; i < argc; i++) {
    const std::string argument = argv[i];
    if (!options || argument.size() < 2 || argument[0] != '-')
      arguments.positional.push_back(argument);
    else if (argument == "--")
      options = false;
    else if (argument == "--body")
      arguments.body = true;
    else if (argument == "--help" || argument == "-h")
      arguments.help = true;
    else if (argument == "--version")
      arguments.version = true;
    else if (arguments.unknown.empty())
      arguments.unknown = argument;
  }
  return arguments;
}

int run(const Arguments& arguments) {
  if (!arguments.unknown.empty()) return usage("unknown option " + printable(arguments.unknown));
  if (arguments.help) {
    std::cout << kHelp;
    return kIntact;
  }
  if (arguments.version) {
    std::cout << "heronvane-store " HERONVANE_VERSION ", formats 1 and " << kVersion << '\n';
    return kIntact;
  }
  if (arguments.positional.empty()) return usage("no command");
  const std::string& command = arguments.positional[0];
  struct {
    const char* name;
    std::size_t min_words, max_words;
  } const commands[] = {{"verify", 2, 2}, {"show", 2, 3},     {"export", 2, 2},
                        {"repair", 3, 3}, {"snapshot", 3, 3}, {"restore", 3, 3}};
  bool known = false;
  for (const auto& candidate : commands) {
    if (command != candidate.name) continue;
    known = true;
    if (arguments.positional.size() < candidate.min_words)
      return usage(command + (arguments.positional.size() < 2 ? " needs a FOLDER" : " needs a COPY"));
    if (arguments.positional.size() > candidate.max_words) return usage(command + ": too many arguments");
  }
  if (!known) return usage("unknown command " + printable(command));
  if (arguments.body && (command != "show" || arguments.positional.size() != 3))
    return usage("--body belongs to show FOLDER ID");

  if (command == "snapshot" || command == "restore") {
    (command == "snapshot" ? snapshot : restore)(arguments.positional[1], arguments.positional[2], std::cout);
    return kIntact;
  }
  const Folder folder = read(arguments.positional[1]);
  if (command == "verify") {
    verify(folder, std::cout);
  } else if (command == "show" && arguments.positional.size() == 2) {
    show_all(folder, std::cout);
  } else if (command == "show") {
    if (!show_one(folder, arguments.positional[2], arguments.body, std::cout)) {
      std::cerr << "heronvane-store: " << printable(arguments.positional[2])
                << ": no message of that id is held or remembered\n";
      return kFailed;
    }
  } else if (command == "export") {
    write_json(folder, std::cout);
  } else {
    rewrite(folder, arguments.positional[2]);
    print_losses(folder, std::cout);
    const Table& table = folder.contents.table;
    std::cout << printable(arguments.positional[2]) << ": written and read back: " << table.held().size()
              << " messages, " << table.remembered() << " ids, " << table.facts().size() << " facts\n";
  }
  if (!folder.damaged()) return kIntact;
  if (command == "show" || command == "export")
    std::cerr
        << "heronvane-store: the folder is damaged, this is what could be read: see heronvane-store verify\n";
  return kDamaged;
}

}  // namespace

bool Folder::damaged() const { return !contents.damage.empty() || contents.counts.missing > 0; }

Folder read(const std::string& path) {
  const auto disk = open_folder(path, true);
  PersistentClock clock;
  Folder folder;
  folder.path = path;
  folder.contents = read_folder(*disk, clock, system_clocks);
  const Contents& contents = folder.contents;
  if (contents.files.empty() && !contents.journal_next && !contents.downgrade_guard && !contents.reserve)
    throw StoreError(path + " holds no file of a store: name the folder that LB_STATE names");
  folder.now = clock.now();
  folder.wall_offset = system_clocks().wall - folder.now;
  folder.anchor = contents.anchor.value_or(clock.anchor());
  folder.contents.table.expire(folder.now);
  return folder;
}

}  // namespace heronvane::store::tool

int main(int argc, char** argv) {
  using namespace heronvane::store;
  int status = tool::kFailed;
  try {
    status = tool::run(tool::parse(argc, argv));
  } catch (const FolderInUse& error) {
    std::cerr << "heronvane-store: " << error.what()
              << "; or copy its files elsewhere and look at the copy\n";
    status = tool::kInUse;
  } catch (const std::exception& error) {
    std::cerr << "heronvane-store: " << error.what() << '\n';
  }
  if (!std::cout.flush()) {
    std::cerr << "heronvane-store: standard output can't be written: what it got is not complete\n";
    return tool::kFailed;
  }
  return status;
}
