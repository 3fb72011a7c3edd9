#include "call_cancellation.hpp"

#include "request_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

class CallCancellationTest : public RequestHarness {
 protected:
  CallCancellationTest() { list("a"); }

  // How many cancels there are after the request was looked at.
  std::size_t look_at(Request& request, bool slots_short, Microseconds now) {
    wake_up_at_ = harness_.at(
        now, [&](DecisionPass& pass) { cancellation_.cancel_if_overdue(request, slots_short, pass); });
    return harness_.all<action::Cancel>().size();
  }
};

TEST_F(CallCancellationTest, ACallIsOverdueWhereALaterOneWasServed) {
  Request& request = arrive(1);
  ASSERT_TRUE(try_send(request, 0).is_sent());
  Request& later = arrive(2, 10 * kMillisecond);
  ASSERT_TRUE(try_send(later, 10 * kMillisecond).is_sent());
  EXPECT_TRUE(cancellation_.overdue(false).empty());
  end_call("a", later.in_flight.at(0), 10 * kMillisecond, 20 * kMillisecond, Outcome::served);
  EXPECT_EQ(cancellation_.overdue(false), (std::vector<MessageId>{1}));
}

TEST_F(CallCancellationTest, WhileSlotsAreShortASilentEndpointsCallIsOverdue) {
  ASSERT_TRUE(try_send(arrive(1)).is_sent());
  EXPECT_TRUE(cancellation_.overdue(false).empty());
  EXPECT_EQ(cancellation_.overdue(true), (std::vector<MessageId>{1}));
}

TEST_F(CallCancellationTest, CancelsAnAttemptOnceAndNotBeforeItsPatienceIsOver) {
  Request& request = arrive(1);
  ASSERT_TRUE(try_send(request).is_sent());
  // Of a latency that is assumed to be 0.25 s: 4 * 0.25 + 0.3, but no more than the objective of 1 s.
  EXPECT_EQ(look_at(request, true, 500 * kMillisecond), 0U);
  EXPECT_EQ(wake_up_at_, kSecond);
  EXPECT_EQ(look_at(request, true, kSecond), 1U);
  EXPECT_EQ(request.cancelled_attempt, 0);
  EXPECT_EQ(look_at(request, true, 2 * kSecond), 1U);
}

TEST_F(CallCancellationTest, ARequestThatMustNotRunTwiceHasAWholeObjective) {
  harness_.settings.classes[0].idempotency = Idempotency::non_idempotent;
  harness_.settings.classes[0].latency_objective = 4 * kSecond;
  Request& request = arrive(1);
  ASSERT_TRUE(try_send(request).is_sent());
  EXPECT_EQ(look_at(request, true, 3 * kSecond), 0U);
  EXPECT_EQ(wake_up_at_, 4 * kSecond);
}

TEST_F(CallCancellationTest, ACompletedRequestIsLeftAlone) {
  Request& request = arrive(1);
  ASSERT_TRUE(try_send(request).is_sent());
  harness_.at(0, [&](DecisionPass& pass) { lifecycle_.fail(request, pass); });
  EXPECT_TRUE(cancellation_.overdue(true).empty());
}

}  // namespace
}  // namespace heronvane::dispatch::testing
