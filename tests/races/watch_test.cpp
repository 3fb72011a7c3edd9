// Watches of the list that fall silent, and data that arrives as one is given up.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::string kSafe = "load-status";

std::string with_pushed_lists(std::string settings) {
  const std::string subscribed = R"("Discovery":"subscribe")";
  return settings.replace(settings.find(subscribed), subscribed.size(), R"("Discovery":"automatic")");
}

class WatchTest : public RelayTest {
 protected:
  WatchTest() : other(io, answer_ok) {}
  std::string both(const std::string& first) {
    return member("s-1", endpoint.address(), first) + "," + member("s-2", other.address());
  }
  void stop_for(milliseconds time, const std::function<void()>& meanwhile) {
    send_signal(child, SIGSTOP);
    siginfo_t info{};
    ::waitid(P_PID, static_cast<id_t>(child), &info, WSTOPPED);
    meanwhile();
    const auto until = steady_clock::now() + time;
    wait_for([&] { return steady_clock::now() >= until; }, "the stop is over");
    send_signal(child, SIGCONT);
  }
  Server other;
  int counted = 0;
};

// The relay must act on a change that a silent watch missed within 6 s of the watch falling silent: by then
// the next watch must have delivered it, including the time to connect and discovery's own.
TEST_F(WatchTest, ASilentWatchIsReopenedInTime) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  beats = false;
  watches[0]->write("1\r\n\n\r\n");
  const auto silent = steady_clock::now();
  wait_for([&] { return watches.size() == 2; }, "a new watch");
  EXPECT_LT(steady_clock::now() - silent, milliseconds(4500));
  // The new watch is never answered: discovery may be failing, so it is retried with backoff.
  wait_for([&] { return watches.size() == 4; }, "further watches");
  EXPECT_EQ(health(), 200u) << "the last known list stays in use";
}

// Guards against a relay that is back at its watch long after a cut from discovery: it went on calling a
// draining endpoint. What the watch missed binds 6 s after it fell silent, and the drain's grace is 1 s.
TEST_F(WatchTest, AWatchIsReopenedSoonAfterACutFromDiscovery) {
  const milliseconds heartbeat_age(1300), cut_time(6000), drain_grace(1000);
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  beats = false;
  watches[0]->write("1\r\n\n\r\n");
  const auto cut_at = steady_clock::now() + heartbeat_age;
  wait_for([&] { return steady_clock::now() >= cut_at; }, "the heartbeat has aged");
  platform.cut();
  const auto restored = steady_clock::now() + cut_time;
  wait_for([&] { return steady_clock::now() >= restored; }, "the cut is over");
  platform.end_cut();
  wait_for([&] { return watches.size() == 2; }, "a new watch");
  EXPECT_LT(steady_clock::now() - restored, drain_grace);
}

// The same for notices, which are due within 300 ms and have 50 ms more on sockets.
TEST_F(WatchTest, NoticesAreSentSoonAfterACutFromThePlatform) {
  endpoint.on_request([](const Got& received) { received.session->close(); });
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  platform.cut();
  EXPECT_EQ(hand_in("m1", "pay-and-order"), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call, which has an unknown outcome");
  const auto restored = steady_clock::now() + milliseconds(300);
  wait_for([&] { return steady_clock::now() >= restored; }, "the cut is over");
  platform.end_cut();
  wait_for([&] { return ended("m1"); }, "the notice");
  EXPECT_LT(steady_clock::now() - restored, milliseconds(350));
}

// Guards against an entry that never ends although bytes keep arriving as heartbeats.
TEST_F(WatchTest, AWatchWithAnEndlessEntryIsReopened) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  beats = false;
  watches[0]->write("2\r\n{\n\r\n");
  const auto until = steady_clock::now() + milliseconds(12'000);
  auto next = steady_clock::now();
  wait_for(
      [&] {
        if (steady_clock::now() >= next) watches[0]->write("2\r\n \n\r\n"), next += milliseconds(200);
        return watches.size() == 2;
      },
      "a new watch");
  EXPECT_LT(steady_clock::now(), until);
}

// Discovery fails for a while, so that the module's pauses have grown; the next watch gets a part of an
// answer and falls silent.
constexpr std::size_t kWholeHeader = 1'000'000;
struct CutAnswer {
  std::size_t header_bytes;  // kWholeHeader: and the begin of a list
  bool pushed = false;       // the settings say that lists are pushed
};
class CutAnswerTest : public WatchTest, public ::testing::WithParamInterface<CutAnswer> {
 protected:
  std::string settings() override {
    const std::string text = WatchTest::settings();
    return GetParam().pushed ? with_pushed_lists(text) : text;
  }
  std::string part() {
    const std::string header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (GetParam().header_bytes != kWholeHeader) return header.substr(0, GetParam().header_bytes);
    return header + "ffff\r\n" + list(both("draining")).substr(0, 100);
  }
};

// Guards against a relay that waits for the rest of an answer, and then for the pauses that earlier failures
// left: it went on calling a draining endpoint. What a watch missed binds 6 s after it fell silent, and the
// drain's grace is 1 s.
TEST_P(CutAnswerTest, AWatchThatFallsSilentWithinAnAnswerIsReopenedInTime) {
  const milliseconds outage(6'000);
  members = both("ready");
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  beats = false;
  std::optional<steady_clock::time_point> silent_at;
  std::shared_ptr<Session> cut;
  auto available_at = steady_clock::now() + outage;
  platform.on_request([&](const Got& received) {
    if (received.request.method() == http::verb::post) return on_platform(received);
    if (steady_clock::now() < available_at)
      return received.session->write("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
    if (silent_at) return on_platform(received);
    silent_at = steady_clock::now();
    cut = received.session;
    cut->write(part());
  });
  watches[0]->close();
  wait_for([&] { return silent_at.has_value(); }, "a watch that falls silent");
  EXPECT_LT(*silent_at - available_at, milliseconds(2'600)) << "the longest pause";
  wait_for([&] { return watches.size() == 2; }, "a new watch");
  EXPECT_LT(steady_clock::now() - *silent_at, milliseconds(4'500));
  EXPECT_LT(steady_clock::now() - available_at, milliseconds(6'500));
}

INSTANTIATE_TEST_SUITE_P(Parts, CutAnswerTest,
                         ::testing::Values(CutAnswer{5}, CutAnswer{30}, CutAnswer{kWholeHeader},
                                           CutAnswer{kWholeHeader, true}));

class CutListTest : public WatchTest, public ::testing::WithParamInterface<std::size_t> {};

// Guards against the same where the complete list is requested on its own, after a change of address.
TEST_P(CutListTest, AListThatFallsSilentIsRequestedAgainInTime) {
  int fetched = 0;
  steady_clock::time_point silent_at;
  const auto text = [&](bool is_snapshot) {
    return R"({"index":3,"snapshot":)" + std::string(is_snapshot ? "true" : "false") + R"(,"endpoints":[)" +
           member("s-2", other.address()) + "]}\n";
  };
  Server moved(io, [&](const Got& received) {
    if (received.request.target() != "/catalog/members") {
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text(false).size());
      return received.session->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                     (size + text(false)) + "\r\n");
    }
    if (++fetched > 1) return received.session->answer(200, "", text(true));
    silent_at = steady_clock::now();
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + text(true);
    received.session->write(answer.substr(0, GetParam()));
  });
  members = member("s-1", endpoint.address());
  start();
  EXPECT_EQ(hand_in("m0", kSafe), 202u);
  wait_for([&] { return watches.size() == 1 && endpoint.got.size() == 1; }, "the first watch and call");
  reload(config(moved.address()));
  wait_for([&] { return fetched == 2 && endpoint.sessions[0]->ended; }, "the old endpoint is gone");
  EXPECT_LT(steady_clock::now() - silent_at, milliseconds(6'000));
}

// Within the header, and within the list.
INSTANTIATE_TEST_SUITE_P(Parts, CutListTest, ::testing::Values(std::size_t{20}, std::size_t{80}));

TEST_F(WatchTest, EntriesAreReadRegardlessOfLayout) {
  members = both("ready");
  start();
  std::string laid_out;
  for (const char c : list(both("draining"), false)) {
    laid_out += c;
    if (c == '{' || c == ',' || c == '[') laid_out += "\n   ";
  }
  tell(laid_out);
  wait_for(
      [&] {
        return hand_in("m" + std::to_string(counted++), kSafe) == 202u &&
               endpoint.got.size() < other.got.size();
      },
      "the drain is known");
  const auto before = endpoint.got.size();
  for (int i = 0; i < 5; i++) EXPECT_EQ(hand_in("n" + std::to_string(i), kSafe), 202u);
  wait_for([&] { return other.got.size() >= 5; }, "the calls");
  EXPECT_EQ(endpoint.got.size(), before);
  EXPECT_EQ(watches.size(), 1u) << "the watch was reopened:\n" << logged();
}

// The relay is suspended past the heartbeat timeout: the timer's handler and that of the received bytes are
// both due.
TEST_F(WatchTest, DataReceivedBeforeTheHeartbeatTimeoutIsApplied) {
  members = both("ready");
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  beats = false;
  stop_for(milliseconds(4000), [&] { tell(list(both("draining"), false)); });
  // A new watch would deliver `members`, where nothing drains, but not in time to matter.
  for (int i = 0; i < 6; i++) EXPECT_EQ(hand_in("m" + std::to_string(i), kSafe), 202u);
  wait_for([&] { return other.got.size() + endpoint.got.size() == 6; }, "the calls");
  EXPECT_EQ(endpoint.got.size(), 0u) << "s-1 drains, and that was written to the relay";
}

// The settings of a deployment whose lists are pushed.
class PushedListTest : public WatchTest {
 protected:
  std::string settings() override { return with_pushed_lists(WatchTest::settings()); }
};

// Guards against a relay that waits for pushed lists and never opens a watch: it called draining endpoints
// for ever, and never the new ones.
TEST_F(PushedListTest, ChangesReachTheRelayOnAWatch) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  tell(list(both("draining"), false));
  const auto is_listed = [&] { return hand_in("m" + std::to_string(counted++), kSafe) == 202u; };
  wait_for([&] { return is_listed() && !other.got.empty(); }, "the new endpoint is called");
  const auto before = endpoint.got.size();
  for (int i = 0; i < 5; i++) EXPECT_TRUE(is_listed());
  wait_for([&] { return other.got.size() >= 6; }, "their calls");
  EXPECT_EQ(endpoint.got.size(), before);
}

}  // namespace
}  // namespace heronvane::testing
