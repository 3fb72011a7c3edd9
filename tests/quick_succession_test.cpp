// Events in quick succession: new configurations, rejections by discovery, very short deadlines.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";

class QuickSuccessionTest : public RelayTest {
 protected:
  // A discovery in whose list s-1 drains.
  void tell_draining(const Got& received) {
    if (received.request.method() == http::verb::post) return received.session->answer(204);
    moved_watches.push_back(received.session);
    const std::string line = list(member("s-1", endpoint.address(), "draining")) + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    received.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + line) + "\r\n");
  }
  std::vector<std::shared_ptr<Session>> moved_watches;
};

// The last of many configurations applies, however quickly they follow each other.
TEST_F(QuickSuccessionTest, TheLastOfManyConfigurationsApplies) {
  Server other(io, [this](const Got& received) { tell_draining(received); });
  start();
  wait_for([&] { return watches.size() == 1; }, "the first watch");
  for (int i = 0; i < 30; i++) reload(config(i % 2 == 0 ? other.address() : platform.address()));
  reload(config(other.address()));
  wait_for([&] { return !moved_watches.empty() && !moved_watches.back()->ended; },
           "the last discovery is watched");
  wait_for([&] { return health() == 503; }, "its list applies: the only endpoint drains");
  wait_for(
      [&] { return std::all_of(watches.begin(), watches.end(), [](const auto& w) { return w->ended; }); },
      "no other discovery is watched");
  reload(config(platform.address()));
  wait_for([&] { return !watches.back()->ended && health() == 200; },
           "the first discovery and its list apply again");
}

// A discovery that rejects watches is retried until it accepts one, and its list then applies.
TEST_F(QuickSuccessionTest, AnOverloadedDiscoveryIsRetriedUntilItAnswers) {
  int refusals = 0;
  platform.on_request([&](const Got& received) {
    if (received.request.method() == http::verb::get && refusals < 4) {
      refusals++;
      return refusals % 2 == 0 ? received.session->close() : received.session->answer(503);
    }
    on_platform(received);
  });
  start();
  members = member("s-1", endpoint.address(), "draining");
  wait_for([&] { return !watches.empty(); }, "a watch is accepted");
  EXPECT_EQ(refusals, 4);
  wait_for([&] { return health() == 503; }, "its list applies");
}

// However short the deadline, each message is answered, and each accepted one is delivered or ends with a
// notice.
TEST_F(QuickSuccessionTest, MessagesWithVeryShortDeadlinesEnd) {
  start();
  std::vector<std::string> accepted;
  int number = 0;
  for (const char* deadline : {"1u", "100u", "1m", "5m", "10m", "20m", "40m", "80m"})
    for (const char* cls : {kSafe, "pay-and-order"}) {
      const std::string id = "m" + std::to_string(number++);
      const unsigned status = hand_in(id, cls, "x", deadline);
      EXPECT_TRUE(status == 202 || status == 503 || status == 504) << id << " " << deadline << ": " << status;
      if (status == 202) accepted.push_back(id);
    }
  for (const auto& id : accepted) wait_for([&] { return calls_of(id) == 1 || ended(id); }, id.c_str());
  EXPECT_FALSE(accepted.empty());
  for (int i = 0; i < number; i++) EXPECT_LE(calls_of("m" + std::to_string(i)), 1);
}

}  // namespace
}  // namespace heronvane::testing
