#include "log.hpp"

#include <cstdio>

#include "clock.hpp"

namespace heronvane {

void log(const std::string& line) {
  const Time now = wall_now();
  std::fprintf(stderr, "%lld.%06lld %s\n", static_cast<long long>(now / 1'000'000),
               static_cast<long long>(now % 1'000'000), line.c_str());
}

void Tally::add(const char* why) {
  const bool waiting = !counts_.empty();
  counts_[why]++;
  if (waiting) return;
  timer_.expires_after(std::chrono::seconds(1));
  timer_.async_wait([this](boost::system::error_code bad) {
    if (bad) return;
    std::string line = what_ + ":";
    for (const auto& [reason, n] : counts_) line += " " + reason + " (" + std::to_string(n) + ")";
    counts_.clear();
    log(line);
  });
}

}  // namespace heronvane
