// Compaction in bounded steps, also on a folder whose files can't be removed for a while.
#include <gtest/gtest.h>

#include "memory_disk.hpp"
#include "store/store.hpp"

namespace heronvane::store::testing {
namespace {

Options options() {
  Options o;
  o.limit_bytes = 400'000;
  o.boot = "first";
  o.remembers = [](const Message&) { return false; };
  return o;
}

// Accepts and finishes messages until segments can be removed.
void fill(Store& store, int rounds) {
  Message m;
  m.deadline = 1'000'000'000'000'000'000, m.body.assign(1'000, 'x');
  for (int i = 0; i < rounds; i++) {
    m.id = "m" + std::to_string(i);
    const MessageId number = store.next_number();
    ASSERT_TRUE(store.admit(m));
    store.accept(number, m);
    ASSERT_TRUE(store.commit());
    store.finish(number);
    ASSERT_TRUE(store.commit());
  }
}

TEST(Compaction, ContinuesOnceAFileCanBeRemovedAgain) {
  MemoryDisk disk;
  Store store(disk, options());
  fill(store, 200);
  const auto before = store.segments().size();
  ASSERT_GT(before, 4u);
  disk.fail_from(1, {.error = std::errc::io_error, .only = Kind::remove}, 3);
  int blocked = 0;
  for (int i = 0; i < 1'000; i++) {
    const auto step = store.compact();
    if (step == Store::Step::idle) break;
    blocked += step == Store::Step::blocked;
  }
  EXPECT_EQ(blocked, 3);
  EXPECT_EQ(store.compact(), Store::Step::idle);
  EXPECT_LT(store.segments().size(), before);
  EXPECT_EQ(store.bytes(), disk.bytes());
  EXPECT_EQ(Store(disk, options()).recovery().counts.missing, 0u);
}

// The ledger forgets a segment's records some at a time, and each once.
TEST(Compaction, ForgetsRecordsOfASegmentInSteps) {
  Ledger ledger;
  ledger.add_segment(1), ledger.add_segment(2);
  for (MessageId n = 1; n <= 10; n++) {
    ledger.add_record({store::Kind::accepted, n, {}, false, 100}, 1);
    ledger.add_record({store::Kind::finished, n, {}, false, 50}, 2);
  }
  EXPECT_EQ(ledger.segments().at(1).live, 0u);
  EXPECT_EQ(ledger.live(), 500u);
  EXPECT_TRUE(ledger.forget_records(1, 4));
  EXPECT_EQ(ledger.live(), 300u);
  EXPECT_EQ(ledger.message_count(), 6u);
  EXPECT_TRUE(ledger.forget_records(1, 4));
  EXPECT_FALSE(ledger.forget_records(1, 4));
  EXPECT_EQ(ledger.live(), 0u);
  ledger.remove_segment(1);
  EXPECT_EQ(ledger.segments().size(), 1u);
  EXPECT_EQ(ledger.message_count(), 0u);
}

}  // namespace
}  // namespace heronvane::store::testing
