// Parses untrusted JSON with limits, and writes JSON text. No input or output.
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

// what() is one line.
class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws JsonError: not JSON, not valid UTF-8, or nested deeper than 64 levels (later code recurses over the
// values).
rapidjson::Document parse_json(std::string_view text);

std::string to_text(const rapidjson::Value& v);

inline void put(JsonWriter& w, std::string_view s) {
  w.String(s.data(), static_cast<rapidjson::SizeType>(s.size()));
}
inline void key(JsonWriter& w, std::string_view s) {
  w.Key(s.data(), static_cast<rapidjson::SizeType>(s.size()));
}
// `json` must be a complete JSON value.
inline void raw(JsonWriter& w, std::string_view json) {
  w.RawValue(json.data(), json.size(), rapidjson::kObjectType);
}
inline std::string text_of(const rapidjson::StringBuffer& b) { return {b.GetString(), b.GetSize()}; }

using heronvane::printable;

}  // namespace heronvane::fleet
