#include "core/decision_cycle.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace heronvane {
namespace {

namespace event = heronvane::dispatch::event;

constexpr Microseconds kInterval = 20'000;
constexpr std::uint64_t kSeed = 1;

// The smallest settings that the decision module accepts.
heronvane::dispatch::Settings valid_settings() {
  heronvane::dispatch::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective = 1'000'000;
  settings.classes[0].deadline = 6'000'000;
  settings.max_concurrent_calls = 1;
  settings.max_in_flight = 1;
  settings.max_attempts = 1;
  return settings;
}

// Makes a cycle on its own loop, which counts its runs.
class DecisionCycleTest : public ::testing::Test {
 protected:
  DecisionCycle cycle(bool early = false) {
    DecisionCycle::Hooks hooks;
    hooks.may_run = [this] { return may_run_; };
    hooks.run = [this] { runs_++; };
    return {io_, settings_, kSeed, CyclePacing(kInterval, early), hooks};
  }

  boost::asio::io_context io_;
  heronvane::dispatch::Settings settings_ = valid_settings();
  bool may_run_ = true;
  int runs_ = 0;
};

TEST_F(DecisionCycleTest, RunsOnceForAllEventsSinceTheLastCycle) {
  DecisionCycle cycle = this->cycle();
  cycle.notify(event::EndpointListFailed{});
  cycle.notify(event::EndpointListFailed{});
  cycle.schedule(DecisionCycle::Urgency::urgent);
  EXPECT_EQ(runs_, 0) << "schedule() runs no cycle itself";
  io_.run();
  EXPECT_EQ(runs_, 1);
}

TEST_F(DecisionCycleTest, EnqueueSchedulesNoCycle) {
  DecisionCycle cycle = this->cycle();
  cycle.enqueue(event::EndpointListFailed{});
  io_.run();
  EXPECT_EQ(runs_, 0);
}

TEST_F(DecisionCycleTest, RunsNoSoonerThanThePacingAllows) {
  DecisionCycle cycle = this->cycle();
  cycle.run();
  const Microseconds first = cycle.started_at();
  cycle.schedule();
  io_.run();
  EXPECT_EQ(runs_, 2);
  EXPECT_GE(cycle.started_at() - first, kInterval);
}

TEST_F(DecisionCycleTest, SkipsCyclesThatMayNotRun) {
  DecisionCycle cycle = this->cycle();
  may_run_ = false;
  cycle.run();
  EXPECT_EQ(runs_, 0);
  EXPECT_EQ(cycle.started_at(), 0);
  may_run_ = true;
  cycle.schedule();
  io_.run();
  EXPECT_EQ(runs_, 1);
}

TEST_F(DecisionCycleTest, ModuleTimersTriggerACycle) {
  DecisionCycle cycle = this->cycle();
  cycle.run();
  cycle.set_timer(kInterval, 1);
  cycle.set_timer(0, 2);
  io_.run();
  EXPECT_GE(runs_, 2);
}

}  // namespace
}  // namespace heronvane
