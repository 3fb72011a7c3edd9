// A restart and what it finds: messages that an earlier life took on and nobody tried yet.
#include <algorithm>

#include "core/learned_state_store.hpp"
#include "relay_harness.hpp"
#include "store/disk.hpp"
#include "store/store.hpp"

namespace heronvane::testing {
namespace {

const std::string kSafe = "load-status", kUnsafe = "pay-and-order";

class RestartTest : public RelayTest {
 protected:
  // A life that takes on `n` messages while their endpoint drains, and is killed.
  void leave_untried(int n, const std::string& cls, const std::string& deadline) {
    members =
        member("s-1", endpoint.address(), "draining") + "," +
        R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
    start();
    for (int i = 0; i < n; i++) ASSERT_EQ(hand_in("m" + std::to_string(i), cls, "hello", deadline), 202u);
    kill_relay();
    ASSERT_TRUE(endpoint.got.empty());
    members = member("s-1", endpoint.address());
  }
  // That life had learned this of s-1 just before its end.
  void had_learned(heronvane::dispatch::LearnedState memory) {
    memory.endpoint = "s-1", memory.destination = 7;
    const auto disk = store::open_folder(folder + "/state");
    store::Options options;
    options.limit_bytes = 3'000'000;
    store::Store store(*disk, options);
    ASSERT_TRUE(
        store.keep(learned_state_key("s-1"), encode(LearnedStateRecord{memory, store.clock().now()})));
    ASSERT_TRUE(store.commit());
  }
  std::set<std::string> called() const {
    std::set<std::string> ids;
    for (const auto& g : endpoint.got) ids.emplace(g.request["X-Request-Id"]);
    return ids;
  }
};

// The destination refused, or others told of it, so that a small share of first tries goes there at once:
// what is owed is tried all the same, each message before its time is up.
TEST_F(RestartTest, WhatIsUntriedIsTriedWhereLittleIsLetThrough) {
  constexpr std::size_t kMessages = 10;
  leave_untried(kMessages, kSafe, "6000m");
  heronvane::dispatch::LearnedState memory;
  memory.admission_probability = 0.02;
  had_learned(memory);
  start();
  wait_for([&] { return called().size() == kMessages || !finals.empty(); }, "each is called, or one ends");
  EXPECT_EQ(called().size(), kMessages);
  EXPECT_EQ(finals, "");
}

// An attempt whose connection never came up has tried nothing.
TEST_F(RestartTest, WhatReachedNoEndpointIsUntriedToo) {
  std::string nowhere;
  {
    const tcp::acceptor probe(io, {net::ip::make_address(own_address()), 0});
    nowhere = own_address() + ":" + std::to_string(probe.local_endpoint().port());
  }
  members = member("s-1", nowhere);
  start();
  for (const char* id : {"m0", "m1"}) EXPECT_EQ(hand_in(id, kSafe, "hello", "6000m"), 202u);
  wait_for([&] { return logged().find("closed s-1: no connection") != std::string::npos; },
           "calls that fail");
  kill_relay();
  members = member("s-1", endpoint.address());
  heronvane::dispatch::LearnedState memory;
  memory.admission_probability = 0.02;
  had_learned(memory);
  // Refused: one that is served would speak for the others.
  endpoint.on_request([](const Got& g) { g.session->answer(503); });
  start();
  wait_for([&] { return called().size() == 2 || !finals.empty(); }, "each is called, or one ends");
  EXPECT_EQ(called().size(), 2u);
  EXPECT_EQ(finals, "");
}

// All ends that fell due while no relay ran are told within 1.5 s of readiness, with no call.
TEST_F(RestartTest, WhatFellDueMeanwhileIsToldAtOnce) {
  constexpr std::ptrdiff_t kMessages = 30;
  const auto taken_on = std::chrono::steady_clock::now();
  leave_untried(kMessages, kSafe, "3000m");
  wait_for([&] { return std::chrono::steady_clock::now() - taken_on > std::chrono::milliseconds(3500); },
           "their time is over");
  ASSERT_EQ(finals, "");
  start();
  const auto ready = std::chrono::steady_clock::now();
  wait_for([&] { return std::count(finals.begin(), finals.end(), '\n') == kMessages; }, "all ends");
  EXPECT_LT(std::chrono::steady_clock::now() - ready, std::chrono::milliseconds(1500));
  EXPECT_TRUE(endpoint.got.empty());
}

// A list that is read in slices, thousands of entries long, is on its way or being read when the stop comes.
TEST_F(RestartTest, AStopBesideAListInSlicesLeavesNothingBehind) {
  leave_untried(3, kUnsafe, "24000m");
  members = member("s-1", endpoint.address(), "draining") + "," +
            R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
  const std::string few = members;
  for (int i = 0; i < 20'000; i++)
    members += "," + member("n-" + std::to_string(i), "127.0.0.1:9", "draining");
  const std::string many = std::exchange(members, few);
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  tell(list(many));
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_NE(logged().find("stopped: 3 messages left"), std::string::npos) << logged();
  members = member("s-1", endpoint.address());
  start();
  wait_for([&] { return called().size() == 3 || !finals.empty(); }, "their calls");
  EXPECT_EQ(endpoint.got.size(), 3u);
  EXPECT_EQ(finals, "");
}

// Discovery has taken the calls for its list and says nothing: a stop in between ends clean and in time, and
// what was taken on meanwhile is the next life's. The same right behind a SIGHUP that moves discovery.
class EarlyStopTest : public RestartTest, public ::testing::WithParamInterface<bool> {};
TEST_P(EarlyStopTest, AStopBeforeTheFirstListLeavesNothingBehind) {
  const bool moved = GetParam();
  Server other(io, stay_silent);
  bool asked = false;
  platform.on_request([&](const Got& g) {
    if (g.request.method() == http::verb::post) return on_platform(g);
    asked = true;
  });
  members = member("s-1", endpoint.address(), "draining") + "," +
            R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "hello", "24000m"), 202u);
  wait_for([&] { return asked; }, "the list is asked for");
  if (moved) reload(config(other.address()));
  if (moved) wait_for([&] { return !other.got.empty(); }, "it is asked for at the new address");
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_TRUE(endpoint.got.empty());
  members = member("s-1", endpoint.address());
  platform.on_request([this](const Got& g) { on_platform(g); });
  start();
  wait_for([&] { return !endpoint.got.empty() || !finals.empty(); }, "its call");
  EXPECT_EQ(called(), std::set<std::string>{"m1"});
  EXPECT_EQ(finals, "");
}
INSTANTIATE_TEST_SUITE_P(Moved, EarlyStopTest, ::testing::Bool());

}  // namespace
}  // namespace heronvane::testing
