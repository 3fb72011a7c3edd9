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

[[noreturn]] inline void throw_malformed(const std::string& path, const char* what) {
  throw WireError(path + ": " + what);
}

inline const Value& as_object(const Value& v, const std::string& path) {
  if (!v.IsObject()) throw_malformed(path, "must be an object");
  return v;
}

// The member, or nullptr where it is absent or null. The caller knows that it is an object; rapidjson reads
// wild memory where it is none, so that is looked at here too.
inline const Value* find_member(const Value& object, const char* name) {
  if (!object.IsObject()) throw_malformed(name, "stands in what is no object");
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
inline const Value& required_member(const Value& object, const char* name, const std::string& path) {
  const Value* v = find_member(as_object(object, path), name);
  if (v == nullptr) throw_malformed(path + "." + name, "missing");
  return *v;
}

inline std::string as_string(const Value& v, const std::string& path) {
  if (!v.IsString()) throw_malformed(path, "must be a string");
  return {v.GetString(), v.GetStringLength()};
}
inline std::int64_t as_int64(const Value& v, const std::string& path) {
  if (!v.IsInt64()) throw_malformed(path, "must be an integer");
  return v.GetInt64();
}
inline std::int64_t as_int64_within(std::int64_t most, const Value& v, const std::string& path) {
  const std::int64_t n = as_int64(v, path);
  if (n < -most || n > most) throw_malformed(path, "out of range");
  return n;
}
// Guards against times that overflow where they are added, or counted in nanoseconds. A span of time, or a
// moment by some clock, in microseconds or (_ms) read from milliseconds.
constexpr std::int64_t kMaxDuration = 10'000'000'000'000;        // 115 days
constexpr std::int64_t kMaxTimestamp = 100'000'000'000'000'000;  // 3170 years
inline std::int64_t as_duration(const Value& v, const std::string& path) {
  return as_int64_within(kMaxDuration, v, path);
}
inline std::int64_t as_duration_ms(const Value& v, const std::string& path) {
  return 1000 * as_int64_within(kMaxDuration / 1000, v, path);
}
inline std::int64_t as_timestamp(const Value& v, const std::string& path) {
  return as_int64_within(kMaxTimestamp, v, path);
}
inline std::int64_t as_timestamp_ms(const Value& v, const std::string& path) {
  return 1000 * as_int64_within(kMaxTimestamp / 1000, v, path);
}
inline std::uint64_t as_uint64(const Value& v, const std::string& path) {
  if (!v.IsUint64()) throw_malformed(path, "must be a whole number");
  return v.GetUint64();
}
inline int as_int(const Value& v, const std::string& path) {
  if (!v.IsInt()) throw_malformed(path, "must be an integer");
  return v.GetInt();
}
inline double as_number(const Value& v, const std::string& path) {
  if (!v.IsNumber()) throw_malformed(path, "must be a number");
  return v.GetDouble();
}
inline bool as_bool(const Value& v, const std::string& path) {
  if (!v.IsBool()) throw_malformed(path, "must be true or false");
  return v.GetBool();
}
inline const Value& as_array(const Value& v, const std::string& path) {
  if (!v.IsArray()) throw_malformed(path, "must be an array");
  return v;
}

// A required field, and one that may be absent or null, read by one of the readers above.
template <class Read>
auto required_field(const Value& object, const char* name, const std::string& path, Read read) {
  return read(required_member(object, name, path), path + "." + name);
}
template <class Read, class Default>
auto optional_field(const Value& object, const char* name, const std::string& path, Read read,
                    Default absent) {
  const Value* v = find_member(as_object(object, path), name);
  using Result = decltype(read(*v, path));
  return v == nullptr ? static_cast<Result>(absent) : read(*v, path + "." + name);
}

// The value that a word of the wire stands for.
template <class T>
T enum_from_name(const std::string& text, std::initializer_list<std::pair<const char*, T>> words,
                 const std::string& path) {
  for (const auto& [name, value] : words)
    if (text == name) return value;
  throw_malformed(path, ("unknown word '" + text + "'").c_str());
}

}  // namespace heronvane::dispatch::adapter
