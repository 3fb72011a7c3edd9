// The store on a folder in memory: recovery, disk space, compaction.
#include "store/store.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "memory_disk.hpp"

namespace heronvane::store::testing {
namespace {

constexpr std::uint64_t kLimit = 1'000'000;

Message message(const std::string& id, std::size_t body = 5) {
  Message m;
  m.id = id, m.message_class = "pay-and-order", m.tenant = "acme";
  m.destination = 7, m.deadline = 1'000'000'000'000'000'000, m.repeat = true;
  m.body = std::string(body, '\0') + "x";
  return m;
}

// Readings of the clocks, set by the test.
struct Clocks {
  Microseconds boottime = 1'000'000, wall = 1'700'000'000'000'000;
};

struct StoreFixture {
  explicit StoreFixture(std::uint64_t limit_bytes = kLimit) : limit(limit_bytes) {}
  Options options() {
    Options o;
    o.limit_bytes = limit;
    o.boot = boot;
    o.clocks = [this] { return ClockReading{clocks.boottime, clocks.wall}; };
    o.remembers = [](const Message& m) { return m.id.back() % 2 == 0; };
    o.log = [this](const std::string& line) { log += line + "\n"; };
    return o;
  }
  std::unique_ptr<Store> open(Disk& disk) { return std::make_unique<Store>(disk, options()); }

  std::uint64_t limit;
  Clocks clocks;
  std::string boot = "first", log;
};

// Describes the state that two stores must agree on.
std::map<MessageId, std::string> describe(const Store& store) {
  std::map<MessageId, std::string> all;
  for (const auto& [number, held] : store.held()) {
    std::string& text = all[number];
    const Message& m = held.message;
    text = m.id + "/" + m.message_class + "/" + m.tenant + "/" + std::to_string(m.destination) + "/" +
           std::to_string(m.deadline) + "/" + std::to_string(m.repeat) + "/" + m.idempotency_key + "/" +
           std::to_string(std::hash<std::string>{}(m.body));
    for (const auto& a : held.attempts)
      text += " " + std::to_string(a.sent) + ":" + std::to_string(a.zone) + ":" +
              (a.outcome ? std::to_string(static_cast<int>(*a.outcome)) : "?");
    if (held.ending)
      text += " end " + std::to_string(held.ending->deferred) + std::to_string(held.ending->again);
    if (held.doubt) text += " doubt";
  }
  return all;
}

TEST(Store, RecoversWhatWasWritten) {
  MemoryDisk disk;
  StoreFixture fixture;
  {
    const auto store = fixture.open(disk);
    for (const MessageId n : {1, 2, 3, 4}) {
      const auto m = message(std::string(1, static_cast<char>('`' + n)));
      ASSERT_TRUE(store->admit(m));
      store->accept(n, m);
    }
    store->sent(1, 1000, 2), store->outcome(1, 0, Outcome::rejected), store->sent(1, 2000, 1);
    store->give_up(2, {true, 500}), store->finish(3), store->finish(4);
    store->set_fact("drain/x", "41"), store->set_fact("drain/y", "42"), store->set_fact("drain/x", "");
    ASSERT_TRUE(store->commit());
  }
  const auto store = fixture.open(disk);
  EXPECT_EQ(store->recovery().counts.missing, 0u);
  ASSERT_EQ(store->held().size(), 2u);
  const Held& a = store->held().at(1);
  EXPECT_EQ(a.message.id, "a");
  EXPECT_EQ(a.message.message_class, "pay-and-order");
  EXPECT_EQ(a.message.tenant, "acme");
  EXPECT_EQ(a.message.destination, 7);
  EXPECT_TRUE(a.message.repeat);
  EXPECT_EQ(a.message.body, std::string(5, '\0') + "x");
  ASSERT_EQ(a.attempts.size(), 2u);
  EXPECT_FALSE(a.attempts[0].possibly_executed());
  EXPECT_TRUE(a.attempts[1].possibly_executed());  // no outcome was seen
  EXPECT_EQ(a.attempts[1].sent, 2000);
  EXPECT_EQ(a.attempts[1].zone, 1);
  ASSERT_TRUE(store->held().at(2).ending.has_value());
  EXPECT_TRUE(store->held().at(2).ending->deferred);
  EXPECT_EQ(store->held().at(2).ending->again, 500);
  EXPECT_TRUE(store->remembers("d"));
  EXPECT_FALSE(store->remembers("c"));
  EXPECT_EQ(store->facts(), (std::map<std::string, std::string>{{"drain/y", "42"}}));
  EXPECT_EQ(store->next_number(), 5u);
}

// Facts of one kind may be limited to a part of the share, so that others still fit. At the bound a value can
// be replaced by one that is no longer.
TEST(Store, FactsOfOneKindLeaveSpaceForOthers) {
  MemoryDisk disk;
  StoreFixture fixture;
  const auto store = fixture.open(disk);
  const auto key = [](const char* kind, int i) { return kind + std::to_string(1000 + i); };
  int targets = 0, others = 0;
  while (store->set_fact(key("target/", targets), std::string(100, 'a'), 50)) targets++;
  ASSERT_GT(targets, 100);
  EXPECT_TRUE(store->set_fact(key("target/", 7), std::string(100, 'b'), 50));
  EXPECT_FALSE(store->set_fact(key("target/", 7), std::string(200, 'b'), 50));
  while (store->set_fact(key("others/", others), std::string(100, 'a'))) others++;
  EXPECT_GE(others, targets);
  EXPECT_TRUE(store->set_fact(key("others/", 7), std::string(100, 'b')));
  EXPECT_TRUE(store->set_fact(key("target/", 7), std::string(100, 'c'), 50));
  EXPECT_TRUE(store->set_fact(key("target/", 7), ""));
  EXPECT_TRUE(store->set_fact(key("others/", others), std::string(100, 'a')));
  ASSERT_TRUE(store->commit());
}

// Facts of endpoints may use up the share for facts; a drain must still be stored.
TEST(Store, VitalFactsExceedTheShare) {
  StoreFixture fixture;
  MemoryDisk disk;
  auto options = fixture.options();
  options.vital_facts = {"drain"};
  Store store(disk, options);
  int n = 0;
  while (n < 100'000 && store.set_fact("endpoint/" + std::to_string(n), std::string(60, 'x'))) n++;
  ASSERT_LT(n, 100'000);
  for (int i = 0; store.set_fact("e/" + std::to_string(i), "x"); i++) ASSERT_LT(i, 100);
  EXPECT_FALSE(store.set_fact("other", "12"));
  EXPECT_TRUE(store.set_fact("drain", "12"));
  EXPECT_TRUE(store.set_fact("drain", "13"));
  EXPECT_FALSE(store.set_fact("drain", std::string(5000, 'x')));
  EXPECT_TRUE(store.commit());
  EXPECT_LE(store.bytes(), store.limit());
}

// Random workloads with restarts: each start must find the previous state, the files must stay below the
// limit at all times, and finished messages must not come back though their records move.
TEST(Store, RecoversRandomWorkloads) {
  for (std::uint64_t seed = 1; seed <= 12; seed++) {
    MemoryDisk disk;
    StoreFixture fixture;
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t n) { return random() % n; };
    std::set<std::string> finished;
    std::uint64_t rejected = 0, accepted = 0;
    fixture.limit = seed % 4 == 0 ? 400'000 : kLimit;
    auto store = fixture.open(disk);
    for (int round = 0; round < 4000; round++) {
      fixture.clocks.boottime += 5'000, fixture.clocks.wall += 5'000;
      for (std::uint64_t n = below(seed % 2 == 0 ? 8 : 3); n > 0; n--) {
        auto m = message("m" + std::to_string(seed) + "-" + std::to_string(round) + "-" + std::to_string(n),
                         below(seed % 3 == 0 ? 3 : 30) == 0 ? below(60'000) : below(300));
        m.deadline = store->clock().now() + 3'000'000;
        if (!store->admit(m)) {
          rejected++;
          continue;
        }
        store->accept(store->next_number(), m);
        accepted++;
      }
      std::vector<MessageId> numbers;
      for (const auto& [number, held] : store->held()) numbers.push_back(number);
      for (const MessageId number : numbers) {
        const Held& held = *store->find(number);
        const bool out = !held.attempts.empty() && !held.attempts.back().outcome;
        const auto dice = below(100);
        if (held.ending ? dice < 30 : dice < 5) {
          finished.insert(held.message.id);
          store->finish(number);
        } else if (!held.ending && dice < 12) {
          store->give_up(number, {below(2) == 0, 100});
        } else if (!held.ending && out && dice < 40) {
          store->outcome(number, static_cast<int>(held.attempts.size()) - 1, static_cast<Outcome>(below(8)));
        } else if (!held.ending && !out && dice < 30 && held.attempts.size() < 8) {
          store->sent(number, store->clock().now(), static_cast<int>(below(3)) - 1);
        }
      }
      if (below(20) == 0)
        store->set_fact("f" + std::to_string(below(40)), below(3) ? std::string(below(100), 'v') : "");
      ASSERT_TRUE(store->commit()) << fixture.log;
      for (int steps = 0; store->wants_compaction() && steps < 3; steps++)
        ASSERT_NE(store->compact(), Store::Step::blocked) << fixture.log;
      ASSERT_LE(disk.peak_bytes(), fixture.limit);
      ASSERT_EQ(disk.bytes(), store->bytes());
      if (below(150) != 0) continue;
      const auto before = describe(*store);
      const auto facts = store->facts();
      std::set<std::string> remembered;
      for (const auto& id : finished)
        if (store->remembers(id)) remembered.insert(id);
      const auto next = store->next_number();
      store = nullptr;
      store = fixture.open(disk);
      ASSERT_EQ(store->recovery().counts.missing, 0u) << fixture.log;
      ASSERT_EQ(describe(*store), before);
      ASSERT_EQ(store->facts(), facts);
      ASSERT_EQ(store->next_number(), next);
      for (const auto& id : finished) ASSERT_EQ(store->remembers(id), remembered.count(id) > 0) << id;
    }
    EXPECT_GT(accepted, 500u);
    EXPECT_LT(store->segments().size(), 70u);
    EXPECT_EQ(fixture.log.find("kept"), std::string::npos) << fixture.log;
  }
}

// With a disk larger than the memory, messages that are given up and whose notifications nobody takes
// accumulate only up to a bound; once some are finished, messages are admitted again.
TEST(Store, HeldMessagesStayWithinTheMemoryBound) {
  MemoryDisk disk;
  StoreFixture fixture(100'000'000);
  auto options = fixture.options();
  options.memory_bytes = 4'000'000;
  Store store(disk, options);
  std::uint64_t held = 0;
  while (held < 1000) {
    const auto m = message("m" + std::to_string(held), 10'000);
    if (!store.admit(m)) break;
    store.accept(store.next_number(), m);
    store.give_up(store.next_number() - 1, {});
    held++;
  }
  EXPECT_GT(held, 150u);
  EXPECT_LT(held, 200u);
  EXPECT_EQ(store.unavailable_reason(), "") << "a full memory is load, not a failure";
  store.finish(1);
  ASSERT_TRUE(store.commit());
  EXPECT_TRUE(store.admit(message("next", 10'000)));
}

}  // namespace
}  // namespace heronvane::store::testing
