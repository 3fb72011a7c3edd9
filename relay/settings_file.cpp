// Reads the operator's settings from TOML.
#include <algorithm>
#include <cctype>
#include <string>
#include <utility>

#include "operator_settings.hpp"
#include "toml_section.hpp"

namespace heronvane {
namespace {

constexpr Microseconds kDay = 86'400'000'000;
constexpr Microseconds kMaxShortAfter = 10'000'000;
constexpr std::int64_t kMaxReplicas = 4;
constexpr std::int64_t kMaxDiskMegabytes = 1'000'000'000;
constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
constexpr std::size_t kMaxNameBytes = 64;

// Member names are used as folder names.
bool is_plain_name(const std::string& name) {
  const auto is_plain = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= kMaxNameBytes && name.front() != '.' &&
         std::all_of(name.begin(), name.end(), is_plain);
}

copies::Settings::Member read_copies_member(const toml::table& table, const std::string& file) {
  TomlSection section(table, "copies.member", file);
  copies::Settings::Member member;
  section.read_string("name", member.name);
  section.read_string("address", member.address);
  section.read_string("machine", member.machine);
  section.read_string("zone", member.zone);
  section.reject_unknown_keys();
  if (!is_plain_name(member.name)) {
    section.throw_malformed("name must be 1 to 64 letters, digits, '-', '_' or '.'");
  }
  if (member.address.empty()) {
    section.throw_malformed("address is missing: ip:port of that relay's copies listener");
  }
  return member;
}

void read_copies_members(TomlSection& section, const std::string& file, copies::Settings& settings) {
  section.read_tables("member", [&](const toml::table& table) {
    copies::Settings::Member member = read_copies_member(table, file);
    const bool is_listed =
        std::any_of(settings.members.begin(), settings.members.end(),
                    [&](const copies::Settings::Member& other) { return other.name == member.name; });
    if (is_listed) {
      TomlSection(table, "copies.member", file).throw_malformed("name: " + member.name + " is listed twice");
    }
    settings.members.push_back(std::move(member));
  });
}

void read_copies(TomlSection& section, const std::string& file, copies::Settings& settings) {
  settings.on = true;
  section.read_bool("on", settings.on);
  section.read_string("cluster", settings.cluster);
  section.read_string("listen", settings.listen);
  std::int64_t holders = settings.holders;
  section.read_integer("holders", 0, kMaxReplicas, holders);
  settings.holders = static_cast<int>(holders);
  section.read_enum("acks", {{"majority", false}, {"all", true}}, settings.require_all_acks);
  section.read_seconds("takeover_after_s", kDay, settings.takeover_after);
  section.read_seconds("replace_after_s", kDay, settings.replace_after);
  section.read_seconds("short_after_s", kMaxShortAfter, settings.short_after);
  std::int64_t disk_mb = 0;
  section.read_integer("disk_mb", 1, kMaxDiskMegabytes, disk_mb);
  settings.disk_bytes = static_cast<std::uint64_t>(disk_mb) * kBytesPerMegabyte;
  read_copies_members(section, file, settings);
  if (!settings.on) return;
  if (settings.cluster.empty()) {
    section.throw_malformed("cluster is missing: a name that all members have alike");
  }
  if (settings.members.empty()) section.throw_malformed("no [[copies.member]] is there");
}

void read_admin(TomlSection& section, OperatorSettings::Admin& settings) {
  section.read_bool("socket", settings.socket);
  section.read_bool("drain", settings.drain);
}

void read_relay(TomlSection& section, OperatorSettings::Relay& settings) {
  section.read_bool("wake", settings.wake);
  section.read_bool("early_rounds", settings.early_rounds);
  section.read_seconds("start_timeout", kDay, settings.start_timeout);
}

void read_store(TomlSection& section, OperatorSettings::Store& settings) {
  section.read_enum("durability",
                    {{"process", store::Durability::process}, {"machine", store::Durability::machine}},
                    settings.durability);
  section.read_bool("keep_health", settings.keep_health);
  section.read_bool("keep_waits", settings.keep_waits);
  section.read_seconds("remember_window_s", kDay, settings.remember_window);
}

toml::table parse(const std::string& text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw SettingsError(file, error.source().begin.line, std::string(error.description()));
  }
}

// Reads the section `name` into `settings`. Throws SettingsError if no section has this name.
void read_section(const std::string& name, const toml::node& node, const std::string& file,
                  OperatorSettings& settings) {
  const toml::table* const table = node.as_table();
  const bool known = name == "admin" || name == "copies" || name == "relay" || name == "store";
  if (table == nullptr || !known) {
    throw SettingsError(file, node.source().begin.line,
                        name + ": is not a section; known sections: admin, copies, relay, store");
  }
  TomlSection section(*table, name, file);
  if (name == "admin") read_admin(section, settings.admin);
  if (name == "copies") read_copies(section, file, settings.copies);
  if (name == "relay") read_relay(section, settings.relay);
  if (name == "store") read_store(section, settings.store);
  section.reject_unknown_keys();
}

}  // namespace

OperatorSettings read_operator_settings(const std::string& text, const std::string& file) {
  OperatorSettings settings;
  // Both default to false without a settings file, and to true with one.
  settings.relay.wake = true;
  settings.relay.early_rounds = true;
  const toml::table document = parse(text, file);
  for (const auto& [name, node] : document) read_section(std::string(name.str()), node, file, settings);
  return settings;
}

}  // namespace heronvane
