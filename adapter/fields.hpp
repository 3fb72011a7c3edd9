// Typed access to the fields of JSON documents: the simulator's wire, configurations, endpoint lists. Errors
// name the path of the field, such as "config.limits.sockets".
//
// A reader, such as as_string, takes a value and the path that an error text shows for it. It throws
// WireError where the value has another type or is out of range.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>

namespace heronvane::dispatch::adapter {

// A malformed document; what() names the field and the error, such as "config.name: missing".
class WireError : public std::runtime_error {
 public:
  WireError(const std::string& path, const std::string& reason) : std::runtime_error(path + ": " + reason) {}
};

// A JSON value of a document that outlives its readers.
using Value = rapidjson::Value;

// Throws WireError: what is wrong with the value at `path`.
[[noreturn]] inline void throw_malformed(const std::string& path, const std::string& reason) {
  throw WireError(path, reason);
}

// The readers below return the value as their type, or throw WireError where it is of another one.
inline const Value& as_object(const Value& value, const std::string& path) {
  if (!value.IsObject()) throw_malformed(path, "must be an object");
  return value;
}

inline const Value& as_array(const Value& value, const std::string& path) {
  if (!value.IsArray()) throw_malformed(path, "must be an array");
  return value;
}

// The member, or nullptr where it is absent or null. Throws WireError where `object` is not an object,
// because rapidjson would read beyond the value.
inline const Value* find_member(const Value& object, const char* name) {
  if (!object.IsObject()) throw_malformed(name, "stands in what is no object");
  const auto member = object.FindMember(name);
  return member == object.MemberEnd() || member->value.IsNull() ? nullptr : &member->value;
}

// The member of the object at `path`. Throws WireError where it is absent or null.
inline const Value& required_member(const Value& object, const char* name, const std::string& path) {
  const Value* const member = find_member(as_object(object, path), name);
  if (member == nullptr) throw_malformed(path + "." + name, "missing");
  return *member;
}

inline std::string as_string(const Value& value, const std::string& path) {
  if (!value.IsString()) throw_malformed(path, "must be a string");
  return {value.GetString(), value.GetStringLength()};
}

inline std::int64_t as_int64(const Value& value, const std::string& path) {
  if (!value.IsInt64()) throw_malformed(path, "must be an integer");
  return value.GetInt64();
}

// An integer from -limit to limit.
inline std::int64_t as_int64_within(std::int64_t limit, const Value& value, const std::string& path) {
  const std::int64_t number = as_int64(value, path);
  if (number < -limit || number > limit) throw_malformed(path, "out of range");
  return number;
}

// Limits of durations and timestamps, in microseconds. They keep sums of times, and times in nanoseconds,
// from overflowing.
constexpr std::int64_t kMaxDuration = 10'000'000'000'000;        // 115 days
constexpr std::int64_t kMaxTimestamp = 100'000'000'000'000'000;  // 3170 years
// Converts fields whose names end in Ms.
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

// Microseconds.
inline std::int64_t as_duration(const Value& value, const std::string& path) {
  return as_int64_within(kMaxDuration, value, path);
}

// Microseconds, from a field in milliseconds.
inline std::int64_t as_duration_ms(const Value& value, const std::string& path) {
  return kMicrosecondsPerMillisecond *
         as_int64_within(kMaxDuration / kMicrosecondsPerMillisecond, value, path);
}

// Microseconds of the document's clock.
inline std::int64_t as_timestamp(const Value& value, const std::string& path) {
  return as_int64_within(kMaxTimestamp, value, path);
}

// Microseconds of the document's clock, from a field in milliseconds.
inline std::int64_t as_timestamp_ms(const Value& value, const std::string& path) {
  return kMicrosecondsPerMillisecond *
         as_int64_within(kMaxTimestamp / kMicrosecondsPerMillisecond, value, path);
}

inline std::uint64_t as_uint64(const Value& value, const std::string& path) {
  if (!value.IsUint64()) throw_malformed(path, "must be a whole number");
  return value.GetUint64();
}

inline int as_int(const Value& value, const std::string& path) {
  if (!value.IsInt()) throw_malformed(path, "must be an integer");
  return value.GetInt();
}

inline double as_number(const Value& value, const std::string& path) {
  if (!value.IsNumber()) throw_malformed(path, "must be a number");
  return value.GetDouble();
}

inline bool as_bool(const Value& value, const std::string& path) {
  if (!value.IsBool()) throw_malformed(path, "must be true or false");
  return value.GetBool();
}

// The field `name` of the object at `path`, by the given reader. Throws WireError where it is absent or null.
template <class Reader>
auto required_field(const Value& object, const char* name, const std::string& path, Reader read) {
  return read(required_member(object, name, path), path + "." + name);
}

// As required_field(), but `fallback` where the field is absent or null.
template <class Reader, class Fallback>
auto optional_field(const Value& object, const char* name, const std::string& path, Reader read,
                    Fallback fallback) {
  const Value* const member = find_member(as_object(object, path), name);
  using Result = decltype(read(*member, path));
  return member == nullptr ? static_cast<Result>(fallback) : read(*member, path + "." + name);
}

// A name on the wire and the value that it stands for.
template <class T>
struct EnumName {
  std::string_view name;
  T value;
};

// The value that `name` stands for. Throws WireError on another name than those listed.
template <class T>
T enum_from_name(const std::string& name, std::initializer_list<EnumName<T>> names, const std::string& path) {
  for (const EnumName<T>& known : names) {
    if (name == known.name) return known.value;
  }
  throw_malformed(path, "unknown word '" + name + "'");
}

}  // namespace heronvane::dispatch::adapter
