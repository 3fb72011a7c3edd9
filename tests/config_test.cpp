// Invalid configurations: an error of one line that names the field, no start, and no change to a running
// relay.
#include "relay_harness.hpp"

namespace heronvane::testing {
namespace {

class ConfigTest : public RelayTest {
 protected:
  std::string with(const std::string& text, const std::string& by) {
    std::string c = config();
    const auto at = c.find(text);
    if (at == std::string::npos) ADD_FAILURE() << text;
    return c.replace(at, text.size(), by);
  }
  // Starts the program with `text` replaced by `by`; expects it to fail with one line that names `field`.
  void expect_named(const std::string& text, const std::string& by, const std::string& field) {
    if (members.empty()) members = member("s-1", endpoint.address());
    std::filesystem::remove(folder + "/log");
    spawn(with(text, by));
    EXPECT_EQ(wait_exit(), 1) << by;
    const auto log = logged();
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    EXPECT_NE(log.find("heronvane: " + folder + "/config.json: config." + field + ": "), std::string::npos)
        << log;
  }
};

// Guards against a segmentation fault: members were looked up in values that are not objects.
TEST_F(ConfigTest, WrongTypesAreNamed) {
  expect_named("\"Tick\":5000", "\"Tick\":5000,\"Report\":5", "settings.Report");
  expect_named("\"Tick\":5000", "\"Tick\":5000,\"Report\":\"answers\"", "settings.Report");
  expect_named("\"Tick\":5000", "\"Tick\":5000,\"Report\":[{}]", "settings.Report");
  expect_named("\"Tick\":5000", "\"Tick\":5000,\"Tenants\":[5]", "settings.Tenants");
  expect_named("\"Classes\":[", "\"Classes\":[7,", "settings.Classes");
  expect_named("\"FamilyInfo\":{", "\"FamilyInfo\":5,\"x\":{", "settings.FamilyInfo");
  expect_named("\"Rules\":{", "\"Rules\":[],\"x\":{", "settings.Rules");
  expect_named("\"Limits\":{", "\"Limits\":true,\"x\":{", "settings.Limits");
  expect_named("\"settings\":{", "\"settings\":\"\",\"x\":{", "settings");
  expect_named("\"limits\":{", "\"limits\":1.5,\"x\":{", "limits");
  expect_named("\"known\":{", "\"known\":[],\"x\":{", "known");
  expect_named("\"endpoints\":[", "\"endpoints\":[[],", "known.endpoints");
}

TEST_F(ConfigTest, AWrongTypeAtSighupChangesNothing) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  reload(with("\"Tick\":5000", "\"Tick\":5000,\"Report\":5"));
  wait_for(
      [&] {
        return logged().find("the old one stays: " + folder + "/config.json: config.settings.Report: ") !=
               std::string::npos;
      },
      "the line in the log");
  EXPECT_EQ(hand_in("m1", "pay-and-order"), 202u);
  wait_for([&] { return endpoint.got.size() == 1; }, "the call");
  EXPECT_EQ(watches.size(), 1u);
}

// Times that would overflow in calculations.
TEST_F(ConfigTest, TimesOutOfRangeAreNamedAtTheStart) {
  expect_named("\"Tick\":5000", "\"Tick\":9000000000000000000", "settings.Tick");
  expect_named("\"Deadline\":6000000", "\"Deadline\":9000000000000000000", "settings.Classes.Deadline");
  expect_named("\"ConnIdle\":5000000", "\"ConnIdle\":9000000000000000000", "settings.Limits.ConnIdle");
  expect_named("\"since_ms\":0", "\"since_ms\":10000000000000000", "known.endpoints.since_ms");
  expect_named("\"since_ms\":0", "\"since_ms\":-10000000000000000", "known.endpoints.since_ms");
}
TEST_F(ConfigTest, ATimeOutOfRangeInAListIsLogged) {
  start();
  wait_for([&] { return watches.size() == 1; }, "the watch");
  std::string odd = member("s-1", endpoint.address());
  const std::string since = "\"since_ms\":0";
  tell(list(odd.replace(odd.find(since), since.size(), "\"since_ms\":10000000000000000")));
  wait_for([&] { return watches.size() == 2; }, "a new watch");
  EXPECT_NE(logged().find("discovery: members.endpoints.since_ms: "), std::string::npos);
  EXPECT_EQ(hand_in("m1", "pay-and-order"), 202u);
}

}  // namespace
}  // namespace heronvane::testing
