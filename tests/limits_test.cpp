// The relay at its configured limits of descriptors and disk space, over loopback sockets.
#include <set>
#include <sstream>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

// Many clients that stay connected must not block the next one nor use up the descriptors.
class FewSocketsTest : public RelayTest {
 protected:
  std::string limits() override { return R"({"cores":1.0,"memory_mb":192,"sockets":64,"disk_mb":3})"; }

  // The relay's TCP connections: from clients, and all others (to endpoints and to discovery).
  struct Connections {
    std::size_t clients = 0, others = 0;
  };
  Connections connections() const {
    const std::string process = "/proc/" + std::to_string(child);
    std::set<std::string> own;
    std::error_code gone;  // a descriptor may be closed meanwhile
    for (const auto& fd : std::filesystem::directory_iterator(process + "/fd"))
      own.insert(std::filesystem::read_symlink(fd.path(), gone).string());
    char listening[8];
    std::snprintf(listening, sizeof listening, ":%04X", static_cast<unsigned>(port));
    std::ifstream in(process + "/net/tcp");
    std::string line;
    std::getline(in, line);
    Connections found;
    while (std::getline(in, line)) {
      std::istringstream fields(line);
      std::string number, local, remote, state, queues, timer, retries, user, timeout, inode;
      fields >> number >> local >> remote >> state >> queues >> timer >> retries >> user >> timeout >> inode;
      constexpr const char* kListens = "0A";
      // Each socket counts once: the kernel may list one twice if the table changes while it is read.
      if (state == kListens || own.erase("socket:[" + inode + "]") == 0) continue;
      local.ends_with(listening) ? found.clients++ : found.others++;
    }
    return found;
  }
};
TEST_F(FewSocketsTest, IdleClientsAreClosedForNewOnes) {
  start();
  for (int i = 0; i < 60; i++) ASSERT_NE(connect(), nullptr);
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  wait_for([&] { return !endpoint.got.empty(); }, "the call");
  EXPECT_LE(descriptors(), 56u);
}

// Clients that send one request and keep their connection block others: near the connection limit an answer
// closes its connection, below that it keeps the connection open.
TEST_F(FewSocketsTest, AnAnswerEndsItsConnectionNearTheConnectionLimit) {
  start();
  let_clients_go();
  int kept = 0, ended = 0;
  for (int i = 0; i < 40; i++) {
    EXPECT_EQ(hand_in("m" + std::to_string(i), kSafe), 202u);
    clients.back()->answers.back().keep_alive() ? kept++ : ended++;
    if (i == 3) {
      EXPECT_EQ(ended, 0);
    }
  }
  EXPECT_LT(kept, 20);  // connections for clients
  EXPECT_GT(ended, 20);
  let_clients_go();
  wait_for([&] { return hand_in("n", kSafe) == 202u && clients.back()->answers.back().keep_alive(); },
           "connections are kept again");
}

// The number of calls is limited by the descriptors, whatever the settings allow, while all client
// connections are in use.
TEST_F(FewSocketsTest, CallsInFlightStayWithinTheDescriptorLimit) {
  workers = 300;
  endpoint.on_request(stay_silent);
  std::vector<std::unique_ptr<Server>> others;
  members = member("s-0", endpoint.address());
  for (int i = 1; i < 12; i++) {
    others.push_back(std::make_unique<Server>(io, stay_silent));
    members += "," + member("s-" + std::to_string(i), others.back()->address());
  }
  start();
  // 64 less 24 for other files: half for clients, half for calls. The 24 include discovery's (its watch, its
  // list and a notice) and one for a connection that was accepted and is closed, or replaces another, in the
  // same step.
  constexpr std::size_t kClients = 20, kCalls = 20, kDiscovery = 3, kAccepted = 1;
  Connections peak;
  for (int i = 0; i < 40; i++) {
    hand_in("m" + std::to_string(i), kUnsafe, "x", "24000m");
    ASSERT_NE(connect(), nullptr);
    const auto now = connections();
    peak.clients = std::max(peak.clients, now.clients), peak.others = std::max(peak.others, now.others);
  }
  EXPECT_LE(peak.clients, kClients + kAccepted);
  EXPECT_LE(peak.others, kCalls + kDiscovery);
  EXPECT_GE(peak.others, kCalls) << "fewer than the descriptors allow";
  wait_for([&] { return connections().clients <= kClients; }, "connections over the limit are closed");
  EXPECT_EQ(health(), 200u);
}

// While many clients connect and send nothing or an incomplete request, other clients are served, on new and
// on kept connections.
TEST_F(FewSocketsTest, ManySilentClientsDoNotBlockOthers) {
  start();
  wait_for([&] { return hand_in("m", kSafe) == 202u; }, "service");
  auto client = connect();
  client->write(request("u", kSafe));
  wait_for([&] { return client->answers.size() == 1; }, "its first answer");
  for (int i = 0; i < 200; i++) {
    const auto silent = connect();
    ASSERT_NE(silent, nullptr);
    if (i % 2 == 0) silent->write("POST /load");
    if (i % 40 != 39) continue;
    // Near the connection limit, the last answer announced that its connection closes.
    if (!client->answers.empty() && !client->answers.back().keep_alive()) client = connect();
    const auto before = client->answers.size();
    client->write(request("u" + std::to_string(i), kSafe));
    wait_for([&] { return client->answers.size() > before || client->ended; }, "the client's answer");
    ASSERT_GT(client->answers.size(), before);
    EXPECT_EQ(client->answers.back().result_int(), 202u);
    EXPECT_EQ(hand_in("n" + std::to_string(i), kSafe), 202u);
  }
}

// The journal fills with large bodies: clients are rejected, and served again once there is space.
class SmallDiskTest : public RelayTest {
 protected:
  std::string limits() override { return R"({"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":1})"; }
};
TEST_F(SmallDiskTest, AFullJournalRefusesAndRecovers) {
  endpoint.on_request(stay_silent);
  start();
  const std::string body(60'000, 'x');
  int n = 0;
  while (n < 30 && hand_in("m" + std::to_string(n), kSafe, body) == 202u) n++;
  EXPECT_GE(n, 3);
  EXPECT_LT(n, 30);
  for (const auto& received : endpoint.got) received.session->answer(200);
  endpoint.on_request(answer_ok);
  for (int i = 0; i < 40; i++)
    wait_for([&] { return hand_in("n" + std::to_string(i), kSafe, body) == 202u; }, "there is space again");
  std::uintmax_t bytes = 0;
  for (const auto& f : std::filesystem::directory_iterator(folder + "/state")) {
    std::error_code gone;  // compaction removes files meanwhile
    const auto size = f.is_regular_file(gone) ? f.file_size(gone) : 0;
    bytes += gone ? 0 : size;
  }
  EXPECT_LE(bytes, 1'000'000u);
}

}  // namespace
}  // namespace heronvane::testing
