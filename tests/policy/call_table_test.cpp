#include "call_table.hpp"

#include <gtest/gtest.h>

#include "endpoint_state.hpp"

namespace heronvane::dispatch::testing {
namespace {

TEST(CallTable, IsFullAtItsBoundUntilACallIsFinished) {
  CallTable table(2);
  const BackoffScale scale(1.0);
  EndpointState endpoint(scale);
  const CallId first = table.start(endpoint, 0);
  EXPECT_FALSE(table.full());
  table.start(endpoint, 0);
  EXPECT_TRUE(table.full());
  table.finish(first);
  EXPECT_FALSE(table.full());
  EXPECT_EQ(table.find(first), nullptr);
}

TEST(CallTable, NeverGivesAnIdTwice) {
  CallTable table(1);
  const BackoffScale scale(1.0);
  EndpointState endpoint(scale);
  const CallId first = table.start(endpoint, 0);
  table.finish(first);
  EXPECT_NE(table.start(endpoint, 0), first);
}

TEST(CallTable, ACallKnowsItsRequestsAndWhichHaveNoOutcome) {
  CallTable table(1);
  const BackoffScale scale(1.0);
  EndpointState endpoint(scale);
  const CallId id = table.start(endpoint, 30);
  table.add_request(id, 8);
  table.add_request(id, 9);
  const Call& call = *table.find(id);
  EXPECT_EQ(call.endpoint, &endpoint);
  EXPECT_EQ(call.sent_at, 30);
  EXPECT_EQ(call.batch_size(), 2);
  EXPECT_EQ(call.without_outcome, 2);
  EXPECT_EQ(call.requests, (std::vector<MessageId>{8, 9}));
}

}  // namespace
}  // namespace heronvane::dispatch::testing
