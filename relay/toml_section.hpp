// Reads a section of a TOML file key by key. Only in builds that read a settings file.
#pragma once

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "clock.hpp"

namespace heronvane {

// A settings file that can't be read; what() is "FILE:LINE: REASON".
class SettingsError : public std::runtime_error {
 public:
  SettingsError(const std::string& file, toml::source_index line, const std::string& reason)
      : std::runtime_error(file + ":" + std::to_string(line) + ": " + reason) {}
};

// A string in the file and the value that it stands for.
template <class T>
struct NamedValue {
  std::string_view name;
  T value;
};

// Each read function sets `value` if the section has the key, else leaves it unchanged. Throws SettingsError,
// which names the line, if the value in the file has another type or is out of range.
class TomlSection {
 public:
  // `name` and `file` name the section and its file in error texts. `table` and `file` must outlive this.
  TomlSection(const toml::table& table, std::string name, const std::string& file);

  void read_bool(const std::string& key, bool& value);
  // A string that is not empty.
  void read_string(const std::string& key, std::string& value);
  // An integer from `min` to `max`.
  void read_integer(const std::string& key, std::int64_t min, std::int64_t max, std::int64_t& value);
  // A number of seconds from 0 to `max`, as microseconds.
  void read_seconds(const std::string& key, Microseconds max, Microseconds& value);
  template <class T>
  void read_enum(const std::string& key, std::initializer_list<NamedValue<T>> names, T& value);
  // Calls `read` with each table of an array of tables.
  void read_tables(const std::string& key, const std::function<void(const toml::table&)>& read);

  // Throws SettingsError for the first key that no read function was called for, so that a misspelt key does
  // not silently leave its setting at the default.
  void reject_unknown_keys() const;

  [[noreturn]] void throw_malformed(const std::string& reason) const;

 private:
  [[noreturn]] void throw_malformed(const toml::node& node, const std::string& key,
                                    const std::string& reason) const;
  // Returns the value of a key, or nullptr, and adds the key to the known ones.
  const toml::node* find(const std::string& key);

  const toml::table& table_;
  std::string name_;
  const std::string& file_;
  std::vector<std::string> known_keys_;
};

template <class T>
void TomlSection::read_enum(const std::string& key, std::initializer_list<NamedValue<T>> names, T& value) {
  const toml::node* const node = find(key);
  if (node == nullptr) return;
  const auto text = node->value<std::string>();
  std::string choices;
  for (const NamedValue<T>& known : names) {
    if (text == known.name) {
      value = known.value;
      return;
    }
    if (!choices.empty()) choices += " or ";
    choices.append(1, '"').append(known.name).append(1, '"');
  }
  throw_malformed(*node, key, "must be " + choices);
}

}  // namespace heronvane
