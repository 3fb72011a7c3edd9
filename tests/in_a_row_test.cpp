// What comes in quick succession, or with hardly any time: configurations, refusals of discovery, deadlines.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";

class InARowTest : public RelayTest {
 protected:
  // Lists of a discovery that tells s-1 to drain.
  void tell_draining(const Got& g) {
    if (g.request.method() == http::verb::post) return g.session->answer(204);
    moved_watches.push_back(g.session);
    const std::string line = list(member("s-1", endpoint.address(), "draining")) + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    g.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + line) + "\r\n");
  }
  std::vector<std::shared_ptr<Session>> moved_watches;
};

// Of many configurations the last one holds, however quickly they come.
TEST_F(InARowTest, TheLastOfManyConfigurationsHolds) {
  Server other(io, [this](const Got& g) { tell_draining(g); });
  start();
  wait_for([&] { return watches.size() == 1; }, "the first watch");
  for (int i = 0; i < 30; i++) reload(config(i % 2 == 0 ? other.address() : platform.address()));
  reload(config(other.address()));
  wait_for([&] { return !moved_watches.empty() && !moved_watches.back()->ended; },
           "the last discovery is watched");
  wait_for([&] { return health() == 503; }, "what it tells binds: the only endpoint drains");
  wait_for(
      [&] { return std::all_of(watches.begin(), watches.end(), [](const auto& w) { return w->ended; }); },
      "no other discovery is watched");
  reload(config(platform.address()));
  wait_for([&] { return !watches.back()->ended && health() == 200; },
           "the first one again, and what it tells");
}

// A discovery that turns watches away is asked until it takes one, and what it tells then binds.
TEST_F(InARowTest, ACrowdedDiscoveryIsAskedUntilItAnswers) {
  int refusals = 0;
  platform.on_request([&](const Got& g) {
    if (g.request.method() == http::verb::get && refusals < 4) {
      refusals++;
      return refusals % 2 == 0 ? g.session->close() : g.session->answer(503);
    }
    on_platform(g);
  });
  start();
  members = member("s-1", endpoint.address(), "draining");
  wait_for([&] { return !watches.empty(); }, "a watch is taken");
  EXPECT_EQ(refusals, 4);
  wait_for([&] { return health() == 503; }, "what it tells binds");
}

// However little time is left, each message gets its answer, and what is taken on its end.
TEST_F(InARowTest, MessagesWithHardlyAnyTimeGetTheirEnd) {
  start();
  std::vector<std::string> taken;
  int number = 0;
  for (const char* deadline : {"1u", "100u", "1m", "5m", "10m", "20m", "40m", "80m"})
    for (const char* cls : {kSafe, "pay-and-order"}) {
      const std::string id = "m" + std::to_string(number++);
      const unsigned status = hand_in(id, cls, "x", deadline);
      EXPECT_TRUE(status == 202 || status == 503 || status == 504) << id << " " << deadline << ": " << status;
      if (status == 202) taken.push_back(id);
    }
  for (const auto& id : taken) wait_for([&] { return calls_of(id) == 1 || ended(id); }, id.c_str());
  EXPECT_FALSE(taken.empty());
  for (int i = 0; i < number; i++) EXPECT_LE(calls_of("m" + std::to_string(i)), 1);
}

}  // namespace
}  // namespace heronvane::testing
