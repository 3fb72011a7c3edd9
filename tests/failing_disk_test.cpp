// Runs the real program on a folder that can't be written for a while: the promises made for accepted
// messages must be kept.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";

class FailingDiskTest : public RelayTest, public ::testing::WithParamInterface<const char*> {
 protected:
  FailingDiskTest() { faults = switched("pwrite", GetParam()); }
  // Accepts a message whose deadline passes while the folder can't be written, and waits for its
  // notification.
  void end_without_a_record() {
    endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 800\r\n"); });
    start();
    ASSERT_EQ(hand_in("due", kSafe, "x", "1500m"), 202u);
    wait_for([&] { return calls_of("due") == 1; }, "its call");
    set_faults(true);
    wait_for([&] { return ended("due"); }, "the notification, though the end can't be recorded");
  }
  void expect_service_without_another_call_for_due() {
    endpoint.on_request(answer_ok);
    wait_for([&] { return health() == 200; }, "the relay is ready");
    EXPECT_EQ(hand_in("next", kSafe), 202u);
    wait_for([&] { return calls_of("next") == 1; }, "the next one's call");
    EXPECT_EQ(calls_of("due"), 1);
  }
};

// The notification used to wait for the record of the message's end, however late that was written.
TEST_P(FailingDiskTest, NotificationsAreSentInTimeWithoutARecord) {
  end_without_a_record();
  EXPECT_EQ(hand_in("refused", kSafe), 503u);
  wait_for(
      [&] { return logged().find("messages refused: the folder can't be written (1)") != std::string::npos; },
      "the reason in the log");
  set_faults(false);
  expect_service_without_another_call_for_due();
}

// The process is killed before the record of the end could be written: the next one must send the
// notification again and must not make a call.
TEST_P(FailingDiskTest, AnUnrecordedEndCausesNoCallAfterARestart) {
  end_without_a_record();
  kill_relay();
  set_faults(false);
  finals.clear();
  start();
  wait_for([&] { return ended("due"); }, "the notification once more");
  expect_service_without_another_call_for_due();
}

// A list received meanwhile reaches the decision module only once the folder can be written, after the end of
// its watch. It used to be taken as a sign that the watch was still open, and later changes went unnoticed.
TEST_P(FailingDiskTest, AWatchThatEndsMeanwhileIsReopened) {
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
