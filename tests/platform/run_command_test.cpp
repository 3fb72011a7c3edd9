// What deploy/balancer.toml has the platform run: one process by `exec`, linked dynamically, that makes none
// of the calls that the platform refuses, through a start, traffic, SIGHUP, compaction, SIGKILL and a stop.
#include <map>
#include <set>
#include <sstream>

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

#if defined(__x86_64__) || defined(__aarch64__)

// The values of deploy/balancer.toml, without their quotes; each stands on a line of its own there.
std::map<std::string, std::string> deploy_file() {
  std::ifstream in(HERONVANE_DEPLOY_FILE);
  std::map<std::string, std::string> values;
  for (std::string line; std::getline(in, line);) {
    const auto name = line.substr(0, line.find(" = "));
    const auto first = line.find('"'), last = line.find('"', first + 1);
    if (name != line && last != std::string::npos) values[name] = line.substr(first + 1, last - first - 1);
  }
  return values;
}

class RunCommandTest : public RelayTest {
 protected:
  RunCommandTest() {
    disk_mb = "0.4";
    for (const char* const set : {"HERONVANE_SETTINGS", "HERONVANE_PLANTED_CALL"}) ::unsetenv(set);
    ::setenv("HERONVANE_REFUSED_CALLS", (folder + "/refused").c_str(), 1);
    ::setenv("LD_PRELOAD", HERONVANE_REFUSED_CALLS_LIBRARY, 1);
    // The leak check at the end of a sanitized program is a process of its own.
    ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0:detect_leaks=0", 1);
  }
  ~RunCommandTest() override {
    for (const char* const set :
         {"HERONVANE_REFUSED_CALLS", "HERONVANE_PLANTED_CALL", "LD_PRELOAD", "ASAN_OPTIONS"})
      ::unsetenv(set);
  }
  void plant(const std::string& call) {
    ::setenv("LD_PRELOAD", HERONVANE_REFUSED_CALLS_LIBRARY ":" HERONVANE_PLANTED_CALL_LIBRARY, 1);
    ::setenv("HERONVANE_PLANTED_CALL", call.c_str(), 1);
  }
  // The names of the calls that were refused, in order, of all processes.
  std::vector<std::string> refused() {
    std::ifstream in(folder + "/refused");
    std::vector<std::string> names;
    pids.clear();
    std::string name;
    for (pid_t pid = 0; in >> name >> pid;) {
      pids.insert(pid);
      if (name != "armed") names.push_back(name);
    }
    return names;
  }
  std::set<std::string> segments() const {
    std::set<std::string> names;
    for (const auto& f : std::filesystem::directory_iterator(folder + "/state"))
      if (f.path().filename().string().rfind("segment-", 0) == 0) names.insert(f.path().filename().string());
    return names;
  }
  // Messages are handed in until compaction has removed each file that stood at the start.
  void traffic_until_compacted() {
    ASSERT_EQ(hand_in("first", "load-status"), 202u);  // a segment is made with its first record
    const auto before = segments();
    ASSERT_FALSE(before.empty());
    const auto gone = [&] {
      const auto now = segments();
      return std::any_of(before.begin(), before.end(),
                         [&](const auto& name) { return now.count(name) == 0; });
    };
    for (int i = 0; i < 2000 && !gone(); i++) {
      const auto id = "m" + std::to_string(handed++);
      ASSERT_EQ(hand_in(id, i % 2 == 0 ? "load-status" : "pay-and-order", std::string(4000, 'x')), 202u);
      let_clients_go();
    }
    std::string files;
    for (const auto& name : segments()) files += name + " ";
    EXPECT_TRUE(gone()) << "nothing was compacted: " << files;
  }

  std::set<pid_t> pids;
  int handed = 0;
};

TEST_F(RunCommandTest, OneProcessByExecWithNothingElseNamed) {
  const auto deploy = deploy_file();
  ASSERT_EQ(deploy.count("run"), 1u);
  EXPECT_EQ(deploy.at("run"), "exec build/heronvane");
  ASSERT_EQ(deploy.count("build"), 1u);
  for (const char* const off : {"SETTINGS_FILE", "ADMIN", "TOOLS", "FLEET", "COPIES"})
    EXPECT_NE(deploy.at("build").find("-DHERONVANE_" + std::string(off) + "=OFF"), std::string::npos) << off;
  EXPECT_EQ(deploy.at("build").find("=ON"), std::string::npos);
}

// Guards against calls that a platform refuses: a thread made by fork, a file sent by sendfile, an event loop
// on io_uring. That the library was loaded at all shows that the program is linked dynamically.
TEST_F(RunCommandTest, NoRefusedCallIsMadeFromStartToStop) {
  start();
  traffic_until_compacted();
  reload(config());
  wait_for([&] { return watches.size() > 1 || logged().find("configuration") != std::string::npos; },
           "the configuration is read again");
  kill_relay();
  start();
  EXPECT_EQ(hand_in("again", "load-status"), 202u);
  let_clients_go();
  ::kill(child, SIGTERM);
  EXPECT_EQ(wait_exit(), 0);
  EXPECT_EQ(refused(), std::vector<std::string>{});
  EXPECT_EQ(pids.size(), 2u) << "two lives, a process each";
}

// Where signals are blocked, as while the C library starts a program, the call ends the process by SIGSYS
// instead.
TEST_F(RunCommandTest, APlantedCallIsFound) {
  const std::map<std::string, std::set<std::string>> planted = {{"fork", {"fork", "clone"}},
                                                                {"program", {"vfork", "clone", "SIGSYS"}},
                                                                {"sendfile", {"sendfile"}},
                                                                {"splice", {"splice"}},
                                                                {"io_uring", {"io_uring_setup"}}};
  members = member("s-1", endpoint.address());
  for (const auto& [call, names] : planted) {
    std::filesystem::remove(folder + "/refused");
    plant(call);
    spawn(config());
    int status = 0;
    wait_for([&] { return !refused().empty() || ::waitpid(child, &status, WNOHANG) == child; },
             "it is found");
    auto found = refused();
    if (found.empty()) {
      child = -1;
      if (WIFSIGNALED(status) && WTERMSIG(status) == SIGSYS) found.push_back("SIGSYS");
    } else {
      kill_relay();
    }
    ASSERT_FALSE(found.empty()) << call;
    for (const auto& name : found) EXPECT_EQ(names.count(name), 1u) << call << " was noted as " << name;
  }
}

#endif

}  // namespace
}  // namespace heronvane::testing
