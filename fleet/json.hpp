// JSON from outside, read with bounds, and JSON text written. No input or output here.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <stdexcept>
#include <string>
#include <string_view>

#include "wire/utf8.hpp"

namespace heronvane::fleet {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

// What is wrong, on one line.
class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws JsonError: no JSON, no valid UTF-8, or nested deeper than 64 (what is nested is walked by
// recursion).
rapidjson::Document parse_json(std::string_view text);

std::string to_text(const rapidjson::Value& v);

inline void put(JsonWriter& w, std::string_view s) {
  w.String(s.data(), static_cast<rapidjson::SizeType>(s.size()));
}
inline void key(JsonWriter& w, std::string_view s) {
  w.Key(s.data(), static_cast<rapidjson::SizeType>(s.size()));
}
// `json` must be whole JSON.
inline void raw(JsonWriter& w, std::string_view json) {
  w.RawValue(json.data(), json.size(), rapidjson::kObjectType);
}
inline std::string text_of(const rapidjson::StringBuffer& b) { return {b.GetString(), b.GetSize()}; }

using heronvane::printable;

}  // namespace heronvane::fleet
