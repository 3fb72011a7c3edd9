#include "log.hpp"

#include <cstdio>

#include "clock.hpp"

namespace heronvane {

void log(const std::string& line) {
  const Time now = wall_now();
  std::fprintf(stderr, "%lld.%06lld %s\n", static_cast<long long>(now / 1'000'000),
               static_cast<long long>(now % 1'000'000), line.c_str());
}

}  // namespace heronvane
