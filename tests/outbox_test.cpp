// Plans that wait for their records, without sockets.
#include "core/outbox.hpp"

#include <gtest/gtest.h>

namespace heronvane {
namespace {

WriteAheadPlan plan_with_reply(MessageId id) {
  WriteAheadPlan plan;
  plan.replies.push_back({id, [](const ClientReply&) {}, {202, 0}});
  return plan;
}

TEST(Outbox, PlansAreReturnedInOrderOnceTheirRecordsAreDurable) {
  Outbox o;
  o.put(plan_with_reply(1));
  EXPECT_FALSE(o.next(1'000).has_value()) << "it is not written";
  o.written(7);
  o.put(plan_with_reply(2));
  o.written(9);
  EXPECT_FALSE(o.next(6).has_value());
  EXPECT_EQ(o.next(8)->replies[0].id, 1u);
  EXPECT_FALSE(o.next(8).has_value());
  EXPECT_EQ(o.next(9)->replies[0].id, 2u);
  EXPECT_TRUE(o.empty());
}

// Only a request without a written record may be rejected as not accepted.
TEST(Outbox, OnlyUnwrittenRepliesAreTaken) {
  Outbox o;
  o.put(plan_with_reply(1));
  o.written(7);
  o.put(plan_with_reply(2));
  const auto unwritten = o.take_unwritten_replies();
  ASSERT_EQ(unwritten.size(), 1u);
  EXPECT_EQ(unwritten[0].id, 2u);
  EXPECT_EQ(o.next(7)->replies[0].id, 1u);
}

}  // namespace
}  // namespace heronvane
