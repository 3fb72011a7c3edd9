#include "json.hpp"

#include <rapidjson/error/en.h>

namespace heronvane::fleet {

namespace {

constexpr int kMostDepth = 64;

bool too_deep(std::string_view text) {
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); i++) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') i++;
      if (c == '"') quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMostDepth) return true;
    } else if (c == '}' || c == ']') {
      depth--;
    }
  }
  return false;
}

}  // namespace

rapidjson::Document parse_json(std::string_view text) {
  if (too_deep(text)) throw JsonError("JSON: nested deeper than " + std::to_string(kMostDepth));
  rapidjson::Document v;
  v.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(text.data(), text.size());
  if (v.HasParseError())
    throw JsonError("JSON: " + std::string(rapidjson::GetParseError_En(v.GetParseError())) + " at byte " +
                    std::to_string(v.GetErrorOffset()));
  return v;
}

std::string to_text(const rapidjson::Value& v) {
  rapidjson::StringBuffer b;
  JsonWriter w(b);
  v.Accept(w);
  return text_of(b);
}

std::string printable(std::string_view bytes) {
  std::string all;
  for (std::size_t i = 0; i < bytes.size();) {
    const auto c = static_cast<unsigned char>(bytes[i]);
    std::size_t size = c < 0x80                ? 1
                       : c >= 0xc2 && c < 0xe0 ? 2
                       : c >= 0xe0 && c < 0xf0 ? 3
                       : c >= 0xf0 && c < 0xf5 ? 4
                                               : 0;
    for (std::size_t k = 1; k < size; k++)
      if (i + k >= bytes.size() || (static_cast<unsigned char>(bytes[i + k]) & 0xc0) != 0x80) size = 0;
    const auto second = i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) : 0U;
    if ((c == 0xe0 && second < 0xa0) || (c == 0xed && second >= 0xa0) || (c == 0xf0 && second < 0x90) ||
        (c == 0xf4 && second >= 0x90))
      size = 0;
    if (size == 0) {
      all += '?';
      i++;
    } else {
      all.append(bytes.substr(i, size));
      i += size;
    }
  }
  return all;
}

}  // namespace heronvane::fleet
