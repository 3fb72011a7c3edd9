// heronvane-store: what operators may ask of the folder that lasts, while no relay has it.
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
  return kUnusable;
}

struct Arguments {
  std::vector<std::string> words;
  bool body = false, help = false, version = false;
  std::string unknown;  // an option
};

Arguments parse(int argc, char** argv) {
  Arguments a;
  bool options = true;
  for (int i = 1; i < argc; i++) {
    const std::string word = argv[i];
    if (!options || word.size() < 2 || word[0] != '-')
      a.words.push_back(word);
    else if (word == "--")
      options = false;
    else if (word == "--body")
      a.body = true;
    else if (word == "--help" || word == "-h")
      a.help = true;
    else if (word == "--version")
      a.version = true;
    else if (a.unknown.empty())
      a.unknown = word;
  }
  return a;
}

int run(const Arguments& a) {
  if (!a.unknown.empty()) return usage("unknown option " + printable(a.unknown));
  if (a.help) {
    std::cout << kHelp;
    return kSound;
  }
  if (a.version) {
    std::cout << "heronvane-store " HERONVANE_VERSION ", formats 1 and " << kVersion << '\n';
    return kSound;
  }
  if (a.words.empty()) return usage("no command");
  const std::string& command = a.words[0];
  struct {
    const char* name;
    std::size_t least, most;
  } const commands[] = {{"verify", 2, 2}, {"show", 2, 3},     {"export", 2, 2},
                        {"repair", 3, 3}, {"snapshot", 3, 3}, {"restore", 3, 3}};
  bool known = false;
  for (const auto& c : commands) {
    if (command != c.name) continue;
    known = true;
    if (a.words.size() < c.least)
      return usage(command + (a.words.size() < 2 ? " needs a FOLDER" : " needs a COPY"));
    if (a.words.size() > c.most) return usage(command + ": too many arguments");
  }
  if (!known) return usage("unknown command " + printable(command));
  if (a.body && (command != "show" || a.words.size() != 3)) return usage("--body belongs to show FOLDER ID");

  if (command == "snapshot" || command == "restore") {
    (command == "snapshot" ? snapshot : restore)(a.words[1], a.words[2], std::cout);
    return kSound;
  }
  const Folder folder = read(a.words[1]);
  if (command == "verify") {
    verify(folder, std::cout);
  } else if (command == "show" && a.words.size() == 2) {
    show_all(folder, std::cout);
  } else if (command == "show") {
    if (!show_one(folder, a.words[2], a.body, std::cout)) {
      std::cerr << "heronvane-store: " << printable(a.words[2])
                << ": no message of that id is held or remembered\n";
      return kUnusable;
    }
  } else if (command == "export") {
    write_json(folder, std::cout);
  } else {
    rewrite(folder, a.words[2]);
    tell_losses(folder, std::cout);
    const Table& table = folder.contents.table;
    std::cout << printable(a.words[2]) << ": written and read back: " << table.held().size() << " messages, "
              << table.remembered() << " ids, " << table.facts().size() << " facts\n";
  }
  if (!folder.damaged()) return kSound;
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
  const Contents& c = folder.contents;
  if (c.files.empty() && !c.journal_next && !c.downgrade_guard && !c.reserve)
    throw StoreError(path + " holds no file of a store: name the folder that LB_STATE names");
  folder.now = clock.now();
  folder.to_wall = system_clocks().wall - folder.now;
  folder.anchor = c.anchor.value_or(clock.anchor());
  folder.contents.table.expire(folder.now);
  return folder;
}

}  // namespace heronvane::store::tool

int main(int argc, char** argv) {
  using namespace heronvane::store;
  int status = tool::kUnusable;
  try {
    status = tool::run(tool::parse(argc, argv));
  } catch (const FolderInUse& e) {
    std::cerr << "heronvane-store: " << e.what() << "; or copy its files elsewhere and look at the copy\n";
    status = tool::kInUse;
  } catch (const std::exception& e) {
    std::cerr << "heronvane-store: " << e.what() << '\n';
  }
  if (!std::cout.flush()) {
    std::cerr << "heronvane-store: standard output can't be written: what it got is not complete\n";
    return tool::kUnusable;
  }
  return status;
}
