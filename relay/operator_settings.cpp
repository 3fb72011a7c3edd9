#include "operator_settings.hpp"

#include <fstream>
#include <iterator>
#include <stdexcept>

#ifdef HERONVANE_SETTINGS_FILE
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
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
  void seconds(const std::string& key, Time most, Time& value) {
    if (const auto* node = known(key)) {
      const auto v = node->value<double>();
      if (!v || !std::isfinite(*v) || *v < 0 || *v * 1e6 > static_cast<double>(most))
        malformed(*node, key, "must be a number of seconds from 0 to " + std::to_string(most / 1'000'000));
      value = static_cast<Time>(*v * 1e6);
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
    if (table == nullptr || (name != "admin" && name != "relay" && name != "store")) {
      std::string what = file;
      what.append(":").append(std::to_string(node.source().begin.line)).append(": ").append(name);
      throw std::runtime_error(what.append(": is no section; known are: admin, relay, store"));
    }
    Section section(*table, name, file);
    if (name == "admin") {
      section.flag("socket", s.admin.socket);
      section.flag("drain", s.admin.drain);
    } else if (name == "relay") {
      section.flag("wake", s.relay.wake);
      section.flag("early_rounds", s.relay.early_rounds);
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
  std::ifstream in(file, std::ios::binary);
  if (!in) throw std::runtime_error("settings: can't read " + file);
  return read_operator_settings({std::istreambuf_iterator<char>(in), {}}, file);
}

}  // namespace heronvane
