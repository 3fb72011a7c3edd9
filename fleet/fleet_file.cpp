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

constexpr std::size_t kMostInstances = 1'000;

std::string name_of(const Value& member) { return {member.GetString(), member.GetStringLength()}; }

// A slip of the pen must not pass for a default.
void only(const Value& object, const std::string& path, std::initializer_list<const char*> known) {
  wire::as_object(object, path);
  for (const auto& m : object.GetObject())
    if (std::none_of(known.begin(), known.end(), [&](const char* k) { return name_of(m.name) == k; }))
      throw std::runtime_error(path + "." + printable(name_of(m.name)) + ": is no field of a fleet");
}

// Each leaf by its path, as it is shown in a diff.
void flatten(const Value& v, const std::string& path, ConfigParts& parts) {
  if (v.IsObject() && v.MemberCount() > 0) {
    for (const auto& m : v.GetObject()) flatten(m.value, path + "." + name_of(m.name), parts);
  } else if (v.IsArray() && !v.Empty() &&
             std::any_of(v.Begin(), v.End(), [](const Value& e) { return e.IsObject() || e.IsArray(); })) {
    for (rapidjson::SizeType i = 0; i < v.Size(); i++) {
      // By name where there is one, so that one more in front does not show as a change of all.
      std::string at = std::to_string(i);
      for (const char* name : {"name", "Name"})
        if (v[i].IsObject() && v[i].HasMember(name) && v[i][name].IsString()) at = name_of(v[i][name]);
      flatten(v[i], path + "[" + at + "]", parts);
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

// As TOML, but for tables in it.
std::string toml_of(const Value& table, const std::string& at) {
  std::string toml;
  for (const auto& m : table.GetObject()) {
    const std::string name = name_of(m.name), path = at + "." + printable(name);
    if (m.value.IsArray()) continue;
    const bool plain = !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
    });
    if (!plain) throw std::runtime_error(path + ": is no setting");
    if (!m.value.IsString() && !m.value.IsBool() && !m.value.IsNumber())
      throw std::runtime_error(path + ": must be a word, a number, true or false");
    // Strings of JSON as they are written here are basic strings of TOML.
    toml += name + " = " + to_text(m.value) + "\n";
  }
  return toml;
}

}  // namespace

Fleet Fleet::read(const std::string& json) {
  const rapidjson::Document v = parse_json(json);
  const std::string path = "fleet";
  only(v, path,
       {"max_unavailable", "program", "discovery", "settings", "limits", "store", "copies", "platform",
        "instances"});
  Fleet f;
  FleetSpec& spec = f.spec_;
  spec.text = to_text(v);
  spec.max_unavailable = wire::optional_field(v, "max_unavailable", path, wire::as_int, 1);
  if (spec.max_unavailable < 1) throw std::runtime_error("fleet.max_unavailable: must be 1 or more");
  spec.agent_parts["max_unavailable"] = std::to_string(spec.max_unavailable);
  f.program_ = wire::optional_field(v, "program", path, wire::as_string, "heronvane");
  if (f.program_.empty()) throw std::runtime_error("fleet.program: must not be empty");
  spec.common["program"] = f.program_;

  const Value* settings = wire::find_member(v, "settings");
  if (settings != nullptr) wire::as_object(*settings, path + ".settings");
  const bool own = settings != nullptr && settings->MemberCount() > 0;
  f.relay_settings_ = own ? to_text(*settings) : kDefaultSettings;
  if (own) flatten(*settings, "settings", spec.common);

  rapidjson::Document limits(rapidjson::kObjectType);
  auto& memory = limits.GetAllocator();
  limits.AddMember("cores", 1.0, memory);
  limits.AddMember("memory_mb", 192, memory);
  limits.AddMember("sockets", 1024, memory);
  limits.AddMember("disk_mb", 100, memory);
  if (const Value* told = wire::find_member(v, "limits")) {
    only(*told, "fleet.limits", {"cores", "memory_mb", "sockets", "disk_mb"});
    for (const auto& m : told->GetObject()) {
      wire::as_number(m.value, "fleet.limits." + name_of(m.name));
      limits[name_of(m.name).c_str()].CopyFrom(m.value, memory);
    }
  }
  f.limits_ = to_text(limits);
  flatten(limits, "limits", spec.common);

  if (const Value* store = wire::find_member(v, "store")) {
    wire::as_object(*store, "fleet.store");
    f.toml_ = toml_of(*store, "fleet.store");
    if (!f.toml_.empty()) read_operator_settings("[store]\n" + f.toml_, "fleet.store");
    flatten(*store, "store", spec.common);
  }
  spec.common.erase("store");  // an empty one says nothing
  // Whom copies of a relay's log may go to: instances that tell their address, and members elsewhere.
  const Value* const copies = wire::find_member(v, "copies");
  std::string members;
  if (copies != nullptr) {
    wire::as_object(*copies, "fleet.copies");
    f.copies_ = "\n[copies]\n" + toml_of(*copies, "fleet.copies");
    if (const Value* others = wire::find_member(*copies, "member")) {
      wire::as_array(*others, "fleet.copies.member");
      for (rapidjson::SizeType i = 0; i < others->Size(); i++) {
        const std::string at = "fleet.copies.member[" + std::to_string(i) + "]";
        wire::as_object((*others)[i], at);
        members += "[[copies.member]]\n" + toml_of((*others)[i], at);
      }
    }
    flatten(*copies, "copies", spec.common);
  }

  if (const Value* platform = wire::find_member(v, "platform")) {
    only(*platform, "fleet.platform", {"listen", "partners", "partners_file"});
    PlatformPart p;
    p.listen = address(wire::required_member(*platform, "listen", "fleet.platform"), "fleet.platform.listen");
    const Value* partners = wire::find_member(*platform, "partners");
    if (!read_address(p.listen, "fleet.platform.listen").address().is_loopback())
      throw std::runtime_error("fleet.platform.listen: must be a loopback address");
    p.partners_file = wire::optional_field(*platform, "partners_file", "fleet.platform", wire::as_string, "");
    if (!p.partners_file.empty() && p.partners_file.front() != '/')
      throw std::runtime_error("fleet.platform.partners_file: must be an absolute path");
    if ((partners != nullptr) == !p.partners_file.empty())
      throw std::runtime_error("fleet.platform: must hold either partners or partners_file");
    if (partners != nullptr)
      p.partners = "{\"endpoints\":" + to_text(wire::as_array(*partners, "fleet.platform.partners")) + "}";
    const std::string trouble = p.partners.empty() ? "" : read_partners(p.partners).trouble();
    if (!trouble.empty()) throw std::runtime_error("fleet.platform.partners: " + trouble);
    flatten(*platform, "platform", spec.agent_parts);
    f.platform_ = std::move(p);
  }
  f.discovery_ = wire::optional_field(v, "discovery", path, wire::as_string, "");
  if (f.discovery_.empty() && f.platform_) f.discovery_ = f.platform_->listen;
  if (f.discovery_.empty())
    throw std::runtime_error("fleet: without platform, discovery must name an address");
  read_address(f.discovery_, "fleet.discovery");
  spec.common["discovery"] = f.discovery_;

  const Value& instances = wire::as_array(wire::required_member(v, "instances", path), "fleet.instances");
  if (instances.Size() > kMostInstances)
    throw std::runtime_error("fleet.instances: at most " + std::to_string(kMostInstances));
  std::map<std::string, std::string> by_address;
  for (rapidjson::SizeType i = 0; i < instances.Size(); i++) {
    const std::string at = "fleet.instances[" + std::to_string(i) + "]";
    only(instances[i], at, {"name", "listen", "copies", "machine", "zone"});
    InstanceSpec one;
    one.name = wire::required_field(instances[i], "name", at, wire::as_string);
    check_name(one.name, at + ".name");
    const std::string listen = address(wire::required_member(instances[i], "listen", at), at + ".listen");
    one.own["listen"] = listen;
    if (!f.listen_.emplace(one.name, listen).second)
      throw std::runtime_error(at + ".name: " + one.name + " is there already");
    const auto [other, fresh] = by_address.emplace(listen, one.name);
    if (!fresh) throw std::runtime_error(at + ".listen: " + listen + " is " + other->second + "'s already");
    if (const Value* held = wire::find_member(instances[i], "copies")) {
      const std::string there = address(*held, at + ".copies");
      if (copies == nullptr) throw std::runtime_error(at + ".copies: without fleet.copies nobody keeps any");
      const auto [taken, unused] = by_address.emplace(there, one.name);
      if (!unused) throw std::runtime_error(at + ".copies: " + there + " is " + taken->second + "'s already");
      members += "[[copies.member]]\nname = " + to_text(instances[i]["name"]) +
                 "\naddress = " + to_text(*held) + "\n";
      for (const char* place : {"machine", "zone"})
        if (const Value* told = wire::find_member(instances[i], place)) {
          wire::as_string(*told, at + "." + place);
          members += std::string(place) + " = " + to_text(*told) + "\n";
        }
    } else if (copies != nullptr) {
      throw std::runtime_error(
          at + ".copies: is missing: the address of its copies listener, as fleet.copies is there");
    }
    if (f.platform_ && f.platform_->listen == listen)
      throw std::runtime_error(at + ".listen: " + listen + " is the platform's already");
    spec.instances.push_back(std::move(one));
  }
  if (copies != nullptr) {
    f.copies_ += members;
    read_operator_settings(f.copies_, "fleet.copies");
    spec.common["copies.members"] = members;  // each relay is told of a change
  }
  // All configurations are alike but for names and addresses, which were looked at.
  f.listen_.emplace("", "127.0.0.1:1");
  const std::string config = f.config("", 0, 1);
  f.listen_.erase("");
  try {
    read_config(config);
  } catch (const std::exception& e) {
    std::string what = e.what();
    if (what.rfind("config.", 0) == 0) what.replace(0, 7, "fleet.");
    throw std::runtime_error(what);
  }
  return f;
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
  key(w, "limits"), raw(w, limits_);
  key(w, "settings"), raw(w, relay_settings_);
  w.EndObject();
  return text_of(b);
}

std::string Fleet::settings() const {
  std::string text = "[admin]\nsocket = true\ndrain = true\n";
  if (!toml_.empty()) text += "\n[store]\n" + toml_;
  text += copies_;
  return text;
}

}  // namespace heronvane::fleet
