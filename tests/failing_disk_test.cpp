// A folder that can't be written for a while, under the real program: what was taken on keeps its promises.
#include <algorithm>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";

class FailingDiskTest : public RelayTest, public ::testing::WithParamInterface<const char*> {
 protected:
  FailingDiskTest() {
    faults = "[[error]]\ncall = \"pwrite\"\nerrno = \"" + std::string(GetParam()) + "\"\nwhile = \"" +
             folder + "/failing\"\n";
  }
  void fail_writes() { std::ofstream(folder + "/failing") << "x"; }
  void mend() { std::filesystem::remove(folder + "/failing"); }
  std::ptrdiff_t calls_of(const std::string& id) const {
    return std::count_if(endpoint.got.begin(), endpoint.got.end(),
                         [&](const Got& g) { return g.request["X-Request-Id"] == id; });
  }
  bool ended(const std::string& id) const { return finals.find("\"" + id + "\"") != std::string::npos; }
};

// The end of a message used to wait for its record, however late that came.
TEST_P(FailingDiskTest, WhatIsDueMeanwhileIsToldInItsTime) {
  endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 800\r\n"); });
  start();
  ASSERT_EQ(hand_in("due", kSafe, "x", "1500m"), 202u);
  wait_for([&] { return calls_of("due") == 1; }, "its call");
  fail_writes();
  wait_for([&] { return ended("due"); }, "its end, though it can't be recorded");
  EXPECT_EQ(hand_in("refused", kSafe), 503u);
  wait_for(
      [&] { return logged().find("messages refused: the folder can't be written (1)") != std::string::npos; },
      "the reason in the log");
  mend();
  endpoint.on_request(answer_ok);
  wait_for([&] { return health() == 200; }, "the disk is back");
  EXPECT_EQ(hand_in("next", kSafe), 202u);
  wait_for([&] { return calls_of("next") == 1; }, "its call");
  EXPECT_EQ(calls_of("due"), 1);
}

// The process is killed before the end's record could be written: the next one tells the end, and calls
// nobody.
TEST_P(FailingDiskTest, AnEndWithoutARecordIsNoCallAfterARestart) {
  endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 800\r\n"); });
  start();
  ASSERT_EQ(hand_in("due", kSafe, "x", "1500m"), 202u);
  wait_for([&] { return calls_of("due") == 1; }, "its call");
  fail_writes();
  wait_for([&] { return ended("due"); }, "its end, though it can't be recorded");
  kill_relay();
  mend();
  finals.clear();
  endpoint.on_request(answer_ok);
  start();
  wait_for([&] { return ended("due"); }, "its end once more");
  EXPECT_EQ(hand_in("next", kSafe), 202u);
  wait_for([&] { return calls_of("next") == 1; }, "the next one's call");
  EXPECT_EQ(calls_of("due"), 1);
}

// A list that came meanwhile is told to the decisions once the folder can be written, behind the end of its
// watch: that used to pass for a sign that the watch goes on, and no change was heard of any more.
TEST_P(FailingDiskTest, AWatchThatEndsMeanwhileIsOpenedAnew) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  fail_writes();
  EXPECT_EQ(hand_in("refused", kSafe), 503u);
  members += "," + member("s-2", endpoint.address());
  tell(list(members));
  watches.back()->close();
  wait_for([&] { return logged().find("discovery: watch: ") != std::string::npos; }, "the watch ends");
  mend();
  wait_for([&] { return watches.size() == 2; }, "the next watch");
}

INSTANTIATE_TEST_SUITE_P(Errors, FailingDiskTest, ::testing::Values("ENOSPC", "EIO", "EDQUOT"),
                         [](const auto& test) { return std::string(test.param); });

}  // namespace
}  // namespace heronvane::testing
