// The agent with the real relay and its own platform.
#include "agent_harness.hpp"

namespace heronvane::fleet::testing {
namespace {

class RealRelayTest : public AgentTest {
 protected:
  RealRelayTest() { program = HERONVANE_PROGRAM; }
  // An address of this process alone, so that tests run beside one another.
  static std::string at(int port) {
    const auto pid = ::getpid();
    return "127." + std::to_string(130 + (pid >> 16) % 60) + "." + std::to_string((pid >> 8) % 256) + "." +
           std::to_string(1 + pid % 254) + ":" + std::to_string(port);
  }
  std::string real_fleet(int count, const std::string& more = "") const {
    std::string all;
    for (int i = 0; i < count; i++)
      all += std::string(i > 0 ? "," : "") + R"({"name":"n)" + std::to_string(i) + R"(","listen":")" +
             at(8081 + i) + "\"}";
    return R"({"program":")" + program + R"(","limits":{"disk_mb":3,"sockets":128},"platform":{"listen":")" +
           at(8500) + R"(","partners":[{"name":"s-1","address":")" + at(9) + R"(","group":7}]})" + more +
           R"(,"instances":[)" + all + "]}";
  }
  void serve_real(int count) {
    wait_done(operate(apply(real_fleet(count))));
    if (!all_in("ready", static_cast<std::size_t>(count)))
      wait_done(operate(R"({"kind":"up","names":"all"})"));
    wait_for([&] { return all_in("ready", static_cast<std::size_t>(count)); }, "all are ready");
  }
};

TEST_F(RealRelayTest, RelaysServeAreKilledAndAreBack) {
  start_agent();
  serve_real(3);
  const auto about = get("/v1/agent").json();
  EXPECT_EQ(about["platform"]["endpoints"].GetInt(), 1);
  EXPECT_GT(about["platform"]["index"].GetInt64(), 0);
  wait_for([&] { return get("/v1/agent").json()["platform"]["watchers"].GetInt() == 3; },
           "all watch the list");
  const auto before = instances();
  ::kill(before.at("n1").pid, SIGKILL);
  wait_for(
      [&] {
        const auto now = instances()["n1"];
        return now.phase == "ready" && now.run != before.at("n1").run;
      },
      "it is back");
  const auto status = get("/v1/instances/n1").json();
  EXPECT_STREQ(status["status"]["name"].GetString(), "n1");
  EXPECT_TRUE(status["status"]["list"]["told"].GetBool());
  // The list's index goes on over the agent's death.
  kill_agent();
  start_agent();
  wait_for([&] { return all_in("ready", 3); }, "all are ready");
  EXPECT_GE(get("/v1/agent").json()["platform"]["index"].GetInt64(), about["platform"]["index"].GetInt64());
  EXPECT_EQ(instances()["n0"].pid, before.at("n0").pid);
}

TEST_F(RealRelayTest, DrainsEndThemAndUndrainBringsThemBack) {
  start_agent();
  serve_real(2);
  wait_done(operate(R"({"kind":"drain","names":"all"})"));
  EXPECT_TRUE(all_in("drained", 2));
  EXPECT_TRUE(relays().empty());
  EXPECT_EQ(instances()["n0"].last_exit, "drained");
  wait_done(operate(R"({"kind":"undrain","names":"all"})"));
  EXPECT_TRUE(all_in("ready", 2));
}

TEST_F(RealRelayTest, AChangeIsRolledOutAndBack) {
  start_agent();
  serve_real(2);
  const auto before = instances();
  const auto first = get("/v1/fleet").json()["generation"].GetUint64();
  wait_done(operate(apply(real_fleet(2, R"(,"store":{"durability":"machine"})"))));
  EXPECT_TRUE(all_in("ready", 2));
  for (const auto& [name, i] : instances()) EXPECT_NE(i.run, before.at(name).run);
  EXPECT_NE(whole(data() + "/instances/n0/settings.toml").find("durability = \"machine\""),
            std::string::npos);
  wait_done(operate(R"({"kind":"rollback","to":)" + std::to_string(first) + "}"));
  EXPECT_EQ(whole(data() + "/instances/n0/settings.toml").find("durability"), std::string::npos);
  EXPECT_TRUE(all_in("ready", 2));
}

}  // namespace
}  // namespace heronvane::fleet::testing
