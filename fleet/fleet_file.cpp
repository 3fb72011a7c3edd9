#include "fleet_file.hpp"

#include <algorithm>
#include <initializer_list>
#include <stdexcept>

#include "config.hpp"
#include "default_settings.hpp"
#include "endpoint_list.hpp"
#include "fields.hpp"
#include "json.hpp"
#include "operator_settings.hpp"
#include "partners.hpp"

namespace heronvane::fleet {

namespace wire = heronvane::dispatch::adapter;
using rapidjson::Value;

namespace {

constexpr std::size_t kMaxInstances = 1'000;

std::string name_of(const Value& member) { return {member.GetString(), member.GetStringLength()}; }

// Throws on unknown fields: a misspelled field must not silently keep its default.
void require_known_fields(const Value& object, const std::string& path,
                          std::initializer_list<const char*> known) {
  wire::as_object(object, path);
  for (const auto& m : object.GetObject())
    if (std::none_of(known.begin(), known.end(), [&](const char* k) { return name_of(m.name) == k; }))
      throw std::runtime_error(path + "." + printable(name_of(m.name)) + ": is not a field of a fleet");
}

// Adds each leaf by its path, as diffs show it.
void flatten(const Value& v, const std::string& path, ConfigParts& parts) {
  if (v.IsObject() && v.MemberCount() > 0) {
    for (const auto& m : v.GetObject()) flatten(m.value, path + "." + name_of(m.name), parts);
  } else if (v.IsArray() && !v.Empty() &&
             std::any_of(v.Begin(), v.End(), [](const Value& e) { return e.IsObject() || e.IsArray(); })) {
    for (rapidjson::SizeType i = 0; i < v.Size(); i++) {
      // Elements are identified by name if they have one, so that an insertion does not show as a change of
      // all.
      std::string element = std::to_string(i);
      for (const char* name : {"name", "Name"})
        if (v[i].IsObject() && v[i].HasMember(name) && v[i][name].IsString()) element = name_of(v[i][name]);
      flatten(v[i], path + "[" + element + "]", parts);
    }
  } else {
    parts[path] = to_text(v);
  }
}

void check_name(const std::string& name, const std::string& path) {
  const bool ok = !name.empty() && name.size() <= 64 && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
  if (!ok) throw std::runtime_error(path + ": must be 1 to 64 characters of a-z 0-9 -");
}

std::string address(const Value& v, const std::string& path) {
  const std::string text = wire::as_string(v, path);
  read_address(text, path);
  return text;
}

// Writes the scalar members of `table` as TOML; skips arrays.
std::string toml_of(const Value& table, const std::string& table_path) {
  std::string toml;
  for (const auto& m : table.GetObject()) {
    const std::string name = name_of(m.name), path = table_path + "." + printable(name);
    if (m.value.IsArray()) continue;
    const bool plain = !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
    });
    if (!plain) throw std::runtime_error(path + ": is not a setting");
    if (!m.value.IsString() && !m.value.IsBool() && !m.value.IsNumber())
      throw std::runtime_error(path + ": must be a string, a number, true or false");
    // JSON strings as to_text() writes them are valid TOML basic strings.
    toml += name + " = " + to_text(m.value) + "\n";
  }
  return toml;
}

}  // namespace

Fleet Fleet::read(const std::string& json) {
  const rapidjson::Document v = parse_json(json);
  const std::string path = "fleet";
  require_known_fields(v, path,
                       {"max_unavailable", "program", "discovery", "settings", "limits", "store", "copies",
                        "platform", "instances"});
  Fleet fleet;
  FleetSpec& spec = fleet.spec_;
  spec.text = to_text(v);
  spec.max_unavailable = wire::optional_field(v, "max_unavailable", path, wire::as_int, 1);
  if (spec.max_unavailable < 1) throw std::runtime_error("fleet.max_unavailable: must be 1 or more");
  spec.agent_parts["max_unavailable"] = std::to_string(spec.max_unavailable);
  fleet.program_ = wire::optional_field(v, "program", path, wire::as_string, "heronvane");
  if (fleet.program_.empty()) throw std::runtime_error("fleet.program: must not be empty");
  spec.common["program"] = fleet.program_;

  const Value* settings = wire::find_member(v, "settings");
  if (settings != nullptr) wire::as_object(*settings, path + ".settings");
  const bool has_settings = settings != nullptr && settings->MemberCount() > 0;
  fleet.settings_json_ = has_settings ? to_text(*settings) : kDefaultSettings;
  if (has_settings) flatten(*settings, "settings", spec.common);

  rapidjson::Document limits(rapidjson::kObjectType);
  auto& memory = limits.GetAllocator();
  limits.AddMember("cores", 1.0, memory);
  limits.AddMember("memory_mb", 192, memory);
  limits.AddMember("sockets", 1024, memory);
  limits.AddMember("disk_mb", 100, memory);
  if (const Value* configured = wire::find_member(v, "limits")) {
    require_known_fields(*configured, "fleet.limits", {"cores", "memory_mb", "sockets", "disk_mb"});
    for (const auto& m : configured->GetObject()) {
      wire::as_number(m.value, "fleet.limits." + name_of(m.name));
      limits[name_of(m.name).c_str()].CopyFrom(m.value, memory);
    }
  }
  fleet.limits_json_ = to_text(limits);
  flatten(limits, "limits", spec.common);

  if (const Value* store = wire::find_member(v, "store")) {
    wire::as_object(*store, "fleet.store");
    fleet.store_toml_ = toml_of(*store, "fleet.store");
    if (!fleet.store_toml_.empty()) read_operator_settings("[store]\n" + fleet.store_toml_, "fleet.store");
    flatten(*store, "store", spec.common);
  }
  spec.common.erase("store");  // an empty table is no difference
  // The members that may hold copies of a relay's log: instances with a copies address, and members
  // elsewhere.
  const Value* const copies = wire::find_member(v, "copies");
  std::string members;
  if (copies != nullptr) {
    wire::as_object(*copies, "fleet.copies");
    fleet.copies_toml_ = "\n[copies]\n" + toml_of(*copies, "fleet.copies");
    if (const Value* remote_members = wire::find_member(*copies, "member")) {
      wire::as_array(*remote_members, "fleet.copies.member");
      for (rapidjson::SizeType i = 0; i < remote_members->Size(); i++) {
        const std::string item_path = "fleet.copies.member[" + std::to_string(i) + "]";
        wire::as_object((*remote_members)[i], item_path);
        members += "[[copies.member]]\n" + toml_of((*remote_members)[i], item_path);
      }
    }
    flatten(*copies, "copies", spec.common);
  }

  if (const Value* platform = wire::find_member(v, "platform")) {
    require_known_fields(*platform, "fleet.platform", {"listen", "partners", "partners_file"});
    PlatformSpec platform_spec;
    platform_spec.listen =
        address(wire::required_member(*platform, "listen", "fleet.platform"), "fleet.platform.listen");
    const Value* partners = wire::find_member(*platform, "partners");
    if (!read_address(platform_spec.listen, "fleet.platform.listen").address().is_loopback())
      throw std::runtime_error("fleet.platform.listen: must be a loopback address");
    platform_spec.partners_file =
        wire::optional_field(*platform, "partners_file", "fleet.platform", wire::as_string, "");
    if (!platform_spec.partners_file.empty() && platform_spec.partners_file.front() != '/')
      throw std::runtime_error("fleet.platform.partners_file: must be an absolute path");
    if ((partners != nullptr) == !platform_spec.partners_file.empty())
      throw std::runtime_error("fleet.platform: must hold either partners or partners_file");
    if (partners != nullptr)
      platform_spec.partners =
          "{\"endpoints\":" + to_text(wire::as_array(*partners, "fleet.platform.partners")) + "}";
    const std::string error =
        platform_spec.partners.empty() ? "" : read_partners(platform_spec.partners).error();
    if (!error.empty()) throw std::runtime_error("fleet.platform.partners: " + error);
    flatten(*platform, "platform", spec.agent_parts);
    fleet.platform_ = std::move(platform_spec);
  }
  fleet.discovery_ = wire::optional_field(v, "discovery", path, wire::as_string, "");
  if (fleet.discovery_.empty() && fleet.platform_) fleet.discovery_ = fleet.platform_->listen;
  if (fleet.discovery_.empty())
    throw std::runtime_error("fleet: without platform, discovery must name an address");
  read_address(fleet.discovery_, "fleet.discovery");
  spec.common["discovery"] = fleet.discovery_;

  const Value& instances = wire::as_array(wire::required_member(v, "instances", path), "fleet.instances");
  if (instances.Size() > kMaxInstances)
    throw std::runtime_error("fleet.instances: at most " + std::to_string(kMaxInstances));
  std::map<std::string, std::string> by_address;
  for (rapidjson::SizeType i = 0; i < instances.Size(); i++) {
    const std::string item_path = "fleet.instances[" + std::to_string(i) + "]";
    require_known_fields(instances[i], item_path, {"name", "listen", "copies", "machine", "zone"});
    InstanceSpec one;
    one.name = wire::required_field(instances[i], "name", item_path, wire::as_string);
    check_name(one.name, item_path + ".name");
    const std::string listen =
        address(wire::required_member(instances[i], "listen", item_path), item_path + ".listen");
    one.own["listen"] = listen;
    if (!fleet.listen_.emplace(one.name, listen).second)
      throw std::runtime_error(item_path + ".name: " + one.name + " is already used by another instance");
    const auto [other, is_new] = by_address.emplace(listen, one.name);
    if (!is_new)
      throw std::runtime_error(item_path + ".listen: " + listen + " is " + other->second + "'s already");
    if (const Value* copies_address = wire::find_member(instances[i], "copies")) {
      const std::string address_text = address(*copies_address, item_path + ".copies");
      if (copies == nullptr)
        throw std::runtime_error(item_path + ".copies: requires fleet.copies, which is missing");
      const auto [taken, inserted] = by_address.emplace(address_text, one.name);
      if (!inserted)
        throw std::runtime_error(item_path + ".copies: " + address_text + " is " + taken->second +
                                 "'s already");
      members += "[[copies.member]]\nname = " + to_text(instances[i]["name"]) +
                 "\naddress = " + to_text(*copies_address) + "\n";
      for (const char* place : {"machine", "zone"})
        if (const Value* configured = wire::find_member(instances[i], place)) {
          wire::as_string(*configured, item_path + "." + place);
          members += std::string(place) + " = " + to_text(*configured) + "\n";
        }
    } else if (copies != nullptr) {
      throw std::runtime_error(
          item_path + ".copies: is missing: fleet.copies requires the address of the copies listener");
    }
    if (fleet.platform_ && fleet.platform_->listen == listen)
      throw std::runtime_error(item_path + ".listen: " + listen + " is already used by the platform");
    spec.instances.push_back(std::move(one));
  }
  if (copies != nullptr) {
    fleet.copies_toml_ += members;
    read_operator_settings(fleet.copies_toml_, "fleet.copies");
    spec.common["copies.members"] = members;  // a change of members concerns each relay
  }
  // The configurations differ only in names and addresses, which are checked above.
  fleet.listen_.emplace("", "127.0.0.1:1");
  const std::string config = fleet.config("", 0, 1);
  fleet.listen_.erase("");
  try {
    read_config(config);
  } catch (const std::exception& e) {
    std::string what = e.what();
    if (what.rfind("config.", 0) == 0) what.replace(0, 7, "fleet.");
    throw std::runtime_error(what);
  }
  return fleet;
}

std::string Fleet::config(const std::string& name, Generation generation, std::uint64_t seed) const {
  const auto it = listen_.find(name);
  if (it == listen_.end())
    throw std::runtime_error(name + ": is not in the fleet of generation " + std::to_string(generation));
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(seed));
  rapidjson::StringBuffer b;
  JsonWriter w(b);
  w.StartObject();
  key(w, "name"), put(w, name);
  key(w, "listen"), put(w, it->second);
  key(w, "discovery"), put(w, discovery_);
  key(w, "seed"), put(w, hex);
  key(w, "generation"), w.Uint64(generation);
  key(w, "limits"), raw(w, limits_json_);
  key(w, "settings"), raw(w, settings_json_);
  w.EndObject();
  return text_of(b);
}

std::string Fleet::settings() const {
  std::string text = "[admin]\nsocket = true\ndrain = true\n";
  if (!store_toml_.empty()) text += "\n[store]\n" + store_toml_;
  text += copies_toml_;
  return text;
}

}  // namespace heronvane::fleet
