// Starts of the real program under transient failures: a predecessor that still runs, addresses in use,
// system calls that fail for a while.
#include <fcntl.h>
#include <sys/file.h>

#include <utility>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

class StartTest : public RelayTest {
 protected:
  ~StartTest() override {
    if (predecessor > 0) send_signal(predecessor, SIGKILL), ::waitpid(predecessor, nullptr, 0);
  }
  // Starts a second process with the folder and the address of the running one.
  void start_beside() {
    predecessor = child;
    spawn(config());
  }
  static bool has_ended(pid_t process, int& status) {
    return ::waitpid(process, &status, WNOHANG) == process;
  }
  void expect_running(const char* when) {
    int status = 0;
    if (!has_ended(child, status)) return;
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
  net::ip::udp::socket udp_socket() { return {io, {net::ip::make_address(own_address()), 0}}; }

  pid_t predecessor = -1;
};

// Incident 1 (docs/incidents): a supervisor starts the next process before it ends the previous one. The next
// one used to end with status 1, and no relay served until a third start.
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
  send_signal(predecessor, SIGTERM);
  int status = -1;
  wait_for([&] { return has_ended(predecessor, status); }, "the predecessor ends");
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

// A start that gets no descriptor or buffer for a socket used to end with status 1.
TEST_F(StartTest, AStartWithoutASocketWaitsForOne) {
  for (const std::string error : {"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"}) {
    SCOPED_TRACE(error);
    set_faults(true);
    faults = switched("socket", error);
    members = member("s-1", endpoint.address());
    spawn(config());
    wait_logged("waiting: listen");
    if (HasFailure()) return;
    set_faults(false);
    wait_for([&] { return health() == 200; }, "the relay is ready");
    kill_relay();
    std::filesystem::remove(folder + "/log");
  }
}

// SIGTERM ends a waiting start with status 0.
TEST_F(StartTest, AWaitingStartEndsAtSigterm) {
  start();
  start_beside();
  wait_logged("waiting: state folder");
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  child = std::exchange(predecessor, -1);
  EXPECT_EQ(health(), 200u);
}

// SIGHUP does not end a waiting start; the next attempt uses the reloaded configuration.
TEST_F(StartTest, AWaitingStartReadsItsConfigurationAgain) {
  start();
  start_beside();
  wait_logged("waiting: state folder");
  tcp::acceptor probe(io, {net::ip::make_address(own_address()), 0});
  const auto first_port = std::exchange(port, probe.local_endpoint().port());
  probe.close();
  reload(config());
  wait_logged("SIGHUP: reading the configuration again");
  const auto new_port = std::exchange(port, first_port);
  EXPECT_EQ(health(), 200u) << "the predecessor has its own";
  send_signal(predecessor, SIGKILL);
  ::waitpid(predecessor, nullptr, 0);
  predecessor = -1;
  port = new_port;
  wait_for([&] { return health() == 200; }, "the successor is ready at its new address");
}

// Of several waiting starts one gets the folder, and the others go on waiting.
TEST_F(StartTest, OneOfSeveralWaitingStartsTakesOver) {
  start();
  start_beside();
  wait_logged("waiting: state folder");
  const pid_t second = std::exchange(child, -1);
  spawn(config());
  const pid_t third = child;
  wait_for([&] { return std::filesystem::exists("/proc/" + std::to_string(third)); }, "the third runs");
  send_signal(predecessor, SIGKILL);
  ::waitpid(predecessor, nullptr, 0);
  predecessor = second;
  wait_for([&] { return health() == 200; }, "one of them is ready");
  int status = 0;
  EXPECT_FALSE(has_ended(second, status)) << "with status " << WEXITSTATUS(status);
  EXPECT_FALSE(has_ended(third, status)) << "with status " << WEXITSTATUS(status);
}

// While the address is in use, the folder is unlocked between two attempts, and nothing in it changes.
TEST_F(StartTest, AStartThatWaitsForItsAddressLeavesTheFolderFree) {
  members = member("s-1", endpoint.address());
  {
    tcp::acceptor other(io, {net::ip::make_address(own_address()), port});
    ASSERT_EQ(::fcntl(other.native_handle(), F_SETFD, FD_CLOEXEC), 0);  // the program must not inherit it
    spawn(config());
    wait_logged("waiting: listen");
    const int state = ::open((folder + "/state").c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    ASSERT_GE(state, 0);
    wait_for([&] { return ::flock(state, LOCK_EX | LOCK_NB) == 0; }, "the folder's lock is free");
    ::close(state);
    EXPECT_TRUE(std::filesystem::is_empty(folder + "/state"));
  }
  wait_for([&] { return health() == 200; }, "the relay is ready");
}

// ---- System calls that fail for a while. ----
// Among them: the event loop gets no descriptors, the configuration can't be opened, the folder can't be
// locked.
TEST_F(StartTest, AStartWaitsOutSystemCallsThatFail) {
  struct Fault {
    const char *call, *error, *path;
  };
  for (const Fault fault :
       {Fault{"epoll_create", "EMFILE", ""},
#ifndef __SANITIZE_ADDRESS__  // the sanitizers' runtime makes pipes itself, and takes a failure for bad
                              // memory
        Fault{"pipe", "ENFILE", ""},
#endif
        Fault{"open", "EMFILE", "config.json"}, Fault{"open", "EINTR", "config.json"},
        Fault{"open", "ENFILE", "state"}, Fault{"flock", "ENOLCK", ""}, Fault{"bind", "EADDRINUSE", ""},
        Fault{"listen", "EADDRINUSE", ""}, Fault{"epoll_ctl", "ENOMEM", ""}, Fault{"eventfd", "EMFILE", ""},
        Fault{"timerfd_create", "EMFILE", ""}}) {
    SCOPED_TRACE(std::string(fault.call) + " " + fault.error);
    faults = "report = \"" + folder + "/given\"\n" +
             failing(fault.call, fault.error, std::string("path = \"") + fault.path + "\"\ntimes = 2\n");
    start();
    if (HasFailure()) return;
    EXPECT_TRUE(std::filesystem::exists(folder + "/given")) << "the fault did not reach the program";
    kill_relay();
    std::filesystem::remove(folder + "/given");
  }
}

// The disk can't be read for a while: the messages in the folder are recovered once it can.
TEST_F(StartTest, ARecoveryWaitsForAReadableDisk) {
  endpoint.on_request(stay_silent);
  members = member("s-1", endpoint.address());
  start();
  ASSERT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return calls_of("m1") == 1; }, "the first call");
  kill_relay();
  endpoint.on_request(answer_ok);
  set_faults(true);
  faults = switched("pread", "EIO");
  spawn(config());
  wait_logged("step recovery");
  set_faults(false);
  wait_for([&] { return calls_of("m1") == 2; }, "the call after the restart");
}

// Gossip of other relays arrives as soon as an attempt has bound its socket. If the recovery of that attempt
// fails, no handler may be left that would pass the gossip to a destroyed relay.
TEST_F(StartTest, GossipDuringAFailedRecoveryIsHarmless) {
  start();
  ASSERT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return calls_of("m1") == 1; }, "the call");
  kill_relay();
  auto sender = udp_socket(), probe = udp_socket();
  const net::ip::udp::endpoint to = probe.local_endpoint();
  probe.close();
  const auto quoted = [](const net::ip::udp::endpoint& e) {
    return "\"" + e.address().to_string() + ":" + std::to_string(e.port()) + "\"";
  };
  more = ",\"peer_listen\":" + quoted(to) + ",\"peers\":[" + quoted(to) + "," +
         quoted(sender.local_endpoint()) + "]";
  set_faults(true);
  faults = "report = \"" + folder + "/given\"\n" + switched("pread", "EIO") +
           "[[slow]]\ncall = \"bind\"\nms = 50\nwhile = \"" + folder + "/failing\"\n";
  spawn(config());
  const auto attempts = [&] {
    std::ifstream in(folder + "/given");
    const std::string text((std::istreambuf_iterator<char>(in)), {});
    std::size_t n = 0;
    for (auto at = text.find("pread"); at != std::string::npos; at = text.find("pread", at + 1)) n++;
    return n;
  };
  wait_for(
      [&] {
        error_code lost;
        sender.send_to(net::buffer("note", 4), to, 0, lost);
        return attempts() >= 4;
      },
      "gossip was sent during some attempts");
  expect_running("while gossip arrived");
  set_faults(false);
  wait_for([&] { return HasFailure() || health() == 200; }, "the relay is ready");
}

// The file that reserves disk space can't be opened for a moment: the relay used to go without it from then
// on.
TEST_F(StartTest, TheReserveIsOpenedOnceItCanBe) {
  faults = switched("open", "EMFILE", "path = \"reserve\"\n");
  set_faults(true);
  start();
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  EXPECT_FALSE(std::filesystem::exists(folder + "/state/reserve"));
  set_faults(false);
  EXPECT_EQ(hand_in("m2", kSafe), 202u);
  wait_for([&] { return std::filesystem::exists(folder + "/state/reserve"); }, "the file for the reserve");
}

// A configuration that can't be opened for a moment at SIGHUP is read once it can be opened.
TEST_F(StartTest, AReloadThatCantOpenItsFileIsRetried) {
  faults = switched("open", "EMFILE", "path = \"config.json\"\n");
  start();
  set_faults(true);
  Server other(io, [this](const Got& g) { on_platform(g); });
  reload(config(other.address()));
  wait_logged("the old one stays");
  EXPECT_TRUE(other.got.empty());
  set_faults(false);
  wait_for([&] { return !other.got.empty(); }, "the new discovery is asked");
}

}  // namespace
}  // namespace heronvane::testing
