// store_bench [--folder DIR] [--repeats N] [--seconds S] [PART...]: see README.md.
#include <sqlite3.h>
#include <sys/vfs.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <stdexcept>

#include "work.hpp"

namespace heronvane::bench {
namespace {

struct Part {
  const char* name;
  void (*run)(const Settings&);
};
constexpr Part kParts[] = {{"throughput", throughput},
                           {"recovery", recovery},
                           {"compaction", compaction},
                           {"amplification", amplification},
                           {"memory", memory}};

Settings read_arguments(int argc, char** argv) {
  Settings settings;
  settings.folder = std::filesystem::current_path();
  for (int i = 1; i < argc; i++) {
    const std::string a = argv[i];
    if (a.rfind("--", 0) != 0) {
      settings.parts.push_back(a);
      continue;
    }
    if (++i == argc) throw std::runtime_error(a + " needs a value");
    if (a == "--folder")
      settings.folder = argv[i];
    else if (a == "--repeats")
      settings.repeats = std::atoi(argv[i]);
    else if (a == "--seconds")
      settings.seconds = std::atof(argv[i]);
    else
      throw std::runtime_error("no option " + a);
  }
  if (settings.repeats < 1 || settings.seconds <= 0) throw std::runtime_error("repeats or seconds too small");
  return settings;
}

bool in_memory(const std::filesystem::path& folder) {
  constexpr long kTmpfs = 0x01021994;
  struct statfs info {};
  return ::statfs(folder.c_str(), &info) == 0 && static_cast<long>(info.f_type) == kTmpfs;
}

int run(int argc, char** argv) {
  const auto settings = read_arguments(argc, argv);
  if (in_memory(settings.folder))
    throw std::runtime_error(settings.folder.string() + " is in memory: choose a folder on a disk");
  std::printf("SQLite %s; %d repeats; medians (min-max)\n", sqlite3_libversion(), settings.repeats);
  for (const auto& name : settings.parts) {
    bool known = false;
    for (const auto& part : kParts) known = known || name == part.name;
    if (!known) throw std::runtime_error("no part " + name);
  }
  for (const auto& part : kParts) {
    bool wanted = settings.parts.empty();
    for (const auto& name : settings.parts) wanted = wanted || name == part.name;
    if (wanted) part.run(settings);
  }
  return 0;
}

}  // namespace
}  // namespace heronvane::bench

int main(int argc, char** argv) {
  try {
    return heronvane::bench::run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "store_bench: %s\n", e.what());
    return 1;
  }
}
