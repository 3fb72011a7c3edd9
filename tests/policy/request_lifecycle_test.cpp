#include "request_lifecycle.hpp"

#include <gtest/gtest.h>

#include <variant>
#include <vector>

namespace heronvane::dispatch::testing {
namespace {

constexpr Microseconds kSecond = 1'000'000;
constexpr Microseconds kRetryAfter = 200'000;

class RequestLifecycleTest : public ::testing::Test {
 protected:
  RequestLifecycleTest() : settings_(make_settings()), state_(settings_), lifecycle_(state_, kRetryAfter) {}

  static Settings make_settings() {
    Settings settings;
    settings.classes.resize(1);
    settings.classes[0].ordered = true;
    settings.tenants = {{1}};
    settings.over_quota_weight = 0.25;
    settings.max_attempts = 2;
    settings.key_quiet_period = kSecond;
    return settings;
  }
  Request& arrive(MessageId id, const std::string& order_key = "", int tenant = -1) {
    event::RequestArrived arrived;
    arrived.id = id;
    arrived.destination = 3;
    arrived.tenant = tenant;
    arrived.time_left = 5 * kSecond;
    arrived.order_key = order_key;
    lifecycle_.arrive(arrived, pass_);
    return *state_.requests.find(id);
  }
  event::RequestRecovered recovered(MessageId id) {
    event::RequestRecovered event;
    event.message.id = id;
    event.message.time_left = 5 * kSecond;
    return event;
  }
  // Sends the request's next attempt and takes it out again, as ended.
  void end_attempt(Request& request, const AttemptResult& result) {
    lifecycle_.record_sent(request, 1);
    ASSERT_EQ(lifecycle_.take_attempt(request, request.attempts_made - 1), 1U);
    lifecycle_.record_result(request, result, pass_);
  }
  template <class ActionType>
  std::size_t count() const {
    std::size_t found = 0;
    for (const auto& decided : decided_) found += std::holds_alternative<ActionType>(decided) ? 1 : 0;
    return found;
  }

  Settings settings_;
  Random random_{1};
  std::vector<Action> decided_;
  ActionSink actions_{decided_};
  WakeUp wake_up_{0};
  DecisionPass pass_{10 * kSecond, settings_, random_, actions_, wake_up_};
  RequestState state_;
  RequestLifecycle lifecycle_;
};

TEST_F(RequestLifecycleTest, ARequestThatArrivesIsReadyAtOnceAndHasItsDeadline) {
  const Request& request = arrive(1);
  EXPECT_EQ(request.ready_at, pass_.now);
  EXPECT_EQ(request.deadline, 15 * kSecond);
  EXPECT_EQ(request.objective_at, 11 * kSecond);
  EXPECT_EQ(state_.reevaluation.pending(), (std::vector<MessageId>{1}));
}

TEST_F(RequestLifecycleTest, ARequestBeyondItsTenantsQuotaWeighsLess) {
  for (MessageId id = 1; id <= 4; id++) EXPECT_EQ(arrive(id, "", 0).full_weight, 1);
  const Request& over_quota = arrive(5, "", 0);
  EXPECT_EQ(over_quota.full_weight, 0.25);
  EXPECT_NE(over_quota.group, state_.requests.find(4)->group);
}

TEST_F(RequestLifecycleTest, OneOfAnOrderKeyGoesWhenTheOneBeforeIsForgotten) {
  Request& first = arrive(1, "k");
  const Request& second = arrive(2, "k");
  EXPECT_EQ(lifecycle_.turn_at(second, pass_.now), kNever);
  end_attempt(first, {Outcome::served, false, 0, pass_.now, 1.0});
  EXPECT_EQ(state_.requests.find(1), nullptr);
  EXPECT_LE(lifecycle_.turn_at(second, pass_.now), pass_.now);
}

TEST_F(RequestLifecycleTest, AnUnknownOutcomeHoldsTheNextOfTheOrderKeyForTheQuietPeriod) {
  Request& first = arrive(1, "k");
  const Request& second = arrive(2, "k");
  end_attempt(first, {Outcome::timeout, true, 0, pass_.now, 1.0});
  EXPECT_EQ(lifecycle_.turn_at(second, pass_.now), pass_.now + kSecond);
}

TEST_F(RequestLifecycleTest, ARetryWaitsTheJitteredBackoff) {
  Request& request = arrive(1);
  end_attempt(request, {Outcome::connect_failed, false, 0, pass_.now, 1.0});
  EXPECT_GE(request.ready_at, pass_.now + 750'000);
  EXPECT_LE(request.ready_at, pass_.now + 1'250'000);
  EXPECT_FALSE(request.completed);
  EXPECT_FALSE(request.possible_execution);
}

TEST_F(RequestLifecycleTest, ARequestFailsWithItsLastAttempt) {
  Request& request = arrive(1);
  end_attempt(request, {Outcome::connect_failed, false, 0, pass_.now, 0.1});
  EXPECT_EQ(count<action::Fail>(), 0U);
  end_attempt(request, {Outcome::connect_failed, false, 0, pass_.now, 0.1});
  EXPECT_EQ(count<action::Fail>(), 1U);
  EXPECT_EQ(state_.requests.find(1), nullptr);
}

TEST_F(RequestLifecycleTest, TheFirstPossibleExecutionCounts) {
  settings_.max_attempts = 9;
  Request& request = arrive(1);
  end_attempt(request, {Outcome::rejected, false, 0, pass_.now, 0.1});
  EXPECT_FALSE(request.possible_execution);
  end_attempt(request, {Outcome::timeout, false, 2, 400, 0.1});
  end_attempt(request, {Outcome::reset, false, 1, 300, 0.1});
  end_attempt(request, {Outcome::reset, false, 0, 500, 0.1});
  ASSERT_TRUE(request.possible_execution);
  EXPECT_EQ(request.possible_execution->zone, 1);
  EXPECT_EQ(request.possible_execution->sent_at, 300);
}

TEST_F(RequestLifecycleTest, ARecoveredRequestWithoutAnAttemptGoesFirstUntilItIsSent) {
  lifecycle_.recover(recovered(1), pass_);
  Request& request = *state_.requests.find(1);
  EXPECT_TRUE(request.unattempted);
  EXPECT_EQ(request.full_weight, Priority::kUnattemptedFactor);
  lifecycle_.record_sent(request, 1);
  EXPECT_FALSE(request.unattempted);
  EXPECT_EQ(request.full_weight, 1);
  EXPECT_EQ(request.group, Priority::order_group(0, false, false));
}

TEST_F(RequestLifecycleTest, ARecoveredRequestThatMustNotRunTwiceFailsAtOnce) {
  settings_.classes[0].idempotency = Idempotency::non_idempotent;
  event::RequestRecovered event = recovered(1);
  event.possibly_executed_zone = 0;
  lifecycle_.recover(event, pass_);
  EXPECT_EQ(count<action::Fail>(), 1U);
  EXPECT_EQ(state_.requests.find(1), nullptr);
}

TEST_F(RequestLifecycleTest, RejectsWithARetryAfterOnlyWhatMayBeHandedInAgain) {
  settings_.classes[0].idempotency = Idempotency::non_idempotent;
  lifecycle_.reject(arrive(1), pass_);
  ASSERT_EQ(count<action::Reject>(), 1U);
  EXPECT_EQ(std::get<action::Reject>(decided_.back()).retry_after, kRetryAfter);
  Request& sent = arrive(2);
  lifecycle_.record_sent(sent, 1);
  lifecycle_.reject(sent, pass_);
  EXPECT_EQ(count<action::Fail>(), 1U);
}

TEST_F(RequestLifecycleTest, ACompletedRequestGetsOneFinalActionAndIsKeptWhileItIsInFlight) {
  Request& request = arrive(1);
  lifecycle_.record_sent(request, 1);
  lifecycle_.fail(request, pass_);
  lifecycle_.fail(request, pass_);
  lifecycle_.forget_if_done(request, pass_.now);
  EXPECT_EQ(count<action::Fail>(), 1U);
  EXPECT_NE(state_.requests.find(1), nullptr);
  lifecycle_.take_attempt(request, 0);
  lifecycle_.forget_if_done(request, pass_.now);
  EXPECT_EQ(state_.requests.find(1), nullptr);
}

TEST_F(RequestLifecycleTest, AWithdrawnRequestIsForgottenWithoutAnAction) {
  arrive(1);
  lifecycle_.withdraw(1, pass_.now);
  lifecycle_.withdraw(7, pass_.now);
  EXPECT_EQ(state_.requests.find(1), nullptr);
  EXPECT_TRUE(decided_.empty());
}

// Guards against an id that stands in its order key's line twice: it would hold up the key for good.
TEST_F(RequestLifecycleTest, ARequestThatArrivesAgainStandsInItsLineOnce) {
  Request& first = arrive(1, "key");
  arrive(1, "key");
  const Request& second = arrive(2, "key");
  EXPECT_EQ(lifecycle_.turn_at(second, pass_.now), kNever);
  end_attempt(first, {.outcome = Outcome::served, .request_completed = true});
  EXPECT_EQ(lifecycle_.turn_at(second, pass_.now), 0) << "nobody is before it any more";
}

TEST_F(RequestLifecycleTest, ARequestThatArrivesAgainWithAnotherKeyLeavesTheFormerLine) {
  arrive(1, "key");
  const Request& second = arrive(2, "key");
  const Request& first = arrive(1, "other");
  EXPECT_EQ(lifecycle_.turn_at(second, pass_.now), 0);
  EXPECT_EQ(lifecycle_.turn_at(first, pass_.now), 0);
}

}  // namespace
}  // namespace heronvane::dispatch::testing
