#include "retry_policy.hpp"

#include <gtest/gtest.h>

namespace heronvane::dispatch::testing {
namespace {

constexpr Microseconds kMillisecond = 1'000;
constexpr Microseconds kSecond = 1'000'000;

class RetryPolicyTest : public ::testing::Test {
 protected:
  RetryPolicyTest() {
    settings_.max_attempts = 3;
    settings_.min_decision_interval = 10 * kMillisecond;
    class_.key_window = 2 * kSecond;
    request_.request_class = &class_;
    request_.deadline = 100 * kSecond;
  }

  Settings settings_;
  ClassSettings class_;
  Request request_;
  RetryPolicy policy_{settings_, 1.0};
};

TEST_F(RetryPolicyTest, AllowsAttemptsUntilTheirNumberIsUsedUp) {
  request_.attempts_made = 2;
  EXPECT_TRUE(policy_.may_attempt(request_, 0));
  request_.attempts_made = 3;
  EXPECT_FALSE(policy_.may_attempt(request_, 0));
}

TEST_F(RetryPolicyTest, AllowsNoAttemptInTheLastTwentiethOfTheShortestObjective) {
  EXPECT_EQ(policy_.latest_attempt(request_), 100 * kSecond - 50 * kMillisecond);
  EXPECT_TRUE(policy_.may_attempt(request_, 100 * kSecond - 50 * kMillisecond - 1));
  EXPECT_FALSE(policy_.may_attempt(request_, 100 * kSecond - 50 * kMillisecond));
}

TEST_F(RetryPolicyTest, LeavesTwoRoundsBeforeTheDeadlineWhereRoundsAreLong) {
  settings_.min_decision_interval = 100 * kMillisecond;
  const RetryPolicy policy(settings_, 1.0);
  EXPECT_EQ(policy.latest_attempt(request_), 100 * kSecond - 200 * kMillisecond);
}

TEST_F(RetryPolicyTest, WaitsForAnOutcomeUntilTwoRoundsBeforeTheDeadline) {
  EXPECT_EQ(policy_.ends_at(request_), policy_.latest_attempt(request_));
  request_.in_flight[0] = 1;
  EXPECT_EQ(policy_.ends_at(request_), 100 * kSecond - 20 * kMillisecond);
}

TEST_F(RetryPolicyTest, NeverRepeatsANonIdempotentRequestThatMayHaveBeenExecuted) {
  class_.idempotency = Idempotency::non_idempotent;
  EXPECT_TRUE(policy_.may_attempt(request_, 0));
  request_.possible_execution = PossibleExecution{0, 0};
  EXPECT_FALSE(policy_.may_attempt(request_, 0));
  class_.idempotency = Idempotency::idempotent;
  EXPECT_TRUE(policy_.may_attempt(request_, 0));
}

TEST_F(RetryPolicyTest, RepeatsAKeyedRequestOnlyWhileTheDestinationKnowsItsKey) {
  class_.idempotency = Idempotency::keyed;
  EXPECT_EQ(policy_.start_within(request_, 0), std::nullopt);
  request_.possible_execution = PossibleExecution{0, 10 * kSecond};
  const Microseconds known_until = 12 * kSecond - 150 * kMillisecond;
  EXPECT_EQ(policy_.latest_attempt(request_), known_until);
  EXPECT_EQ(policy_.start_within(request_, 11 * kSecond), known_until - 11 * kSecond);
  EXPECT_FALSE(policy_.may_attempt(request_, known_until));
}

TEST_F(RetryPolicyTest, AKeyWindowBoundsOnlyKeyedRequests) {
  request_.possible_execution = PossibleExecution{0, 10 * kSecond};
  for (const auto idempotency : {Idempotency::idempotent, Idempotency::non_idempotent}) {
    class_.idempotency = idempotency;
    EXPECT_EQ(policy_.start_within(request_, 11 * kSecond), std::nullopt);
    EXPECT_EQ(policy_.latest_attempt(request_), 100 * kSecond - 50 * kMillisecond);
  }
}

TEST_F(RetryPolicyTest, ARetryStaysInTheZoneThatAloneKnowsItsKey) {
  class_.idempotency = Idempotency::keyed;
  class_.key_scope = KeyScope::zone;
  EXPECT_EQ(RetryPolicy::required_zone(request_), std::nullopt);
  request_.possible_execution = PossibleExecution{2, 0};
  EXPECT_EQ(RetryPolicy::required_zone(request_), 2);
  class_.key_scope = KeyScope::all;
  EXPECT_EQ(RetryPolicy::required_zone(request_), std::nullopt);
}

TEST_F(RetryPolicyTest, ARequestMayBeRejectedWhereHandingItInAgainCannotExecuteItTwice) {
  request_.possible_execution = PossibleExecution{0, 0};
  EXPECT_TRUE(RetryPolicy::may_be_rejected(request_));
  class_.idempotency = Idempotency::keyed;
  EXPECT_TRUE(RetryPolicy::may_be_rejected(request_));
  class_.key_scope = KeyScope::zone;
  EXPECT_FALSE(RetryPolicy::may_be_rejected(request_));
  class_.idempotency = Idempotency::non_idempotent;
  EXPECT_FALSE(RetryPolicy::may_be_rejected(request_));
  request_.possible_execution.reset();
  EXPECT_TRUE(RetryPolicy::may_be_rejected(request_));
  request_.in_flight[0] = 1;
  EXPECT_FALSE(RetryPolicy::may_be_rejected(request_));
}

}  // namespace
}  // namespace heronvane::dispatch::testing
