// Three relay processes replicate their logs to each other. Some are stopped or lose their disk; the tests
// check what a client sees.
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
      Node node;
      node.folder = base + "/n" + std::to_string(i);
      std::filesystem::create_directories(node.folder + "/state");
      tcp::acceptor listen_acceptor(io, {net::ip::make_address(own_address()), 0}),
          copies_acceptor(io, listen_acceptor.local_endpoint().protocol());
      copies_acceptor.bind({net::ip::make_address(own_address()), 0});
      node.port = listen_acceptor.local_endpoint().port(),
      node.copies = copies_acceptor.local_endpoint().port();
      nodes.push_back(node);
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
    for (auto& node : nodes)
      if (node.child > 0) ::kill(node.child, SIGKILL), ::waitpid(node.child, nullptr, 0);
    child = -1;
    folder = std::filesystem::path(nodes[0].folder).parent_path();
  }
  // Makes the harness use this node from now on.
  void use_node(std::size_t i) {
    if (current_node < nodes.size()) nodes[current_node].child = child;
    current_node = i;
    folder = nodes[i].folder, port = nodes[i].port, child = nodes[i].child;
  }
  void run(std::size_t i) {
    use_node(i);
    std::string text = config();
    text.replace(text.find("\"n0\""), 4, "\"n" + std::to_string(i) + "\"");
    spawn(text);
    nodes[i].child = child;
  }
  void start_all() {
    for (std::size_t i = 0; i < nodes.size(); i++) run(i);
    for (std::size_t i = 0; i < nodes.size(); i++) {
      use_node(i);
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
    std::size_t call_count = 0;
    for (const auto& received : endpoint.got) {
      const auto text = (std::ostringstream() << received.request).str();
      call_count += text.find(id) != std::string::npos;
    }
    return call_count;
  }
  std::vector<Node> nodes;
  std::size_t current_node = 99;
};

TEST_F(CopiesTest, ReplicaDeliversMessagesOfALostRelay) {
  endpoint.on_request([](const Got& g) { g.session->answer(503); });
  start_all();
  use_node(0);
  EXPECT_EQ(hand_in("m-1", "load-status"), 202u);
  wait_for([this] { return calls("m-1") > 0; }, "it was attempted");
  kill_relay();
  std::filesystem::remove_all(folder);  // with its disk
  use_node(1);
  EXPECT_EQ(post("/v1/takeover/n0"), 200u);
  endpoint.on_request(answer_ok);
  const auto calls_before = calls("m-1");
  wait_for([&] { return calls("m-1") > calls_before; }, "another one delivers it");
  EXPECT_EQ(finals, "");
  // The new relay recognises the id when a client submits the message again.
  EXPECT_EQ(hand_in("m-1", "load-status"), 202u);
}

TEST_F(CopiesTest, IdSubmittedToLeaderAndSuccessorIsNotRetriedOnceItMayHaveRun) {
  endpoint.on_request(stay_silent);
  start_all();
  use_node(0);
  EXPECT_EQ(hand_in("m-1", "pay-and-order", "hello", "20000m"), 202u);
  wait_for([this] { return calls("m-1") == 1; }, "its call is in flight");
  kill_relay();
  std::filesystem::remove_all(folder);
  // The client submits it to another relay, whose attempts are rejected by the endpoint.
  endpoint.on_request([](const Got& g) { g.session->answer(503); });
  use_node(1);
  EXPECT_EQ(hand_in("m-1", "pay-and-order", "hello", "20000m"), 202u);
  wait_for([this] { return calls("m-1") >= 2; }, "it was attempted there");
  EXPECT_EQ(post("/v1/takeover/n0"), 200u);
  wait_for([this] { return logged().find("1 of them known here") != std::string::npos; }, "it is taken over");
  const auto calls_before = calls("m-1");
  wait_for([&] { return finals.find("m-1") != std::string::npos || calls("m-1") > calls_before + 2; },
           "it has ended");
  EXPECT_NE(finals.find("undeliverable"), std::string::npos) << finals;
  EXPECT_LE(calls("m-1"), calls_before + 1) << "one call may have been in flight";
}

TEST_F(CopiesTest, RelayDropsMessagesOfATakenOverLog) {
  endpoint.on_request(stay_silent);
  start_all();
  use_node(0);
  EXPECT_EQ(hand_in("m-1", "pay-and-order", "hello", "20000m"), 202u);
  wait_for([this] { return calls("m-1") == 1; }, "its call is in flight");
  send_signal(child, SIGSTOP);
  use_node(1);
  EXPECT_EQ(post("/v1/takeover/n0"), 200u);
  wait_for([this] { return finals.find("m-1") != std::string::npos; },
           "the successor sends the final answer");
  endpoint.on_request(answer_ok);
  use_node(0);
  send_signal(child, SIGCONT);
  wait_for([this] { return logged().find("was taken over by n1") != std::string::npos; },
           "it learns of the takeover");
  wait_for([this] { return health() == 200; }, "it is ready with a new log");
  EXPECT_EQ(hand_in("m-2", "load-status"), 202u);
  wait_for([this] { return calls("m-2") > 0; }, "it delivers again");
  EXPECT_EQ(calls("m-1"), 1u);
}

TEST_F(CopiesTest, RelayWithoutReplicasRejectsMessagesAndLogsMissingReplicas) {
  start_all();
  for (const std::size_t i : {1u, 2u}) {
    use_node(i);
    kill_relay();
    nodes[i].child = -1;
  }
  use_node(0);
  EXPECT_EQ(hand_in("m-1", "load-status"), 504u);  // its record is on this relay only
  wait_for([this] { return health() == 503; }, "it is no longer ready");
  EXPECT_EQ(hand_in("m-2", "load-status"), 503u);
  EXPECT_EQ(calls("m-1") + calls("m-2"), 0u);
  kill_relay();
  run(0);
  wait_for([this] { return logged().find("its holders: ") != std::string::npos; },
           "it logs the missing replicas");
  EXPECT_NE(logged().find("(no connection)"), std::string::npos);
  EXPECT_EQ(health(), 503u);
  kill_relay();
  arguments = {"--force-own"};
  run(0);
  wait_for([this] { return logged().find("copies: forced") != std::string::npos; }, "it is forced");
}

}  // namespace
}  // namespace heronvane::testing
