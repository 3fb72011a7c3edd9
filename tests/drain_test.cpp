// Drains and fences, over kills and restarts; suspensions of the process.
#include "core/drain.hpp"

#include <fstream>

#include "admin_harness.hpp"

namespace heronvane::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

TEST(DrainState, IsReadAsItWasStored) {
  std::map<std::string, std::string> facts;
  const auto keep = [&](const std::string& key, const std::string& value) {
    value.empty() ? void(facts.erase(key)) : void(facts[key] = value);
    return true;
  };
  for (const DrainState s :
       {DrainState{}, DrainState{7, 7}, DrainState{9, 7}, DrainState{9, std::nullopt}, DrainState{0, 0}}) {
    keep_drain(s, keep);
    EXPECT_EQ(read_drain(facts), s);
  }
  EXPECT_EQ(read_drain({{"drain", "what"}, {"fence", "3"}}), (DrainState{3, 3})) << "in doubt it drains";
  EXPECT_EQ(read_drain({{"drain", "5"}}), (DrainState{5, 5}));
}

class DrainTest : public AdminTest {
 protected:
  // Sends a message whose call the test answers later, and waits for the call.
  void hold(const std::string& id) {
    EXPECT_EQ(hand_in(id, kUnsafe, "x", "24000m"), 202u);
    const auto before = calls++;
    wait_for([&] { return endpoint.got.size() == before + 1; }, "the call");
  }
  std::size_t calls = 0;
};

TEST_F(DrainTest, FinishesHeldMessagesAndEnds) {
  endpoint.on_request([](const Got& g) {
    if (g.request["X-Request-Id"] == "done") g.session->answer(200);
  });
  start();
  hold("done"), hold("m1");
  const auto drained_now = drain(7);
  EXPECT_EQ(drained_now.result_int(), 200u);
  EXPECT_EQ(drained_now.body(), "{\"draining\":true,\"held\":1}");
  EXPECT_EQ(health(), 503u);
  EXPECT_EQ(hand_in("m2", kUnsafe), 503u);
  EXPECT_EQ(clients.back()->answers[0].count("Retry-After"), 1u);
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u) << "it is held";
  EXPECT_EQ(hand_in("done", kUnsafe), 202u) << "it is over";
  const auto s = status();
  EXPECT_TRUE(s["draining"].GetBool());
  EXPECT_FALSE(s["ready"].GetBool());
  EXPECT_EQ(s["fence"].GetInt(), 7);
  EXPECT_EQ(drained(), "");
  const auto run = std::string(s["run"].GetString());
  endpoint.got[1].session->answer(200);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(drained(), "{\"fence\":7,\"run\":\"" + run + "\"}\n");
  EXPECT_EQ(endpoint.got.size(), 2u);
  EXPECT_EQ(finals, "");
  EXPECT_FALSE(std::filesystem::exists(drained_path() + ".tmp"));
}

// The operator gets the answer although the relay ends at once.
TEST_F(DrainTest, EndsAtOnceIfNothingIsHeld) {
  start();
  const auto idle = admin();  // an idle admin connection does not delay the end
  EXPECT_EQ(drain(1).body(), "{\"draining\":true,\"held\":0}");
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_NE(drained(), "");
}

TEST_F(DrainTest, ContinuesAfterAKill) {
  endpoint.on_request(stay_silent);
  finals_status = 503;
  start();
  hold("m1");
  EXPECT_EQ(drain(7).result_int(), 200u);
  kill_relay();
  EXPECT_EQ(drained(), "");
  start_anew();  // the call was in flight: the message ends by a notice, which the platform rejects for now
  wait_for([&] { return refused_finals > 0; }, "the notice is owed");
  EXPECT_EQ(health(), 503u);
  EXPECT_EQ(hand_in("m2", kUnsafe), 503u);
  auto s = status();
  EXPECT_TRUE(s["draining"].GetBool());
  EXPECT_EQ(s["fence"].GetInt(), 7);
  EXPECT_EQ(s["held"]["given_up"].GetInt(), 1);
  EXPECT_EQ(drained(), "") << "a notice is owed";
  finals_status = 204;
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(drained().substr(0, 11), "{\"fence\":7,");
  // Started again, it ends at once, and the file names the new run.
  arguments = {"--run", "00000000000000ff"};
  std::filesystem::remove(drained_path());
  start_anew();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(drained(), "{\"fence\":7,\"run\":\"00000000000000ff\"}\n");
}

// A drain continues after a restart even if the settings no longer allow drains.
TEST_F(DrainTest, ContinuesWithoutTheSettings) {
  start();
  EXPECT_EQ(drain(7).result_int(), 200u);
  EXPECT_EQ(wait_exit(), 0);
  std::filesystem::remove(drained_path());
  own_settings.clear();
  start_anew();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_NE(drained(), "");
}

TEST_F(DrainTest, IsEndedAtTheStart) {
  start();
  EXPECT_EQ(drain(7).result_int(), 200u);
  EXPECT_EQ(wait_exit(), 0);
  arguments = {"--undrain", "6"};
  std::filesystem::remove(folder + "/log");
  spawn(config());
  EXPECT_EQ(wait_exit(), 1);
  EXPECT_NE(logged().find("--undrain: fence 6 is lower than 7"), std::string::npos) << logged();
  EXPECT_NE(drained(), "");
  arguments = {"--undrain", "7"};
  start();
  EXPECT_FALSE(std::filesystem::exists(drained_path()));
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  kill_relay();
  arguments.clear();
  start();
  EXPECT_FALSE(status()["draining"].GetBool());
  EXPECT_EQ(status()["fence"].GetInt(), 7);
  EXPECT_EQ(drain(6).result_int(), 409u);
}

TEST_F(DrainTest, LowerFencesAreRefused) {
  endpoint.on_request(stay_silent);
  start();
  hold("m1");
  const auto fence = [&](int n) {
    return ask_admin("POST", "/v1/fence", "{\"fence\":" + std::to_string(n) + "}");
  };
  EXPECT_EQ(fence(5).result_int(), 200u);
  EXPECT_EQ(status()["fence"].GetInt(), 5);
  EXPECT_FALSE(status()["draining"].GetBool());
  const auto fenced = drain(4);
  EXPECT_EQ(fenced.result_int(), 409u);
  EXPECT_EQ(code(fenced), "fenced");
  EXPECT_EQ(json(fenced)["error"]["fence"].GetInt(), 5);
  EXPECT_EQ(health(), 200u);
  EXPECT_EQ(drain(5).result_int(), 200u);
  EXPECT_EQ(fence(8).result_int(), 200u);
  EXPECT_TRUE(status()["draining"].GetBool()) << "it raises the fence and nothing else";
  EXPECT_EQ(undrain(7).result_int(), 409u);
  EXPECT_EQ(fence(7).result_int(), 409u);
  EXPECT_TRUE(status()["draining"].GetBool());
  kill_relay();
  start_anew();
  EXPECT_EQ(status()["fence"].GetInt(), 8);
  EXPECT_TRUE(status()["draining"].GetBool());
}

TEST_F(DrainTest, IsCancelledWhileItRuns) {
  endpoint.on_request(stay_silent);
  start();
  hold("m1");
  EXPECT_EQ(drain(3).result_int(), 200u);
  EXPECT_EQ(hand_in("m2", kUnsafe), 503u);
  EXPECT_EQ(undrain(4).body(), "{\"draining\":false}");
  EXPECT_EQ(health(), 200u);
  hold("m3");
  kill_relay();
  start();
  EXPECT_FALSE(status()["draining"].GetBool());
  EXPECT_FALSE(std::filesystem::exists(drained_path()));
}

TEST_F(DrainTest, IsRefusedWhereItIsOff) {
  own_settings = "[admin]\nsocket = true\n";
  start();
  const auto off = drain(1);
  EXPECT_EQ(off.result_int(), 403u);
  EXPECT_EQ(code(off), "off");
  EXPECT_EQ(health(), 200u);
}

// SIGTERM during a drain ends the relay as usual; the held messages and the drain are left to the next start.
TEST_F(DrainTest, SigtermEndsTheRelayAndTheDrainContinues) {
  members = member("s-1", endpoint.address(), "draining") + "," +
            R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
  start();  // nothing may be sent to destination 7
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  EXPECT_EQ(drain(1).body(), "{\"draining\":true,\"held\":1}");
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(drained(), "");
  members = member("s-1", endpoint.address());
  start_anew();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 1u);
  EXPECT_NE(drained(), "");
}

// With a disk that fails all writes the drain is refused and changes nothing; it is accepted once writes
// succeed.
TEST_F(DrainTest, ADrainThatCantBeStoredIsRefused) {
  start();
  EXPECT_EQ(hand_in("before", kUnsafe), 202u);
  wait_for([&] { return status()["held"]["total"].GetInt() == 0; }, "it is over");
  const rlimit none{1, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(child, RLIMIT_FSIZE, &none, nullptr), 0);
  // The first request detects the failure, the second arrives while it is known.
  for (int i = 0; i < 2; i++) {
    const auto refused = drain(1);
    EXPECT_EQ(refused.result_int(), 507u);
    EXPECT_EQ(code(refused), "storage");
  }
  const auto s = status();
  EXPECT_FALSE(s["draining"].GetBool());
  EXPECT_EQ(s["fence"].GetInt(), 0);
  EXPECT_NE(std::string(s["trouble"].GetString()), "");
  const rlimit any{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(child, RLIMIT_FSIZE, &any, nullptr), 0);
  wait_for([&] { return health() == 200; }, "it can be written again");
  EXPECT_EQ(hand_in("after", kUnsafe), 202u);
  EXPECT_EQ(drain(1).result_int(), 200u);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_NE(drained(), "");
}

// While the file `drained` can't be written, the relay keeps running; it ends once the file is written.
TEST_F(DrainTest, EndsOnlyOnceTheFileIsWritten) {
  start();
  std::filesystem::create_directories(drained_path() + "/in/the/way");
  EXPECT_EQ(drain(1).result_int(), 200u);
  wait_for([&] { return logged().find("the file can't be written") != std::string::npos; },
           "the line in the log");
  EXPECT_TRUE(status()["draining"].GetBool());
  EXPECT_FALSE(std::filesystem::exists(drained_path() + ".tmp"));
  std::filesystem::remove_all(drained_path());
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_NE(drained(), "");
}

class SyncedDrainTest : public DrainTest {
 protected:
  void SetUp() override {
    DrainTest::SetUp();
    own_settings += "[store]\ndurability = \"machine\"\n";
  }
};
TEST_F(SyncedDrainTest, IsSyncedBeforeItIsAnswered) {
  endpoint.on_request(stay_silent);
  start();
  hold("m1");
  EXPECT_EQ(drain(7).result_int(), 200u);
  kill_relay();
  start_anew();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(drained().substr(0, 11), "{\"fence\":7,");
}

// ---- Suspension. ----
class WakeTest : public AdminTest {
 protected:
  // Answers GET requests for the list itself; the watch is served as usual.
  void serve_lists() {
    platform.on_request([this](const Got& g) {
      if (g.request.target() != "/catalog/members") return on_platform(g);
      fetched++;
      if (answers_lists) g.session->answer(200, "", list(members));
    });
  }
  std::string both(const std::string& status) {
    return member("s-1", endpoint.address(), status) + "," + member("s-2", other.address());
  }
  // Whether the relay has a connection to that port that is not established yet.
  bool connecting(std::uint16_t to) const {
    std::ifstream in("/proc/" + std::to_string(child) + "/net/tcp");
    char remote[16];
    std::snprintf(remote, sizeof remote, ":%04X 02 ", to);
    for (std::string line; std::getline(in, line);)
      if (line.find(remote) != std::string::npos) return true;
    return false;
  }
  Server other{io, answer_ok};
  int fetched = 0;
  bool answers_lists = true;
};

// A Retry-After wait ends while the process is stopped. Meanwhile the endpoint drains, which only the polled
// list shows: the next call must wait for that list.
TEST_F(WakeTest, TheListIsPolledBeforeTheNextCall) {
  endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 1200\r\n"); });
  serve_lists();
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  wait_for([&] { return endpoint.got.size() == 1 && !watches.empty(); }, "the wait is told");
  wait_for([&] { return status()["targets"][0]["wait_ms"].GetInt() > 0; }, "the wait is known");
  stop_for(milliseconds(3000), [&] { members = both("draining"); });
  wait_for([&] { return !other.got.empty(); }, "the call goes elsewhere");
  EXPECT_EQ(endpoint.got.size(), 1u);
  EXPECT_EQ(fetched, 1);
  EXPECT_NE(logged().find("woken after a stop"), std::string::npos);
}

// The update with the drain arrived on the watch while the process was stopped.
TEST_F(WakeTest, UpdatesOnTheWatchAreAppliedFirst) {
  endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 1200\r\n"); });
  serve_lists();
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  wait_for([&] { return endpoint.got.size() == 1 && !watches.empty(); }, "the wait is told");
  wait_for([&] { return status()["targets"][0]["wait_ms"].GetInt() > 0; }, "the wait is known");
  answers_lists = false;
  stop_for(milliseconds(3000), [&] { tell(list(both("draining"), false)); });
  wait_for([&] { return !other.got.empty(); }, "the call goes elsewhere");
  EXPECT_EQ(endpoint.got.size(), 1u);
  EXPECT_EQ(fetched, 1) << "and was not answered";
}

// A connection is established while the process is stopped: its call has not begun and is withdrawn.
TEST_F(WakeTest, ACallWhoseConnectionCameUpMeanwhileIsWithdrawn) {
  // A listener whose backlog is full, so that connections to it stay pending.
  tcp::acceptor full(io);
  full.open(tcp::v4());
  full.bind({net::ip::make_address(own_address()), 0});
  full.listen(0);
  const auto there = full.local_endpoint();
  std::vector<tcp::socket> crowd;
  for (int i = 0; i < 3; i++) {
    crowd.emplace_back(io);
    crowd.back().async_connect(there, [](error_code) {});
  }
  serve_lists();
  const auto address = own_address() + ":" + std::to_string(there.port());
  members = member("s-1", address);
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "24000m"), 202u);
  wait_for([&] { return connecting(there.port()); }, "its connection is coming up");
  std::vector<tcp::socket> taken;
  full.non_blocking(true);
  const auto take = [&] {
    error_code none;
    tcp::socket s(io);
    full.accept(s, none);
    if (!none) taken.push_back(std::move(s));
  };
  send_signal(child, SIGSTOP);
  const auto until = steady_clock::now() + milliseconds(3000);
  wait_for([&] { return take(), steady_clock::now() >= until && !connecting(there.port()); },
           "it has come up");
  members = member("s-1", address, "draining") + "," + member("s-2", other.address());
  tell(list(members, false));
  send_signal(child, SIGCONT);
  wait_for([&] { return !other.got.empty(); }, "the call goes elsewhere");
  take();
  std::size_t bytes = 0;
  for (auto& s : taken) {
    error_code bad;
    bytes += s.available(bad);
  }
  EXPECT_EQ(bytes, 0u) << "nothing was sent to the endpoint that drains";
}

// If discovery does not answer, the relay continues after a second.
TEST_F(WakeTest, ContinuesWithoutAListAfterATimeout) {
  serve_lists();
  start();
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1 && !watches.empty(); }, "service");
  answers_lists = false;
  stop_for(milliseconds(2300), [] {});
  EXPECT_EQ(hand_in("m2", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 2; }, "the call");
  EXPECT_EQ(fetched, 1);
}

TEST_F(WakeTest, WithoutASettingsFileNoListIsPolled) {
  own_settings.clear();
  serve_lists();
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  stop_for(milliseconds(2300), [] {});
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  EXPECT_EQ(fetched, 0);
  EXPECT_EQ(logged().find("woken"), std::string::npos);
}

}  // namespace
}  // namespace heronvane::testing
