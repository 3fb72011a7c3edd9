// Cancelling one message of a bundle at different stages of its call: the others continue.
#include <map>

#include "calls.hpp"
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

constexpr Microseconds kTimeout = 3'000'000;

class CancelTest : public ::testing::Test {
 protected:
  static CallLimits limits() {
    CallLimits limits;
    limits.max_in_flight = 4;
    limits.connect_timeout = 1'000'000;
    limits.endpoint_idle_timeout = 5'000'000;
    limits.max_connections = 4;
    return limits;
  }
  static Outgoing message(MessageId id, Microseconds timeout = kTimeout) {
    Outgoing outgoing;
    outgoing.id = id;
    outgoing.timeout = timeout;
    outgoing.time_left = kTimeout;
    outgoing.wire_id = std::to_string(id);
    return outgoing;
  }
  void SetUp() override {
    const auto colon = endpoint.address().find(':');
    calls.set_address("s-1", {net::ip::make_address(endpoint.address().substr(0, colon)),
                              static_cast<std::uint16_t>(std::stoi(endpoint.address().substr(colon + 1)))});
  }
  template <class Condition>
  bool run_until(Condition holds, std::chrono::milliseconds patience = std::chrono::milliseconds(2500)) {
    const auto until = std::chrono::steady_clock::now() + patience;
    while (!holds() && std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return holds();
  }

  net::io_context io;
  Server endpoint{io, answer_ok};
  std::map<MessageId, Outcome> outcomes;
  Calls calls{io, limits(), [this](const auto& ended) { outcomes[ended.id] = ended.outcome; },
              [] { return true; }};
};

// Guards against a cancel that replaces the timer of a call that waits for an idle connection: the call would
// never begin.
TEST_F(CancelTest, CancellingOneMessageLetsTheOthersWaitForAnIdleConnection) {
  calls.send("s-1", {message(1)});
  ASSERT_TRUE(run_until([&] { return outcomes.count(1) == 1; }));
  calls.send("s-1", {message(2), message(3)});
  // The idle connection is in its reuse delay.
  io.restart();
  io.poll();
  ASSERT_EQ(endpoint.got.size(), 1u);
  calls.cancel(2, 0);
  EXPECT_EQ(outcomes[2], Outcome::connect_failed);
  ASSERT_TRUE(run_until([&] { return outcomes.count(3) == 1; }));
  EXPECT_EQ(outcomes[3], Outcome::served);
}

// Guards against a retry in parallel with the call that still carries the message.
TEST_F(CancelTest, ACancelledMessageOfAWrittenBundleEndsWithTheBundle) {
  endpoint.on_request(stay_silent);
  calls.send("s-1", {message(1), message(2, kTimeout / 6)});
  ASSERT_TRUE(run_until([&] { return endpoint.got.size() == 1; }));
  calls.cancel(1, 0);
  EXPECT_TRUE(outcomes.empty()) << "the other one still waits for the call";
  ASSERT_TRUE(run_until([&] { return outcomes.size() == 2; }));
  EXPECT_EQ(outcomes[1], Outcome::cancelled);
  EXPECT_EQ(outcomes[2], Outcome::timeout);
}

}  // namespace
}  // namespace heronvane::testing
