// Connections that can't be accepted, by the relay's intake over loopback
// sockets: whatever accept() says, a client that waits is answered without a
// further connection.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char *const kHealthRequest = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

class AcceptTest : public RelayTest {
protected:
  // Starts a relay of which one accept fails with `error`, once fail_now() was
  // called. `call` as in lab/faults/interpose.cpp.
  void start_failing(const std::string &call, const std::string &error) {
    if (child > 0)
      kill_relay();
    std::filesystem::remove(folder + "/failing");
    faults = "[[error]]\ncall = \"" + call + "\"\nerrno = \"" + error +
             "\"\ntimes = 1\nwhile = \"" + folder + "/failing\"\n";
    start();
  }
  void fail_now() { std::ofstream(folder + "/failing") << "x"; }
  void expect_answered(const std::shared_ptr<Client> &client) {
    wait_for([&] { return client->ended || !client->answers.empty(); },
             "the client is answered");
    EXPECT_EQ(client->answers.size(), 1u);
  }
};

TEST_F(AcceptTest, AClientBehindALostConnectionIsAnswered) {
  for (const char *error :
       {"ECONNABORTED", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "EPERM"}) {
    SCOPED_TRACE(error);
    start_failing("accepted", error);
    ::kill(child, SIGSTOP); // both wait in the queue when it looks
    fail_now();
    const auto lost = connect(), behind = connect();
    ASSERT_TRUE(lost && behind);
    behind->write(kHealthRequest);
    ::kill(child, SIGCONT);
    expect_answered(behind);
    if (HasFailure())
      return;
  }
}

TEST_F(AcceptTest, ASingleClientIsAnswered) {
  for (const char *error :
       {"ECONNABORTED", "EPROTO", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM",
        "ENETDOWN", "EHOSTUNREACH", "EPERM", "EINTR"}) {
    SCOPED_TRACE(error);
    start_failing("accept", error);
    fail_now();
    const auto client = connect();
    ASSERT_TRUE(client);
    client->write(kHealthRequest);
    expect_answered(client);
    if (HasFailure())
      return;
  }
}

} // namespace
} // namespace heronvane::testing
