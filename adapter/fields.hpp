// Reading JSON fields, with the place in the message for the one line on what is malformed.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <utility>

namespace cedarplank::adapter {

// What is wrong with a message, and where in it.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using Value = rapidjson::Value;

[[noreturn]] inline void malformed(const std::string& path, const char* what) {
  throw WireError(path + ": " + what);
}

inline const Value& as_object(const Value& v, const std::string& path) {
  if (!v.IsObject()) malformed(path, "must be an object");
  return v;
}

// The member, or nullptr where it is absent or null. The caller knows that it is an object; rapidjson reads
// wild memory where it is none, so that is looked at here too.
inline const Value* find(const Value& object, const char* name) {
  if (!object.IsObject()) malformed(name, "stands in what is no object");
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
inline const Value& need(const Value& object, const char* name, const std::string& path) {
  const Value* v = find(as_object(object, path), name);
  if (v == nullptr) malformed(path + "." + name, "missing");
  return *v;
}

inline std::string as_text(const Value& v, const std::string& path) {
  if (!v.IsString()) malformed(path, "must be a string");
  return {v.GetString(), v.GetStringLength()};
}
inline std::int64_t as_integer(const Value& v, const std::string& path) {
  if (!v.IsInt64()) malformed(path, "must be an integer");
  return v.GetInt64();
}
inline std::uint64_t as_natural(const Value& v, const std::string& path) {
  if (!v.IsUint64()) malformed(path, "must be a whole number");
  return v.GetUint64();
}
inline int as_int(const Value& v, const std::string& path) {
  if (!v.IsInt()) malformed(path, "must be an integer");
  return v.GetInt();
}
inline double as_number(const Value& v, const std::string& path) {
  if (!v.IsNumber()) malformed(path, "must be a number");
  return v.GetDouble();
}
inline bool as_bool(const Value& v, const std::string& path) {
  if (!v.IsBool()) malformed(path, "must be true or false");
  return v.GetBool();
}
inline const Value& as_array(const Value& v, const std::string& path) {
  if (!v.IsArray()) malformed(path, "must be an array");
  return v;
}

// A required field, and one that may be absent or null, read by one of the readers above.
template <class Read>
auto get(const Value& object, const char* name, const std::string& path, Read read) {
  return read(need(object, name, path), path + "." + name);
}
template <class Read, class Default>
auto get(const Value& object, const char* name, const std::string& path, Read read, Default absent) {
  const Value* v = find(as_object(object, path), name);
  using Result = decltype(read(*v, path));
  return v == nullptr ? static_cast<Result>(absent) : read(*v, path + "." + name);
}

// The value that a word of the wire stands for.
template <class T>
T word(const std::string& text, std::initializer_list<std::pair<const char*, T>> words,
       const std::string& path) {
  for (const auto& [name, value] : words)
    if (text == name) return value;
  malformed(path, ("unknown word '" + text + "'").c_str());
}

}  // namespace cedarplank::adapter
