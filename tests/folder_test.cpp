// The relay's store as seen from outside, over loopback sockets: failed and concurrent starts, state that
// survives the process, a full disk.
#include <algorithm>
#include <map>
#include <set>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

const char* const kSafe = "load-status";
const char* const kUnsafe = "pay-and-order";

class FolderTest : public RelayTest {
 protected:
  // All files of the store's folder with their content.
  std::map<std::string, std::string> files() const {
    std::map<std::string, std::string> all;
    for (const auto& f : std::filesystem::recursive_directory_iterator(folder + "/state")) {
      std::ifstream in(f.path(), std::ios::binary);
      all[f.path().filename()] = f.is_directory() ? "" : std::string(std::istreambuf_iterator<char>(in), {});
    }
    return all;
  }
  // Accepts `n` unsafe messages that can't be sent yet; the test then kills the relay.
  void accept_unsent(int n) {
    members =
        member("s-1", endpoint.address(), "draining") + "," +
        R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
    start();
    for (int i = 0; i < n; i++)
      ASSERT_EQ(hand_in("m" + std::to_string(i), kUnsafe, std::string(500, 'x'), "24000m"), 202u);
  }
  // An address at which nothing listens.
  std::string unused_address() {
    tcp::acceptor probe(io, {net::ip::make_address(own_address()), 0});
    return own_address() + ":" + std::to_string(probe.local_endpoint().port());
  }
  // Starts while discovery is down, with only the configuration and the folder as sources.
  void start_without_discovery() {
    spawn(config(unused_address()));
    wait_for([this] { return health() == 200; }, "the relay is ready");
  }
  void limit_files(rlim_t bytes) {
    const rlimit limit{bytes, RLIM_INFINITY};
    ASSERT_EQ(::prlimit(child, RLIMIT_FSIZE, &limit, nullptr), 0);
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

#ifdef HERONVANE_SETTINGS_FILE
// Starts that wait for a resource that another process uses, until their timeout.
class WaitingFolderTest : public FolderTest {
 protected:
  void expect_start_to_time_out() {
    own_settings = "[relay]\nstart_timeout = 0.2\n";
    spawn(config());
    EXPECT_EQ(wait_exit(), 1);
    EXPECT_NE(logged().find("waiting: "), std::string::npos) << logged();
    EXPECT_NE(logged().find("(relay.start_timeout)"), std::string::npos) << logged();
  }
};

// A second relay on the folder of a running one must wait, change nothing, and exit with the reason after its
// timeout, whatever its address. The second one used to truncate the records of the first.
TEST_F(WaitingFolderTest, ASecondStartDoesNotChangeTheFolder) {
  accept_unsent(10);
  const auto before = files();
  const pid_t first = child;
  const auto first_port = port;
  for (int i = 0; i < 3; i++) {
    if (i > 0)
      port = static_cast<std::uint16_t>(
          tcp::acceptor(io, {net::ip::make_address(own_address()), 0}).local_endpoint().port());
    expect_start_to_time_out();
  }
  EXPECT_NE(logged().find("another process has"), std::string::npos) << logged();
  EXPECT_NE(logged().find("process " + std::to_string(first) + " ("), std::string::npos) << logged();
  child = first, port = first_port;
  EXPECT_EQ(files(), before);
  EXPECT_EQ(health(), 200u);
  kill_relay();
  expect_each_called_once(10);
}

// A start whose address is in use must change nothing: such starts used to write attempts that were never
// made, so unsafe messages were ended as undeliverable.
TEST_F(WaitingFolderTest, FailedStartsChangeNothing) {
  accept_unsent(10);
  kill_relay();
  members = member("s-1", endpoint.address());
  const auto before = files();
  {
    tcp::acceptor other(io, {net::ip::make_address(own_address()), port});
    for (int i = 0; i < 10; i++) expect_start_to_time_out();
  }
  EXPECT_NE(logged().find("listen: " + own_address()), std::string::npos) << logged();
  EXPECT_NE(logged().find("process " + std::to_string(::getpid()) + " ("), std::string::npos) << logged();
  EXPECT_EQ(files(), before);
  expect_each_called_once(10);
}

// The same if the address for notes from other relays is in use.
TEST_F(WaitingFolderTest, AStartWithoutItsPeerAddressChangesNothing) {
  accept_unsent(3);
  kill_relay();
  members = member("s-1", endpoint.address());
  const auto before = files();
  {
    net::ip::udp::socket other(io, {net::ip::make_address(own_address()), 0});
    more = ",\"peer_listen\":\"" + own_address() + ":" + std::to_string(other.local_endpoint().port()) + "\"";
    expect_start_to_time_out();
  }
  EXPECT_NE(logged().find("peer_listen: " + own_address()), std::string::npos) << logged();
  more.clear();
  EXPECT_EQ(files(), before);
  expect_each_called_once(3);
}
#endif

// ---- State that survives the process. ----
// The same unsafe id submitted again after a restart used to run twice.
TEST_F(FolderTest, AFinishedUnsafeIdDoesNotRunAgainAfterARestart) {
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  kill_relay();
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe), 202u);
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 2; }, "the next message's call");
  EXPECT_EQ(endpoint.got[1].request["X-Request-Id"], "m2");
  EXPECT_EQ(hand_in("m3", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 3; }, "another call");
  EXPECT_EQ(endpoint.got[2].request["X-Request-Id"], "m3");
}

// While discovery is down, the endpoint states that it last reported take precedence over the older list in
// the configuration. Messages used to go to an endpoint known to be gone.
TEST_F(FolderTest, AnEndpointReportedGoneIsNotUsedAfterARestart) {
  Server drained(io, answer_ok), other(io, answer_ok);
  members = member("s-1", endpoint.address()) + "," + member("s-2", drained.address()) + "," +
            member("s-3", other.address());
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  std::string new_endpoint = member("s-8", other.address());
  new_endpoint.replace(new_endpoint.find("\"group\":7"), 9, "\"group\":8");
  tell(list(member("s-1", endpoint.address(), "gone") + "," + member("s-2", drained.address(), "draining") +
                "," + new_endpoint,
            false));
  int n = 0;
  wait_for(
      [&] {
        std::string probe = request("probe" + std::to_string(n++), kSafe);
        probe.replace(probe.find("dest=7"), 6, "dest=8");
        return ask(probe) == 202u;  // 404 until the list is read
      },
      "the list is read");
  EXPECT_EQ(hand_in("last", kSafe), 202u);  // a tick later
  kill_relay();
  const auto gone = endpoint.got.size(), left = drained.got.size();
  start_without_discovery();
  std::set<std::string> called;
  for (int i = 0; i < 12; i++) EXPECT_EQ(hand_in("after-" + std::to_string(i), kSafe), 202u);
  wait_for(
      [&] {
        for (const auto& g : other.got) called.insert(std::string(g.request["X-Request-Id"]));
        return called.count("after-11") > 0;
      },
      "the calls");
  EXPECT_EQ(endpoint.got.size(), gone);
  EXPECT_EQ(drained.got.size(), left);
  // A list that is not older reports them as ready again.
  kill_relay();
  members = member("s-1", endpoint.address()) + "," + member("s-2", drained.address());
  start();
  EXPECT_EQ(hand_in("back", kSafe), 202u);
  wait_for([&] { return endpoint.got.size() + drained.got.size() > gone + left; },
           "one of them is used again");
}

class WaitTest : public FolderTest {
 protected:
  // The first call is answered by a wait of 4 s, then the relay is killed. Returns how many calls the next
  // process makes before that time has passed; two more messages are submitted.
  std::size_t calls_before_the_wait_ends() {
    endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 4000\r\n"); });
    start();
    EXPECT_EQ(hand_in("m0", kSafe, "x", "12000m"), 202u);
    wait_for([&] { return endpoint.got.size() == 1; }, "the call");
    const auto answered_at = std::chrono::steady_clock::now();
    // The outcome is stored once a later message has been accepted.
    wait_for([&] { return hand_in("m1", kSafe, "x", "12000m") == 202u; }, "the next message");
    kill_relay();
    endpoint.on_request(answer_ok);
    start();
    EXPECT_EQ(hand_in("m2", kSafe, "x", "12000m"), 202u);
    std::size_t early = 0;
    wait_for(
        [&] {
          if (std::chrono::steady_clock::now() < answered_at + std::chrono::milliseconds(3900))
            early = endpoint.got.size() - 1;
          return endpoint.got.size() >= 4;
        },
        "all are delivered in the end");
    return early;
  }
};

TEST_F(WaitTest, AWaitSurvivesARestartIfConfigured) {
  own_settings = "[store]\nkeep_waits = true\n";
  EXPECT_EQ(calls_before_the_wait_ends(), 0u);
}
TEST_F(WaitTest, AWaitEndsAtARestartByDefault) { EXPECT_GT(calls_before_the_wait_ends(), 0u); }

// An endpoint that was in an outage when the process ended is probed cautiously by the next one: rule 4
// applies across restarts.
class OutageTest : public FolderTest {
 protected:
  // Returns how many calls come before the first is answered, in the process after one that saw the endpoint
  // fail.
  std::size_t calls_at_once() {
    workers = 16;
    endpoint.on_request([](const Got& g) { g.session->close(); });
    start();
    int n = 0;
    wait_for(
        [&] {
          hand_in("n" + std::to_string(n++), kSafe, "x", "12000m");
          return logged().find("closed s-1") != std::string::npos;
        },
        "the endpoint is closed");
    for (int i = 0; i < 8; i++) hand_in("o" + std::to_string(i), kSafe, "x", "12000m");
    kill_relay();
    endpoint.got.clear();
    endpoint.on_request(stay_silent);
    start();
    wait_for([&] { return !endpoint.got.empty(); }, "the first call");
    // Lets some ticks pass.
    for (int i = 0; i < 10; i++) hand_in("p" + std::to_string(i), kSafe, "x", "12000m");
    return endpoint.got.size();
  }
};
TEST_F(OutageTest, AnOutageIsRememberedOverARestart) { EXPECT_EQ(calls_at_once(), 1u); }
TEST_F(OutageTest, AnOutageIsForgottenIfConfigured) {
  own_settings = "[store]\nkeep_health = false\n";
  EXPECT_GT(calls_at_once(), 1u);
}

TEST_F(FolderTest, UnknownSettingsAreReported) {
  own_settings = "[store]\nkeep_wait = true\n";
  members = member("s-1", endpoint.address());
  spawn(config());
  EXPECT_EQ(wait_exit(), 1);
  EXPECT_NE(logged().find("own.toml:2: store.keep_wait: is no setting"), std::string::npos) << logged();
}

TEST_F(FolderTest, MachineDurabilityDeliversAndRecovers) {
  own_settings = "[store]\ndurability = \"machine\"\n";
  start();
  for (int i = 0; i < 20; i++) EXPECT_EQ(hand_in("m" + std::to_string(i), kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() == 20; }, "the calls");
  endpoint.on_request(stay_silent);
  EXPECT_EQ(hand_in("late", kSafe, "x", "12000m"), 202u);
  wait_for([&] { return endpoint.got.size() == 21; }, "the last call");
  kill_relay();
  endpoint.on_request(answer_ok);
  start();
  wait_for([&] { return endpoint.got.size() == 22; }, "the call is made again");
  EXPECT_EQ(endpoint.got[21].request["X-Request-Id"], "late");
  send_signal(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(finals, "");
}

// ---- Damage. ----
// One damaged record costs only that record. Unsafe messages whose later records it may have contained are
// not called, since they may have run; messages accepted after it are unaffected. A flipped bit used to
// truncate the file there and lose all later records.
TEST_F(FolderTest, AFlippedBitCostsOneRecord) {
  accept_unsent(10);
  kill_relay();
  std::string damaged;
  for (const auto& [name, bytes] : files()) {
    const auto at = bytes.find(std::string("m3") + std::string("\x0d\0\0\0pay-and-order", 17));
    if (at == std::string::npos) continue;
    damaged = name;
    std::fstream file(folder + "/state/" + name, std::ios::binary | std::ios::in | std::ios::out);
    file.seekp(static_cast<std::streamoff>(at + 100));
    file.put('y');
  }
  ASSERT_NE(damaged, "");
  members = member("s-1", endpoint.address());
  start();
  std::map<std::string, int> called;
  wait_for(
      [&] {
        called.clear();
        for (const auto& g : endpoint.got) called[std::string(g.request["X-Request-Id"])]++;
        return called.size() == 6 && std::count(finals.begin(), finals.end(), '\n') == 3;
      },
      "the others end");
  for (int i = 0; i < 10; i++) {
    const std::string id = "m" + std::to_string(i);
    EXPECT_EQ(called.count(id), i > 3 ? 1u : 0u) << id;
    EXPECT_EQ(finals.find('"' + id + "\",\"status\":\"undeliverable\"") != std::string::npos, i < 3) << id;
  }
  EXPECT_NE(logged().find("damage: " + damaged), std::string::npos) << logged();
  wait_for([&] { return files().count("damaged-" + damaged) > 0; }, "the damaged file is renamed");
}

// ---- A full or reduced disk. ----
// Decisions made while nothing could be written must be made again. A call used to go out 1.6 s after a
// drain.
TEST_F(FolderTest, CallsDecidedBeforeADrainAreNotSent) {
  members = member("s-1", endpoint.address()) + "," +
            R"({"name":"s-9","address":"127.0.0.1:9","zone":"a","type":"small","group":8,"status":"ready"})";
  endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 700\r\n"); });
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "4000m"), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the first call");
  limit_files(1);
  wait_for([&] { return health() == 503; }, "the store can't be written");
  wait_for([&] { return hand_in("refused", kUnsafe) == 503u; }, "messages are refused");
  endpoint.on_request(answer_ok);
  // After the wait, when the second call is due.
  const auto due = std::chrono::steady_clock::now() + std::chrono::milliseconds(900);
  wait_for([&] { return std::chrono::steady_clock::now() > due; }, "the second call is due");
  tell(list(member("s-1", endpoint.address(), "draining"), false));
  wait_for([&] { return endpoint.sessions[0]->ended; }, "the drain is told");
  limit_files(RLIM_INFINITY);
  wait_for([&] { return health() == 200; }, "it can be written again");
  wait_for([&] { return !finals.empty(); }, "the message ends");
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
  EXPECT_EQ(endpoint.got.size(), 1u);
}

// The deadline passes while nothing can be written: one notification is sent, and no call.
TEST_F(FolderTest, NoCallIsSentAfterItsDeadline) {
  endpoint.on_request([](const Got& g) { g.session->answer(429, "X-Come-Back-Ms: 300\r\n"); });
  start();
  EXPECT_EQ(hand_in("m1", kUnsafe, "x", "900m"), 202u);
  const auto due = std::chrono::steady_clock::now() + std::chrono::milliseconds(1000);
  wait_for([&] { return endpoint.got.size() == 1; }, "the first call");
  limit_files(1);
  wait_for([&] { return health() == 503 && std::chrono::steady_clock::now() > due; },
           "the deadline has passed");
  endpoint.on_request(answer_ok);
  const auto before = endpoint.got.size();
  limit_files(RLIM_INFINITY);
  wait_for([&] { return !finals.empty() && health() == 200; }, "the message ends");
  EXPECT_EQ(hand_in("m2", kUnsafe), 202u);
  wait_for([&] { return endpoint.got.size() > before; }, "the next message's call");
  EXPECT_EQ(endpoint.got.back().request["X-Request-Id"], "m2");
  EXPECT_EQ(finals, "{\"id\":\"m1\",\"status\":\"undeliverable\"}\n");
}

// However often the list changes while nothing can be written, the pending records must not grow.
TEST_F(FolderTest, ChangingListsDoNotAccumulateWithoutWrites) {
  start();
  wait_for([&] { return !watches.empty(); }, "the watch");
  limit_files(1);
  wait_for([&] { return hand_in("refused", kSafe) == 503u && health() == 503; }, "nothing can be written");
  for (int i = 0; i < 200; i++)
    tell(list(member("s-1", endpoint.address(), i % 2 == 0 ? "draining" : "ready"), false));
  std::string new_endpoint = member("s-8", endpoint.address());
  new_endpoint.replace(new_endpoint.find("\"group\":7"), 9, "\"group\":8");
  tell(list(new_endpoint, false));
  wait_for(
      [&] {
        std::string probe = request("probe", kSafe);
        probe.replace(probe.find("dest=7"), 6, "dest=8");
        return ask(probe) == 503u;  // 404 until the lists are read
      },
      "the lists are read");
  limit_files(RLIM_INFINITY);
  wait_for([&] { return health() == 200; }, "it can be written again");
  EXPECT_EQ(hand_in("m1", kSafe), 202u);
  std::size_t records = 0;
  for (const auto& [name, bytes] : files())
    for (auto at = bytes.find("endpoint/s-1"); at != std::string::npos;
         at = bytes.find("endpoint/s-1", at + 1))
      records++;
  EXPECT_LE(records, 2u);
}

// Notes from other relays keep arriving while nothing can be written and the decision module is not asked.
TEST_F(FolderTest, NotesDoNotAccumulateWithoutWrites) {
  using udp = net::ip::udp;
  const auto here = net::ip::make_address(own_address());
  udp::socket peer(io, {here, 0}), probe(io, {here, 0});
  const auto own = probe.local_endpoint();
  probe.close();
  const auto text = [](const udp::endpoint& e) {
    return "\"" + e.address().to_string() + ":" + std::to_string(e.port()) + "\"";
  };
  more =
      ",\"peer_listen\":" + text(own) + ",\"peers\":[" + text(own) + "," + text(peer.local_endpoint()) + "]";
  start();
  limit_files(1);
  wait_for([&] { return hand_in("refused", kSafe) == 503u && health() == 503; }, "nothing can be written");
  const auto send_notes = [&](int bursts) {
    for (int i = 0; i < bursts; i++) {
      for (int k = 0; k < 50; k++) peer.send_to(net::buffer(std::string(200, 'x')), own);
      ASSERT_EQ(health(), 503u);  // by now it has read them
    }
  };
  send_notes(20);
  [[maybe_unused]] const long before = resident();
  send_notes(600);
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LE(resident(), before + 2048);
#endif
  limit_files(RLIM_INFINITY);
  wait_for([&] { return health() == 200; }, "it can be written again");
}

// A limit lowered below the size of the held messages used to block the journal for good, with health at 200.
TEST_F(FolderTest, ALimitLoweredBelowTheHeldMessagesRecovers) {
  endpoint.on_request(stay_silent);
  start();
  const std::string body(30'000, 'x');
  int n = 0;
  while (n < 38 && hand_in("m" + std::to_string(n), kSafe, body, "12000m") == 202u) n++;
  ASSERT_GT(n, 25);
  kill_relay();
  disk_mb = "0.5";
  spawn(config());
  wait_for([&] { return health() == 503; }, "the relay runs");
  EXPECT_NE(logged().find("more than the limit"), std::string::npos) << logged();
  EXPECT_NE(logged().find("limits.disk_mb is below 1"), std::string::npos);
  EXPECT_EQ(hand_in("refused", kSafe), 503u);
  endpoint.on_request(answer_ok);
  for (const auto& g : endpoint.got) g.session->close();
  const auto ended = [&](const std::string& id) {
    return finals.find('"' + id + '"') != std::string::npos ||
           std::any_of(endpoint.got.begin(), endpoint.got.end(),
                       [&](const Got& g) { return g.request["X-Request-Id"] == id; });
  };
  wait_for(
      [&] {
        let_clients_go();
        for (int i = 0; i < n; i++)
          if (!ended("m" + std::to_string(i))) return false;
        return health() == 200;
      },
      "all held messages end and the relay recovers");
  EXPECT_EQ(hand_in("after", kSafe), 202u);
  wait_for([&] { return ended("after"); }, "the next message's call");
}

}  // namespace
}  // namespace heronvane::testing
