// Timers that are set again or cancelled while their completion handlers are already queued.
#include "core/timer.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace heronvane::testing {
namespace {

using std::chrono::microseconds;

// Both timers expire before the event loop runs, so both handlers are queued in one iteration: the first one
// can set or cancel the second timer, whose handler is queued already.
class TimerTest : public ::testing::Test {
 protected:
  template <class First>
  std::vector<std::string> run_both(First first) {
    std::vector<std::string> ran;
    const auto until = std::chrono::steady_clock::now() + microseconds(2000);
    one.set(microseconds(1000), [&] { ran.push_back("one"), first(ran); });
    two.set(microseconds(1001), [&] { ran.push_back("two"); });
    while (std::chrono::steady_clock::now() < until) {
    }
    io.run();
    return ran;
  }
  boost::asio::io_context io{1};
  Timer one{io}, two{io};
};

TEST_F(TimerTest, BothHandlersRunWithoutInterference) {
  EXPECT_EQ(run_both([](auto&) {}), (std::vector<std::string>{"one", "two"}));
}
TEST_F(TimerTest, ACancelledTimerDoesNotRunItsQueuedHandler) {
  EXPECT_EQ(run_both([this](auto&) { two.cancel(); }), (std::vector<std::string>{"one"}));
}
TEST_F(TimerTest, ATimerThatIsSetAgainRunsOnceAtItsNewTime) {
  EXPECT_EQ(run_both([this](auto& ran) { two.set(microseconds(500), [&ran] { ran.push_back("anew"); }); }),
            (std::vector<std::string>{"one", "anew"}));
}
TEST_F(TimerTest, AHandlerMaySetItsOwnTimer) {
  int left = 3;
  std::function<void()> again = [&] {
    if (--left > 0) one.set(microseconds(10), again);
  };
  one.set(microseconds(10), again);
  io.run();
  EXPECT_EQ(left, 0);
}

}  // namespace
}  // namespace heronvane::testing
