// Reading JSON fields, with the place in the message for the one line on what is malformed.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <utility>

namespace heronvane::dispatch::adapter {

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
inline std::int64_t as_within(std::int64_t most, const Value& v, const std::string& path) {
  const std::int64_t n = as_integer(v, path);
  if (n < -most || n > most) malformed(path, "out of range");
  return n;
}
// Guards against times that overflow where they are added, or counted in nanoseconds. A span of time, or a
// moment by some clock, in microseconds or (_ms) read from milliseconds.
constexpr std::int64_t kMostSpan = 10'000'000'000'000;         // 115 days
constexpr std::int64_t kMostMoment = 100'000'000'000'000'000;  // 3170 years
inline std::int64_t as_span(const Value& v, const std::string& path) { return as_within(kMostSpan, v, path); }
inline std::int64_t as_span_ms(const Value& v, const std::string& path) {
  return 1000 * as_within(kMostSpan / 1000, v, path);
}
inline std::int64_t as_moment(const Value& v, const std::string& path) {
  return as_within(kMostMoment, v, path);
}
inline std::int64_t as_moment_ms(const Value& v, const std::string& path) {
  return 1000 * as_within(kMostMoment / 1000, v, path);
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

}  // namespace heronvane::dispatch::adapter
