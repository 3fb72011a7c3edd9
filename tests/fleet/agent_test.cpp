// The agent with stand-ins for relays that crash, stall, drain and lose their folders.
#include <sys/stat.h>

#include "agent_harness.hpp"

namespace heronvane::fleet::testing {
namespace {

TEST_F(AgentTest, KilledRelayIsRestarted) {
  start_agent();
  apply_standins(3);
  const auto before = instances();
  ASSERT_EQ(relays().size(), 3u);
  ::kill(before.at("n1").pid, SIGKILL);
  wait_for(
      [&] {
        const auto now = instances()["n1"];
        return now.phase == "ready" && now.run != before.at("n1").run;
      },
      "the relay is ready with a new run");
  const auto now = instances();
  EXPECT_EQ(now.at("n0").pid, before.at("n0").pid);
  EXPECT_EQ(now.at("n2").run, before.at("n2").run);
  EXPECT_EQ(now.at("n1").last_exit, "signal 9");
  EXPECT_EQ(now.at("n1").restarts, 1u);
  EXPECT_EQ(relays().size(), 3u);
  expect_single(3);
}

TEST_F(AgentTest, StalledRelayIsKilledAndRestarted) {
  start_agent();
  apply_standins(2);
  const auto before = instances();
  ::kill(before.at("n0").pid, SIGSTOP);
  wait_for([&] { return phase("n0") == "stalled"; }, "n0 is reported as stalled");
  EXPECT_TRUE(identify(before.at("n0").pid));
  wait_for(
      [&] {
        const auto now = instances()["n0"];
        return now.phase == "ready" && now.run != before.at("n0").run;
      },
      "the relay is ready with a new run");
  EXPECT_FALSE(identify(before.at("n0").pid));
  EXPECT_EQ(relays().size(), 2u);
  expect_single(2);
}

TEST_F(AgentTest, RestartedAgentAdoptsItsRelays) {
  start_agent();
  apply_standins(3);
  const auto before = instances();
  kill_agent();
  EXPECT_EQ(relays().size(), 3u);
  start_agent();
  wait_for([&] { return all_in_phase("ready", 3); }, "all are ready again");
  for (const auto& [name, i] : instances()) {
    EXPECT_EQ(i.pid, before.at(name).pid);
    EXPECT_EQ(i.run, before.at(name).run);
    EXPECT_EQ(i.restarts, before.at(name).restarts);
  }
  // The agent also watches adopted relays.
  ::kill(before.at("n2").pid, SIGKILL);
  wait_for(
      [&] {
        const auto now = instances()["n2"];
        return now.phase == "ready" && now.run != before.at("n2").run;
      },
      "the adopted relay is ready with a new run");
  EXPECT_EQ(relays().size(), 3u);
  expect_single(3);
}

TEST_F(AgentTest, RelayThatEndedWhileTheAgentWasDownIsRestarted) {
  start_agent();
  apply_standins(2);
  const auto before = instances();
  kill_agent();
  ::kill(before.at("n0").pid, SIGKILL);
  wait_for([&] { return !identify(before.at("n0").pid); }, "the process has ended");
  start_agent();
  wait_for(
      [&] {
        const auto now = instances()["n0"];
        return now.phase == "ready" && now.run != before.at("n0").run;
      },
      "the relay is ready with a new run");
  EXPECT_EQ(instances()["n1"].pid, before.at("n1").pid);
  EXPECT_EQ(relays().size(), 2u);
}

TEST_F(AgentTest, SigtermEndsTheAgentAndNotTheRelays) {
  start_agent();
  apply_standins(2);
  const auto before = relays();
  ::kill(agent, SIGTERM);
  int status = 0;
  wait_for([&] { return agent_ended(&status); }, "the agent ends");
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  EXPECT_EQ(relays(), before);
}

TEST_F(AgentTest, StopRelaysOptionEndsTheRelaysToo) {
  start_agent({"--stop-relays"});
  apply_standins(2);
  ::kill(agent, SIGTERM);
  int status = 0;
  wait_for([&] { return agent_ended(&status); }, "the agent ends");
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  EXPECT_TRUE(relays().empty());
}

// A second agent on the same folder exits with an error and changes nothing.
TEST_F(AgentTest, SecondAgentIsRefused) {
  start_agent();
  apply_standins(1);
  const pid_t first = agent;
  start_agent({}, false);
  int status = 0;
  wait_for([&] { return agent_ended(&status); }, "the second agent ends");
  agent = first;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1);
  EXPECT_NE(
      read_file(folder + "/agent.log").find("another heronvane-agent has it, pid " + std::to_string(first)),
      std::string::npos);
  EXPECT_EQ(read_file(data() + "/lock"), std::to_string(first) + "\n");
  EXPECT_EQ(get("/v1/agent").status, 200u);
}

// The agent sets mode 0700 on its data folder: /tmp named by mistake would become inaccessible to others.
TEST_F(AgentTest, FolderWithForeignFilesIsRefused) {
  std::filesystem::create_directories(data());
  ::chmod(data().c_str(), 0755);
  std::ofstream(data() + "/other") << "x";
  start_agent({}, false);
  int status = 0;
  wait_for([&] { return agent_ended(&status); }, "the agent ends");
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1);
  EXPECT_NE(read_file(folder + "/agent.log").find("holds other things"), std::string::npos);
  struct stat about {};
  ASSERT_EQ(::stat(data().c_str(), &about), 0);
  EXPECT_EQ(about.st_mode & 0777, 0755u);
  // A folder that holds only a copy of the database is accepted: a backup is restored that way.
  std::filesystem::rename(data() + "/other", data() + "/agent.db");
  std::filesystem::resize_file(data() + "/agent.db", 0);
  start_agent();
  ASSERT_EQ(::stat(data().c_str(), &about), 0);
  EXPECT_EQ(about.st_mode & 0777, 0700u);
}

TEST_F(AgentTest, RelayWithoutItsStateFolderIsRestartedWithANewOne) {
  start_agent();
  apply_standins(2);
  const auto before = instances();
  std::filesystem::remove_all(data() + "/instances/n0/state");
  wait_for(
      [&] {
        const auto now = instances()["n0"];
        // The missing folder is detected, not the silence of the deleted socket.
        EXPECT_NE(now.phase, "stalled");
        return now.phase == "ready" && now.run != before.at("n0").run;
      },
      "the relay is ready with a new run");
  EXPECT_TRUE(std::filesystem::exists(data() + "/instances/n0/state/admin.sock"));
  EXPECT_EQ(instances()["n1"].pid, before.at("n1").pid);
  EXPECT_EQ(relays().size(), 2u);
}

TEST_F(AgentTest, DrainAllWaitsForHeldMessagesAndUndrainRestartsAll) {
  start_agent();
  apply_standins(3);
  set_behaviour("n1", "held=5");
  wait_done(start_operation(R"({"kind":"restart","names":["n1"]})"));
  const auto drain = start_operation(R"({"kind":"drain","names":"all"})");
  wait_done(drain);
  EXPECT_TRUE(all_in_phase("drained", 3));
  EXPECT_TRUE(relays().empty());
  // The drain persists across a restart of the agent.
  kill_agent();
  start_agent();
  EXPECT_TRUE(all_in_phase("drained", 3));
  set_behaviour("n1", "");
  wait_done(start_operation(R"({"kind":"undrain","names":"all"})"));
  EXPECT_TRUE(all_in_phase("ready", 3));
  EXPECT_EQ(relays().size(), 3u);
}

TEST_F(AgentTest, DownEndsARelayThatIgnoresSigterm) {
  start_agent();
  apply_standins(1);
  set_behaviour("n0", "deaf");
  wait_done(start_operation(R"({"kind":"restart","names":["n0"]})"));
  wait_done(start_operation(R"({"kind":"down","names":["n0"]})"));
  EXPECT_EQ(phase("n0"), "stopped");
  EXPECT_TRUE(relays().empty());
}

TEST_F(AgentTest, CrashLoopIsReportedAndEndsAfterRepair) {
  start_agent();
  apply_standins(1);
  set_behaviour("n0", "crash");
  ::kill(instances()["n0"].pid, SIGKILL);
  wait_for([&] { return phase("n0") == "looping"; }, "n0 is reported as looping");
  EXPECT_EQ(instances()["n0"].last_exit, "status 3");
  set_behaviour("n0", "");
  wait_for([&] { return phase("n0") == "ready"; }, "n0 is ready");
}

// The recorded pid belongs to another process now, which must not be adopted.
TEST_F(AgentTest, ReusedPidIsNotAdopted) {
  start_agent();
  apply_standins(1);
  kill_agent();
  for (const auto& [run, id] : relays()) ::kill(id.pid, SIGKILL);
  wait_for([&] { return relays().empty(); }, "the process has ended");
  // The database names the test's own process, first with another start time, then with the right one.
  for (const bool same_time : {false, true}) {
    const auto own = identify(::getpid());
    ASSERT_TRUE(own);
    const std::string sql = "UPDATE instances SET live=1, pid=" + std::to_string(own->pid) +
                            ", start_time=" + std::to_string(own->start_time + (same_time ? 0 : 1)) +
                            ", boot='" + own->boot + "'";
    edit_database(sql);
    start_agent();
    wait_for([&] { return phase("n0") == "ready"; }, "n0 is ready with a new process");
    EXPECT_NE(instances()["n0"].pid, own->pid);
    wait_done(start_operation(R"({"kind":"down","names":"all"})"));
    wait_done(start_operation(R"({"kind":"up","names":"all"})"));
    kill_agent();
    for (const auto& [run, id] : relays()) ::kill(id.pid, SIGKILL);
    wait_for([&] { return relays().empty(); }, "the process has ended");
  }
}

// The agent was killed between a process start and its record: the process is found by its run.
TEST_F(AgentTest, ProcessWithoutRecordedPidIsAdoptedByRun) {
  start_agent();
  apply_standins(1);
  const auto before = instances()["n0"];
  kill_agent();
  edit_database("UPDATE instances SET pid=0, start_time=0, boot=''");
  start_agent();
  wait_for([&] { return phase("n0") == "ready"; }, "n0 is adopted");
  EXPECT_EQ(instances()["n0"].pid, before.pid);
  EXPECT_EQ(instances()["n0"].run, before.run);
  expect_single(1);
}

TEST_F(AgentTest, FullDatabaseIsReportedAndDisturbsNoRelay) {
  start_agent();
  apply_standins(2);
  const auto before = instances();
  kill_agent();
  environment["HERONVANE_AGENT_MOST_PAGES"] = "1";  // the file is larger already
  start_agent();
  wait_for([&] { return all_in_phase("ready", 2); }, "all are ready");
  std::string partners;
  for (int i = 0; i < 5'000; i++)
    partners += std::string(i > 0 ? "," : "") + R"({"name":"s-)" + std::to_string(i) +
                R"(","address":"127.0.0.1:9","group":7})";
  const std::string big =
      fleet(2, R"(,"platform":{"listen":"127.0.0.1:19999","partners":[)" + partners + "]}");
  const auto answer = post(apply(big));
  EXPECT_EQ(answer.status, 507u) << answer.body;
  EXPECT_NE(answer.body.find("\"storage\""), std::string::npos);
  for (const auto& [name, i] : instances()) EXPECT_EQ(i.pid, before.at(name).pid);
  kill_agent();
  environment.erase("HERONVANE_AGENT_MOST_PAGES");
  start_agent();
  wait_for([&] { return all_in_phase("ready", 2); }, "all are ready");
  for (const auto& [name, i] : instances()) EXPECT_EQ(i.pid, before.at(name).pid);
  wait_done(start_operation(R"({"kind":"restart","names":["n0"]})"));
}

// The agent's answer shows a platform error while it lasts: the address is in use, the partner file is
// invalid.
TEST_F(AgentTest, PlatformErrorsAreReported) {
  const int holder = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  ASSERT_EQ(::bind(holder, reinterpret_cast<const sockaddr*>(&at), size), 0);
  ASSERT_EQ(::listen(holder, 1), 0);
  ASSERT_EQ(::getsockname(holder, reinterpret_cast<sockaddr*>(&at), &size), 0);
  const std::string listen = "127.0.0.1:" + std::to_string(ntohs(at.sin_port)),
                    file = folder + "/partners.json";
  std::ofstream(file) << R"({"endpoints":[{"name":"s-1","address":"127.0.0.1:9","group":7}]})";
  start_agent();
  const auto applied = post(
      apply(fleet(1, R"(,"platform":{"listen":")" + listen + R"(","partners_file":")" + file + R"("})")));
  ASSERT_EQ(applied.status, 202u) << applied.body;
  const auto platform_error = [this] {
    const auto v = get("/v1/agent").json();
    return v.IsObject() && v["platform"].IsObject() ? std::string(v["platform"]["trouble"].GetString())
                                                    : "no answer";
  };
  wait_for([&] { return platform_error().find("can't listen on " + listen) == 0; },
           "the used address is reported");
  ::close(holder);
  wait_for([&] { return platform_error().empty(); }, "the platform listens");
  std::ofstream(file) << "[";
  wait_for([&] { return platform_error().find("partners: " + file + ": line 1: ") == 0; },
           "the invalid partner file is reported");
  std::ofstream(file) << R"({"endpoints":[]})";
  wait_for([&] { return platform_error().empty(); }, "the repaired partner file is accepted");
}

// The disk is full while the agent runs, and later has space again.
TEST_F(AgentTest, FullDiskDoesNotEndTheAgent) {
  start_agent();
  apply_standins(2);
  const auto before = instances();
  const auto limit = [this](rlim_t bytes) {
    const rlimit to{bytes, RLIM_INFINITY};
    EXPECT_EQ(::prlimit(agent, RLIMIT_FSIZE, &to, nullptr), 0);
  };
  limit(4096);
  const auto refused = post(R"({"kind":"restart","names":["n0"]})");
  EXPECT_EQ(refused.status, 507u) << refused.body;
  // A relay that ends meanwhile is not restarted, since its run can't be recorded; the other is not
  // disturbed.
  ::kill(before.at("n0").pid, SIGKILL);
  wait_for(
      [&] {
        return !identify(before.at("n0").pid) && post(R"({"kind":"undrain","names":["n0"]})").status == 507;
      },
      "the process has ended");
  EXPECT_EQ(relays().size(), 1u);
  EXPECT_EQ(instances()["n1"].pid, before.at("n1").pid);
  limit(RLIM_INFINITY);
  wait_for([&] { return all_in_phase("ready", 2); }, "the relay is ready with a new run");
  EXPECT_EQ(instances()["n1"].pid, before.at("n1").pid);
  EXPECT_NE(instances()["n0"].run, before.at("n0").run);
  wait_done(start_operation(R"({"kind":"restart","names":["n1"]})"));
}

TEST_F(AgentTest, FollowedOperationStreamsItsChanges) {
  start_agent();
  apply_standins(2);
  const auto id = start_operation(R"({"kind":"restart","names":"all","max_unavailable":1})");
  const auto followed = get("/v1/operations/" + std::to_string(id) + "?follow=1");
  EXPECT_EQ(followed.status, 200u);
  std::vector<std::string> lines;
  std::istringstream in(followed.body);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  ASSERT_GE(lines.size(), 3u);
  for (const auto& line : lines) EXPECT_EQ(parse_json(line)["id"].GetUint64(), id);
  EXPECT_STREQ(parse_json(lines.back())["state"].GetString(), "done");
}

TEST_F(AgentTest, LogsAndMessagesAreReturned) {
  start_agent();
  apply_standins(2);
  EXPECT_NE(get("/v1/instances/n0/log?lines=5").body.find("standin: run " + instances()["n0"].run),
            std::string::npos);
  const auto v = get("/v1/messages/known-n1").json();
  ASSERT_TRUE(v.IsObject());
  ASSERT_EQ(v["found"].Size(), 1u);
  EXPECT_STREQ(v["found"][0]["instance"].GetString(), "n1");
  EXPECT_EQ(v["not_asked"].Size(), 0u);
  ::kill(instances()["n0"].pid, SIGSTOP);
  const auto partial = get("/v1/messages/known-n1").json();
  ASSERT_EQ(partial["not_asked"].Size(), 1u);
  EXPECT_STREQ(partial["not_asked"][0].GetString(), "n0");
}

// A log above its limit is copied and truncated while the relay keeps writing.
TEST_F(AgentTest, LogIsRotated) {
  start_agent();
  apply_standins(1);
  const std::string log = data() + "/instances/n0/log";
  std::filesystem::resize_file(log, 10'000'001);
  wait_for([&] { return std::filesystem::exists(log + ".1") && std::filesystem::file_size(log) < 1'000; },
           "the log is truncated");
  EXPECT_EQ(std::filesystem::file_size(log + ".1"), 10'000'001u);
}

TEST_F(AgentTest, RemovedInstanceIsDrainedAndItsFolderDeleted) {
  start_agent();
  apply_standins(3);
  wait_done(start_operation(apply(fleet(2))));
  wait_for([&] { return !std::filesystem::exists(data() + "/instances/n2"); }, "the folder of n2 is deleted");
  EXPECT_EQ(instances().size(), 2u);
  EXPECT_EQ(relays().size(), 2u);
}

// Without --foreground the parent process exits with the result of the start.
TEST_F(AgentTest, BackgroundAgentReportsItsStart) {
  foreground = false;
  start_agent({}, false);
  int status = 0;
  wait_for([&] { return agent_ended(&status); }, "the parent process ends");
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  const auto about = get("/v1/agent");
  ASSERT_EQ(about.status, 200u);
  const auto background = static_cast<pid_t>(about.json()["pid"].GetInt());
  EXPECT_NE(read_file(data() + "/agent.log").find("agent: "), std::string::npos);
  start_agent({}, false);
  wait_for([&] { return agent_ended(&status); }, "the second agent ends");
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1);
  EXPECT_NE(read_file(folder + "/agent.log").find("another heronvane-agent has it"), std::string::npos);
  agent = background;  // now a child of the test, as subreaper
}

TEST_F(AgentTest, WrongUsageIsReported) {
  const std::vector<std::pair<std::vector<std::string>, std::string>> all{
      {{"--dota", "x"}, "--dota: no such option"},
      {{"--listen-tls", "127.0.0.1:1"}, "--listen-tls needs --cert"},
      {{"--cert", "x"}, "go with --listen-tls"},
      {{"--key"}, "--key needs a value"}};
  for (const auto& [words, what] : all) {
    start_agent(words, false);
    int status = 0;
    wait_for([&] { return agent_ended(&status); }, "the agent ends");
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2) << what;
    EXPECT_NE(read_file(folder + "/agent.log").find(what), std::string::npos) << what;
  }
}

}  // namespace
}  // namespace heronvane::fleet::testing
