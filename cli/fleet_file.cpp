#include "fleet_file.hpp"

#define TOML_EXCEPTIONS 1
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace heronvane::cli {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

std::string joined(const std::vector<std::string>& keys) {
  std::string all;
  for (const auto& w : keys) all.append(all.empty() ? "" : ", ").append(w);
  return all;
}

// A table of the file. Every key that is looked up is recorded as known; refuse_unknown_keys() refuses the
// others.
class Section {
 public:
  Section(const toml::table& table, std::string name, const std::string& file)
      : table_(table), name_(std::move(name)), file_(file) {}

  [[noreturn]] void malformed(const toml::node* at, const std::string& key, const std::string& what) const {
    const auto line = at != nullptr ? at->source().begin.line : table_.source().begin.line;
    throw FleetFileError(file_ + ":" + std::to_string(std::max(line, toml::source_index{1})) + ": " +
                         (name_.empty() || key.empty() ? name_ + key : name_ + "." + key) + ": " + what);
  }
  const toml::node* find(const std::string& key) {
    known_keys_.push_back(key);
    return table_.get(key);
  }
  const toml::table* table(const std::string& key) {
    const auto* node = find(key);
    if (node != nullptr && !node->is_table()) malformed(node, key, "must be a table: [" + key + "]");
    return node == nullptr ? nullptr : node->as_table();
  }
  std::string text(const std::string& key, const char* fallback = nullptr) {
    const auto* node = find(key);
    if (node == nullptr) {
      if (fallback == nullptr) malformed(nullptr, key, "is missing");
      return fallback;
    }
    if (!node->is_string() || node->as_string()->get().empty()) malformed(node, key, "must be text");
    return node->as_string()->get();
  }
  std::int64_t integer(const std::string& key, std::int64_t least, std::int64_t most, std::int64_t fallback) {
    const auto* node = find(key);
    if (node == nullptr) return fallback;
    const auto* n = node->as_integer();
    if (n == nullptr || n->get() < least || n->get() > most)
      malformed(node, key,
                "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return n->get();
  }
  std::string address(const std::string& key, bool required, std::set<std::string>* taken = nullptr) {
    if (!required && table_.get(key) == nullptr) {
      known_keys_.push_back(key);
      return {};
    }
    const auto t = text(key);
    const auto colon = t.rfind(':');
    const auto port = colon == std::string::npos ? std::string() : t.substr(colon + 1);
    const bool number =
        !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == port.npos;
    if (colon == std::string::npos || colon == 0 || !number || std::stoi(port) < 1 || std::stoi(port) > 65535)
      malformed(table_.get(key), key, "\"" + t + "\" must be HOST:PORT");
    if (taken != nullptr && !taken->insert(t).second)
      malformed(table_.get(key), key, "\"" + t + "\" is used twice");
    return t;
  }
  void refuse_unknown_keys() const {
    for (const auto& [key, node] : table_)
      if (std::find(known_keys_.begin(), known_keys_.end(), key.str()) == known_keys_.end())
        malformed(&node, std::string(key.str()), "is not known; known here: " + joined(known_keys_));
  }
  const toml::node* get(const std::string& key) const { return table_.get(key); }

 private:
  const toml::table& table_;
  std::string name_;
  const std::string& file_;
  std::vector<std::string> known_keys_;
};

class FleetFile {
 public:
  FleetFile(const std::string& file, const ReadFile& read) : file_(file), read_(read), w_(out_) {}

  std::string json(const toml::table& all) {
    Section top(all, "", file_);
    const toml::table none;
    const auto* fleet_table = top.table("fleet");
    Section fleet(fleet_table != nullptr ? *fleet_table : none, "fleet", file_);
    w_.StartObject();
    w_.Key("max_unavailable"), w_.Int64(fleet.integer("max_unavailable", 1, 10'000, 1));
    text("program", fleet.text("program", "heronvane"));
    const auto* platform = top.table("platform");
    const auto discovery = fleet.address("discovery", false);
    if (platform != nullptr && !discovery.empty())
      fleet.malformed(fleet.get("discovery"), "discovery",
                      "can't stand beside [platform], which is the discovery");
    if (platform == nullptr && discovery.empty())
      fleet.malformed(nullptr, "discovery",
                      "is missing: without [platform] the relays' discovery must be named");
    text("discovery", discovery);
    if (const auto settings = fleet.text("settings", ""); !settings.empty())
      w_.Key("settings"), insert_json_file(fleet, "settings", settings, false);
    if (const auto* t = fleet.table("limits")) limits(*t);
    if (const auto* t = fleet.table("store")) store(*t);
    if (const auto* t = fleet.table("copies")) copies(*t);
    fleet.refuse_unknown_keys();
    if (platform != nullptr) this->platform(*platform);
    instances(top);
    top.refuse_unknown_keys();
    w_.EndObject();
    return {out_.GetString(), out_.GetSize()};
  }

 private:
  void text(const char* key, const std::string& value) {
    w_.Key(key);
    w_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void limits(const toml::table& table) {
    Section s(table, "fleet.limits", file_);
    w_.Key("limits");
    w_.StartObject();
    if (const auto* node = s.find("cores")) {
      const auto n = node->value<double>();
      if (!n || !(*n > 0 && *n <= 1024)) s.malformed(node, "cores", "must be a number above 0, up to 1024");
      w_.Key("cores"), w_.Double(*n);
    }
    for (const char* key : {"disk_mb", "memory_mb", "sockets"})
      if (const auto n = s.integer(key, 1, 1'000'000'000, 0); n > 0) w_.Key(key), w_.Int64(n);
    s.refuse_unknown_keys();
    w_.EndObject();
  }
  // The keys are those of [store] in a relay's settings file.
  void store(const toml::table& table) {
    Section s(table, "fleet.store", file_);
    w_.Key("store");
    w_.StartObject();
    if (const auto* node = s.find("durability")) {
      const auto word = node->value<std::string>();
      if (word != "process" && word != "machine")
        s.malformed(node, "durability", "must be \"process\" or \"machine\"");
      text("durability", *word);
    }
    for (const char* key : {"keep_health", "keep_waits"})
      if (const auto* node = s.find(key)) {
        if (!node->is_boolean()) s.malformed(node, key, "must be true or false");
        w_.Key(key), w_.Bool(node->as_boolean()->get());
      }
    if (const auto* node = s.find("remember_window_s")) {
      const auto n = node->value<double>();
      if (!n || !std::isfinite(*n) || *n < 0 || *n > 86'400)
        s.malformed(node, "remember_window_s", "must be a number of seconds from 0 to 86400");
      w_.Key("remember_window_s"), w_.Double(*n);
    }
    s.refuse_unknown_keys();
    w_.EndObject();
  }
  // The keys are those of [copies] in a relay's settings; the agent parses the result like the relay.
  void copies(const toml::table& table) {
    Section s(table, "fleet.copies", file_);
    w_.Key("copies");
    w_.StartObject();
    text("cluster", s.text("cluster"));
    w_.Key("holders"), w_.Int64(s.integer("holders", 0, 4, 2));
    if (const auto* node = s.find("acks")) {
      const auto word = node->value<std::string>();
      if (word != "majority" && word != "all") s.malformed(node, "acks", "must be \"majority\" or \"all\"");
      text("acks", *word);
    }
    for (const char* key : {"takeover_after_s", "replace_after_s", "short_after_s"})
      if (const auto* node = s.find(key)) {
        const auto n = node->value<double>();
        if (!n || !std::isfinite(*n) || *n < 0 || *n > 86'400)
          s.malformed(node, key, "must be a number of seconds from 0 to 86400");
        w_.Key(key), w_.Double(*n);
      }
    if (const auto n = s.integer("disk_mb", 1, 1'000'000'000, 0); n > 0) w_.Key("disk_mb"), w_.Int64(n);
    if (const auto* node = s.find("member")) {
      const auto* all = node->as_array();
      if (all == nullptr) s.malformed(node, "member", "must be a list of tables: [[fleet.copies.member]]");
      w_.Key("member");
      w_.StartArray();
      for (const auto& one : *all) {
        if (!one.is_table()) s.malformed(&one, "member", "must be a table: [[fleet.copies.member]]");
        Section m(*one.as_table(), "fleet.copies.member", file_);
        w_.StartObject();
        text("name", m.text("name"));
        text("address", m.address("address", true, &used_addresses_));
        placement(m);
        m.refuse_unknown_keys();
        w_.EndObject();
      }
      w_.EndArray();
    }
    s.refuse_unknown_keys();
    w_.EndObject();
  }
  void placement(Section& s) {
    for (const char* key : {"machine", "zone"})
      if (const auto v = s.text(key, ""); !v.empty()) text(key, v);
  }
  void platform(const toml::table& table) {
    Section s(table, "platform", file_);
    w_.Key("platform");
    w_.StartObject();
    text("listen", s.address("listen", true, &used_addresses_));
    const auto* local_partners = s.find("partners");
    const auto* remote_partners = s.find("partners_file");
    if ((local_partners == nullptr) == (remote_partners == nullptr))
      s.malformed(remote_partners, local_partners == nullptr ? "partners" : "partners_file",
                  "one of partners (a file here) and partners_file (on the agent's machine) must be given");
    if (local_partners != nullptr) {
      w_.Key("partners");
      insert_json_file(s, "partners", s.text("partners"), true);
    } else {
      const auto path = s.text("partners_file");
      if (path.front() != '/')
        s.malformed(remote_partners, "partners_file", "must be an absolute path on the agent's machine");
      text("partners_file", path);
    }
    s.refuse_unknown_keys();
    w_.EndObject();
  }
  void instances(Section& top) {
    const auto* node = top.find("instance");
    w_.Key("instances");
    w_.StartArray();
    if (node != nullptr) {
      const auto* all = node->as_array();
      if (all == nullptr) top.malformed(node, "instance", "must be a list of tables: [[instance]]");
      std::set<std::string> names;
      for (const auto& one : *all) {
        if (!one.is_table()) top.malformed(&one, "instance", "must be a table: [[instance]]");
        Section s(*one.as_table(), "instance", file_);
        const auto name = s.text("name");
        if (name.size() > 64 || name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") != name.npos)
          s.malformed(s.get("name"), "name", "\"" + name + "\" must be a-z, 0-9 and -, up to 64 of them");
        if (!names.insert(name).second) s.malformed(s.get("name"), "name", "\"" + name + "\" is used twice");
        w_.StartObject();
        text("name", name);
        text("listen", s.address("listen", true, &used_addresses_));
        if (const auto copies_address = s.address("copies", false, &used_addresses_); !copies_address.empty())
          text("copies", copies_address);
        placement(s);
        s.refuse_unknown_keys();
        w_.EndObject();
      }
    }
    w_.EndArray();
  }
  // Inserts a JSON file that the fleet file names: an object (settings) or a list (partners).
  void insert_json_file(Section& section, const char* key, const std::string& path, bool list) {
    const auto slash = file_.rfind('/');
    const auto where =
        path.front() == '/' || slash == std::string::npos ? path : file_.substr(0, slash + 1) + path;
    std::string content;
    try {
      content = read_(where);
    } catch (const std::runtime_error& e) {
      section.malformed(section.get(key), key, where + ": " + e.what());
    }
    rapidjson::Document d;
    d.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag>(content.data(),
                                                                                 content.size());
    if (d.HasParseError()) {
      const auto at = std::min(d.GetErrorOffset(), content.size());
      const auto line =
          1 + std::count(content.begin(), content.begin() + static_cast<std::ptrdiff_t>(at), '\n');
      throw FleetFileError(where + ":" + std::to_string(line) + ": " +
                           rapidjson::GetParseError_En(d.GetParseError()));
    }
    const rapidjson::Value* v = &d;
    if (list && d.IsObject()) {  // the format of discovery's list
      const auto m = d.FindMember("endpoints");
      if (m == d.MemberEnd()) throw FleetFileError(where + ":1: endpoints: is missing");
      v = &m->value;
    }
    if (list ? !v->IsArray() : !v->IsObject())
      throw FleetFileError(where + ":1: must be " + (list ? "a list of endpoints" : "an object"));
    if (list)
      for (rapidjson::SizeType i = 0; i < v->Size(); i++)
        if (!(*v)[i].IsObject())
          throw FleetFileError(where + ": endpoints[" + std::to_string(i) + "]: must be an object");
    v->Accept(w_);
  }

  const std::string& file_;
  const ReadFile& read_;
  rapidjson::StringBuffer out_;
  Writer w_;
  std::set<std::string> used_addresses_;  // addresses in use, to refuse duplicates
};

}  // namespace

std::string fleet_json(const std::string& text, const std::string& file, const ReadFile& read) {
  toml::table all;
  try {
    all = toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    throw FleetFileError(file + ":" + std::to_string(e.source().begin.line) + ": " +
                         std::string(e.description()));
  }
  return FleetFile(file, read).json(all);
}

}  // namespace heronvane::cli
