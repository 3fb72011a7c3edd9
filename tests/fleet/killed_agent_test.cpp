// The agent is killed at each step of an operation that lasts or acts; started again, it completes it.
#include "agent_harness.hpp"

namespace heronvane::fleet::testing {
namespace {

class KilledAgentTest : public AgentTest {
 protected:
  // Asks for the operation in one life that ends at the n-th step, and completes it in the next, for each n
  // until a life sees its end. Returns how many steps there were.
  int at_each_step(int count, const std::function<std::string(int)>& body) {
    for (int n = 1; n < 200; n++) {
      environment["HERONVANE_AGENT_KILL_AT"] = std::to_string(n);
      start_agent({}, false);
      wait_for([&] { return agent_gone() || get("/v1/agent").status == 200; }, "it answers or is gone");
      if (agent > 0) post(body(n));
      bool whole = false;
      wait_for(
          [&] {
            if (agent_gone()) return true;
            const auto v = get("/v1/operations?limit=1").json();
            whole = v.IsObject() && v["operations"].Size() > 0 &&
                    std::string(v["operations"][0]["state"].GetString()) != "running" && settled(count);
            return whole;
          },
          "the operation or the agent ends");
      if (agent > 0) kill_agent();
      environment.erase("HERONVANE_AGENT_KILL_AT");
      start_agent();
      wait_for(
          [&] {
            const auto v = get("/v1/operations?limit=1").json();
            return v.IsObject() && v["operations"].Size() > 0 &&
                   std::string(v["operations"][0]["state"].GetString()) == "done" && settled(count);
          },
          "the operation is done");
      EXPECT_EQ(relays().size(), static_cast<std::size_t>(count)) << "killed at step " << n;
      expect_single(count);
      kill_agent();
      if (HasFailure()) return n;
      if (whole) return n;
    }
    return 200;
  }
  bool settled(int count) { return all_in("ready", static_cast<std::size_t>(count)); }
};

TEST_F(KilledAgentTest, ARestartIsCompleted) {
  start_agent();
  serve(1);
  kill_agent();
  EXPECT_GT(at_each_step(1, [](int) { return R"({"kind":"restart","names":"all"})"; }), 6);
}

TEST_F(KilledAgentTest, AChangeOfTheFleetIsCompleted) {
  start_agent();
  serve(2);
  kill_agent();
  EXPECT_GT(at_each_step(2,
                         [this](int n) {
                           return apply(fleet(2, R"(,"max_unavailable":2,"limits":{"disk_mb":)" +
                                                     std::to_string(100 + n) + "}"));
                         }),
            8);
}

}  // namespace
}  // namespace heronvane::fleet::testing
