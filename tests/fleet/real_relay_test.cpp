// The agent with the real relay program and the agent's platform.
#include "agent_harness.hpp"

namespace heronvane::fleet::testing {
namespace {

class RealRelayTest : public AgentTest {
 protected:
  RealRelayTest() { program = HERONVANE_PROGRAM; }
  // An address derived from the pid, so that tests can run in parallel.
  static std::string at(int port) {
    const auto pid = ::getpid();
    return "127." + std::to_string(130 + (pid >> 16) % 60) + "." + std::to_string((pid >> 8) % 256) + "." +
           std::to_string(1 + pid % 254) + ":" + std::to_string(port);
  }
  std::string real_fleet(int count, const std::string& extra = "") const {
    std::string all;
    for (int i = 0; i < count; i++)
      all += std::string(i > 0 ? "," : "") + R"({"name":"n)" + std::to_string(i) + R"(","listen":")" +
             at(8081 + i) + "\"}";
    return R"({"program":")" + program + R"(","limits":{"disk_mb":3,"sockets":128},"platform":{"listen":")" +
           at(8500) + R"(","partners":[{"name":"s-1","address":")" + at(9) + R"(","group":7}]})" + extra +
           R"(,"instances":[)" + all + "]}";
  }
  void apply_real_fleet(int count) {
    wait_done(start_operation(apply(real_fleet(count))));
    if (!all_in_phase("ready", static_cast<std::size_t>(count)))
      wait_done(start_operation(R"({"kind":"up","names":"all"})"));
    wait_for([&] { return all_in_phase("ready", static_cast<std::size_t>(count)); }, "all are ready");
  }
};

TEST_F(RealRelayTest, KilledRelaysAreRestarted) {
  start_agent();
  apply_real_fleet(3);
  const auto about = get("/v1/agent").json();
  EXPECT_EQ(about["platform"]["endpoints"].GetInt(), 1);
  EXPECT_GT(about["platform"]["index"].GetInt64(), 0);
  wait_for([&] { return get("/v1/agent").json()["platform"]["watchers"].GetInt() == 3; },
           "all relays watch the list");
  const auto before = instances();
  ::kill(before.at("n1").pid, SIGKILL);
  wait_for(
      [&] {
        const auto now = instances()["n1"];
        return now.phase == "ready" && now.run != before.at("n1").run;
      },
      "the relay is ready with a new run");
  const auto status = get("/v1/instances/n1").json();
  EXPECT_STREQ(status["status"]["name"].GetString(), "n1");
  EXPECT_TRUE(status["status"]["list"]["told"].GetBool());
  // The list's index does not restart when the agent is killed.
  kill_agent();
  start_agent();
  wait_for([&] { return all_in_phase("ready", 3); }, "all are ready");
  EXPECT_GE(get("/v1/agent").json()["platform"]["index"].GetInt64(), about["platform"]["index"].GetInt64());
  EXPECT_EQ(instances()["n0"].pid, before.at("n0").pid);
}

TEST_F(RealRelayTest, DrainEndsRelaysAndUndrainRestartsThem) {
  start_agent();
  apply_real_fleet(2);
  wait_done(start_operation(R"({"kind":"drain","names":"all"})"));
  EXPECT_TRUE(all_in_phase("drained", 2));
  EXPECT_TRUE(relays().empty());
  EXPECT_EQ(instances()["n0"].last_exit, "drained");
  wait_done(start_operation(R"({"kind":"undrain","names":"all"})"));
  EXPECT_TRUE(all_in_phase("ready", 2));
}

TEST_F(RealRelayTest, ChangeIsAppliedAndRolledBack) {
  start_agent();
  apply_real_fleet(2);
  const auto before = instances();
  const auto first = get("/v1/fleet").json()["generation"].GetUint64();
  wait_done(start_operation(apply(real_fleet(2, R"(,"store":{"durability":"machine"})"))));
  EXPECT_TRUE(all_in_phase("ready", 2));
  for (const auto& [name, i] : instances()) EXPECT_NE(i.run, before.at(name).run);
  EXPECT_NE(read_file(data() + "/instances/n0/settings.toml").find("durability = \"machine\""),
            std::string::npos);
  wait_done(start_operation(R"({"kind":"rollback","to":)" + std::to_string(first) + "}"));
  EXPECT_EQ(read_file(data() + "/instances/n0/settings.toml").find("durability"), std::string::npos);
  EXPECT_TRUE(all_in_phase("ready", 2));
}

}  // namespace
}  // namespace heronvane::fleet::testing
