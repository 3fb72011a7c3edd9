// A folder that can't be written for a while, under the real program: what was taken on keeps its promises.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";

class FailingDiskTest : public RelayTest, public ::testing::WithParamInterface<const char*> {
 protected:
  FailingDiskTest() { faults = switched("pwrite", GetParam()); }
  // Takes a message on that falls due while the folder can't be written, and is told so.
  void end_without_a_record() {
    endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 800\r\n"); });
    start();
    ASSERT_EQ(hand_in("due", kSafe, "x", "1500m"), 202u);
    wait_for([&] { return calls_of("due") == 1; }, "its call");
    set_faults(true);
    wait_for([&] { return ended("due"); }, "its end, though it can't be recorded");
  }
  void expect_service_without_a_call_of_due() {
    endpoint.on_request(answer_ok);
    wait_for([&] { return health() == 200; }, "the relay is ready");
    EXPECT_EQ(hand_in("next", kSafe), 202u);
    wait_for([&] { return calls_of("next") == 1; }, "the next one's call");
    EXPECT_EQ(calls_of("due"), 1);
  }
};

// The end of a message used to wait for its record, however late that came.
TEST_P(FailingDiskTest, WhatIsDueMeanwhileIsToldInItsTime) {
  end_without_a_record();
  EXPECT_EQ(hand_in("refused", kSafe), 503u);
  wait_for(
      [&] { return logged().find("messages refused: the folder can't be written (1)") != std::string::npos; },
      "the reason in the log");
  set_faults(false);
  expect_service_without_a_call_of_due();
}

// The process is killed before the end's record could be written: the next one tells the end, and calls
// nobody.
TEST_P(FailingDiskTest, AnEndWithoutARecordIsNoCallAfterARestart) {
  end_without_a_record();
  kill_relay();
  set_faults(false);
  finals.clear();
  start();
  wait_for([&] { return ended("due"); }, "its end once more");
  expect_service_without_a_call_of_due();
}

// A list that came meanwhile is told to the decisions once the folder can be written, behind the end of its
// watch: that used to pass for a sign that the watch goes on, and no change was heard of any more.
TEST_P(FailingDiskTest, AWatchThatEndsMeanwhileIsOpenedAnew) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  set_faults(true);
  EXPECT_EQ(hand_in("refused", kSafe), 503u);
  members += "," + member("s-2", endpoint.address());
  tell(list(members));
  watches.back()->close();
  wait_for([&] { return logged().find("discovery: watch: ") != std::string::npos; }, "the watch ends");
  set_faults(false);
  wait_for([&] { return watches.size() == 2; }, "the next watch");
}

INSTANTIATE_TEST_SUITE_P(Errors, FailingDiskTest, ::testing::Values("ENOSPC", "EIO", "EDQUOT"),
                         [](const auto& test) { return std::string(test.param); });

}  // namespace
}  // namespace heronvane::testing
