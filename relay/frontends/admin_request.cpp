#include "frontends/admin_request.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <optional>

namespace heronvane {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

const std::string kMessages = "/v1/messages/", kTakeOver = "/v1/takeover/";

void field(Writer& writer, const char* key, const std::string& value) {
  writer.Key(key), writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

std::string error_json(const std::string& code, const std::string& message, const std::string& hint,
                       std::optional<Fence> fence) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("error");
  writer.StartObject();
  field(writer, "code", code), field(writer, "message", message), field(writer, "hint", hint);
  if (fence) writer.Key("fence"), writer.Int64(*fence);
  writer.EndObject();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

int digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Decodes percent-encoding; nothing if that is malformed, or the result is empty or not visible ASCII.
std::optional<std::string> decoded(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); i++) {
    char c = text[i];
    if (c == '%') {
      if (i + 2 >= text.size() || digit(text[i + 1]) < 0 || digit(text[i + 2]) < 0) return std::nullopt;
      c = static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2]));
      i += 2;
    }
    if (c <= ' ' || c >= '\x7f') return std::nullopt;
    out += c;
  }
  return out.empty() ? std::nullopt : std::optional(out);
}

template <class Fenced>
AdminRequest fenced(const std::string& method, const std::string& body) {
  if (method != "POST")
    return admin_error(405, "bad_request", method + ": the method must be POST", "use POST");
  const char* const hint = "the body is {\"fence\":N} with the operation's id as N";
  rapidjson::Document document;
  // The recursive parser would overflow the stack on thousands of nested brackets.
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError())
    return admin_error(400, "bad_request",
                       "the body is not valid JSON, at byte " + std::to_string(document.GetErrorOffset()),
                       hint);
  if (!document.IsObject()) return admin_error(400, "bad_request", "the body is not a JSON object", hint);
  const auto fence = document.FindMember("fence");
  if (fence == document.MemberEnd() || !fence->value.IsInt64() || fence->value.GetInt64() < 0 ||
      fence->value.GetInt64() > kMaxFence)
    return admin_error(400, "bad_request",
                       "fence: must be a whole number from 0 to " + std::to_string(kMaxFence), hint);
  return Fenced{fence->value.GetInt64()};
}

AdminRequest only_get(const std::string& method, AdminRequest request) {
  if (method != "GET") return admin_error(405, "bad_request", method + ": the method must be GET", "use GET");
  return request;
}

}  // namespace

AdminAnswer admin_error(unsigned status, const std::string& code, const std::string& message,
                        const std::string& hint) {
  return {status, error_json(code, message, hint, std::nullopt)};
}
AdminAnswer admin_fenced(Fence fence, Fence highest) {
  return {409, error_json("fenced",
                          "fence " + std::to_string(fence) + " is lower than " + std::to_string(highest) +
                              ", the highest seen",
                          "a later operation controls this relay: check that operation first", highest)};
}

AdminRequest read_admin_request(const std::string& method, const std::string& target,
                                const std::string& body) {
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/v1/status") return only_get(method, admin::GetStatus{});
  if (path == "/v1/drain") return fenced<admin::Drain>(method, body);
  if (path == "/v1/undrain") return fenced<admin::Undrain>(method, body);
  if (path == "/v1/fence") return fenced<admin::RaiseFence>(method, body);
  if (path.compare(0, kMessages.size(), kMessages) == 0) {
    auto id = decoded(path.substr(kMessages.size()));
    if (!id)
      return admin_error(400, "bad_request", "malformed message id",
                         "visible ASCII; %XX for all but letters and digits");
    return only_get(method, admin::GetMessage{std::move(*id)});
  }
  if (path.compare(0, kTakeOver.size(), kTakeOver) == 0) {
    auto name = decoded(path.substr(kTakeOver.size()));
    if (!name)
      return admin_error(400, "bad_request", "malformed relay name",
                         "visible ASCII; %XX for all but letters and digits");
    if (method != "POST")
      return admin_error(405, "bad_request", method + ": the method must be POST", "use POST");
    return admin::TakeOver{std::move(*name)};
  }
  return admin_error(
      404, "unknown", "no such path",
      "known: /v1/status, /v1/messages/ID, /v1/drain, /v1/undrain, /v1/fence, /v1/takeover/NAME");
}

}  // namespace heronvane
