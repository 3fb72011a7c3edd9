#include "endpoint_selection.hpp"

#include "request_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

class EndpointSelectionTest : public RequestHarness {
 protected:
  EndpointSelection::Choice choose(Request& request, Microseconds now = 0) {
    EndpointSelection::Choice choice;
    const DestinationState& destination = *endpoints_.registry().find(kDestination);
    harness_.at(now, [&](DecisionPass& pass) { choice = selection_.choose(request, destination, pass); });
    return choice;
  }
  EndpointSelection selection_{state_, endpoints_};
  Slowness slowness_;
};

TEST_F(EndpointSelectionTest, PrefersTheNearEndpoint) {
  list("far", 0, 1);
  list("near", 0, 0);
  for (MessageId id = 1; id <= 20; id++) {
    // The random spread of costs is below the cost of distance of an endpoint as fast as this.
    endpoint("near").latency.record_served(10 * kMillisecond, slowness_);
    endpoint("far").latency.record_served(10 * kMillisecond, slowness_);
  }
  for (MessageId id = 1; id <= 20; id++) EXPECT_EQ(choose(arrive(id)).endpoint, &endpoint("near"));
}

TEST_F(EndpointSelectionTest, AnEndpointThatIsNotListedAsActiveGetsNothing) {
  list("a");
  endpoint("a").info.listing = Listing::draining;
  const auto choice = choose(arrive(1));
  EXPECT_EQ(choice.endpoint, nullptr);
  EXPECT_EQ(choice.ineligibility.kind(), SendResult::Kind::subqueue_blocked);
  EXPECT_EQ(choice.ineligibility.retry_at, kNever);
}

TEST_F(EndpointSelectionTest, ARetryAfterHoldsTheWholeDestinationUntilItEnds) {
  list("a");
  list("b");
  endpoint("a").limits().extend_retry_after(7 * kSecond);
  const auto choice = choose(arrive(1));
  EXPECT_EQ(choice.endpoint, nullptr);
  EXPECT_EQ(choice.ineligibility.kind(), SendResult::Kind::subqueue_blocked);
  EXPECT_EQ(choice.ineligibility.retry_at, 7 * kSecond);
  EXPECT_NE(choose(arrive(2, 7 * kSecond), 7 * kSecond).endpoint, nullptr);
}

TEST_F(EndpointSelectionTest, AKeyedRetryStaysInTheZoneThatKnowsItsKey) {
  harness_.settings.classes[0].idempotency = Idempotency::keyed;
  harness_.settings.classes[0].key_scope = KeyScope::zone;
  harness_.settings.classes[0].key_window = 60 * kSecond;
  list("zone 0", 0, 0);
  list("zone 1", 0, 1);
  Request& request = arrive(1);
  request.possible_execution = PossibleExecution{1, 0};
  EXPECT_EQ(choose(request).endpoint, &endpoint("zone 1"));
}

TEST_F(EndpointSelectionTest, ACallWithRoomIsJoinedBeforeAnotherIsStarted) {
  list("a", 1);
  list("b", 1);
  ASSERT_TRUE(try_send(arrive(1)).is_sent());
  const EndpointId first = sends()[0].endpoint;
  for (MessageId id = 2; id <= 4; id++) EXPECT_EQ(choose(arrive(id)).endpoint, &endpoint(first));
}

TEST_F(EndpointSelectionTest, WithoutAFreeSlotOnlyOpenCallsAreEligible) {
  list("a", 1);
  list("b", 0, 0, 2);
  while (!state_.calls.full()) state_.calls.start(endpoint("b"), 0);
  EXPECT_EQ(choose(arrive(1)).endpoint, nullptr);
}

TEST_F(EndpointSelectionTest, AnEjectedEndpointIsNoPlaceForARequestThatMustNotRunTwice) {
  harness_.settings.classes[0].idempotency = Idempotency::non_idempotent;
  list("a");
  eject("a");
  const Microseconds probed_at = 4 * kSecond;  // its budget and its gap allow a health check by then
  Request& request = arrive(1, probed_at);
  const auto choice = choose(request, probed_at);
  EXPECT_EQ(choice.endpoint, nullptr);
  EXPECT_EQ(choice.ineligibility.kind(), SendResult::Kind::request_blocked);
  EXPECT_LE(choice.ineligibility.retry_at, request.objective_at);
}

TEST_F(EndpointSelectionTest, ARequestAloneOrItsSubqueueIsBlockedByWhatWasFound) {
  Ineligibility reasons;
  EXPECT_EQ(reasons.kind(), SendResult::Kind::subqueue_blocked);
  reasons.awaits_health_check = true;
  EXPECT_EQ(reasons.kind(), SendResult::Kind::awaiting_health_check);
  reasons.by_request_alone = true;
  EXPECT_EQ(reasons.kind(), SendResult::Kind::retry_next_pass);
  reasons.awaits_health_check = false;
  EXPECT_EQ(reasons.kind(), SendResult::Kind::request_blocked);
  reasons.until(30);
  reasons.until(20);
  reasons.until(40);
  EXPECT_EQ(reasons.retry_at, 20);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
