// Steps of the wall clock while the real program runs: deadlines, waits and windows are unaffected by them.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

class ClockTest : public RelayTest, public ::testing::WithParamInterface<int> {
 protected:
  // step() shifts the program's wall clock by GetParam() seconds.
  ClockTest() {
    faults = "[[step]]\nby_s = " + std::to_string(GetParam()) + ".0\nwhile = \"" + folder + "/stepped\"\n";
  }
  void step() { std::ofstream(folder + "/stepped") << "x"; }
};

// A message that waits when the clock is stepped is neither given up early nor held too long.
TEST_P(ClockTest, AWaitingMessageKeepsItsDeadline) {
  endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 300\r\n"); });
  start();
  ASSERT_EQ(hand_in("long", kUnsafe, "x", "24000m"), 202u);
  ASSERT_EQ(hand_in("short", kUnsafe, "x", "1500m"), 202u);
  wait_for([&] { return calls_of("long") + calls_of("short") > 0; }, "a call");
  step();
  wait_for([&] { return ended("short"); }, "the short one ends in its time");
  EXPECT_FALSE(ended("long"));
  endpoint.on_request(answer_ok);
  wait_for([&] { return calls_of("long") > 0 && endpoint.got.back().request["X-Request-Id"] == "long"; },
           "the long one is delivered");
  EXPECT_EQ(hand_in("new", kSafe), 202u);
  wait_for([&] { return calls_of("new") == 1; }, "new work goes on");
  EXPECT_FALSE(ended("long"));
}

// A step while no process runs: a held message keeps its deadline, and a completed id is still recognized.
TEST_P(ClockTest, ARestartAfterAStepKeepsDeadlinesAndIds) {
  start();
  ASSERT_EQ(hand_in("done", kUnsafe), 202u);
  wait_for([&] { return calls_of("done") == 1; }, "its call");
  endpoint.on_request(stay_silent);
  ASSERT_EQ(hand_in("held", kSafe, "x", "6000m"), 202u);
  wait_for([&] { return calls_of("held") == 1; }, "the first call");
  kill_relay();
  step();
  endpoint.on_request(answer_ok);
  start();
  wait_for([&] { return calls_of("held") >= 2 || ended("held"); }, "it is called again");
  EXPECT_FALSE(ended("held"));
  EXPECT_EQ(hand_in("done", kUnsafe), 202u);
  EXPECT_EQ(hand_in("next", kSafe), 202u);
  wait_for([&] { return calls_of("next") == 1; }, "the next one's call");
  EXPECT_EQ(calls_of("done"), 1);
}

INSTANTIATE_TEST_SUITE_P(Seconds, ClockTest, ::testing::Values(7, -7, 3600, -3600));

}  // namespace
}  // namespace heronvane::testing
