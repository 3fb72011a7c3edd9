#include "toml_section.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace heronvane {
namespace {

constexpr Microseconds kSecond = 1'000'000;

}  // namespace

TomlSection::TomlSection(const toml::table& table, std::string name, const std::string& file)
    : table_(table), name_(std::move(name)), file_(file) {}

void TomlSection::read_bool(const std::string& key, bool& value) {
  const toml::node* const node = find(key);
  if (node == nullptr) return;
  if (!node->is_boolean()) throw_malformed(*node, key, "must be true or false");
  value = node->as_boolean()->get();
}

void TomlSection::read_string(const std::string& key, std::string& value) {
  const toml::node* const node = find(key);
  if (node == nullptr) return;
  if (!node->is_string() || node->as_string()->get().empty())
    throw_malformed(*node, key, "must be a string that is not empty");
  value = node->as_string()->get();
}

void TomlSection::read_integer(const std::string& key, std::int64_t min, std::int64_t max,
                               std::int64_t& value) {
  const toml::node* const node = find(key);
  if (node == nullptr) return;
  const auto number = node->is_integer() ? node->value<std::int64_t>() : std::nullopt;
  if (!number || *number < min || *number > max) {
    throw_malformed(*node, key,
                    "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
  }
  value = *number;
}

void TomlSection::read_seconds(const std::string& key, Microseconds max, Microseconds& value) {
  const toml::node* const node = find(key);
  if (node == nullptr) return;
  const auto seconds = node->value<double>();
  const double microseconds = seconds.value_or(-1) * static_cast<double>(kSecond);
  if (!std::isfinite(microseconds) || microseconds < 0 || microseconds > static_cast<double>(max)) {
    throw_malformed(*node, key, "must be a number of seconds from 0 to " + std::to_string(max / kSecond));
  }
  value = static_cast<Microseconds>(microseconds);
}

void TomlSection::read_tables(const std::string& key, const std::function<void(const toml::table&)>& read) {
  const toml::node* const node = find(key);
  if (node == nullptr) return;
  const toml::array* const tables = node->as_array();
  if (tables == nullptr || !tables->is_array_of_tables()) {
    throw_malformed(*node, key,
                    "must be an array of tables, each under a header [[" + name_ + "." + key + "]]");
  }
  for (const auto& table : *tables) read(*table.as_table());
}

void TomlSection::reject_unknown_keys() const {
  for (const auto& [key, node] : table_) {
    if (std::find(known_keys_.begin(), known_keys_.end(), key.str()) != known_keys_.end()) continue;
    std::string all;
    for (const std::string& known : known_keys_) all.append(all.empty() ? "" : ", ").append(known);
    throw_malformed(node, std::string(key.str()), "is no setting; known are: " + all);
  }
}

void TomlSection::throw_malformed(const std::string& reason) const {
  throw SettingsError(file_, table_.source().begin.line, name_ + ": " + reason);
}

void TomlSection::throw_malformed(const toml::node& node, const std::string& key,
                                  const std::string& reason) const {
  throw SettingsError(file_, node.source().begin.line, name_ + "." + key + ": " + reason);
}

const toml::node* TomlSection::find(const std::string& key) {
  known_keys_.push_back(key);
  return table_.get(key);
}

}  // namespace heronvane
