// heronvanectl: manages relays through heronvane-agent (docs/operate/heronvanectl.md).
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "options.hpp"
#include "run.hpp"

int main(int argc, char** argv) {
  using namespace heronvane::cli;
  try {
    const auto parsed = parse_options(argc, argv, [](const char* name) {
      const char* const value = std::getenv(name);
      return std::string(value == nullptr ? "" : value);
    });
    if (const auto* finished = std::get_if<Finished>(&parsed)) {
      put(1, finished->out);
      put(2, finished->err);
      return finished->exit;
    }
    return run(std::get<Invocation>(parsed));
  } catch (const std::invalid_argument& e) {
    std::fprintf(stderr, "heronvanectl: %s\n  next: heronvanectl --help\n", e.what());
    return kUsage;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "heronvanectl: %s\n", e.what());
    return kRefused;
  }
}
