#include "operator_settings.hpp"

#include <stdexcept>

#include "text_file.hpp"

#ifdef HERONVANE_SETTINGS_FILE
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <functional>
#include <vector>
#endif

namespace heronvane {

#ifdef HERONVANE_SETTINGS_FILE
namespace {

class Section {
 public:
  Section(const toml::table& table, std::string name, const std::string& file)
      : table_(table), name_(std::move(name)), file_(file) {}

  [[noreturn]] void malformed(const toml::node& at, const std::string& key, const std::string& what) const {
    throw std::runtime_error(file_ + ":" + std::to_string(at.source().begin.line) + ": " + name_ + "." + key +
                             ": " + what);
  }
  void flag(const std::string& key, bool& value) {
    if (const auto* node = known(key)) {
      if (!node->is_boolean()) malformed(*node, key, "must be true or false");
      value = node->as_boolean()->get();
    }
  }
  void seconds(const std::string& key, Microseconds most, Microseconds& value) {
    if (const auto* node = known(key)) {
      const auto v = node->value<double>();
      if (!v || !std::isfinite(*v) || *v < 0 || *v * 1e6 > static_cast<double>(most))
        malformed(*node, key, "must be a number of seconds from 0 to " + std::to_string(most / 1'000'000));
      value = static_cast<Microseconds>(*v * 1e6);
    }
  }
  template <class T>
  void word(const std::string& key, std::initializer_list<std::pair<const char*, T>> words, T& value) {
    const auto* node = known(key);
    if (node == nullptr) return;
    const auto text = node->value<std::string>();
    std::string all;
    for (const auto& [name, v] : words) {
      if (text == name) {
        value = v;
        return;
      }
      if (!all.empty()) all += " or ";
      all.append(1, '"').append(name).append(1, '"');
    }
    malformed(*node, key, "must be " + all);
  }
  void text(const std::string& key, std::string& value) {
    if (const auto* node = known(key)) {
      if (!node->is_string() || node->as_string()->get().empty()) malformed(*node, key, "must be a text");
      value = node->as_string()->get();
    }
  }
  void whole(const std::string& key, std::int64_t least, std::int64_t most, std::int64_t& value) {
    if (const auto* node = known(key)) {
      const auto v = node->is_integer() ? node->value<std::int64_t>() : std::nullopt;
      if (!v || *v < least || *v > most)
        malformed(*node, key,
                  "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
      value = *v;
    }
  }
  void each(const std::string& key, const std::function<void(const toml::table&)>& read) {
    const auto* node = known(key);
    if (node == nullptr) return;
    const auto* all = node->as_array();
    if (all == nullptr || !all->is_array_of_tables())
      malformed(*node, key, "must be tables, each begun by [[" + name_ + "." + key + "]]");
    for (const auto& one : *all) read(*one.as_table());
  }
  [[noreturn]] void malformed(const std::string& what) const {
    throw std::runtime_error(file_ + ":" + std::to_string(table_.source().begin.line) + ": " + name_ + ": " +
                             what);
  }
  // What was not asked for is a slip of the pen, and must not pass for its default.
  void done() const {
    for (const auto& [key, node] : table_)
      if (std::find(known_.begin(), known_.end(), key.str()) == known_.end())
        malformed(node, std::string(key.str()), "is no setting; known are: " + all_known());
  }

 private:
  std::string all_known() const {
    std::string all;
    for (const auto& key : known_) all.append(all.empty() ? "" : ", ").append(key);
    return all;
  }
  const toml::node* known(const std::string& key) {
    known_.push_back(key);
    return table_.get(key);
  }
  const toml::table& table_;
  std::string name_;
  const std::string& file_;
  std::vector<std::string> known_;
};

// Names go into those of folders.
bool plain_name(const std::string& name) {
  return !name.empty() && name.size() <= 64 && name.front() != '.' &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

void read_copies(Section& section, const std::string& file, copies::Settings& c) {
  c.on = true;
  section.flag("on", c.on);
  section.text("cluster", c.cluster);
  section.text("listen", c.listen);
  std::int64_t holders = c.holders, disk_mb = 0;
  section.whole("holders", 0, 4, holders);
  section.word("acks", {{"majority", false}, {"all", true}}, c.all);
  section.seconds("takeover_after_s", 86'400'000'000, c.takeover_after);
  section.seconds("replace_after_s", 86'400'000'000, c.replace_after);
  section.seconds("short_after_s", 10'000'000, c.short_after);
  section.whole("disk_mb", 1, 1'000'000'000, disk_mb);
  c.holders = static_cast<int>(holders), c.disk_bytes = static_cast<std::uint64_t>(disk_mb) * 1'000'000;
  section.each("member", [&](const toml::table& table) {
    Section one(table, "copies.member", file);
    copies::Settings::Member m;
    one.text("name", m.name);
    one.text("address", m.address);
    one.text("machine", m.machine);
    one.text("zone", m.zone);
    one.done();
    if (!plain_name(m.name)) one.malformed("name must be 1 to 64 letters, digits, '-', '_' or '.'");
    if (m.address.empty()) one.malformed("address is missing: ip:port of that relay's copies listener");
    for (const auto& other : c.members)
      if (other.name == m.name) one.malformed("name: " + m.name + " is there twice");
    c.members.push_back(std::move(m));
  });
  if (!c.on) return;
  if (c.cluster.empty()) section.malformed("cluster is missing: a name that all members have alike");
  if (c.members.empty()) section.malformed("no [[copies.member]] is there");
}

}  // namespace

OperatorSettings read_operator_settings(const std::string& text, const std::string& file) {
  OperatorSettings s;
  s.relay.wake = s.relay.early_rounds = true;
  toml::table all;
  try {
    all = toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    throw std::runtime_error(file + ":" + std::to_string(e.source().begin.line) + ": " +
                             std::string(e.description()));
  }
  for (const auto& [key, node] : all) {
    const std::string name(key.str());
    const auto* table = node.as_table();
    if (table == nullptr || (name != "admin" && name != "copies" && name != "relay" && name != "store")) {
      std::string what = file;
      what.append(":").append(std::to_string(node.source().begin.line)).append(": ").append(name);
      throw std::runtime_error(what.append(": is no section; known are: admin, copies, relay, store"));
    }
    Section section(*table, name, file);
    if (name == "admin") {
      section.flag("socket", s.admin.socket);
      section.flag("drain", s.admin.drain);
    } else if (name == "copies") {
      read_copies(section, file, s.copies);
    } else if (name == "relay") {
      section.flag("wake", s.relay.wake);
      section.flag("early_rounds", s.relay.early_rounds);
      section.seconds("start_timeout", 86'400'000'000, s.relay.start_timeout);
    } else {
      section.word("durability",
                   {{"process", store::Durability::process}, {"machine", store::Durability::machine}},
                   s.store.durability);
      section.flag("keep_health", s.store.keep_health);
      section.flag("keep_waits", s.store.keep_waits);
      section.seconds("remember_window_s", 86'400'000'000, s.store.remember_window);
    }
    section.done();
  }
  return s;
}
#else
OperatorSettings read_operator_settings(const std::string&, const std::string& file) {
  throw std::runtime_error(file +
                           ": this build reads no settings file: build with -DHERONVANE_SETTINGS_FILE=ON");
}
#endif

OperatorSettings load_operator_settings(const std::string& file) {
  if (file.empty()) return {};
  return read_operator_settings(read_text_file(file, "settings"), file);
}

}  // namespace heronvane
