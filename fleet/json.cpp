#include "json.hpp"

#include <rapidjson/error/en.h>

namespace heronvane::fleet {

namespace {

constexpr int kMaxDepth = 64;

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
      if (++depth > kMaxDepth) return true;
    } else if (c == '}' || c == ']') {
      depth--;
    }
  }
  return false;
}

}  // namespace

rapidjson::Document parse_json(std::string_view text) {
  if (too_deep(text)) throw JsonError("JSON: nested deeper than " + std::to_string(kMaxDepth));
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(text.data(),
                                                                                         text.size());
  if (document.HasParseError())
    throw JsonError("JSON: " + std::string(rapidjson::GetParseError_En(document.GetParseError())) +
                    " at byte " + std::to_string(document.GetErrorOffset()));
  return document;
}

std::string to_text(const rapidjson::Value& document) {
  rapidjson::StringBuffer b;
  JsonWriter w(b);
  document.Accept(w);
  return text_of(b);
}

}  // namespace heronvane::fleet
