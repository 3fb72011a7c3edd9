// Restarts with messages that an earlier incarnation accepted but did not try yet.
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
  // Runs an incarnation that accepts `n` messages while their endpoint drains, and kills it.
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
  // Stores `memory` as what that incarnation learned about s-1 just before its end.
  void store_learned_state(heronvane::dispatch::LearnedState memory) {
    memory.endpoint = "s-1", memory.destination = 7;
    const auto disk = store::open_folder(folder + "/state");
    store::Options options;
    options.limit_bytes = 3'000'000;
    store::Store store(*disk, options);
    ASSERT_TRUE(
        store.set_fact(learned_state_key("s-1"), encode(LearnedStateRecord{memory, store.clock().now()})));
    ASSERT_TRUE(store.commit());
  }
  std::set<std::string> called() const {
    std::set<std::string> ids;
    for (const auto& received : endpoint.got) ids.emplace(received.request["X-Request-Id"]);
    return ids;
  }
};

// The destination rejected calls, or peers reported so, and only a small share of first attempts is admitted
// at once: pending messages are tried all the same, each before its deadline.
TEST_F(RestartTest, UntriedMessagesAreTriedDespiteALowAdmissionProbability) {
  constexpr std::size_t kMessages = 10;
  leave_untried(kMessages, kSafe, "6000m");
  heronvane::dispatch::LearnedState memory;
  memory.admission_probability = 0.02;
  store_learned_state(memory);
  start();
  wait_for([&] { return called().size() == kMessages || !finals.empty(); }, "each is called, or one ends");
  EXPECT_EQ(called().size(), kMessages);
  EXPECT_EQ(finals, "");
}

// An attempt whose connect failed does not count as a try.
TEST_F(RestartTest, MessagesWhoseConnectsFailedCountAsUntried) {
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
  store_learned_state(memory);
  // Rejected: a call that is served would raise the admission probability for the others.
  endpoint.on_request([](const Got& received) { received.session->answer(503); });
  start();
  wait_for([&] { return called().size() == 2 || !finals.empty(); }, "each is called, or one ends");
  EXPECT_EQ(called().size(), 2u);
  EXPECT_EQ(finals, "");
}

// Messages whose deadline passed while no relay ran end with notices within 1.5 s of readiness, without a
// call.
TEST_F(RestartTest, MessagesDueDuringDowntimeEndAtOnce) {
  constexpr std::ptrdiff_t kMessages = 30;
  const auto accepted_at = std::chrono::steady_clock::now();
  leave_untried(kMessages, kSafe, "3000m");
  wait_for([&] { return std::chrono::steady_clock::now() - accepted_at > std::chrono::milliseconds(3500); },
           "their deadline has passed");
  ASSERT_EQ(finals, "");
  start();
  const auto ready = std::chrono::steady_clock::now();
  wait_for([&] { return std::count(finals.begin(), finals.end(), '\n') == kMessages; }, "all ends");
  EXPECT_LT(std::chrono::steady_clock::now() - ready, std::chrono::milliseconds(1500));
  EXPECT_TRUE(endpoint.got.empty());
}

// Shutdown begins while a list of thousands of entries is being received or parsed in slices.
TEST_F(RestartTest, ShutdownWhileALongListIsReadLosesNothing) {
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

// Discovery has accepted the request for its list and does not answer: a shutdown then ends cleanly and in
// time, and messages accepted meanwhile are delivered by the next incarnation. The parameter: the same right
// after a SIGHUP that changes discovery's address.
class EarlyStopTest : public RestartTest, public ::testing::WithParamInterface<bool> {};
TEST_P(EarlyStopTest, ShutdownBeforeTheFirstListLosesNothing) {
  const bool moved = GetParam();
  Server other(io, stay_silent);
  bool asked = false;
  platform.on_request([&](const Got& received) {
    if (received.request.method() == http::verb::post) return on_platform(received);
    asked = true;
  });
  members = member("s-1", endpoint.address(), "draining") + "," +
            R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "hello", "24000m"), 202u);
  wait_for([&] { return asked; }, "the list is requested");
  if (moved) reload(config(other.address()));
  if (moved) wait_for([&] { return !other.got.empty(); }, "the list is requested at the new address");
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_TRUE(endpoint.got.empty());
  members = member("s-1", endpoint.address());
  platform.on_request([this](const Got& received) { on_platform(received); });
  start();
  wait_for([&] { return !endpoint.got.empty() || !finals.empty(); }, "its call");
  EXPECT_EQ(called(), std::set<std::string>{"m1"});
  EXPECT_EQ(finals, "");
}
INSTANTIATE_TEST_SUITE_P(Moved, EarlyStopTest, ::testing::Bool());

}  // namespace
}  // namespace heronvane::testing
