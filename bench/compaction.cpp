// Pauses: single steps of compaction, and commits, under a steady load with 100,000 messages held.
#include <algorithm>
#include <random>

#include "store_side.hpp"

namespace heronvane::bench {
namespace {

constexpr std::size_t kHeld = 100'000, kEach = 10, kRounds = 60'000;

// Two limits of which what is held takes most of its share: with the room for the attempts that a relay
// allows by default little is alive when a segment's turn comes; with room for one attempt much is.
struct Case {
  std::uint64_t limit = 0;
  int attempts_max = 0;
  Microseconds window = 0;  // ids, times the clock's tick
};

void measure(const Settings& settings, const Case& c) {
  Table table({"", "count", "p50 ms", "p99 ms", "p99.9 ms", "max ms"});
  for (int i = 0; i < settings.repeats; i++) {
    const Scratch scratch(settings.folder, "compaction");
    WorkClock clock;
    store::Options options;
    options.limit_bytes = c.limit;
    options.attempts_max = c.attempts_max;
    options.remember_window = c.window * 100;
    options.boot = "bench";
    options.clocks = clock.read();
    const auto disk = store::open_folder(scratch.path().string());
    store::Store store(*disk, options);
    std::mt19937_64 random(static_cast<std::uint64_t>(i) + 1);
    std::vector<MessageId> held;
    std::uint64_t next = 1;
    const auto take = [&] {
      clock.now += 100;
      auto m = make_message(next++, store.clock().now());
      if (!store.admit(m)) throw std::runtime_error("the store has no room: " + store.unavailable_reason());
      const MessageId number = store.next_number();
      store.accept(number, std::move(m));
      store.sent(number, store.clock().now(), 1);
      return number;
    };
    while (held.size() < kHeld) {
      held.push_back(take());
      if (held.size() % 100 == 0) store.commit();
    }
    Samples steps, commits;
    for (std::size_t r = 0; r < kRounds; r++) {
      for (std::size_t k = 0; k < kEach; k++) {
        auto& one = held[random() % held.size()];
        store.outcome(one, 0, Outcome::served);
        store.finish(one);
        one = take();
      }
      auto begun = Clock::now();
      store.commit();
      commits.add(seconds_since(begun));
      for (int n = 0; n < 4 && store.wants_compaction(); n++) {
        begun = Clock::now();
        const auto step = store.compact();
        steps.add(seconds_since(begun));
        if (step != store::Store::Step::more) break;
      }
    }
    const auto row = [&](const std::string& name, const Samples& s) {
      table.row({name + ", run " + std::to_string(i + 1), std::to_string(s.count()),
                 text(s.median() * 1e3, 3), text(s.quantile(0.99) * 1e3, 3), text(s.quantile(0.999) * 1e3, 3),
                 text(s.max() * 1e3, 3)});
    };
    row("compact()", steps);
    row("commit() of 10 messages", commits);
  }
  table.print("pauses with 100,000 held, " + std::to_string(kRounds) +
              " rounds of 10 taken and 10 ended, limit of " + std::to_string(c.limit >> 20) +
              " MB, attempts_max " + std::to_string(c.attempts_max));
}

}  // namespace

void compaction(const Settings& settings) {
  measure(settings, {300 << 20, 8, 50'000});
  measure(settings, {128 << 20, 1, 150'000});
}

}  // namespace heronvane::bench
