// Starts of the real program under states that pass: a predecessor that has not ended, addresses in use,
// system calls that fail for a while.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kUnsafe = "pay-and-order";

class StartTest : public RelayTest {
 protected:
  ~StartTest() override {
    if (predecessor > 0) ::kill(predecessor, SIGKILL), ::waitpid(predecessor, nullptr, 0);
  }
  // Starts the program once more on the folder and the address of the one that runs.
  void start_beside() {
    predecessor = child;
    spawn(config());
  }
  static bool ended(pid_t process, int& status) { return ::waitpid(process, &status, WNOHANG) == process; }
  void expect_running(const char* when) {
    int status = 0;
    if (!ended(child, status)) return;
    child = -1;
    FAIL() << "ended with status " << WEXITSTATUS(status) << " " << when << "; its log:\n" << logged();
  }
  void wait_logged(const std::string& line) {
    wait_for(
        [&] {
          expect_running("before it was expected");
          return HasFailure() || logged().find(line) != std::string::npos;
        },
        line.c_str());
  }
  std::ptrdiff_t calls_of(const std::string& id) const {
    return std::count_if(endpoint.got.begin(), endpoint.got.end(),
                         [&](const Got& g) { return g.request["X-Request-Id"] == id; });
  }

  pid_t predecessor = -1;
};

// Incident 1 (docs/incidents): a supervisor starts the next process, then ends the one before. The next one
// used to end with status 1, and nobody served until it was started a third time.
TEST_F(StartTest, AStartBesideItsPredecessorTakesOver) {
  endpoint.on_request(stay_silent);
  start();
  ASSERT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  start_beside();
  wait_logged("waiting: state folder");
  EXPECT_EQ(health(), 200u) << "the predecessor serves on";
  endpoint.on_request(answer_ok);
  ASSERT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return calls_of("m2") == 1; }, "the call of m2");
  ::kill(predecessor, SIGTERM);
  int status = -1;
  wait_for([&] { return ended(predecessor, status); }, "the predecessor ends");
  predecessor = -1;
  EXPECT_EQ(status, 0);
  wait_for(
      [&] {
        expect_running("though its predecessor is gone");
        return HasFailure() || health() == 200;
      },
      "the successor is ready");
  EXPECT_EQ(hand_in("m3", kUnsafe), 202u);
  wait_for([&] { return calls_of("m3") == 1; }, "the call of m3");
  EXPECT_EQ(calls_of("m1"), 1);
  EXPECT_EQ(calls_of("m2"), 1);
}

// A start that finds no descriptor or buffer for a socket used to end with status 1.
TEST_F(StartTest, AStartWithoutASocketWaitsForOne) {
  for (const std::string error : {"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"}) {
    SCOPED_TRACE(error);
    std::ofstream(folder + "/short") << "x";
    faults = "[[error]]\ncall = \"socket\"\nerrno = \"" + error + "\"\nwhile = \"" + folder + "/short\"\n";
    members = member("s-1", endpoint.address());
    spawn(config());
    wait_logged("waiting: listen");
    if (HasFailure()) return;
    std::filesystem::remove(folder + "/short");
    wait_for([&] { return health() == 200; }, "the relay is ready");
    kill_relay();
    std::filesystem::remove(folder + "/log");
  }
}

}  // namespace
}  // namespace heronvane::testing
