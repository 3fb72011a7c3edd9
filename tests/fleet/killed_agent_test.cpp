// The agent is killed at each database write and each action of an operation. Started again, it completes it.
#include "agent_harness.hpp"

namespace heronvane::fleet::testing {
namespace {

class KilledAgentTest : public AgentTest {
 protected:
  // For n = 1, 2, ...: requests the operation from an agent that is killed at its n-th step, then lets a
  // restarted agent complete it; until an agent completes it without being killed. Returns the last n.
  int kill_at_each_step(int count, const std::function<std::string(int)>& body) {
    for (int n = 1; n < 200; n++) {
      environment["HERONVANE_AGENT_KILL_AT"] = std::to_string(n);
      start_agent({}, false);
      wait_for([&] { return agent_ended() || get("/v1/agent").status == 200; }, "it answers or is gone");
      if (agent > 0) post(body(n));
      bool completed = false;
      wait_for(
          [&] {
            if (agent_ended()) return true;
            const auto v = get("/v1/operations?limit=1").json();
            completed = v.IsObject() && v["operations"].Size() > 0 &&
                        std::string(v["operations"][0]["state"].GetString()) != "running" && all_ready(count);
            return completed;
          },
          "the operation or the agent ends");
      if (agent > 0) kill_agent();
      environment.erase("HERONVANE_AGENT_KILL_AT");
      start_agent();
      wait_for(
          [&] {
            const auto v = get("/v1/operations?limit=1").json();
            return v.IsObject() && v["operations"].Size() > 0 &&
                   std::string(v["operations"][0]["state"].GetString()) == "done" && all_ready(count);
          },
          "the operation is done");
      EXPECT_EQ(relays().size(), static_cast<std::size_t>(count)) << "killed at step " << n;
      expect_single(count);
      kill_agent();
      if (HasFailure()) return n;
      if (completed) return n;
    }
    return 200;
  }
  bool all_ready(int count) { return all_in_phase("ready", static_cast<std::size_t>(count)); }
};

TEST_F(KilledAgentTest, RestartIsCompleted) {
  start_agent();
  apply_standins(1);
  kill_agent();
  EXPECT_GT(kill_at_each_step(1, [](int) { return R"({"kind":"restart","names":"all"})"; }), 6);
}

TEST_F(KilledAgentTest, FleetChangeIsCompleted) {
  start_agent();
  apply_standins(2);
  kill_agent();
  EXPECT_GT(kill_at_each_step(2,
                              [this](int n) {
                                return apply(fleet(2, R"(,"max_unavailable":2,"limits":{"disk_mb":)" +
                                                          std::to_string(100 + n) + "}"));
                              }),
            8);
}

}  // namespace
}  // namespace heronvane::fleet::testing
