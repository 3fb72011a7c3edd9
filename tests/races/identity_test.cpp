// Whose settings, key, effect and answer a message has: its own, whatever came before it under another id,
// another class or in another life.
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

// Guards against a destination that is called twice for a message and can't know it again.
TEST_F(IdentityTest, AMessagesKeyGoesOnUnchangedAndWithNoOther) {
  start();
  const auto client = connect();
  client->write(keyed("m1", "38d5491b76040bdb62d681345d7f8c07"));
  wait_for([&] { return endpoint.got.size() == 1; }, "the first call");
  EXPECT_EQ(key_at(0), "38d5491b76040bdb62d681345d7f8c07");
  client->write(request("m2", kUnsafe));
  wait_for([&] { return endpoint.got.size() == 2; }, "the second call");
  EXPECT_EQ(endpoint.got[1].request.count("Idempotency-Key"), 0u) << "it had none";
}

TEST_F(IdentityTest, AKeyGoesOnInABundle) {
  members = member("s-1", endpoint.address(), "ready", "big");
  std::string bundle;
  endpoint.on_request([&](const Got& g) {
    if (g.request.target() == "/events/bundle")
      bundle = g.request.body();
    else
      g.session->answer(200, "X-Come-Back-Ms: 800\r\n");
  });
  start();
  EXPECT_EQ(hand_in("m0", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the wait is told");
  EXPECT_EQ(ask(keyed("m1", "k-1")), 202u);
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  EXPECT_EQ(ask(keyed("m3", "\"k,3\"")), 202u);
  wait_for([&] { return !bundle.empty(); }, "the bundle");
  EXPECT_NE(bundle.find(R"({"id":"m1","key":"k-1","body":"aGVsbG8="})"), std::string::npos) << bundle;
  EXPECT_NE(bundle.find(R"({"id":"m2","body":"aGVsbG8="})"), std::string::npos) << bundle;
  EXPECT_NE(bundle.find(R"({"id":"m3","key":"\"k,3\"","body":"aGVsbG8="})"), std::string::npos) << bundle;
}

// What the next life sends again is the same message to its destination.
TEST_F(IdentityTest, AKeyOutlastsAKill) {
  endpoint.on_request(stay_silent);
  start();
  EXPECT_EQ(ask(keyed("m1", "k-1", kSafe)), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the first call");
  kill_relay();
  endpoint.on_request(answer_ok);
  start();
  wait_for([&] { return endpoint.got.size() == 2; }, "the call of the next life");
  EXPECT_EQ(key_at(1), "k-1");
}

// The same id with other settings: the first stands, the second inherits and changes nothing.
TEST_F(IdentityTest, AnIdHandedInAgainWithAnotherClassChangesNothing) {
  endpoint.on_request([](const Got& g) { g.session->close(); });
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  EXPECT_EQ(hand_in("m1", kSafe, "other"), 202u);
  wait_for([&] { return !finals.empty(); }, "its end");
  EXPECT_EQ(hand_in("m1", kSafe, "other"), 202u) << "it is over, and remembered";
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n") << "unsafe, as it was first";
  EXPECT_EQ(endpoint.got.size(), 1u);
  EXPECT_EQ(endpoint.got[0].request.body(), "hello");
}

class ReorderedTest : public IdentityTest {
 protected:
  std::string settings() override {
    std::string s = IdentityTest::settings();
    if (!reordered) return s;
    // The second class before the first, and one more in front of both.
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

// A class is found by its name in the present settings, wherever it stands there now.
TEST_F(ReorderedTest, ClassesThatMovedBetweenTwoLivesKeepTheirEffects) {
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

// One that the settings name no more is told, and ends by its notice.
TEST_F(ReorderedTest, AClassThatIsGoneEndsByNotice) {
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
