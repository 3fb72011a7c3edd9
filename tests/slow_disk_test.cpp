// Durability::machine on a slow disk: what waits for a sync, and what happens meanwhile.
#include <algorithm>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

class SlowDiskTest : public RelayTest {
 protected:
  SlowDiskTest() {
    slow_disk = true;
    own_settings = "[store]\ndurability = \"machine\"\n";
  }
  void wait_until(Clock::time_point due) {
    wait_for([&] { return Clock::now() > due; }, "time has passed");
  }
  // m1 is accepted, and its first call is answered by 429 with a wait; the record of its second call is
  // written, and waits for a sync.
  void second_call_waits(const std::string& deadline, const char* cls = kUnsafe) {
    endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 400\r\n"); });
    start();
    EXPECT_EQ(hand_in("m1", cls, "x", deadline), 202u);
    wait_for([&] { return endpoint.got.size() == 1; }, "the first call");
    hold_syncs();
    endpoint.on_request(answer_ok);
    wait_until(Clock::now() + milliseconds(500));
  }
  // Whether a file of the folder contains `text`.
  bool written(const std::string& text) const {
    for (const auto& f : std::filesystem::directory_iterator(folder + "/state")) {
      if (f.is_directory()) continue;
      std::ifstream in(f.path(), std::ios::binary);
      const std::string bytes(std::istreambuf_iterator<char>(in), {});
      if (bytes.find(text) != std::string::npos) return true;
    }
    return false;
  }
  void limit_files(rlim_t bytes) {
    const rlimit limit{bytes, RLIM_INFINITY};
    ASSERT_EQ(::prlimit(child, RLIMIT_FSIZE, &limit, nullptr), 0);
  }
  // The number of calls of m1 once a later message has been called.
  long calls_of_m1() {
    wait_for([&] { return health() == 200; }, "it goes on");
    EXPECT_EQ(hand_in("m2", kSafe), 202u);
    const auto calls = [&](const char* id) {
      return std::count_if(endpoint.got.begin(), endpoint.got.end(),
                           [&](const Got& g) { return g.request["X-Request-Id"] == id; });
    };
    wait_for([&] { return calls("m2") > 0; }, "the next message's call");
    return calls("m1");
  }
};

TEST_F(SlowDiskTest, AWaitingCallIsNotSentToADrainingEndpoint) {
  second_call_waits("4000m");
  tell(list(member("s-1", endpoint.address(), "draining"), false));
  wait_for([&] { return endpoint.sessions[0]->ended; }, "the drain is told");
  release_syncs();
  wait_for([&] { return !finals.empty(); }, "the message ends");
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(endpoint.got.size(), 1u);
}

// A message is ended some ticks before its deadline. Its waiting call used to go out after that.
TEST_F(SlowDiskTest, AWaitingCallIsNotSentOnceItsMessageHasEnded) {
  tick = 300'000;
  const auto handed = Clock::now();
  second_call_waits("3000m");
  wait_until(handed + milliseconds(2700));
  release_syncs();
  wait_for([&] { return !finals.empty(); }, "the message ends");
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(calls_of_m1(), 1);
}

// 503 means that a message was not accepted. It used to be sent for a message whose record was already
// written, and which the next process would call.
TEST_F(SlowDiskTest, AWrittenMessageIsNotRefusedForALackingSync) {
  start();
  hold_syncs();
  const auto first = connect();
  first->write(request("first", kUnsafe));
  wait_for([&] { return written("first"); }, "its record is written");
  limit_files(1);
  EXPECT_EQ(hand_in("second", kUnsafe), 503u);
  EXPECT_TRUE(first->answers.empty());
  limit_files(RLIM_INFINITY);
  release_syncs();
  wait_for([&] { return !first->answers.empty(); }, "it is answered");
  EXPECT_EQ(first->answers[0].result_int(), 202u);
}

// After SIGTERM no call may begin so late that its answer could not be received.
TEST_F(SlowDiskTest, WaitingCallsAreNotSentLateAfterSigterm) {
  second_call_waits("24000m");
  send_signal(child, SIGTERM);
  wait_until(Clock::now() + milliseconds(1900));
  release_syncs();
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(endpoint.got.size(), 1u);
  start();
  wait_for([&] { return endpoint.got.size() == 2; }, "the next life makes the call");
  EXPECT_EQ(finals, "");
}

// A sync that does not return is a failure: health must report it, and clients must not wait forever.
TEST_F(SlowDiskTest, AHangingSyncIsReported) {
  start();
  hold_syncs();
  const auto first = connect();
  first->write(request("first", kUnsafe, "x", "24000m"));
  wait_for([&] { return written("first"); }, "its record is written");
  wait_for([&] { return health() == 503; }, "health reports it");
  wait_for([&] { return !first->answers.empty(); }, "the client gets an answer");
  EXPECT_EQ(first->answers[0].result_int(), 504u);
  EXPECT_EQ(hand_in("second", kSafe), 503u);
  release_syncs();
  wait_for([&] { return health() == 200; }, "it goes on");
  EXPECT_EQ(hand_in("third", kSafe), 202u);
  wait_for([&] { return !endpoint.got.empty(); }, "the call");
  EXPECT_EQ(endpoint.got[0].request["X-Request-Id"], "third") << "the first message was not accepted";
}

}  // namespace
}  // namespace heronvane::testing
