// apply and rollback: the plan, the confirmation and the change.
#include <gtest/gtest.h>

#include "stand_in.hpp"

namespace heronvane::cli::test {
namespace {

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

class Apply : public ::testing::Test {
 protected:
  Apply() {
    script_fleet(agent);
    agent.on("POST /v1/operations", plan);
  }
  Folder folder;
  std::string socket = folder.file("agent.sock");
  StandIn agent{socket};
  std::string file = folder.write("fleet.toml",
                                  "[fleet]\ndiscovery = \"127.0.0.1:8500\"\nsettings = \"s.json\"\n"
                                  "[[instance]]\nname = \"n0\"\nlisten = \"127.0.0.1:8081\"\n");
  std::string settings = folder.write("s.json", "{\"classes\":[]}");
  std::string steps = R"({"instance":"n0","state":"waiting","what":"restart"})";
  std::string plan = R"({"id":0,"kind":"apply","state":"running","steps":[)" + steps +
                     R"(],"diff":["-n0 disk_mb 100","+n0 disk_mb 200"]})";
  std::string done = operation_json(7, "apply", "done", R"({"instance":"n0","state":"done","what":"ready"})");
  std::vector<std::string> words(std::vector<std::string> more) {
    more.insert(more.begin(), {"--agent", socket});
    return more;
  }
};

TEST_F(Apply, DryRunShowsThePlan) {
  const auto r = run_tool(words({"apply", "--dry-run", file}));
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_EQ(r.out, "-n0 disk_mb 100\n+n0 disk_mb 200\nSteps: n0 (restart)\n");
  const auto posts = agent.requests("POST /v1/operations");
  ASSERT_EQ(posts.size(), 1u);
  EXPECT_TRUE(has(posts[0].body, "\"dry_run\":true"));
  EXPECT_TRUE(has(
      posts[0].body,
      R"("fleet":{"max_unavailable":1,"program":"heronvane","discovery":"127.0.0.1:8500","settings":{"classes":[]})"))
      << posts[0].body;
}

TEST_F(Apply, DoesNotAskWithoutATerminal) {
  agent.on("POST /v1/operations", Reply::json(done, 202));
  const auto r = run_tool(words({"apply", file}));
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_TRUE(has(r.out, "+n0 disk_mb 200") && has(r.out, "operation 7, apply: done")) << r.out;
  const auto posts = agent.requests("POST /v1/operations");
  ASSERT_EQ(posts.size(), 2u);
  EXPECT_TRUE(has(posts[1].body, "\"generation\":12") && !has(posts[1].body, "dry_run")) << posts[1].body;
}

TEST_F(Apply, AsksOnATerminal) {
  agent.on("POST /v1/operations", Reply::json(done, 202));
  Tool no(words({"apply", file}), true);
  ASSERT_TRUE(no.wrote("Apply this? [y/N] "));
  no.type("\n");
  const auto r = no.finish();
  EXPECT_EQ(r.exit, 2);
  EXPECT_TRUE(has(r.out, "Nothing was changed.")) << r.out;
  EXPECT_EQ(agent.requests("POST /v1/operations").size(), 1u);
}

TEST_F(Apply, ContinuesAfterYes) {
  agent.on("POST /v1/operations", Reply::json(done, 202));
  Tool yes(words({"apply", file}), true);
  ASSERT_TRUE(yes.wrote("Apply this? [y/N] "));
  yes.type("y\n");
  const auto r = yes.finish();
  EXPECT_EQ(r.exit, 0) << r.out;
  EXPECT_TRUE(has(r.out, "operation 7, apply: done")) << r.out;
}

TEST_F(Apply, JsonIsOneDocument) {
  agent.on("POST /v1/operations", Reply::json(done, 202));
  const auto r = run_tool(words({"-o", "json", "apply", file}));
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_EQ(r.out, done + "\n");
}

TEST_F(Apply, FleetChangedSinceThePlanIsAConflict) {
  agent.on("POST /v1/operations", Reply::error(412, "stale", "the fleet was changed"));
  agent.on(
      "GET /v1/operations?limit=20",
      R"({"operations":[{"id":8,"kind":"apply","by":"bob","state":"done","generation":13,"diff":["+n5"]}]})");
  const auto r = run_tool(words({"apply", "--yes", file}));
  EXPECT_EQ(r.exit, 3);
  EXPECT_TRUE(has(r.err, "operation 8, apply by bob") && has(r.err, "+n5")) << r.err;
}

TEST_F(Apply, FailedApplySuggestsRollback) {
  agent.on("POST /v1/operations",
           Reply::json(operation_json(7, "apply", "failed",
                                      R"({"instance":"n0","state":"failed","what":"not ready within 30s"})"),
                       202));
  const auto r = run_tool(words({"apply", file}));
  EXPECT_EQ(r.exit, 4);
  EXPECT_TRUE(has(r.out, "not ready within 30s") && has(r.out, "rollback")) << r.out;
}

TEST_F(Apply, InvalidFileSendsNoRequest) {
  const auto bad = folder.write("bad.toml", "[fleet]\ndiscovery = \"127.0.0.1:8500\"\nmax = 1\n");
  const auto r = run_tool(words({"apply", bad}));
  EXPECT_EQ(r.exit, 1);
  EXPECT_TRUE(has(r.err, bad + ":3: fleet.max: is not known")) << r.err;
  EXPECT_EQ(run_tool(words({"apply", folder.file("none.toml")})).exit, 1);
  EXPECT_TRUE(agent.requests().empty());
}

class Unchanged : public ::testing::Test {};
TEST_F(Unchanged, NothingIsSent) {
  Folder folder;
  const auto socket = folder.file("agent.sock");
  StandIn agent(socket);
  script_fleet(agent);
  agent.on("POST /v1/operations", R"({"id":0,"kind":"apply","state":"done","steps":[],"diff":[]})");
  const auto file = folder.write("fleet.toml", "[fleet]\ndiscovery = \"127.0.0.1:8500\"\n");
  const auto r = run_tool({"--agent", socket, "apply", file});
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_EQ(r.out, "No changes.\n");
  EXPECT_EQ(agent.requests("POST /v1/operations").size(), 1u);
}

TEST_F(Apply, RollbackSendsTheGivenGeneration) {
  agent.on("POST /v1/operations", Reply::json(operation_json(7, "rollback", "done", steps), 202));
  const auto r = run_tool(words({"rollback", "11"}));
  EXPECT_EQ(r.exit, 0) << r.err;
  const auto posts = agent.requests("POST /v1/operations");
  ASSERT_EQ(posts.size(), 2u);
  EXPECT_TRUE(has(posts[1].body, "\"kind\":\"rollback\"") && has(posts[1].body, "\"to\":11"))
      << posts[1].body;
}

TEST_F(Apply, RollbackDefaultsToTheGenerationBeforeTheLastApply) {
  agent.on(
      "GET /v1/operations?limit=50",
      R"({"operations":[{"id":9,"kind":"drain","state":"done","generation":12},)"
      R"({"id":8,"kind":"apply","state":"done","generation":11},{"id":1,"kind":"apply","generation":1}]})");
  const auto r = run_tool(words({"rollback", "--dry-run"}));
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_TRUE(has(agent.requests("POST /v1/operations").at(0).body, "\"to\":10")) << r.err;
}

TEST_F(Apply, RollbackOfAFirstApplyIsRefused) {
  agent.on("GET /v1/operations?limit=50",
           R"({"operations":[{"id":1,"kind":"apply","state":"done","generation":1}]})");
  const auto r = run_tool(words({"rollback"}));
  EXPECT_EQ(r.exit, 2);
  EXPECT_TRUE(has(r.err, "rollback GENERATION")) << r.err;
  EXPECT_TRUE(agent.requests("POST /v1/operations").empty());
}

}  // namespace
}  // namespace heronvane::cli::test
