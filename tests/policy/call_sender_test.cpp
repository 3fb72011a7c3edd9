#include "call_sender.hpp"

#include "request_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

class CallSenderTest : public RequestHarness {};

TEST_F(CallSenderTest, SendsWithATimeOutOfTwoAndAHalfObjectivesAtLeast) {
  list("a");
  Request& request = arrive(1);
  ASSERT_TRUE(try_send(request).is_sent());
  ASSERT_EQ(sends().size(), 1U);
  EXPECT_EQ(sends()[0].id, 1U);
  EXPECT_EQ(sends()[0].endpoint, "a");
  EXPECT_EQ(sends()[0].timeout, 2'500 * kMillisecond);
  EXPECT_EQ(sends()[0].start_within, std::nullopt);
  EXPECT_EQ(request.attempts_made, 1);
  EXPECT_EQ(state_.calls.find(request.in_flight.at(0))->requests, (std::vector<MessageId>{1}));
}

TEST_F(CallSenderTest, ATimeOutEndsWithTheDeadline) {
  harness_.settings.classes[0].idempotency = Idempotency::non_idempotent;
  list("a");
  Request& request = arrive(1);
  request.deadline = 4 * kSecond;  // five objectives are wanted
  ASSERT_TRUE(try_send(request).is_sent());
  EXPECT_EQ(sends()[0].timeout, 4 * kSecond);
}

TEST_F(CallSenderTest, SendsNothingWithoutAnAttemptLeftOrAKnownDestination) {
  list("a");
  Request& request = arrive(1);
  request.attempts_made = 3;
  EXPECT_EQ(try_send(request).kind, SendResult::Kind::subqueue_blocked);
  EXPECT_EQ(try_send(arrive(2, 0, 77)).kind, SendResult::Kind::subqueue_blocked);
  EXPECT_TRUE(sends().empty());
}

TEST_F(CallSenderTest, RequestsJoinTheCallOfThePassUntilItIsFull) {
  list("a", 1);
  for (MessageId id = 1; id <= 5; id++) ASSERT_TRUE(try_send(arrive(id)).is_sent());
  EXPECT_EQ(state_.calls.size(), 2U);
  EXPECT_EQ(state_.requests.find(1)->in_flight, state_.requests.find(4)->in_flight);
  EXPECT_NE(state_.requests.find(4)->in_flight, state_.requests.find(5)->in_flight);
}

TEST_F(CallSenderTest, NoRequestJoinsTheCallOfAnEarlierPass) {
  list("a", 1);
  ASSERT_TRUE(try_send(arrive(1), 0).is_sent());
  ASSERT_TRUE(try_send(arrive(2), kMillisecond).is_sent());
  EXPECT_EQ(state_.calls.size(), 2U);
}

TEST_F(CallSenderTest, GivesTheEndpointsWithOpenCallsOnce) {
  list("one request a call", 0, 0, 2);
  list("four", 1);
  ASSERT_TRUE(try_send(arrive(1, 0, 2)).is_sent());
  ASSERT_TRUE(try_send(arrive(2)).is_sent());
  EXPECT_EQ(sender_.take_open_endpoints(), (std::vector<EndpointState*>{&endpoint("four")}));
  EXPECT_TRUE(sender_.take_open_endpoints().empty());
}

TEST_F(CallSenderTest, ACallUnblocksTheRequestsThatComeAfterItsFirst) {
  list("a", 1);
  Request& first = arrive(1);
  Request& follower = arrive(2);
  for (Request* const request : {&first, &follower}) {
    state_.send_queue.add(*request, 0);
    state_.send_queue.enqueue(*request, subqueue_of(*request));
  }
  state_.send_queue.defer(follower, kNever - 1);
  ASSERT_TRUE(try_send(first).is_sent());
  const auto by_id = [](const SendQueue::Entry& entry) { return -static_cast<double>(entry.id); };
  EXPECT_EQ(state_.send_queue.most_urgent(by_id, false), &follower);
}

TEST_F(CallSenderTest, HealthChecksOfEjectedEndpointsAreCounted) {
  list("a");
  eject("a");
  EXPECT_EQ(sender_.health_checks_in_flight(), 0U);
  ASSERT_TRUE(try_send(arrive(1, 4 * kSecond), 4 * kSecond).is_sent());
  EXPECT_EQ(sender_.health_checks_in_flight(), 1U);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
