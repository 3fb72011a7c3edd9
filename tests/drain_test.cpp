// Drains and fences, over kills and restarts; waking from a stop.
#include "core/drain.hpp"

#include <fstream>

#include "admin_harness.hpp"

namespace heronvane::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

TEST(DrainState, IsReadAsItWasKept) {
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
  // Held until the test answers.
  void hold(const std::string& id) {
    EXPECT_EQ(hand_in(id, kUnsafe, "x", "24000m"), 202u);
    const auto before = calls++;
    wait_for([&] { return endpoint.got.size() == before + 1; }, "the call");
  }
  std::size_t calls = 0;
};

TEST_F(DrainTest, FinishesWhatIsHeldAndEnds) {
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

// Told to the one who asked, though there is nothing to wait for.
TEST_F(DrainTest, EndsAtOnceWhereNothingIsHeld) {
  start();
  const auto idle = admin();  // one that says nothing holds up no end
  EXPECT_EQ(drain(1).body(), "{\"draining\":true,\"held\":0}");
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_NE(drained(), "");
}

TEST_F(DrainTest, IsKeptOverAKillAndGoesOn) {
  endpoint.on_request(stay_silent);
  finals_status = 503;
  start();
  hold("m1");
  EXPECT_EQ(drain(7).result_int(), 200u);
  kill_relay();
  EXPECT_EQ(drained(), "");
  start_anew();  // the call was out: the message ends by a notice, which the platform does not take yet
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
  // Started once more it ends at once in the same way, and says whose run that was.
  arguments = {"--run", "00000000000000ff"};
  std::filesystem::remove(drained_path());
  start_anew();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(drained(), "{\"fence\":7,\"run\":\"00000000000000ff\"}\n");
}

// Whatever the settings say by then: what was asked for is not forgotten.
TEST_F(DrainTest, HoldsWithoutTheSettings) {
  start();
  EXPECT_EQ(drain(7).result_int(), 200u);
  EXPECT_EQ(wait_exit(), 0);
  std::filesystem::remove(drained_path());
  own_settings.clear();
  start_anew();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_NE(drained(), "");
}

TEST_F(DrainTest, IsTakenBackAtTheStart) {
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

TEST_F(DrainTest, FencesRefuseLowerOnes) {
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

TEST_F(DrainTest, IsTakenBackWhileItRuns) {
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

TEST_F(DrainTest, MayBeOff) {
  own_settings = "[admin]\nsocket = true\n";
  start();
  const auto off = drain(1);
  EXPECT_EQ(off.result_int(), 403u);
  EXPECT_EQ(code(off), "off");
  EXPECT_EQ(health(), 200u);
}

// SIGTERM in a drain ends as ever; what is held and the drain are there for the next life.
TEST_F(DrainTest, SigtermEndsItAndTheDrainStays) {
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

// A disk that takes nothing: the drain is refused and changes nothing, and is taken once it can be kept.
TEST_F(DrainTest, WhatCantBeKeptIsNotBegun) {
  start();
  EXPECT_EQ(hand_in("before", kUnsafe), 202u);
  wait_for([&] { return status()["held"]["total"].GetInt() == 0; }, "it is over");
  const rlimit none{1, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(child, RLIMIT_FSIZE, &none, nullptr), 0);
  // The first finds that out, the second comes while it is known.
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

// The file can't be written: the relay stays, drained, and ends once it can.
TEST_F(DrainTest, EndsOnlyOnceTheFileStands) {
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
TEST_F(SyncedDrainTest, IsSyncedBeforeItIsTold) {
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

// ---- Waking. ----
class WakeTest : public AdminTest {
 protected:
  // The list by GET alone, besides the watch.
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
  // A connection to that port that has not come up.
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

// A message waits out a told wait while the process stands still; meanwhile its endpoint drains, which only
// the list tells.
TEST_F(WakeTest, TheListComesBeforeTheNextCall) {
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

// The drain stands unread on the watch.
TEST_F(WakeTest, WhatTheWatchToldMeanwhileCounts) {
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

// A connection that comes up while the process stands still: its call has not begun, so it is not made.
TEST_F(WakeTest, ACallWhoseConnectionCameUpMeanwhileIsTakenBack) {
  // One that takes no connections: its backlog is full.
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

// Discovery does not answer: service goes on after a second.
TEST_F(WakeTest, WithoutAListItGoesOn) {
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

TEST_F(WakeTest, WithoutTheSettingsNothingIsAskedFor) {
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
