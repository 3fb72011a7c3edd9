// Output on a terminal: --watch and colours.
#include "cli/terminal.hpp"

#include <gtest/gtest.h>
#include <signal.h>

#include "stand_in.hpp"

namespace heronvane::cli::test {
namespace {

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

TEST(Frame, EndsEachLineAndOmitsLinesThatDoNotFit) {
  EXPECT_EQ(frame("a\nb\n", 3), "\x1b[Ha\x1b[0m\x1b[K\r\nb\x1b[0m\x1b[K\r\n\x1b[J");
  EXPECT_EQ(frame("a\nb\n", 2), "\x1b[Ha\x1b[0m\x1b[K\r\nb\x1b[0m\x1b[K\x1b[J");
  EXPECT_EQ(frame("a\nb\nc\n", 2), "\x1b[Ha\x1b[0m\x1b[K\r\n2 more lines\x1b[K\x1b[J");
}

TEST(Watch, RedrawsAndRestoresTheTerminal) {
  Folder folder;
  StandIn agent(folder.file("agent.sock"));
  script_fleet(agent);
  for (const int end : {SIGINT, SIGTERM}) {
    Tool tool({"--agent", folder.file("agent.sock"), "status", "--watch"}, true);
    ASSERT_TRUE(tool.wrote("\x1b[?1049h\x1b[?25l"));
    ASSERT_TRUE(tool.wrote("Needs attention"));
    if (end == SIGINT)
      tool.type("\x03");
    else
      tool.signal(end);
    const auto r = tool.finish();
    EXPECT_EQ(r.exit, 0);
    const std::string restored = "\x1b[?25h\x1b[?1049l";
    EXPECT_EQ(r.out.substr(r.out.size() - std::min(r.out.size(), restored.size())), restored);
  }
  EXPECT_TRUE(agent.wait_for_requests("GET /v1/instances", 2));
}

TEST(Watch, ContinuesWhileTheAgentIsUnreachable) {
  Folder folder;
  const auto socket = folder.file("agent.sock");
  Tool tool({"--agent", socket, "status", "--watch"}, true);
  ASSERT_TRUE(tool.wrote("no agent at"));
  StandIn agent(socket);
  script_fleet(agent);
  ASSERT_TRUE(tool.wrote("Needs attention"));
  tool.type("\x03");
  EXPECT_EQ(tool.finish().exit, 0);
}

TEST(Watch, CtrlCEndsAtOnceIfTheAgentDoesNotAnswer) {
  Folder folder;
  StandIn agent(folder.file("agent.sock"));
  agent.on("GET /v1/agent", Reply::raw("HTTP/1.1 200 X\r\n").then_hold());
  Tool tool({"--agent", folder.file("agent.sock"), "--timeout", "600", "status", "--watch"}, true);
  ASSERT_TRUE(agent.wait_for_requests("GET /v1/agent"));
  tool.type("\x03");
  EXPECT_EQ(tool.finish().exit, 0);
}

TEST(Colour, OnATerminalWithoutNoColor) {
  Folder folder;
  StandIn agent(folder.file("agent.sock"));
  script_fleet(agent);
  const std::vector<std::string> words{"--agent", folder.file("agent.sock"), "list"};
  EXPECT_TRUE(has(Tool(words, true).finish().out, "\x1b[32mready"));
  EXPECT_FALSE(has(Tool(words, true, {"NO_COLOR=1"}).finish().out, "\x1b["));
  EXPECT_FALSE(has(run_tool(words).out, "\x1b["));
}

}  // namespace
}  // namespace heronvane::cli::test
