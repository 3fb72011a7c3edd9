// The command line: its options, its output, and the one-line errors for invalid arguments.
#include "command_line.hpp"

#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

std::string error(const std::vector<std::string>& arguments) {
  try {
    read_command_line(arguments);
  } catch (const UsageError& e) {
    return e.what();
  }
  return "none";
}

TEST(CommandLine, ReadsAllOptions) {
  const auto c = read_command_line({"--config", "c.json", "--state=/var/lib/x=y", "--settings", "-", "--run",
                                    "0123456789abcdef", "--undrain", "0"});
  EXPECT_EQ(c.config, "c.json");
  EXPECT_EQ(c.state, "/var/lib/x=y");
  EXPECT_EQ(c.settings, "-");
  EXPECT_EQ(c.run, "0123456789abcdef");
  EXPECT_EQ(c.undrain, 0);
  EXPECT_FALSE(c.check_config || c.version || c.help);
  const auto flags = read_command_line({"--check-config", "--version", "--help"});
  EXPECT_TRUE(flags.check_config && flags.version && flags.help);
  const auto none = read_command_line({});
  EXPECT_TRUE(none.config.empty() && none.run.empty() && !none.undrain);
}

TEST(CommandLine, ErrorsNameTheArgument) {
  EXPECT_EQ(error({"--confg", "x"}), "unknown option '--confg'; --help lists the options");
  EXPECT_EQ(error({"config.json"}), "unexpected argument 'config.json'; --help lists the options");
  EXPECT_EQ(error({"-x"}), "unexpected argument '-x'; --help lists the options");
  EXPECT_EQ(error({"--"}), "unexpected argument '--'; --help lists the options");
  EXPECT_EQ(error({""}), "unexpected argument ''; --help lists the options");
  EXPECT_EQ(error({"--config"}), "--config: its value is missing; --help lists the options");
  EXPECT_EQ(error({"--config", "--state", "x"}), "--config: its value is missing; --help lists the options");
  EXPECT_EQ(error({"--config="}), "--config: its value is missing; --help lists the options");
  EXPECT_EQ(error({"--config", ""}), "--config: its value is missing; --help lists the options");
  EXPECT_EQ(error({"--version=1"}), "--version: takes no value");
  EXPECT_EQ(error({"--config", "a", "--config=b"}), "--config: given twice");
  for (const std::string bad :
       {"-1", "1x", " 1", "0x10", "99999999999999999999", "9223372036854775807", "1.5"})
    EXPECT_EQ(error({"--undrain=" + bad}), "--undrain: must be a whole number, not '" + bad + "'");
  for (const std::string bad :
       {"0123456789abcde", "0123456789abcdef0", "0123456789ABCDEF", "0123456789abcdeg"})
    EXPECT_EQ(error({"--run", bad}), "--run: must be 16 hexadecimal digits (0-9, a-f), not '" + bad + "'");
}

class ProgramTest : public RelayTest {
 protected:
  // Runs the program and returns its exit status; logged() is its standard output and error.
  int run(std::vector<std::string> with) {
    std::filesystem::remove(folder + "/log");
    arguments = std::move(with);
    spawn(members.empty() ? "" : config());
    return wait_exit();
  }
  void SetUp() override { no_environment = output_in_log = true; }
  std::string one_line() {
    const auto log = logged();
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    return log;
  }
};

TEST_F(ProgramTest, PrintsVersionAndUsage) {
  EXPECT_EQ(run({"--version"}), 0);
  EXPECT_EQ(one_line().substr(0, 10), "heronvane ");
  EXPECT_EQ(run({"--help"}), 0);
  for (const char* option : {"--config FILE", "--state FOLDER", "--settings FILE", "--run ID",
                             "--undrain FENCE", "--check-config", "--version"})
    EXPECT_NE(logged().find(option), std::string::npos) << option;
}

TEST_F(ProgramTest, ErrorsSayWhichOptionIsMissing) {
  EXPECT_EQ(run({}), 1);
  EXPECT_NE(one_line().find("no configuration: name its file by --config FILE or LB_CONFIG"),
            std::string::npos);
  EXPECT_EQ(run({"-h"}), 0);
  EXPECT_NE(logged().find("--config FILE"), std::string::npos);
  EXPECT_EQ(run({"--nonsense"}), 1);
  EXPECT_NE(one_line().find("unknown option '--nonsense'"), std::string::npos);
  members = member("s-1", endpoint.address());
  EXPECT_EQ(run({"--config", folder + "/config.json"}), 1);
  EXPECT_NE(one_line().find("no state folder: name it by --state FOLDER or LB_STATE"), std::string::npos);
  EXPECT_EQ(run({"--config", folder + "/nowhere.json", "--state", folder + "/state"}), 1);
  EXPECT_NE(one_line().find("can't read " + folder + "/nowhere.json: No such file"), std::string::npos);
  std::ofstream(folder + "/fleet.toml") << "[fleet]\n";
  EXPECT_EQ(run({"--config", folder + "/fleet.toml", "--check-config"}), 1);
  EXPECT_NE(one_line().find(folder + "/fleet.toml: config: is no JSON at byte "), std::string::npos);
}

// --check-config reads all files, but uses neither the state folder nor the address.
TEST_F(ProgramTest, ChecksAConfiguration) {
  members = member("s-1", endpoint.address());
  more = ",\"generation\":12";
  tcp::acceptor taken(io, {net::ip::make_address(own_address()), port});
  const std::vector<std::string> check = {"--check-config", "--config", folder + "/config.json"};
  EXPECT_EQ(run(check), 0);
  const auto line = one_line();
  EXPECT_EQ(line.substr(0, 30), "configuration: sound: name n0,");
  EXPECT_NE(line.find("2 classes, 1 endpoints known, generation 12"), std::string::npos) << line;
  EXPECT_TRUE(std::filesystem::is_empty(folder + "/state"));
  more = ",\"generation\":-1";
  EXPECT_EQ(run(check), 1);
  EXPECT_NE(one_line().find("config.generation: must not be negative"), std::string::npos);
  more = "";
#ifdef HERONVANE_SETTINGS_FILE
  own_settings = "[admin]\nsockets = true\n";
  auto with = check;
  with.insert(with.end(), {"--settings", folder + "/own.toml"});
  EXPECT_EQ(run(with), 1);
  EXPECT_NE(one_line().find("own.toml:2: admin.sockets: is no setting; known are: socket, drain"),
            std::string::npos);
#endif
}

// Options take precedence over environment variables.
TEST_F(ProgramTest, OptionsOverrideTheEnvironment) {
  no_environment = output_in_log = false;
  members = member("s-1", endpoint.address());
  std::filesystem::create_directories(folder + "/other");
  arguments = {"--state", folder + "/other"};
  start();
  EXPECT_EQ(hand_in("m1", "pay-and-order"), 202u);
  EXPECT_TRUE(std::filesystem::is_empty(folder + "/state"));
  EXPECT_FALSE(std::filesystem::is_empty(folder + "/other"));
}

}  // namespace
}  // namespace heronvane::testing
