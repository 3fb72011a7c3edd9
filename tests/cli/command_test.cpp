// Runs the built program against a scripted agent and checks exit status, standard output and standard error.
#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "cli/commands.hpp"
#include "stand_in.hpp"

namespace heronvane::cli::test {
namespace {

using ::testing::Test;

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

std::size_t longest(const std::string& text) {
  std::size_t most = 0;
  std::istringstream lines(text);
  for (std::string l; std::getline(lines, l);) most = std::max(most, l.size());
  return most;
}

class Commands : public Test {
 protected:
  Folder folder;
  std::string socket = folder.file("agent.sock");
  StandIn agent{socket};
  Result run(std::vector<std::string> words) {
    words.insert(words.begin(), {"--agent", socket});
    return run_tool(words);
  }
  // Runs a command whose POST is answered with an ended operation, and returns the body of that POST.
  std::string posted(const std::vector<std::string>& words, const std::string& kind) {
    script_fleet(agent);
    agent.on("POST /v1/operations",
             Reply::json(
                 operation_json(7, kind, "done", R"({"instance":"n0","state":"done","what":"ready"})"), 202));
    const auto r = run(words);
    EXPECT_EQ(r.exit, 0) << r.err;
    EXPECT_TRUE(has(r.out, "operation 7, " + kind + ": done, 1 of 1 step done in 12s")) << r.out;
    const auto all = agent.requests("POST /v1/operations");
    return all.empty() ? "" : all.back().body;
  }
};

TEST_F(Commands, ChangesCarryTheSeenGenerationAndTheRequester) {
  const auto body = posted({"up", "n0", "n1"}, "up");
  EXPECT_TRUE(has(body, R"("kind":"up","names":["n0","n1"],"generation":12,"by":")")) << body;
  EXPECT_TRUE(has(body, " pid ")) << body;
  EXPECT_TRUE(has(body, R"("supersede":false)")) << body;
}
TEST_F(Commands, Down) { EXPECT_TRUE(has(posted({"down"}, "down"), R"("kind":"down","names":"all")")); }
TEST_F(Commands, Drain) {
  const auto body = posted({"drain", "--all", "--supersede", "--max-unavailable", "2"}, "drain");
  EXPECT_TRUE(has(body, R"("names":"all")") && has(body, R"("max_unavailable":2,"supersede":true)")) << body;
}
TEST_F(Commands, Undrain) {
  EXPECT_TRUE(has(posted({"undrain", "n0"}, "undrain"), R"("kind":"undrain","names":["n0"])"));
}
TEST_F(Commands, Restart) {
  EXPECT_TRUE(has(posted({"restart", "--all", "--rolling"}, "restart"), R"("kind":"restart","names":"all")"));
}

TEST_F(Commands, ReadingCommands) {
  script_fleet(agent);
  agent.on("GET /v1/messages/a%2Fb",
           R"({"found":[{"instance":"n0","id":"a/b","class":"load","tenant":3,"state":"held",)"
           R"("attempts":[{"at_ms":1,"zone":"west","outcome":"503"}]}],"not_asked":["n2"]})");
  agent.on("GET /v1/operations?limit=20",
           R"({"operations":[)" +
               operation_json(7, "restart", "done", R"({"instance":"n0","state":"done"})") + "]}");
  agent.on("GET /v1/operations/7",
           operation_json(7, "restart", "done", R"({"instance":"n0","state":"done"})"));
  agent.on("GET /v1/instances/n0/log?lines=2",
           Reply::raw("HTTP/1.1 200 X\r\nX-Heronvane-Api: 1\r\nContent-Type: "
                      "text/plain\r\nContent-Length: 8\r\n\r\none\ntwo\n"));
  const auto list = run({"list"});
  EXPECT_EQ(list.exit, 0) << list.err;
  EXPECT_TRUE(has(list.out, "n2    backoff")) << list.out;
  EXPECT_EQ(run({"list", "--names"}).out, "n0\nn1\nn2\n");
  const auto status = run({"status"});
  EXPECT_EQ(status.exit, 0) << status.err;
  EXPECT_TRUE(has(status.out, "3 instances: 2 ready, 1 backoff")) << status.out;
  EXPECT_TRUE(has(status.out, "next: heronvanectl --agent " + socket + " logs n2")) << status.out;
  EXPECT_TRUE(has(run({"show", "n2"}).out, "last ended with signal 9"));
  const auto message = run({"message", "a/b"});
  EXPECT_EQ(message.exit, 0) << message.err;
  EXPECT_TRUE(has(message.out, "west  503") && has(message.out, "Not asked, as they do not answer: n2"))
      << message.out;
  EXPECT_TRUE(has(run({"history"}).out, "restart  done"));
  EXPECT_TRUE(has(run({"operation", "7"}).out, "operation 7, restart: done"));
  EXPECT_EQ(run({"logs", "n0", "-n", "2"}).out, "one\ntwo\n");
  const auto version = run({"version"});
  EXPECT_TRUE(has(version.out, "heronvanectl ") && has(version.out, "heronvane-agent 0.2.0 (API 1) on web1"));
}

TEST_F(Commands, JsonIsPassedThroughFromTheAgent) {
  script_fleet(agent);
  const auto r = run({"-o", "json", "show", "n2"});
  EXPECT_EQ(r.exit, 0);
  EXPECT_EQ(r.out.substr(0, 12), R"({"name":"n2")");
  EXPECT_EQ(r.out.find('\n'), r.out.size() - 1);
  const auto missing = run({"-o", "json", "show", "n9"});
  EXPECT_EQ(missing.exit, 2);
  EXPECT_EQ(missing.out.substr(0, 27), R"({"error":{"code":"unknown",)");
  EXPECT_TRUE(has(missing.err, "nothing is scripted"));
}

TEST_F(Commands, ALogWithInvalidUtf8IsValidJson) {
  agent.on("GET /v1/instances/n0/log?lines=100", Reply::text("a\xff\xc3\n"));
  EXPECT_EQ(run({"-o", "json", "logs", "n0"}).out, "{\"instance\":\"n0\",\"log\":\"a??\\n\"}\n");
}

TEST_F(Commands, Cancel) {
  script_fleet(agent);
  agent.on("DELETE /v1/operations/7", operation_json(7, "drain", "cancelled", ""));
  agent.on("DELETE /v1/operations/6", Reply::error(409, "conflict", "operation 6 has ended"));
  const auto r = run({"cancel", "7"});
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_TRUE(has(r.out, "operation 7, drain: cancelled")) << r.out;
  const auto ended = run({"cancel", "6"});
  EXPECT_EQ(ended.exit, 3);
  EXPECT_TRUE(has(ended.err, "operation 6 has ended"));
}

TEST_F(Commands, NoWaitReturnsAtOnce) {
  script_fleet(agent);
  agent.on("POST /v1/operations", Reply::json(operation_json(7, "up", "running", ""), 202));
  const auto r = run({"up", "--no-wait"});
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_TRUE(has(r.out, "operation 7, up: running"));
  EXPECT_TRUE(agent.requests("GET /v1/operations/7?follow=1").empty());
}

TEST_F(Commands, WrongUsageSendsNoRequest) {
  for (const std::vector<std::string>& words :
       std::vector<std::vector<std::string>>{{},
                                             {"fly"},
                                             {"drain"},
                                             {"drain", "n0", "--all"},
                                             {"show"},
                                             {"show", "a/b"},
                                             {"cancel", "x"},
                                             {"logs", "n0", "-n", "10001"},  // above the limit of 10000
                                             {"list", "-o", "xml"},
                                             {"up", "--max-unavailable", "0"},
                                             {"completion", "tcsh"},
                                             {"list", "--agent", socket}}) {
    const auto r = run(words);
    EXPECT_EQ(r.exit, 1) << (words.empty() ? "" : words[0]) << r.out;
    EXPECT_TRUE(has(r.err, "heronvanectl: ") && has(r.err, "next: heronvanectl")) << r.err;
    EXPECT_TRUE(r.out.empty()) << r.out;
  }
  EXPECT_EQ(run_tool({"--agent", "http://h:1", "list"}).exit, 1);
  EXPECT_EQ(run_tool({"--agent", "https://h:1", "list"}).exit, 1);  // no certificate
  EXPECT_EQ(run_tool({"--agent", "https://h", "list"}).exit, 1);
  EXPECT_EQ(run_tool({"--agent", std::string(200, 'x'), "list"}).exit, 1);
  EXPECT_TRUE(agent.requests().empty());
}

TEST_F(Commands, HelpAndVersionNeedNoAgent) {
  EXPECT_EQ(run_tool({"--help"}).exit, 0);
  EXPECT_TRUE(has(run_tool({"--help"}).out, "rollback"));
  for (const auto& c : kCommands) {
    const auto r = run_tool({std::string(c.name), "--help"});
    EXPECT_EQ(r.exit, 0);
    EXPECT_LE(longest(r.out), 80u) << r.out;
  }
  EXPECT_LE(longest(run_tool({"--help"}).out), 80u);
  const auto v = run_tool({"--version"}, {"HERONVANE_AGENT=" + folder.file("none.sock")});
  EXPECT_EQ(v.exit, 0);
  EXPECT_TRUE(has(v.out, "heronvanectl ") && has(v.out, "no agent at ")) << v.out;
  // With a named agent that fails, the command fails but still prints the tool's own version.
  for (const auto& words : {std::vector<std::string>{"--agent", folder.file("none.sock"), "--version"},
                            {"--version", "--agent", folder.file("none.sock")}}) {
    const auto named = run_tool(words);
    EXPECT_EQ(named.exit, 5);
    EXPECT_TRUE(has(named.out, "heronvanectl ")) << named.out;
  }
}

TEST_F(Commands, TakeoverPrintsTheNewOwner) {
  script_fleet(agent);
  agent.on("POST /v1/takeover/n9", R"({"relay":"n9","by":"n1"})");
  const auto r = run_tool({"--agent", socket, "takeover", "n9", "--yes"});
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_TRUE(has(r.out, "n1 takes over what n9 owes")) << r.out;
}

TEST_F(Commands, FindsTheAgentFromTheEnvironment) {
  script_fleet(agent);
  EXPECT_EQ(run_tool({"list"}, {"HERONVANE_AGENT=" + socket}).exit, 0);
  EXPECT_EQ(run_tool({"list"}, {"XDG_RUNTIME_DIR=/run/none", "HERONVANE_AGENT=" + socket}).exit, 0);
  const auto r = run_tool({"list"}, {"XDG_RUNTIME_DIR=" + folder.file("run")});
  EXPECT_EQ(r.exit, 5);
  EXPECT_TRUE(has(r.err, folder.file("run") + "/heronvane/agent.sock")) << r.err;
}

TEST_F(Commands, ADirectoryIsRefusedAsFleetFile) {
  const auto r = run_tool({"apply", "/"}, {"HERONVANE_AGENT=" + socket});
  EXPECT_EQ(r.exit, 1);
  EXPECT_TRUE(has(r.err, "heronvanectl: /: Is a directory\n")) << r.err;
}

TEST_F(Commands, MissingAgentSuggestsHowToStartOne) {
  const auto r = run_tool({"--agent", folder.file("none.sock"), "status"});
  EXPECT_EQ(r.exit, 5);
  EXPECT_TRUE(has(r.err, "no agent at " + folder.file("none.sock") + ": No such file or directory")) << r.err;
  EXPECT_TRUE(has(r.err, "start one: heronvane-agent --data FOLDER")) << r.err;
  EXPECT_TRUE(r.out.empty());
}

TEST_F(Commands, ConflictNamesTheOperationAndItsStart) {
  script_fleet(agent);
  agent.on(
      "POST /v1/operations",
      Reply::error(
          409, "conflict", "n0 is held", "",
          R"(,"with":{"operation":6,"kind":"drain","by":"bob@web1 pid 5","since_ms":1764583993000,"names":["n0","n1"]})"));
  const auto r = run({"restart", "n0"});
  EXPECT_EQ(r.exit, 3);
  EXPECT_TRUE(has(r.err, "operation 6 (drain by bob@web1 pid 5) holds n0, n1, since 2025-12-01 10:13:13 UTC"))
      << r.err;
  EXPECT_TRUE(has(r.err, "--supersede")) << r.err;
}

TEST_F(Commands, ConflictIsAlsoReadFromBesideTheError) {
  script_fleet(agent);
  agent.on(
      "POST /v1/operations",
      Reply::json(
          R"({"error":{"code":"conflict","message":"held"},"with":{"operation":6,"kind":"drain","by":"bob"}})",
          409));
  const auto r = run({"restart", "n0"});
  EXPECT_EQ(r.exit, 3);
  EXPECT_TRUE(has(r.err, "operation 6 (drain by bob)")) << r.err;
}

TEST_F(Commands, StaleShowsWhatChanged) {
  script_fleet(agent);
  agent.on("POST /v1/operations", Reply::error(412, "stale", "n0 was changed in generation 13"));
  agent.on("GET /v1/operations?limit=20",
           R"({"operations":[)" + operation_json(8, "drain", "done", R"({"instance":"n0","state":"done"})") +
               "," + R"({"id":6,"kind":"up","by":"old","state":"done","generation":12}]})");
  const auto r = run({"restart", "n0"});
  EXPECT_EQ(r.exit, 3);
  EXPECT_TRUE(has(r.err, "n0 was changed in generation 13; seen was generation 12")) << r.err;
  EXPECT_TRUE(has(r.err, "since then: operation 8, drain by ana@web1 pid 71, done")) << r.err;
  EXPECT_TRUE(has(r.err, "of n0")) << r.err;
  EXPECT_FALSE(has(r.err, "old")) << r.err;
}

TEST_F(Commands, RefusalsPrintTheAgentsHint) {
  script_fleet(agent);
  agent.on("POST /v1/operations", Reply::error(422, "refused", "n0 has no drain", "set admin.drain"));
  const auto r = run({"drain", "n0"});
  EXPECT_EQ(r.exit, 2);
  EXPECT_TRUE(has(r.err, "n0 has no drain") && has(r.err, "next: set admin.drain")) << r.err;
}

TEST_F(Commands, AnUnknownNameIsReportedAsMissing) {
  script_fleet(agent);
  agent.on("POST /v1/operations", Reply::error(404, "unknown", "n7"));
  const auto r = run({"up", "n7"});
  EXPECT_EQ(r.exit, 2);
  EXPECT_TRUE(has(r.err, "there is no n7") && has(r.err, " list")) << r.err;
}

TEST_F(Commands, MalformedAnswers) {
  agent.on("GET /v1/instances", "{\"generation\":12,\"instances\":[7]}");
  const auto odd = run({"list"});
  EXPECT_EQ(odd.exit, 5);
  EXPECT_TRUE(has(odd.err, "instances[0] is not an object")) << odd.err;
  agent.on("GET /v1/agent", Reply::json("nonsense"));
  EXPECT_TRUE(has(run({"version"}).err, "is no JSON"));
  agent.on("GET /v1/instances/n0",
           Reply::raw("HTTP/1.1 200 X\r\nX-Heronvane-Api: 1\r\nContent-Length: 9999999999\r\n\r\n{"));
  const auto large = run({"show", "n0"});
  EXPECT_EQ(large.exit, 5);
  EXPECT_TRUE(has(large.err, "larger than 16 MiB")) << large.err;
  agent.on("GET /v1/instances/n1",
           Reply::raw("HTTP/1.1 500 X\r\nX-Heronvane-Api: 1\r\nContent-Length: 0\r\n\r\n"));
  EXPECT_TRUE(has(run({"show", "n1"}).err, "answered 500 without saying why"));
  agent.on("GET /v1/instances/n2", Reply::json("{}").api(""));
  const auto other = run({"show", "n2"});
  EXPECT_EQ(other.exit, 5);
  EXPECT_TRUE(has(other.err, "is no heronvane-agent")) << other.err;
  agent.on("GET /v1/instances/n3",
           Reply::raw("HTTP/1.1 200 X\r\nX-Heronvane-Api: 1\r\nContent-Length: 10\r\n\r\n{").then_close());
  const auto broken = run({"show", "n3"});
  EXPECT_EQ(broken.exit, 5);
  EXPECT_TRUE(has(broken.err, "the connection ended within an answer")) << broken.err;
}

TEST_F(Commands, AnAgentThatDoesNotAnswerTimesOut) {
  agent.on("GET /v1/instances", Reply::raw("HTTP/1.1 200 X\r\n").then_hold());
  const auto r = run({"--timeout", "0.3", "list"});
  EXPECT_EQ(r.exit, 5);
  EXPECT_TRUE(has(r.err, "no answer within 300ms")) << r.err;
}

TEST_F(Commands, ABrokenChangeIsNotRetriedAndReportedAsUncertain) {
  script_fleet(agent);
  agent.on("POST /v1/operations", Reply::raw("").then_close());
  const auto r = run({"up"});
  EXPECT_EQ(r.exit, 5);
  EXPECT_TRUE(has(r.err, "whether it took the change is not known") && has(r.err, " history")) << r.err;
  EXPECT_EQ(agent.requests("POST /v1/operations").size(), 1u);
}

TEST_F(Commands, AnAgentOfAnotherVersionIsReadButNotChanged) {
  agent.on("GET /v1/agent", Reply::json(R"({"name":"web1","version":"0.9.0","api":2})").api("2"));
  agent.on("GET /v1/instances",
           Reply::json(R"({"generation":12,"instances":[{"name":"n0","phase":"asleep"}]})").api("2"));
  const auto read = run({"list"});
  EXPECT_EQ(read.exit, 0) << read.err;
  EXPECT_TRUE(has(read.out, "n0    asleep")) << read.out;
  EXPECT_TRUE(has(read.err, "API 2 (heronvane-agent 0.9.0), this heronvanectl API 1")) << read.err;
  const auto changed = run({"up"});
  EXPECT_EQ(changed.exit, 2);
  EXPECT_TRUE(has(changed.err, "nothing was changed")) << changed.err;
  EXPECT_TRUE(agent.requests("POST /v1/operations").empty());
}

TEST_F(Commands, ControlCharactersFromAgentsAreReplaced) {
  agent.on("GET /v1/instances", R"({"generation":1,"instances":[{"name":"n0","phase":"\u001b[2Jx\u009b"}]})");
  const auto r = run({"list"});
  EXPECT_TRUE(has(r.out, "?[2Jx?")) << r.out;
  EXPECT_FALSE(has(r.out, "\x1b"));
  // The same for the version string of an agent of another API version.
  agent.on("GET /v1/agent", Reply::json(R"({"name":"web1","version":"9\u001b[2J","api":2})").api("2"));
  agent.on("GET /v1/instances", Reply::json(R"({"generation":1,"instances":[]})").api("2"));
  const auto other = run({"list"});
  EXPECT_TRUE(has(other.err, "heronvane-agent 9?[2J")) << other.err;
}

class Several : public Commands {
 protected:
  std::string other_socket = folder.file("other.sock");
  StandIn other{other_socket};
  Result both(std::vector<std::string> words) {
    words.insert(words.begin(), {"--agent", other_socket});
    return run(words);
  }
};

TEST_F(Several, TablesShowTheAgentsNames) {
  script_fleet(agent, "web1");
  script_fleet(other, "web2");
  const auto r = both({"list"});
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_TRUE(has(r.out, "AGENT  NAME") && has(r.out, "web1   n0") && has(r.out, "web2   n0")) << r.out;
  const auto json = both({"list", "-o", "json"});
  EXPECT_TRUE(has(json.out, "{\"agent\":\"" + socket + "\",\"answer\":{\"generation\":12")) << json.out;
  EXPECT_EQ(json.out.substr(0, 2) + json.out.substr(json.out.size() - 2), "[\n]\n");
}

TEST_F(Several, OneUnreachableAgentIsPartial) {
  script_fleet(agent, "web1");
  const auto r = run({"--agent", folder.file("none.sock"), "list"});
  EXPECT_EQ(r.exit, 4);
  EXPECT_TRUE(has(r.out, "web1")) << r.out;
  EXPECT_TRUE(has(r.err, "no agent at " + folder.file("none.sock"))) << r.err;
  const auto json = run({"--agent", folder.file("none.sock"), "-o", "json", "list"});
  EXPECT_EQ(json.exit, 4);
  EXPECT_TRUE(has(json.out, "\"error\":{\"code\":\"unreachable\"")) << json.out;
}

TEST_F(Several, EachAgentGetsItsOwnInstances) {
  script_fleet(agent, "web1");
  script_fleet(other, "web2");
  other.on("GET /v1/instances", "{}");
  StandIn third(folder.file("third.sock"));
  third.on("GET /v1/agent", R"({"name":"web3"})");
  third.on("GET /v1/instances", R"({"generation":4,"instances":[{"name":"m0"}]})");
  third.on("POST /v1/operations", Reply::json(operation_json(3, "up", "done", ""), 202));
  agent.on("POST /v1/operations", Reply::json(operation_json(7, "up", "done", ""), 202));
  const auto r = run({"--agent", folder.file("third.sock"), "up", "n1", "m0"});
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_TRUE(has(agent.requests("POST /v1/operations").at(0).body, R"("names":["n1"],"generation":12)"));
  EXPECT_TRUE(has(third.requests("POST /v1/operations").at(0).body, R"("names":["m0"],"generation":4)"));
  // A name that no agent has: no operation is started on any agent.
  const auto slip = run({"--agent", folder.file("third.sock"), "up", "n1", "m9"});
  EXPECT_EQ(slip.exit, 2);
  EXPECT_TRUE(has(slip.err, "no agent that answers has an instance m9")) << slip.err;
  EXPECT_EQ(agent.requests("POST /v1/operations").size(), 1u);
}

TEST_F(Several, AConflictAtOneAgentIsPartial) {
  script_fleet(agent, "web1");
  script_fleet(other, "web2");
  agent.on("POST /v1/operations", Reply::json(operation_json(7, "up", "done", ""), 202));
  other.on("POST /v1/operations", Reply::error(409, "conflict", "held"));
  EXPECT_EQ(both({"up"}).exit, 4);
}

TEST_F(Several, AnInstanceOfOneAgentIsFound) {
  script_fleet(agent, "web1");
  other.on("GET /v1/agent", R"({"name":"web2"})");
  const auto r = both({"show", "n0"});
  EXPECT_EQ(r.exit, 0) << r.err;
  EXPECT_TRUE(has(r.out, "n0 on web1")) << r.out;
  EXPECT_TRUE(r.err.empty()) << r.err;
  EXPECT_EQ(both({"show", "n9"}).exit, 2);
  EXPECT_EQ(both({"cancel", "7"}).exit, 1);
}

}  // namespace
}  // namespace heronvane::cli::test
