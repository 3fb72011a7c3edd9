// A message keeps its own settings, idempotency key and outcome, whatever was received before it under the
// same id, with another class or in an earlier incarnation.
#include <algorithm>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const std::string kSafe = "load-status", kUnsafe = "pay-and-order";

class IdentityTest : public RelayTest {
 protected:
  static std::string keyed(const std::string& id, const std::string& key, const std::string& cls = kUnsafe) {
    std::string text = request(id, cls);
    text.insert(text.find("X-Consignee"), "Idempotency-Key: " + key + "\r\n");
    return text;
  }
  std::string key_at(std::size_t call) { return std::string(endpoint.got[call].request["Idempotency-Key"]); }
};

// Guards against a destination that is called twice for a message and can't recognise the duplicate.
TEST_F(IdentityTest, TheKeyIsForwardedUnchangedAndOnlyWithItsMessage) {
  start();
  const auto client = connect();
  client->write(keyed("m1", "38d5491b76040bdb62d681345d7f8c07"));
  wait_for([&] { return endpoint.got.size() == 1; }, "the first call");
  EXPECT_EQ(key_at(0), "38d5491b76040bdb62d681345d7f8c07");
  client->write(request("m2", kUnsafe));
  wait_for([&] { return endpoint.got.size() == 2; }, "the second call");
  EXPECT_EQ(endpoint.got[1].request.count("Idempotency-Key"), 0u) << "m2 has no key";
}

TEST_F(IdentityTest, KeysAreForwardedInABundle) {
  members = member("s-1", endpoint.address(), "ready", "big");
  std::string bundle;
  endpoint.on_request([&](const Got& received) {
    if (received.request.target() == "/events/bundle")
      bundle = received.request.body();
    else
      received.session->answer(200, "X-Come-Back-Ms: 800\r\n");
  });
  start();
  EXPECT_EQ(hand_in("m0", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the wait is requested");
  EXPECT_EQ(ask(keyed("m1", "k-1")), 202u);
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  EXPECT_EQ(ask(keyed("m3", "\"k,3\"")), 202u);
  wait_for([&] { return !bundle.empty(); }, "the bundle");
  EXPECT_NE(bundle.find(R"({"id":"m1","key":"k-1","body":"aGVsbG8="})"), std::string::npos) << bundle;
  EXPECT_NE(bundle.find(R"({"id":"m2","body":"aGVsbG8="})"), std::string::npos) << bundle;
  EXPECT_NE(bundle.find(R"({"id":"m3","key":"\"k,3\"","body":"aGVsbG8="})"), std::string::npos) << bundle;
}

// A retry by the next incarnation carries the same key.
TEST_F(IdentityTest, AKeySurvivesSigkill) {
  endpoint.on_request(stay_silent);
  start();
  EXPECT_EQ(ask(keyed("m1", "k-1", kSafe)), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the first call");
  kill_relay();
  endpoint.on_request(answer_ok);
  start();
  wait_for([&] { return endpoint.got.size() == 2; }, "the call of the next incarnation");
  EXPECT_EQ(key_at(1), "k-1");
}

// The same id with another class: the first submission stands, the second one changes nothing.
TEST_F(IdentityTest, ResubmittingAnIdWithAnotherClassChangesNothing) {
  endpoint.on_request([](const Got& received) { received.session->close(); });
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  EXPECT_EQ(hand_in("m1", kSafe, "other"), 202u);
  wait_for([&] { return !finals.empty(); }, "its end");
  EXPECT_EQ(hand_in("m1", kSafe, "other"), 202u) << "completed ids are remembered";
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n") << "the first submission was unsafe";
  EXPECT_EQ(endpoint.got.size(), 1u);
  EXPECT_EQ(endpoint.got[0].request.body(), "hello");
}

class ReorderedTest : public IdentityTest {
 protected:
  std::string settings() override {
    std::string s = IdentityTest::settings();
    if (!reordered) return s;
    // Swaps the two classes and puts a new one before both.
    const auto first = s.find("{\"Name\":\"load-status\""), second = s.find("{\"Name\":\"pay-and-order\"");
    const auto end = s.find("]", second);
    const std::string a = s.substr(first, second - first - 1), b = s.substr(second, end - second);
    return s.replace(
        first, end - first,
        R"({"Name":"new","Points":1.0,"Target":500000,"Deadline":900000,"Idempotency":"read_like"},)" + b +
            "," + a);
  }
  bool reordered = false;
};

// Classes are looked up by name in the current settings, regardless of their order.
TEST_F(ReorderedTest, ClassesReorderedBetweenIncarnationsKeepTheirSettings) {
  endpoint.on_request(stay_silent);
  start();
  EXPECT_EQ(hand_in("safe", kSafe), 202u);
  EXPECT_EQ(hand_in("unsafe", kUnsafe, "hello", "24000m"), 202u);
  wait_for([&] { return endpoint.got.size() == 2; }, "both calls");
  kill_relay();
  reordered = true;
  endpoint.on_request(answer_ok);
  start();
  wait_for([&] { return !finals.empty() && endpoint.got.size() == 3; }, "both ends");
  EXPECT_EQ(finals, "{\"id\":\"unsafe\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(endpoint.got[2].request["X-Request-Id"], "safe");
}

// A message whose class is no longer in the settings ends with a notice.
TEST_F(ReorderedTest, AMessageOfARemovedClassEndsWithANotice) {
  endpoint.on_request(stay_silent);
  reordered = true;
  start();
  EXPECT_EQ(hand_in("m1", "new", "hello", "900m"), 202u);
  kill_relay();
  reordered = false;
  start();
  wait_for([&] { return !finals.empty(); }, "its end");
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
}

}  // namespace
}  // namespace heronvane::testing
