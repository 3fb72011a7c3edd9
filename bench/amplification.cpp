// What compaction writes besides: all bytes written for each byte that is not a copy, by what share is alive.
#include <random>

#include "store_side.hpp"

namespace heronvane::bench {
namespace {

constexpr std::uint64_t kLimit = 48 << 20;

struct Case {
  std::string name;
  std::size_t body = 0;
  int attempts_max = 1;
  double held = 0, ids = 0;  // shares of the limit
};

}  // namespace

void amplification(const Settings& settings) {
  // Room for later records is set aside within the 40% that messages may take, so the shares that messages
  // alone can reach depend on their size.
  const std::vector<Case> cases = {
      {"20%, bodies of 200, 1 attempt", 200, 1, 0.15, 0.05},
      {"20%, bodies of 4000, 2 attempts", 4000, 2, 0.17, 0.03},
      {"the most: bodies of 200, 1 attempt", 200, 1, 0.25, 0.147},
      {"40%, bodies of 4000, 2 attempts", 4000, 2, 0.36, 0.04},
      {"the most: bodies of 4000, 1 attempt", 4000, 1, 0.38, 0.147},
  };
  Table table({"", "alive, % of the limit", "written / not copied", "files, % of the limit"});
  for (const auto& c : cases) {
    Samples factor, alive, files;
    for (int i = 0; i < settings.repeats; i++) {
      const Scratch scratch(settings.folder, "amplification");
      WorkClock clock;
      constexpr Microseconds kTick = 1'000;
      const auto sample = make_message(1, 0, c.body);
      const auto ids = static_cast<Microseconds>(c.ids * static_cast<double>(kLimit) /
                                                 static_cast<double>(store::finished_bytes(sample.id)));
      store::Options options;
      options.limit_bytes = kLimit;
      options.attempts_max = c.attempts_max;
      options.boot = "bench";
      options.clocks = clock.read();
      // Each id has its place among the ids from the start: those of held messages are booked too.
      const auto cost = store::cost_of(sample, c.attempts_max, true);
      const auto each = cost.messages + store::kAttemptBytes / 2;
      const auto wanted =
          static_cast<std::size_t>(c.held * static_cast<double>(kLimit) / static_cast<double>(each));
      options.remember_window = std::max<Microseconds>(ids - static_cast<Microseconds>(wanted), 0) * kTick;
      const auto disk = store::open_folder(scratch.path().string());
      store::Store store(*disk, options);
      std::mt19937_64 random(static_cast<std::uint64_t>(i) + 1);
      std::vector<MessageId> held;
      std::uint64_t next = 1, refused = 0;
      const auto take = [&]() -> MessageId {
        clock.now += kTick;
        auto m = make_message(next++, store.clock().now(), c.body);
        while (!store.admit(m)) {
          refused++;
          if (store.compact() != store::Store::Step::more) return 0;
        }
        const MessageId number = store.next_number();
        store.accept(number, std::move(m));
        store.sent(number, store.clock().now(), 1);
        return number;
      };
      const auto replace = [&](std::uint64_t fresh_bytes) {
        const auto until = store.written_bytes() - store.copied_bytes() + fresh_bytes;
        while (store.written_bytes() - store.copied_bytes() < until) {
          for (int k = 0; k < 10; k++) {
            const auto at = random() % held.size();
            store.outcome(held[at], 0, Outcome::served);
            store.finish(held[at]);
            const MessageId number = take();
            if (number != 0)
              held[at] = number;
            else
              held[at] = held.back(), held.pop_back();
          }
          while (held.size() < wanted) {
            const MessageId number = take();
            if (number == 0) break;
            held.push_back(number);
          }
          store.commit();
          for (int n = 0; n < 4 && store.wants_compaction(); n++)
            if (store.compact() != store::Store::Step::more) break;
        }
      };
      while (held.size() < wanted) {
        const MessageId number = take();
        if (number == 0) break;
        held.push_back(number);
        if (held.size() % 10 == 0) store.commit();
      }
      replace(3 * kLimit);
      const auto written = store.written_bytes(), copied = store.copied_bytes();
      replace(5 * kLimit);
      const auto all = static_cast<double>(store.written_bytes() - written);
      factor.add(all / (all - static_cast<double>(store.copied_bytes() - copied)));
      std::uint64_t live = 0;
      for (const auto& [number, s] : store.segments()) live += s.live;
      alive.add(100.0 * static_cast<double>(live) / static_cast<double>(kLimit));
      files.add(100.0 * static_cast<double>(store.bytes()) / static_cast<double>(kLimit));
    }
    table.row({c.name, alive.spread(1), factor.spread(2), files.spread(0)});
  }
  table.print("write amplification, steady random replacement");
}

}  // namespace heronvane::bench
