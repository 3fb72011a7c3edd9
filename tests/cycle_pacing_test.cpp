// With early_rounds, messages that can be sent at once do not wait for the configured tick.
#include "core/cycle_pacing.hpp"

#include <fstream>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

TEST(CyclePacing, IsTheTickUnlessEarly) {
  CyclePacing pacing(5'000, false);
  EXPECT_EQ(pacing.urgent(), 5'000);
  pacing.record_duration(10);
  EXPECT_EQ(pacing.urgent(), 5'000);
}

TEST(CyclePacing, GrowsWithTheDurationOfACycleUpToTheTick) {
  CyclePacing pacing(5'000, true);
  const auto idle = pacing.urgent();
  EXPECT_LT(idle, 1'000);
  for (int i = 0; i < 100; i++) pacing.record_duration(300);
  EXPECT_GT(pacing.urgent(), 1'500);
  EXPECT_LT(pacing.urgent(), 5'000);
  for (int i = 0; i < 100; i++) pacing.record_duration(20'000);
  EXPECT_EQ(pacing.urgent(), 5'000);
  EXPECT_EQ(pacing.usual(), 5'000);
  for (int i = 0; i < 100; i++) pacing.record_duration(5);
  EXPECT_EQ(pacing.urgent(), idle);
}

TEST(CyclePacing, NeverExceedsASmallTick) { EXPECT_LE(CyclePacing(100, true).urgent(), 100); }

#ifdef HERONVANE_SETTINGS_FILE
class EarlyRounds : public RelayTest {
 protected:
  EarlyRounds() { tick = 2'000'000; }
  // Sends `count` messages and returns the longest time from the client to the endpoint.
  std::chrono::steady_clock::duration longest_of(int count) {
    std::chrono::steady_clock::duration longest{};
    for (int i = 0; i < count; i++) {
      const auto before = endpoint.got.size();
      const auto begun = std::chrono::steady_clock::now();
      const auto client = connect();
      client->write(request("m" + std::to_string(i), "pay-and-order", "x", "24000m"));
      wait_for([&] { return endpoint.got.size() > before; }, "the call");
      longest = std::max(longest, std::chrono::steady_clock::now() - begun);
    }
    return longest;
  }
};

TEST_F(EarlyRounds, SendMessagesBeforeTheTick) {
  const std::string file = folder + "/settings.toml";
  std::ofstream(file) << "[relay]\nearly_rounds = true\n";
  ::setenv("HERONVANE_SETTINGS", file.c_str(), 1);
  start();
  ::unsetenv("HERONVANE_SETTINGS");
  // Even the slowest of four takes less than one tick.
  EXPECT_LT(longest_of(4), std::chrono::microseconds(tick));
}

TEST_F(EarlyRounds, AreOffWithoutASettingsFile) {
  start();
  EXPECT_GT(longest_of(2), std::chrono::microseconds(tick) / 2);
}
#endif

}  // namespace
}  // namespace heronvane::testing
