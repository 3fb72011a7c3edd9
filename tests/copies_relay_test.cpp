// Three programs that hold copies for each other, struck one by one: what a client sees of it.
#include "admin_harness.hpp"

namespace heronvane::testing {
namespace {

class CopiesTest : public RelayTest {
 protected:
  struct Node {
    std::string folder;
    std::uint16_t port = 0, copies = 0;
    pid_t child = -1;
  };
  void SetUp() override {
    const std::string base = folder;
    for (int i = 0; i < 3; i++) {
      Node n;
      n.folder = base + "/n" + std::to_string(i);
      std::filesystem::create_directories(n.folder + "/state");
      tcp::acceptor one(io, {net::ip::make_address(own_address()), 0}),
          two(io, one.local_endpoint().protocol());
      two.bind({net::ip::make_address(own_address()), 0});
      n.port = one.local_endpoint().port(), n.copies = two.local_endpoint().port();
      nodes.push_back(n);
    }
    own_settings =
        "[admin]\nsocket = true\n[copies]\ncluster = \"test\"\nholders = 2\ntakeover_after_s = 0\n";
    for (int i = 0; i < 3; i++)
      own_settings += "[[copies.member]]\nname = \"n" + std::to_string(i) + "\"\naddress = \"" +
                      own_address() + ":" + std::to_string(nodes[static_cast<std::size_t>(i)].copies) +
                      "\"\n";
    members = member("s-1", endpoint.address());
  }
  void TearDown() override {
    for (auto& n : nodes)
      if (n.child > 0) ::kill(n.child, SIGKILL), ::waitpid(n.child, nullptr, 0);
    child = -1;
    folder = std::filesystem::path(nodes[0].folder).parent_path();
  }
  // The harness speaks to this one from now on.
  void at(std::size_t i) {
    if (now < nodes.size()) nodes[now].child = child;
    now = i;
    folder = nodes[i].folder, port = nodes[i].port, child = nodes[i].child;
  }
  void run(std::size_t i) {
    at(i);
    std::string text = config();
    text.replace(text.find("\"n0\""), 4, "\"n" + std::to_string(i) + "\"");
    spawn(text);
    nodes[i].child = child;
  }
  void start_all() {
    for (std::size_t i = 0; i < nodes.size(); i++) run(i);
    for (std::size_t i = 0; i < nodes.size(); i++) {
      at(i);
      wait_for([this] { return health() == 200; }, "it is ready");
    }
  }
  unsigned post(const std::string& target) {
    const auto admin = std::make_shared<AdminClient>(io, folder + "/state/admin.sock");
    admin->read();
    admin->write("POST " + target + " HTTP/1.1\r\nHost: relay\r\nContent-Length: 2\r\n\r\n{}");
    wait_for([&] { return admin->ended || !admin->answers.empty(); }, "the admin socket answers");
    return admin->answers.empty() ? 0 : admin->answers[0].result_int();
  }
  std::size_t calls(const std::string& id) const {
    std::size_t n = 0;
    for (const auto& g : endpoint.got) {
      const auto text = (std::ostringstream() << g.request).str();
      n += text.find(id) != std::string::npos;
    }
    return n;
  }
  std::vector<Node> nodes;
  std::size_t now = 99;
};

TEST_F(CopiesTest, AHolderDeliversWhatALostRelayTookOn) {
  endpoint.on_request([](const Got& g) { g.session->answer(503); });
  start_all();
  at(0);
  EXPECT_EQ(hand_in("m-1", "load-status"), 202u);
  wait_for([this] { return calls("m-1") > 0; }, "it was tried");
  kill_relay();
  std::filesystem::remove_all(folder);  // with its disk
  at(1);
  EXPECT_EQ(post("/v1/takeover/n0"), 200u);
  endpoint.on_request(answer_ok);
  const auto tried = calls("m-1");
  wait_for([&] { return calls("m-1") > tried; }, "another one delivers it");
  EXPECT_EQ(finals, "");
  // What is known of it there is known to a client that hands it in once more.
  EXPECT_EQ(hand_in("m-1", "load-status"), 202u);
}

TEST_F(CopiesTest, AnIdHandedInAtOwnerAndSuccessorRunsNowhereOnceItMayHaveRun) {
  endpoint.on_request(stay_silent);
  start_all();
  at(0);
  EXPECT_EQ(hand_in("m-1", "pay-and-order", "hello", "20000m"), 202u);
  wait_for([this] { return calls("m-1") == 1; }, "its call is out");
  kill_relay();
  std::filesystem::remove_all(folder);
  // The client goes to another relay, whose tries are turned away.
  endpoint.on_request([](const Got& g) { g.session->answer(503); });
  at(1);
  EXPECT_EQ(hand_in("m-1", "pay-and-order", "hello", "20000m"), 202u);
  wait_for([this] { return calls("m-1") >= 2; }, "it was tried there");
  EXPECT_EQ(post("/v1/takeover/n0"), 200u);
  wait_for([this] { return logged().find("1 of them known here") != std::string::npos; }, "it is taken over");
  const auto tried = calls("m-1");
  wait_for([&] { return finals.find("m-1") != std::string::npos || calls("m-1") > tried + 2; },
           "it is ended");
  EXPECT_NE(finals.find("undeliverable"), std::string::npos) << finals;
  EXPECT_LE(calls("m-1"), tried + 1) << "one may have been on its way";
}

TEST_F(CopiesTest, ARelayWhoseLogWasTakenOverDropsWhatItHeld) {
  endpoint.on_request(stay_silent);
  start_all();
  at(0);
  EXPECT_EQ(hand_in("m-1", "pay-and-order", "hello", "20000m"), 202u);
  wait_for([this] { return calls("m-1") == 1; }, "its call is out");
  send_signal(child, SIGSTOP);
  at(1);
  EXPECT_EQ(post("/v1/takeover/n0"), 200u);
  wait_for([this] { return finals.find("m-1") != std::string::npos; }, "its end is told by the successor");
  endpoint.on_request(answer_ok);
  at(0);
  send_signal(child, SIGCONT);
  wait_for([this] { return logged().find("was taken over by n1") != std::string::npos; }, "it finds out");
  wait_for([this] { return health() == 200; }, "it goes on under a new log");
  EXPECT_EQ(hand_in("m-2", "load-status"), 202u);
  wait_for([this] { return calls("m-2") > 0; }, "it delivers again");
  EXPECT_EQ(calls("m-1"), 1u);
}

TEST_F(CopiesTest, WithoutItsHoldersARelayTakesNothingOnAndSaysForWhomItWaits) {
  start_all();
  for (const std::size_t i : {1u, 2u}) {
    at(i);
    kill_relay();
    nodes[i].child = -1;
  }
  at(0);
  EXPECT_EQ(hand_in("m-1", "load-status"), 504u);  // its record stands here alone
  wait_for([this] { return health() == 503; }, "it is no longer ready");
  EXPECT_EQ(hand_in("m-2", "load-status"), 503u);
  EXPECT_EQ(calls("m-1") + calls("m-2"), 0u);
  kill_relay();
  run(0);
  wait_for([this] { return logged().find("its holders: ") != std::string::npos; }, "it says who is missing");
  EXPECT_NE(logged().find("(no connection)"), std::string::npos);
  EXPECT_EQ(health(), 503u);
  kill_relay();
  arguments = {"--force-own"};
  run(0);
  wait_for([this] { return logged().find("copies: forced") != std::string::npos; }, "it is forced");
}

}  // namespace
}  // namespace heronvane::testing
