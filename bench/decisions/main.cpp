// Plays seeded days against the decision module and prints one line a day: seed, events, actions, digest of
// all actions but logs (and of what the module tells an observer), number of log actions, digest of their
// places.
//
//   decisions FIRST LAST [--log-texts]   the days of these seeds; with a digest of the log texts as well
//   decisions --show SEED [--log-texts]  all that the module put out on one day, a line each
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "day.hpp"

namespace {

using decisions::Day;
using decisions::Recorder;

void print_digest(std::uint64_t seed, bool log_texts) {
  Recorder recorder(nullptr, log_texts);
  Day(seed, recorder).run();
  std::printf(
      "%" PRIu64 " events %" PRIu64 " actions %" PRIu64 " digest %016" PRIx64 " logs %" PRIu64 " %016" PRIx64,
      seed, recorder.events(), recorder.actions(), recorder.digest(), recorder.logs(), recorder.log_places());
  if (log_texts) std::printf(" texts %016" PRIx64, recorder.log_texts());
  std::printf("\n");
}

int usage() {
  std::cerr << "usage: decisions FIRST LAST [--log-texts] | --show SEED [--log-texts]\n";
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> arguments(argv + 1, argv + argc);
  const bool log_texts = !arguments.empty() && arguments.back() == "--log-texts";
  if (log_texts) arguments.pop_back();
  if (arguments.size() != 2) return usage();
  const std::uint64_t last = std::strtoull(arguments[1].c_str(), nullptr, 10);
  if (arguments[0] == "--show") {
    Recorder recorder(&std::cout, log_texts);
    Day(last, recorder).run();
    return 0;
  }
  const std::uint64_t first = std::strtoull(arguments[0].c_str(), nullptr, 10);
  for (std::uint64_t seed = first; seed <= last; seed++) print_digest(seed, log_texts);
  return 0;
}
