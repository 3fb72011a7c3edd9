// The fleet file: errors name the field, and relays can read the configuration made from it.
#include "fleet_file.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "config.hpp"
#include "instance_folder.hpp"
#include "json.hpp"
#include "operator_settings.hpp"

namespace heronvane::fleet::testing {
namespace {

const std::string kTwo =
    R"("instances":[{"name":"n0","listen":"127.0.0.1:8081"},{"name":"n1","listen":"127.0.0.1:8082"}])";

std::string error_of(const std::string& json) {
  try {
    Fleet::read(json);
    return "";
  } catch (const std::exception& e) {
    return e.what();
  }
}

TEST(FleetFileTest, RelaysCanReadTheConfiguration) {
  const Fleet f = Fleet::read(
      R"({"discovery":"127.0.0.1:8500","limits":{"disk_mb":7},"store":{"durability":"machine"},)" + kTwo +
      "}");
  const Config c = read_config(f.config("n1", 12, 0x8c1f30d27a5be964));
  EXPECT_EQ(c.name, "n1");
  EXPECT_EQ(c.listen.port(), 8082);
  EXPECT_EQ(c.discovery.port(), 8500);
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(c.disk_bytes, 7'000'000u);
  EXPECT_EQ(c.settings.classes.size(), 2u);
  EXPECT_EQ(parse_json(f.config("n1", 12, 1))["generation"].GetUint64(), 12u);
  EXPECT_EQ(f.settings(), "[admin]\nsocket = true\ndrain = true\n\n[store]\ndurability = \"machine\"\n");
  EXPECT_EQ(f.spec().instances.size(), 2u);
  EXPECT_EQ(f.spec().common.at("limits.disk_mb"), "7");
  EXPECT_EQ(f.spec().instances[0].own.at("listen"), "127.0.0.1:8081");
  EXPECT_THROW(f.config("n2", 1, 1), std::exception);
}

TEST(FleetFileTest, InstancesAreMembersForCopies) {
  const std::string head = R"({"discovery":"127.0.0.1:8500","copies":{"cluster":"north","holders":1,
      "member":[{"name":"far","address":"10.0.0.9:9400","machine":"b"}]},"instances":[)";
  const Fleet f =
      Fleet::read(head + R"({"name":"n0","listen":"127.0.0.1:8081","copies":"127.0.0.1:9401","machine":"a"},
      {"name":"n1","listen":"127.0.0.1:8082","copies":"127.0.0.1:9402"}]})");
  const auto c = read_operator_settings(f.settings(), "f").copies;
  EXPECT_TRUE(c.on);
  EXPECT_EQ(c.holders, 1);
  ASSERT_EQ(c.members.size(), 3u);
  EXPECT_EQ(c.members[0].name, "far");
  EXPECT_EQ(c.members[1].address, "127.0.0.1:9401");
  EXPECT_EQ(c.members[1].machine, "a");
  EXPECT_NE(
      error_of(head + R"({"name":"n0","listen":"127.0.0.1:8081"}]})").find("instances[0].copies: is missing"),
      std::string::npos);
  EXPECT_NE(error_of(R"({"discovery":"127.0.0.1:8500","instances":[{"name":"n0","listen":"127.0.0.1:8081",
                    "copies":"127.0.0.1:9401"}]})")
                .find("requires fleet.copies"),
            std::string::npos);
}

TEST(FleetFileTest, ThePlatformIsTheDefaultDiscovery) {
  const Fleet f = Fleet::read(R"({"platform":{"listen":"127.0.0.1:8500","partners":[]},)" + kTwo + "}");
  EXPECT_EQ(read_config(f.config("n0", 1, 1)).discovery.port(), 8500);
  EXPECT_EQ(f.platform()->partners, R"({"endpoints":[]})");
}

// An added partner changes only the platform: no relay is restarted for it.
TEST(FleetFileTest, PartnersAreNotPartOfTheConfiguration) {
  const auto one = Fleet::read(R"({"platform":{"listen":"127.0.0.1:8500","partners":[]},)" + kTwo + "}");
  const auto two = Fleet::read(
      R"({"platform":{"listen":"127.0.0.1:8500","partners":[{"name":"s","address":"127.0.0.1:5","group":7}]},)" +
      kTwo + "}");
  EXPECT_EQ(one.spec().common, two.spec().common);
  EXPECT_NE(one.spec().agent_parts, two.spec().agent_parts);
}

TEST(FleetFileTest, ErrorsNameTheField) {
  const std::string d = R"({"discovery":"127.0.0.1:8500",)";
  EXPECT_EQ(error_of(d + kTwo + "}"), "");
  const std::pair<std::string, std::string> all[] = {
      {"[]", "fleet: must be an object"},
      {"{", "JSON: "},
      {"{" + kTwo + "}", "fleet: without platform"},
      {d + R"("instances":5})", "fleet.instances: must be an array"},
      {d + R"("instnaces":[]})", "fleet.instnaces: is not a field"},
      {d + R"("instances":[{"name":"N","listen":"127.0.0.1:1"}]})", "fleet.instances[0].name: must be"},
      {d + R"("instances":[{"name":"../x","listen":"127.0.0.1:1"}]})", "fleet.instances[0].name: must be"},
      {d + R"("instances":[{"name":"n","listen":"localhost"}]})", "fleet.instances[0].listen"},
      {d + R"("instances":[{"name":"n","listen":"127.0.0.1:1"},{"name":"n","listen":"127.0.0.1:2"}]})",
       "is already used by another instance"},
      {d + R"("instances":[{"name":"n","listen":"127.0.0.1:1"},{"name":"m","listen":"127.0.0.1:1"}]})",
       "is n's already"},
      {d + R"("max_unavailable":0,)" + kTwo + "}", "fleet.max_unavailable: "},
      {d + R"("limits":{"sockets":3},)" + kTwo + "}", "fleet.limits.sockets: must be 64 or more"},
      {d + R"("limits":{"disk":3},)" + kTwo + "}", "fleet.limits.disk: is not a field"},
      {d + R"("settings":{"Classes":5},)" + kTwo + "}", "fleet.settings.Classes: must be an array"},
      {d + R"("store":{"durability":"disk"},)" + kTwo + "}", "store.durability: must be"},
      {d + R"("store":{"durability":"process\"\n[admin]"},)" + kTwo + "}", "store.durability: must be"},
      {d + R"("store":{"a\nb":1},)" + kTwo + "}", "is not a setting"},
      {d + R"("platform":{"listen":"127.0.0.1:8500"},)" + kTwo + "}", "either partners or partners_file"},
      {d + R"("platform":{"listen":"127.0.0.1:8500","partners_file":"x"},)" + kTwo + "}",
       "must be an absolute path"},
      {R"({"platform":{"listen":"10.0.0.1:8500","partners":[]},)" + kTwo + "}", "must be a loopback address"},
      {R"({"platform":{"listen":"127.0.0.1:8500","partners":[{"name":"s"}]},)" + kTwo + "}",
       "fleet.platform.partners: "},
  };
  for (const auto& [json, what] : all)
    EXPECT_NE(error_of(json).find(what), std::string::npos) << json << "\n" << error_of(json);
  std::string deep = d + kTwo + R"(,"settings":)";
  deep += std::string(100'000, '[') + std::string(100'000, ']') + "}";
  EXPECT_NE(error_of(deep).find("nested deeper"), std::string::npos);
}

TEST(JsonTest, PrintableReplacesInvalidUtf8) {
  EXPECT_EQ(printable("a\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80"), "a\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80");
  EXPECT_EQ(printable("\xff\xc0\x80x\xed\xa0\x80\xe2\x82"), "???x?????");
}

// A state folder that can't be accessed does not count as deleted: the relay in it would be ended because of
// a disk that does not respond.
TEST(InstanceFolderTest, AnInaccessibleFolderDoesNotCountAsDeleted) {
  namespace fs = std::filesystem;
  const std::string data = (fs::temp_directory_path() / ("folder-" + std::to_string(::getpid()))).string();
  const InstanceFolder folder(data, "n0");
  EXPECT_FALSE(folder.has_state());
  fs::create_directories(data + "/instances");
  folder.make();
  EXPECT_TRUE(folder.has_state());
  fs::remove_all(folder.state());
  EXPECT_FALSE(folder.has_state());
  fs::create_symlink("state", folder.state());  // to itself: ELOOP
  EXPECT_TRUE(folder.has_state());
  fs::remove_all(data);
}

}  // namespace
}  // namespace heronvane::fleet::testing
