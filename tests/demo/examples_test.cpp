// Checks that the tool and the agent accept the installed examples.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "cli/fleet_file.hpp"
#include "fleet/default_settings.hpp"
#include "fleet/fleet_file.hpp"
#include "fleet/json.hpp"
#include "fleet/partners.hpp"
#include "relay/config.hpp"

namespace heronvane {
namespace {

std::string read(const std::string& name) {
  std::ifstream in(std::string(DEPLOY_FOLDER) + "/" + name, std::ios::binary);
  EXPECT_TRUE(in) << name;
  return {std::istreambuf_iterator<char>(in), {}};
}

TEST(ExamplesTest, TheFleetFileIsAccepted) {
  const auto json =
      cli::fleet_json(read("fleet.example.toml"), "fleet.example.toml",
                      [](const std::string& path) { return read(path.substr(path.find_last_of('/') + 1)); });
  const auto fleet = fleet::Fleet::read(json);
  EXPECT_EQ(fleet.spec().instances.size(), 3u);
  ASSERT_TRUE(fleet.platform());
  EXPECT_EQ(fleet.platform()->listen, "127.0.0.1:8500");
  EXPECT_TRUE(fleet::read_partners(fleet.platform()->partners).ok());
}

TEST(ExamplesTest, TheConfigurationOfOneRelayIsAccepted) {
  const Config c = read_config(read("relay.example.json"));
  EXPECT_EQ(c.name, "n0");
  ASSERT_EQ(c.known.endpoints.size(), 1u);
  EXPECT_EQ(c.settings.classes.size(), 2u);
}

TEST(ExamplesTest, TheSettingsAreTheDefaults) {
  EXPECT_EQ(fleet::to_text(fleet::parse_json(read("settings.example.json"))),
            fleet::to_text(fleet::parse_json(fleet::kDefaultSettings)));
}

}  // namespace
}  // namespace heronvane
