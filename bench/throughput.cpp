// Measures rounds of 1, 10 and 100 messages: messages per second, bytes written per message, time until
// durable.
#include <functional>

#include "sqlite_side.hpp"
#include "store_side.hpp"

namespace heronvane::bench {
namespace {

constexpr std::uint64_t kLimit = 64 << 20;
constexpr std::uint64_t kRecords = 4;  // per message: taken, sent, outcome, over
// Warm-up, until the number of remembered ids is at its steady level.
constexpr std::size_t kWarmRounds = 600, kWarmMessages = 100;

struct Side {
  std::string name;
  std::function<Phase(const std::filesystem::path&, std::size_t messages, double seconds)> run;
};

Side store_side(store::Durability durability, std::size_t in_flight) {
  const bool machine = durability == store::Durability::machine;
  Side side;
  side.name = machine ? "store machine, " + std::to_string(in_flight) + " in flight" : "store process";
  side.run = [=](const std::filesystem::path& folder, std::size_t messages, double seconds) {
    store::Options options;
    options.limit_bytes = kLimit;
    options.durability = durability;
    Rounds rounds;
    rounds.in_flight = in_flight;
    StoreSide one(folder, options, rounds);
    for (std::size_t i = 0; i < kWarmRounds; i++) one.round(kWarmMessages);
    for (std::size_t i = 0; i < rounds.lag; i++) one.round(messages);
    return one.run(messages, seconds);
  };
  return side;
}

Side sqlite_side(Synchronous synchronous, Attempts attempts) {
  Side side;
  side.name = "SQLite " + to_string(synchronous) + (attempts == Attempts::columns ? ", least" : "");
  side.run = [=](const std::filesystem::path& folder, std::size_t messages, double seconds) {
    const Rounds rounds;
    SqliteSide one(folder, synchronous, attempts, rounds);
    for (std::size_t i = 0; i < kWarmRounds; i++) one.round(kWarmMessages);
    for (std::size_t i = 0; i < rounds.lag; i++) one.round(messages);
    return one.run(messages, seconds);
  };
  return side;
}

void compare(const Settings& settings, const std::string& title, const std::vector<Side>& sides) {
  for (const std::size_t messages : {1, 10, 100}) {
    struct Figures {
      Samples rate, bytes, p50, p99;
    };
    std::vector<Figures> all(sides.size());
    for (int i = 0; i < settings.repeats; i++)
      for (std::size_t s = 0; s < sides.size(); s++) {
        const Scratch scratch(settings.folder, "throughput");
        const auto phase = sides[s].run(scratch.path(), messages, settings.seconds);
        const auto n = static_cast<double>(phase.messages);
        all[s].rate.add(n / phase.seconds);
        all[s].bytes.add(static_cast<double>(phase.bytes) / n);
        all[s].p50.add(phase.latency.quantile(0.5));
        all[s].p99.add(phase.latency.quantile(0.99));
      }
    Table table({"", "messages/s", "records/s", "store's / its", "bytes/message", "p50 ms", "p99 ms"});
    for (std::size_t s = 0; s < sides.size(); s++) {
      const auto& f = all[s];
      table.row({sides[s].name, f.rate.spread(0), text(f.rate.median() * kRecords, 0),
                 text(all[0].rate.median() / f.rate.median(), 2), f.bytes.spread(0), f.p50.spread(3, 1e3),
                 f.p99.spread(3, 1e3)});
    }
    table.print(title + ", rounds of " + std::to_string(messages));
  }
}

}  // namespace

void throughput(const Settings& settings) {
  using store::Durability;
  compare(
      settings, "process: outlasts SIGKILL",
      {store_side(Durability::process, 1), sqlite_side(Synchronous::off, Attempts::table),
       sqlite_side(Synchronous::normal, Attempts::table), sqlite_side(Synchronous::off, Attempts::columns),
       sqlite_side(Synchronous::normal, Attempts::columns)});
  compare(
      settings, "machine: outlasts a loss of power",
      {store_side(Durability::machine, 64), store_side(Durability::machine, 1),
       sqlite_side(Synchronous::full, Attempts::table), sqlite_side(Synchronous::full, Attempts::columns)});
}

}  // namespace heronvane::bench
