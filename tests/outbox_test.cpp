// What waits for its records, without sockets.
#include "core/outbox.hpp"

#include <gtest/gtest.h>

namespace heronvane {
namespace {

WriteAheadPlan answering(MessageId id) {
  WriteAheadPlan plan;
  plan.replies.push_back({id, [](const ClientReply&) {}, {202, 0}});
  return plan;
}

TEST(Outbox, PlansComeInTheirOrderOnceTheirRecordsStand) {
  Outbox o;
  o.put(answering(1));
  EXPECT_FALSE(o.next(1'000).has_value()) << "it is not written";
  o.written(7);
  o.put(answering(2));
  o.written(9);
  EXPECT_FALSE(o.next(6).has_value());
  EXPECT_EQ(o.next(8)->replies[0].id, 1u);
  EXPECT_FALSE(o.next(8).has_value());
  EXPECT_EQ(o.next(9)->replies[0].id, 2u);
  EXPECT_TRUE(o.empty());
}

// Only of what stands in no record may it be said that it was not taken on.
TEST(Outbox, AnswersThatAreWrittenWaitOnWhileOthersAreGivenOtherwise) {
  Outbox o;
  o.put(answering(1));
  o.written(7);
  o.put(answering(2));
  const auto refused = o.take_unwritten_replies();
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].id, 2u);
  EXPECT_EQ(o.next(7)->replies[0].id, 1u);
}

}  // namespace
}  // namespace heronvane
