#include "endpoint_health.hpp"

#include <gtest/gtest.h>

#include "pass_harness.hpp"

namespace heronvane::dispatch::testing {
namespace {

class EndpointHealthTest : public ::testing::Test {
 protected:
  void apply(Microseconds now, HealthChange change) {
    harness_.at(now, [&](DecisionPass& pass) { health_.apply(pass, change, "s-3"); });
  }
  std::vector<std::string> logged() const {
    std::vector<std::string> texts;
    for (const auto& log : harness_.all<action::Log>()) texts.push_back(log.text);
    return texts;
  }

  PassHarness harness_;
  EndpointHealth health_;
};

TEST_F(EndpointHealthTest, GoesThroughEjectionAndSlowStartAndLogsEachChange) {
  EXPECT_TRUE(health_.is_healthy());
  apply(kSecond, HealthChange::ejected_connect_failed);
  EXPECT_TRUE(health_.is_ejected());
  apply(2 * kSecond, HealthChange::served_after_ejection);
  EXPECT_TRUE(health_.is_slow_start());
  apply(3 * kSecond, HealthChange::warmed_up);
  EXPECT_TRUE(health_.is_healthy());
  EXPECT_EQ(health_.since(), 3 * kSecond);
  EXPECT_EQ(logged(), (std::vector<std::string>{"closed s-3: no connection", "ramp s-3", "warm s-3"}));
}

TEST_F(EndpointHealthTest, ConfirmsAnEjectionWithoutALogLine) {
  apply(kSecond, HealthChange::ejected_errors);
  apply(2 * kSecond, HealthChange::ejected_rejections);
  EXPECT_EQ(health_.since(), 2 * kSecond);
  EXPECT_EQ(health_.ends_at(5 * kSecond), 7 * kSecond);
  EXPECT_EQ(logged(), std::vector<std::string>{"closed s-3: errors"});
}

TEST_F(EndpointHealthTest, LeavesEjectionBySlowStartAlone) {
  apply(kSecond, HealthChange::ejected_unanswered);
  apply(2 * kSecond, HealthChange::served_after_ejection);
  EXPECT_TRUE(health_.is_slow_start());
  apply(3 * kSecond, HealthChange::ejected_rejections);
  apply(4 * kSecond, HealthChange::outage_expired);
  EXPECT_TRUE(health_.is_slow_start());
  EXPECT_EQ(logged(), (std::vector<std::string>{"closed s-3: silent", "ramp s-3", "closed s-3: refuses all",
                                                "forgotten s-3"}));
}

TEST_F(EndpointHealthTest, LogsARestoredHealthButNotACopiedOne) {
  harness_.at(9 * kSecond,
              [&](DecisionPass& pass) { health_.restore(pass, Health::ejected, 4 * kSecond, "s-3"); });
  EXPECT_EQ(health_.since(), 4 * kSecond);
  EndpointHealth sibling;
  sibling.copy_from(health_);
  EXPECT_TRUE(sibling.is_ejected());
  EXPECT_EQ(sibling.since(), 4 * kSecond);
  EXPECT_EQ(logged(), std::vector<std::string>{"recalled s-3"});
}

}  // namespace
}  // namespace heronvane::dispatch::testing
