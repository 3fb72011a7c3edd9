// Waiting for operations and following logs, also across broken streams.
#include <gtest/gtest.h>
#include <signal.h>

#include "stand_in.hpp"

namespace heronvane::cli::test {
namespace {

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
std::size_t times(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; at += part.size()) n++;
  return n;
}

const std::string kFollow = "GET /v1/operations/7?follow=1";
std::string step(const std::string& name, const std::string& state, const std::string& what) {
  return R"({"instance":")" + name + R"(","state":")" + state + R"(","what":")" + what + R"("})";
}
std::string restart(const std::string& state, const std::string& first, const std::string& second) {
  return operation_json(7, "restart", state,
                        step("n0", first, "ready") + "," + step("n1", second, "drained, 0 held"));
}

class Follow : public ::testing::Test {
 protected:
  Follow() {
    script_fleet(agent);
    agent.on("POST /v1/operations", Reply::json(restart("running", "waiting", "waiting"), 202));
  }
  Folder folder;
  std::string socket = folder.file("agent.sock");
  StandIn agent{socket};
  std::vector<std::string> words(std::vector<std::string> more) {
    more.insert(more.begin(), {"--agent", socket});
    return more;
  }
};

TEST_F(Follow, OneLinePerStepWithoutATerminal) {
  const auto last = restart("done", "done", "done");
  agent.on(kFollow, Reply::chunked({restart("running", "acting", "waiting") + "\n",
                                    restart("running", "done", "acting") + "\n" + last.substr(0, 30),
                                    last.substr(30) + "\n"},
                                   true));
  const auto r = run_tool(words({"restart", "--all"}));
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_EQ(r.err, "restart 7: n0 done: ready\nrestart 7: n1 done: drained, 0 held\n");
  EXPECT_TRUE(has(r.out, "operation 7, restart: done, 2 of 2 steps done in 12s")) << r.out;
}

TEST_F(Follow, ReconnectsAfterABrokenStream) {
  agent.on(kFollow,
           Reply::chunked({restart("running", "done", "waiting") + "\n", "{\"id\":7,"}, false).then_close());
  agent.on(kFollow, Reply::raw("").then_close());
  agent.on(kFollow,
           Reply::chunked(
               {restart("running", "done", "acting") + "\n", restart("done", "done", "done") + "\n"}, true));
  const auto r = run_tool(words({"restart", "--all"}));
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_EQ(times(r.err, "n0 done"), 1u) << r.err;
  EXPECT_EQ(agent.requests(kFollow).size(), 3u);
}

TEST_F(Follow, PollsAnAgentThatDoesNotStream) {
  agent.on(kFollow, restart("running", "done", "acting"));
  agent.on(kFollow, restart("done", "done", "done"));
  EXPECT_EQ(run_tool(words({"restart", "--all"})).exit, 0);
}

TEST_F(Follow, FailedStepsArePartial) {
  agent.on(kFollow, Reply::chunked({restart("failed", "failed", "skipped") + "\n"}, true));
  const auto r = run_tool(words({"restart", "--all"}));
  EXPECT_EQ(r.exit, 4);
  EXPECT_TRUE(has(r.out, "restart: failed, 0 of 2 steps done") && has(r.out, "skipped")) << r.out;
}

TEST_F(Follow, SupersededIsAConflict) {
  agent.on(kFollow, Reply::chunked({operation_json(7, "restart", "superseded", "") + "\n"}, true));
  EXPECT_EQ(run_tool(words({"restart", "--all"})).exit, 3);
}

TEST_F(Follow, JsonPrintsTheLastState) {
  const auto last = restart("done", "done", "done");
  agent.on(kFollow, Reply::chunked({restart("running", "done", "acting") + "\n", last + "\n"}, true));
  EXPECT_EQ(run_tool(words({"-o", "json", "restart", "--all"})).out, last + "\n");
}

TEST_F(Follow, MalformedLinesEndTheWait) {
  agent.on(kFollow, Reply::chunked({"nonsense\n"}, true));
  const auto r = run_tool(words({"restart", "--all"}));
  EXPECT_EQ(r.exit, 5);
  EXPECT_TRUE(has(r.err, "is no JSON") && has(r.err, "operation 7 was under way")) << r.err;
}

TEST_F(Follow, CtrlCStopsWaitingAndSuggestsCancel) {
  agent.on(kFollow, Reply::chunked({restart("running", "done", "acting") + "\n"}, false).then_hold());
  Tool tool(words({"restart", "--all"}));
  ASSERT_TRUE(tool.wrote_error("n0 done"));
  tool.signal(SIGINT);
  const auto r = tool.finish();
  EXPECT_EQ(r.exit, 130);
  EXPECT_TRUE(has(r.err, "Stopped waiting; operation 7 goes on.")) << r.err;
  EXPECT_TRUE(has(r.err, "heronvanectl --agent " + socket + " cancel 7")) << r.err;
  for (const auto& q : agent.requests()) EXPECT_NE(q.method, "DELETE");
}

TEST_F(Follow, TimeoutEndsTheWaitButNotTheOperation) {
  agent.on(kFollow, Reply::chunked({restart("running", "done", "acting") + "\n"}, false).then_hold());
  const auto r = run_tool(words({"--timeout", "4", "restart", "--all"}));
  EXPECT_EQ(r.exit, 4);
  EXPECT_TRUE(has(r.err, "Not done within 4.0s; operation 7 goes on.")) << r.err;
}

TEST_F(Follow, ProgressOnATerminalIsRedrawnInPlace) {
  agent.on(kFollow, Reply::chunked({restart("running", "done", "acting") + "\n"}, false).then_hold());
  Tool tool(words({"restart", "--all"}), true);
  ASSERT_TRUE(tool.wrote("restart 7 [##########..........] 1/2"));
  ASSERT_TRUE(tool.wrote("\x1b[1A\r"));
  tool.type("\x03");
  const auto r = tool.finish();
  EXPECT_EQ(r.exit, 130);
  EXPECT_TRUE(has(r.out, "n1 drained, 0 held")) << r.out;
  EXPECT_FALSE(has(r.out, "restart 7: n0 done")) << r.out;
}

TEST_F(Follow, WaitsForAnOperationStartedBefore) {
  agent.on("GET /v1/operations/7", restart("running", "done", "acting"));
  agent.on(kFollow, Reply::chunked({restart("done", "done", "done") + "\n"}, true));
  const auto r = run_tool(words({"operation", "7"}));
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_TRUE(has(r.out, "restart: done"));
  const auto now = run_tool(words({"operation", "7", "--no-wait"}));
  EXPECT_TRUE(has(now.out, "restart: running")) << now.out;
}

TEST_F(Follow, TwoAgentsAreFollowedInParallel) {
  StandIn other(folder.file("other.sock"));
  script_fleet(other, "web2");
  other.on("POST /v1/operations",
           Reply::json(operation_json(3, "restart", "running", step("n0", "waiting", "")), 202));
  // The first agent replies only once the second is followed, so sequential following would never end.
  agent.on(kFollow, Reply::chunked({restart("running", "done", "acting") + "\n"}, false).then_hold());
  other.on("GET /v1/operations/3?follow=1",
           Reply::chunked({operation_json(3, "restart", "done", step("n0", "done", "ready")) + "\n"}, true));
  Tool tool(words({"--agent", folder.file("other.sock"), "restart", "--all"}));
  ASSERT_TRUE(tool.wrote_error("web1: restart 7: n0 done: ready\n"));
  ASSERT_TRUE(tool.wrote_error("web2: restart 3: n0 done: ready\n"));
  tool.signal(SIGTERM);
  const auto r = tool.finish();
  EXPECT_EQ(r.exit, 130);
  EXPECT_TRUE(has(r.err, "cancel 7") && !has(r.err, "cancel 3")) << r.err;
}

TEST_F(Follow, ALogContinuesAfterABreakWithoutRepeatedLines) {
  const std::string target = "GET /v1/instances/n0/log?lines=";
  agent.on(target + "100&follow=1",
           Reply::chunked({"one\ntwo\n", "three\n"}, false, "text/plain").then_close());
  agent.on(target + "200", Reply::text("zero\none\ntwo\nthree\nfour\n"));
  agent.on(target + "4&follow=1",
           Reply::chunked({"two\nthree\nfour\nfive\n"}, false, "text/plain").then_hold());
  Tool tool(words({"logs", "n0", "-f"}));
  ASSERT_TRUE(tool.wrote("five\n"));
  tool.signal(SIGINT);
  const auto r = tool.finish();
  EXPECT_EQ(r.out, "one\ntwo\nthree\nfour\nfive\n");
  EXPECT_EQ(r.exit, 1000 + SIGINT);
}

TEST_F(Follow, LogOfAnUnknownInstance) {
  const auto r = run_tool(words({"logs", "n9", "-f"}));
  EXPECT_EQ(r.exit, 2);
  EXPECT_TRUE(has(r.err, "nothing is scripted")) << r.err;
}

}  // namespace
}  // namespace heronvane::cli::test
