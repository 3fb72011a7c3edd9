#include <gtest/gtest.h>

#include "cli/demo_ledger.hpp"

namespace heronvane::cli {
namespace {

using standins::TryResult;

TEST(LedgerTest, AcceptedAndDeliveredInEitherOrder) {
  Ledger l;
  l.sent(0, "a", true), l.heard("a", TryResult::taken);
  EXPECT_EQ(l.totals().open, 1u);
  l.ran("a"), l.delivered(5'000, "a");
  l.sent(0, "b", true), l.ran("b"), l.delivered(3'000, "b"), l.heard("b", TryResult::taken);
  EXPECT_EQ(l.totals().taken, 2u);
  EXPECT_EQ(l.totals().delivered, 2u);
  EXPECT_EQ(l.totals().open, 0u);
  EXPECT_EQ(l.latencies().quantile(5'000, 1), 5'000);
}

TEST(LedgerTest, CountsRepeatedRunsOfUnsafeMessages) {
  Ledger l;
  l.sent(0, "unsafe", true), l.heard("unsafe", TryResult::taken), l.ran("unsafe");
  EXPECT_EQ(l.totals().twice, 0u);
  l.ran("unsafe"), l.ran("unsafe");
  EXPECT_EQ(l.totals().twice, 1u);  // of messages
  l.sent(0, "safe", false), l.heard("safe", TryResult::taken), l.ran("safe"), l.ran("safe");
  EXPECT_EQ(l.totals().twice, 1u);
  EXPECT_EQ(l.totals().repeated, 1u);
}

TEST(LedgerTest, CountsRunsOfRefusedMessages) {
  Ledger l;
  l.sent(0, "a", false), l.heard("a", TryResult::refused), l.ran("a");
  l.sent(0, "b", false), l.ran("b"), l.heard("b", TryResult::refused);
  EXPECT_EQ(l.totals().twice, 2u);
}

TEST(LedgerTest, MessagesWithoutAnAnswerMayRunOnce) {
  Ledger l;
  l.sent(0, "a", true), l.heard("a", TryResult::silence), l.ran("a"), l.delivered(1, "a");
  l.sent(0, "b", true), l.ran("b"), l.delivered(1, "b"), l.heard("b", TryResult::silence);
  EXPECT_EQ(l.totals().twice, 0u);
  EXPECT_EQ(l.totals().delivered_unanswered, 2u);
  EXPECT_EQ(l.totals().taken, 0u);
  EXPECT_EQ(l.totals().delivered, 0u);
}

TEST(LedgerTest, NoticesEndOpenMessages) {
  Ledger l;
  for (const char* id : {"a", "b", "c"}) l.sent(0, id, true), l.heard(id, TryResult::taken);
  l.delivered(1, "a");
  l.settle([](const std::string& id) { return id != "c"; });
  EXPECT_EQ(l.totals().delivered, 1u);
  EXPECT_EQ(l.totals().ended, 1u);
  EXPECT_EQ(l.totals().open, 1u);
  // One that is delivered after all counts as such.
  l.delivered(2, "b");
  EXPECT_EQ(l.totals().delivered, 2u);
  EXPECT_EQ(l.totals().ended, 0u);
  EXPECT_EQ(l.totals().open, 1u);
}

TEST(LedgerTest, ForgetsOnlySettledMessages) {
  Ledger l;
  l.sent(0, "done", true), l.heard("done", TryResult::taken), l.delivered(1, "done");
  l.sent(0, "open", true), l.heard("open", TryResult::taken);
  l.sent(0, "out", true);
  l.sent(0, "refused", true), l.heard("refused", TryResult::refused);
  l.sent(10, "late", true), l.heard("late", TryResult::taken), l.delivered(11, "late");
  l.forget(10);
  EXPECT_EQ(l.size(), 3u);  // open, out, late
  l.heard("out", TryResult::taken);
  EXPECT_EQ(l.totals().open, 2u);
  // What was forgotten changes nothing more.
  l.ran("done"), l.delivered(20, "done");
  EXPECT_EQ(l.totals().delivered, 2u);
}

}  // namespace
}  // namespace heronvane::cli
