#include "cli/completion.hpp"

#include <gtest/gtest.h>

#include "cli/commands.hpp"
#include "stand_in.hpp"

namespace heronvane::cli::test {
namespace {

class Completion : public ::testing::TestWithParam<const char*> {};

TEST_P(Completion, ScriptsParseAndContainEachCommand) {
  const std::string shell_name = GetParam();
  const auto r = run_tool({"completion", shell_name});
  EXPECT_EQ(r.exit, 0);
  for (const auto& c : kCommands) EXPECT_NE(r.out.find(c.name), std::string::npos) << c.name;
  if (shell("command -v " + shell_name) != 0) GTEST_SKIP() << shell_name << " is not here";
  Folder folder;
  std::string text;
  EXPECT_EQ(shell(shell_name + " -n " + folder.write("script", r.out), &text), 0) << text;
}
INSTANTIATE_TEST_SUITE_P(Shells, Completion, ::testing::Values("bash", "zsh", "fish"),
                         [](const auto& shell_of) { return std::string(shell_of.param); });

TEST(BashCompletion, CompletesCommandsOptionsAndTheAgentsInstances) {
  Folder folder;
  StandIn agent(folder.file("agent.sock"));
  script_fleet(agent);
  const auto script = folder.write("script", run_tool({"completion", "bash"}).out);
  const auto complete = [&](const std::string& words, int at) {
    std::string text;
    shell("bash -c '. " + script + "; COMP_WORDS=(" + words + "); COMP_CWORD=" + std::to_string(at) +
              "; _heronvanectl; echo ${COMPREPLY[@]}'",
          &text);
    return text;
  };
  const std::string tool = HERONVANECTL;
  EXPECT_EQ(complete(tool + " dr", 1), "drain\n");
  EXPECT_EQ(complete(tool + " apply --dr", 2), "--dry-run\n");
  // The script gives the tool one second; on a loaded machine that may not suffice, and nothing is completed.
  std::string names;
  for (int i = 0; i < 20 && names.size() < 2; i++)
    names = complete(tool + " --agent " + folder.file("agent.sock") + " drain n", 4);
  EXPECT_EQ(names, "n0 n1 n2\n");
  EXPECT_EQ(complete(tool + " -o j", 2), "json\n");
}

}  // namespace
}  // namespace heronvane::cli::test
