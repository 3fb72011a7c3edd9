// The folder that lasts, seen from outside: starts that fail or come twice, over loopback sockets.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kUnsafe = "pay-and-order";

class FolderTest : public RelayTest {
 protected:
  // Every file of the folder that lasts, with its bytes.
  std::map<std::string, std::string> files() const {
    std::map<std::string, std::string> all;
    for (const auto& f : std::filesystem::recursive_directory_iterator(folder + "/state")) {
      std::ifstream in(f.path(), std::ios::binary);
      all[f.path().filename()] = f.is_directory() ? "" : std::string(std::istreambuf_iterator<char>(in), {});
    }
    return all;
  }
  // Takes on `n` unsafe messages that can't be sent yet, then dies.
  void hold(int n) {
    members =
        member("s-1", endpoint.address(), "draining") + "," +
        R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
    start();
    for (int i = 0; i < n; i++)
      ASSERT_EQ(hand_in("m" + std::to_string(i), kUnsafe, std::string(500, 'x'), "24000m"), 202u);
  }
  void expect_each_called_once(int n) {
    members = member("s-1", endpoint.address());
    start();
    std::map<std::string, int> called;
    const auto count = [&] {
      called.clear();
      for (const auto& g : endpoint.got) called[std::string(g.request["X-Request-Id"])]++;
      return called.size();
    };
    wait_for([&] { return count() == static_cast<std::size_t>(n); }, "every message is called");
    for (const auto& [id, times] : called) EXPECT_EQ(times, 1) << id;
    EXPECT_EQ(finals, "");
  }
};

// A second program on the folder of one that runs ends at once, with the reason, whatever its address. Guards
// against two owners: the second used to cut the first one's records.
TEST_F(FolderTest, ASecondStartLeavesTheFolderAlone) {
  hold(10);
  const auto before = files();
  const pid_t first = child;
  const auto first_port = port;
  for (int i = 0; i < 3; i++) {
    if (i > 0)
      port = static_cast<std::uint16_t>(
          tcp::acceptor(io, {net::ip::make_address(own_address()), 0}).local_endpoint().port());
    spawn(config());
    EXPECT_EQ(wait_exit(), 1);
  }
  EXPECT_NE(logged().find("another process has"), std::string::npos) << logged();
  child = first, port = first_port;
  EXPECT_EQ(files(), before);
  EXPECT_EQ(health(), 200u);
  kill_relay();
  expect_each_called_once(10);
}

// A start that finds its address in use has touched nothing: such starts used to write attempts that were
// never made, which ended unsafe messages as undeliverable.
TEST_F(FolderTest, StartsThatFailChangeNothing) {
  hold(10);
  kill_relay();
  members = member("s-1", endpoint.address());
  const auto before = files();
  {
    tcp::acceptor other(io, {net::ip::make_address(own_address()), port});
    for (int i = 0; i < 10; i++) {
      spawn(config());
      EXPECT_EQ(wait_exit(), 1);
    }
  }
  EXPECT_NE(logged().find("listen: " + own_address()), std::string::npos) << logged();
  EXPECT_EQ(files(), before);
  expect_each_called_once(10);
}

// The same where the address for notes from other relays is in use.
TEST_F(FolderTest, AStartWithoutItsNoteAddressChangesNothing) {
  hold(3);
  kill_relay();
  members = member("s-1", endpoint.address());
  const auto before = files();
  {
    net::ip::udp::socket other(io, {net::ip::make_address(own_address()), 0});
    more = ",\"peer_listen\":\"" + own_address() + ":" + std::to_string(other.local_endpoint().port()) + "\"";
    spawn(config());
    EXPECT_EQ(wait_exit(), 1);
  }
  more.clear();
  EXPECT_EQ(files(), before);
  expect_each_called_once(3);
}

}  // namespace
}  // namespace heronvane::testing
