// Measures the heap memory that the store uses.
#include <malloc.h>

#include "store_side.hpp"

namespace heronvane::bench {
namespace {

constexpr std::uint64_t kLimit = 512 << 20;
constexpr std::size_t kHeld = 100'000, kEach = 100;

double heap() {
  const auto info = ::mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace

void memory(const Settings& settings) {
  const Scratch scratch(settings.folder, "memory");
  store::Options options;
  options.limit_bytes = kLimit;
  Rounds rounds;
  rounds.lag = kHeld / kEach;
  Table table({"", "MB", "bytes for each message"});
  const auto row = [&](const std::string& name, double bytes) {
    table.row({name, text(bytes / 1e6, 1), text(bytes / kHeld, 0)});
  };
  {
    const double before = heap();
    StoreSide side(scratch.path(), options, rounds);
    for (std::size_t i = 0; i < rounds.lag; i++) side.round(kEach);
    row("store, as it took them", heap() - before);
  }
  {
    const double before = heap();
    StoreSide side(scratch.path(), options, rounds);
    row("store, started anew", heap() - before);
    const double between = heap();
    const auto held = side.store().held();
    row("of that the messages themselves", heap() - between);
  }
  table.print("heap with 100,000 messages held, bodies of 200");
}

}  // namespace heronvane::bench
