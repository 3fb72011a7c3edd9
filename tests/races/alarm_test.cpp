// Completions of a timer that are queued already when it is set anew or cancelled.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/timer.hpp"

namespace heronvane::testing {
namespace {

using std::chrono::microseconds;

// Both times are up before the loop looks, so both handlers are queued in one turn: what the first one does
// crosses a second one that can't be recalled any more.
class AlarmTest : public ::testing::Test {
 protected:
  template <class First>
  std::vector<std::string> cross(First first) {
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

TEST_F(AlarmTest, BothRunWhereNothingCrosses) {
  EXPECT_EQ(cross([](auto&) {}), (std::vector<std::string>{"one", "two"}));
}
TEST_F(AlarmTest, ACancelledOneIsDeaf) {
  EXPECT_EQ(cross([this](auto&) { two.cancel(); }), (std::vector<std::string>{"one"}));
}
TEST_F(AlarmTest, OneThatIsSetAnewRunsOnceForItsNewTime) {
  EXPECT_EQ(cross([this](auto& ran) { two.set(microseconds(500), [&ran] { ran.push_back("anew"); }); }),
            (std::vector<std::string>{"one", "anew"}));
}
TEST_F(AlarmTest, OneMaySetItself) {
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
