#include "cli/fleet_file.hpp"

#include <gtest/gtest.h>

#include <map>

namespace heronvane::cli {
namespace {

std::string parse(const std::string& text, const std::map<std::string, std::string>& files = {}) {
  return fleet_json(text, "etc/fleet.toml", [&](const std::string& path) {
    const auto f = files.find(path);
    if (f == files.end()) throw std::runtime_error("No such file or directory");
    return f->second;
  });
}

std::string fault(const std::string& text, const std::map<std::string, std::string>& files = {}) {
  try {
    return "none: " + parse(text, files);
  } catch (const FleetFileError& e) {
    return e.what();
  }
}

const std::string kFleet = "[fleet]\ndiscovery = \"127.0.0.1:8500\"\n";

TEST(FleetFile, ConvertsToTheDocumentedObject) {
  EXPECT_EQ(
      parse(R"([fleet]
max_unavailable = 2
settings = "settings.json"
[fleet.limits]
disk_mb = 100
[fleet.store]
durability = "machine"
keep_waits = true
[platform]
listen = "127.0.0.1:8500"
partners = "/abs/partners.json"
[[instance]]
name = "n0"
listen = "127.0.0.1:8081"
)",
            {{"etc/settings.json", "{\"a\": 1}"}, {"/abs/partners.json", "[{\"id\":\"s-1\"}]"}}),
      R"({"max_unavailable":2,"program":"heronvane","discovery":"","settings":{"a":1},"limits":{"disk_mb":100},)"
      R"("store":{"durability":"machine","keep_waits":true},"platform":{"listen":"127.0.0.1:8500",)"
      R"("partners":[{"id":"s-1"}]},"instances":[{"name":"n0","listen":"127.0.0.1:8081"}]})");
}

TEST(FleetFile, AcceptsPartnersInDiscoveryFormatOrOnTheAgentsMachine) {
  const std::string head = "[platform]\nlisten = \"127.0.0.1:1\"\n";
  EXPECT_NE(parse(head + "partners = \"p\"\n", {{"etc/p", "{\"index\":3,\"endpoints\":[{}]}"}})
                .find("\"partners\":[{}]"),
            std::string::npos);
  EXPECT_NE(parse(head + "partners_file = \"/p\"\n").find("\"partners_file\":\"/p\""), std::string::npos);
  EXPECT_EQ(fault(head + "partners_file = \"p\"\n"),
            "etc/fleet.toml:3: platform.partners_file: must be an absolute path on the agent's machine");
  EXPECT_EQ(fault(head),
            "etc/fleet.toml:1: platform.partners: one of partners (a file here) and partners_file (on "
            "the agent's "
            "machine) must be given");
}

TEST(FleetFile, ErrorsNameFileLineAndKey) {
  EXPECT_EQ(
      fault("[fleet]\nmax = 1\n" + std::string("discovery = \"h:1\"\n")),
      "etc/fleet.toml:2: fleet.max: is not known; known here: max_unavailable, program, discovery, settings, "
      "limits, store, copies");
  EXPECT_EQ(fault(kFleet + "[relay]\nx = 1\n"),
            "etc/fleet.toml:3: relay: is not known; known here: fleet, platform, instance");
  EXPECT_EQ(fault(kFleet + "max_unavailable = 0\n"),
            "etc/fleet.toml:3: fleet.max_unavailable: must be a whole number from 1 to 10000");
  EXPECT_EQ(fault(kFleet + "[fleet.store]\ndurability = \"disk\"\n"),
            "etc/fleet.toml:4: fleet.store.durability: must be \"process\" or \"machine\"");
  EXPECT_EQ(fault(kFleet + "[[instance]]\nlisten = \"h:1\"\n"),
            "etc/fleet.toml:3: instance.name: is missing");
  EXPECT_EQ(fault(kFleet + "[[instance]]\nname = \"a b\"\nlisten = \"h:1\"\n").substr(0, 45),
            "etc/fleet.toml:4: instance.name: \"a b\" must b");
  EXPECT_EQ(fault(kFleet + "[[instance]]\nname = \"a\"\nlisten = \"h\"\n"),
            "etc/fleet.toml:5: instance.listen: \"h\" must be HOST:PORT");
  EXPECT_EQ(
      fault(kFleet +
            "[[instance]]\nname = \"a\"\nlisten = \"h:1\"\n[[instance]]\nname = \"a\"\nlisten = \"h:2\"\n"),
      "etc/fleet.toml:7: instance.name: \"a\" is used twice");
  EXPECT_EQ(
      fault(kFleet +
            "[[instance]]\nname = \"a\"\nlisten = \"h:1\"\n[[instance]]\nname = \"b\"\nlisten = \"h:1\"\n"),
      "etc/fleet.toml:8: instance.listen: \"h:1\" is used twice");
  EXPECT_EQ(fault("[fleet]\n"),
            "etc/fleet.toml:1: fleet.discovery: is missing: without [platform] the relays' discovery must be "
            "named");
  EXPECT_EQ(fault("[fleet\n").substr(0, 17), "etc/fleet.toml:1:");
}

TEST(FleetFile, ErrorsInReferencedFiles) {
  const auto text = kFleet + "settings = \"s.json\"\n";
  EXPECT_EQ(fault(text), "etc/fleet.toml:3: fleet.settings: etc/s.json: No such file or directory");
  EXPECT_EQ(fault(text, {{"etc/s.json", "{\n\"a\":\n}"}}), "etc/s.json:3: Invalid value.");
  EXPECT_EQ(fault(text, {{"etc/s.json", "[]"}}), "etc/s.json:1: must be an object");
  EXPECT_EQ(fault("[platform]\nlisten = \"h:1\"\npartners = \"p\"\n", {{"etc/p", "[1]"}}),
            "etc/p: endpoints[0]: must be an object");
}

}  // namespace
}  // namespace heronvane::cli
