// Failing socket calls of the relay. Whatever error accept() returns, a waiting client is answered without
// the need for another connection.
#include <iterator>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char *const kHealthRequest = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";

class AcceptTest : public RelayTest {
 protected:
  // Starts a relay in which one `call` fails with `error` after set_faults(true). `call` as in
  // lab/faults/interpose.cpp.
  void start_failing(const std::string &call, const std::string &error) {
    if (child > 0) kill_relay();
    set_faults(false);
    faults = switched(call, error, "times = 1\n");
    start();
  }
  // The injected faults, one per line.
  std::string injected_faults() const {
    std::ifstream in(folder + "/given");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void expect_answered(const std::shared_ptr<Client> &client) {
    wait_for([&] { return client->ended || !client->answers.empty(); }, "the client is answered");
    EXPECT_EQ(client->answers.size(), 1u);
  }
};

TEST_F(AcceptTest, AClientQueuedAfterALostConnectionIsAnswered) {
  for (const char *error : {"ECONNABORTED", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "EPERM"}) {
    SCOPED_TRACE(error);
    start_failing("accepted", error);
    send_signal(child, SIGSTOP);  // so that it finds both connections in the listen queue
    set_faults(true);
    const auto lost = connect(), queued = connect();
    ASSERT_TRUE(lost && queued);
    queued->write(kHealthRequest);
    send_signal(child, SIGCONT);
    expect_answered(queued);
    if (HasFailure()) return;
  }
}

TEST_F(AcceptTest, ASingleClientIsAnswered) {
  for (const char *error : {"ECONNABORTED", "EPROTO", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "ENETDOWN",
                            "EHOSTUNREACH", "EPERM", "EINTR"}) {
    SCOPED_TRACE(error);
    start_failing("accept", error);
    set_faults(true);
    const auto client = connect();
    ASSERT_TRUE(client);
    client->write(kHealthRequest);
    expect_answered(client);
    if (HasFailure()) return;
  }
}

// A persistent error is retried at a bounded rate and logged in a few lines.
TEST_F(AcceptTest, APersistentErrorIsRetriedAtABoundedRate) {
  faults = "report = \"" + folder + "/given\"\n" + switched("accept", "ENFILE");
  start();
  set_faults(true);
  const auto client = connect();
  ASSERT_TRUE(client);
  client->write(kHealthRequest);
  const auto begun = std::chrono::steady_clock::now();
  const auto span = std::chrono::seconds(2);
  wait_for([&] { return std::chrono::steady_clock::now() - begun > span; },
           "the error has lasted for a while");
  set_faults(false);
  expect_answered(client);
  const auto lasted = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  std::ifstream in(folder + "/given");
  const auto tries = std::count(std::istreambuf_iterator<char>(in), {}, '\n');
  EXPECT_GT(tries, 10);
  EXPECT_LT(static_cast<double>(tries), lasted * 220) << "more than one per 5 ms";
  const std::string log = logged();
  EXPECT_NE(log.find("accept failed: no descriptor ("), std::string::npos) << log;
  EXPECT_LT(std::count(log.begin(), log.end(), '\n'), 12) << log;
}

// ---- Answers. ----
// If the system has no buffer for an answer, it is sent later: the message was accepted.
TEST_F(AcceptTest, AnAnswerIsSentDespiteABufferShortage) {
  for (const char *error : {"ENOBUFS", "ENOMEM"}) {
    SCOPED_TRACE(error);
    start_failing("send", error);
    endpoint.on_request(stay_silent);
    const auto client = connect();
    ASSERT_TRUE(client);
    set_faults(true);
    client->write(request(std::string("m-") + error, "load-status"));
    expect_answered(client);
    if (HasFailure()) return;
    EXPECT_EQ(client->answers[0].result_int(), 202u);
  }
}

// Reads and writes that are interrupted by a signal or lack memory do not mean that the connection is broken.
TEST_F(AcceptTest, TransientReadAndWriteErrorsLoseNothing) {
  for (const char *error : {"EINTR", "ENOMEM", "ENOBUFS"}) {
    SCOPED_TRACE(error);
    endpoint.got.clear();
    faults.clear();
    for (const char *call : {"recv", "send"}) faults += failing(call, error, "share = 0.5\n");
    start();
    for (int i = 0; i < 5; i++) {
      const std::string id = std::string("m-") + error + std::to_string(i);
      EXPECT_EQ(hand_in(id, "pay-and-order"), 202u);
    }
    wait_for([&] { return endpoint.got.size() >= 5; }, "the calls");
    EXPECT_EQ(hand_in(std::string("n-") + error, "pay-and-order"), 202u);
    wait_for([&] { return endpoint.got.size() >= 6; }, "the last call");
    send_signal(child, SIGTERM);
    EXPECT_EQ(wait_exit(), 0);
    EXPECT_EQ(endpoint.got.size(), 6u) << "a call was made twice";
    EXPECT_EQ(finals, "") << "an answer was treated as broken";
    EXPECT_NE(logged().find("stopped: 0 messages left"), std::string::npos) << logged();
    if (HasFailure()) return;
    std::filesystem::remove(folder + "/log");
  }
}

// Answers written and read one byte at a time are complete.
TEST_F(AcceptTest, AnAnswerWrittenBytewiseIsComplete) {
  faults = "[[short]]\ncall = \"send\"\nbytes = 1\n[[short]]\ncall = \"recv\"\nbytes = 1\n";
  start();
  EXPECT_EQ(hand_in("m1", "load-status"), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  ASSERT_EQ(endpoint.got.size(), 1u);
  EXPECT_EQ(endpoint.got[0].request.body(), "hello");
}

// Guards against a lack of descriptors that counts as a failure of discovery: the increasing backoff would
// leave the relay without a watch long after descriptors are free again.
TEST_F(AcceptTest, AWatchIsOpenedAsSoonAsADescriptorIsFree) {
  for (const char *error : {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}) {
    SCOPED_TRACE(error);
    if (child > 0) kill_relay();
    watches.clear();
    set_faults(false);
    std::filesystem::remove(folder + "/given");
    faults = "report = \"" + folder + "/given\"\n" + switched("socket", error);
    start();
    wait_for([&] { return watches.size() == 1; }, "the watch");
    set_faults(true);
    watches[0]->close();
    wait_for([&] { return injected_faults().find("socket") != std::string::npos; },
             "no socket for the next one");
    const auto since = std::chrono::steady_clock::now();
    const auto passed = [&] { return std::chrono::steady_clock::now() - since; };
    wait_for([&] { return passed() >= std::chrono::milliseconds(300); }, "the shortage lasts a while");
    set_faults(false);
    wait_for([&] { return watches.size() == 2; }, "the next watch");
    EXPECT_LT(passed(), std::chrono::milliseconds(600))
        << "the first backoff after a failure is at least 0.75 s";
    if (HasFailure()) return;
  }
}

}  // namespace
}  // namespace heronvane::testing
