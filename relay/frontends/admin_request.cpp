#include "frontends/admin_request.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <optional>

namespace heronvane {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

const std::string kMessages = "/v1/messages/", kTakeOver = "/v1/takeover/";

void field(Writer& w, const char* key, const std::string& v) {
  w.Key(key), w.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
}

std::string error_json(const std::string& code, const std::string& message, const std::string& hint,
                       std::optional<Fence> fence) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  w.Key("error");
  w.StartObject();
  field(w, "code", code), field(w, "message", message), field(w, "hint", hint);
  if (fence) w.Key("fence"), w.Int64(*fence);
  w.EndObject();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

int digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// "%2F" and the like; nothing where that is broken, or holds what no id may.
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
    return admin_error(405, "bad_request", method + ": this is asked by POST", "use POST");
  const char* const hint = "the body is {\"fence\":N}, N the operation's id";
  rapidjson::Document v;
  // Not by recursion, which thousands of open brackets would take past the stack's end.
  v.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (v.HasParseError())
    return admin_error(400, "bad_request",
                       "the body is no JSON, at byte " + std::to_string(v.GetErrorOffset()), hint);
  if (!v.IsObject()) return admin_error(400, "bad_request", "the body is no object", hint);
  const auto it = v.FindMember("fence");
  if (it == v.MemberEnd() || !it->value.IsInt64() || it->value.GetInt64() < 0 ||
      it->value.GetInt64() > kMaxFence)
    return admin_error(400, "bad_request",
                       "fence: must be a whole number from 0 to " + std::to_string(kMaxFence), hint);
  return Fenced{it->value.GetInt64()};
}

AdminRequest only_get(const std::string& method, AdminRequest request) {
  if (method != "GET") return admin_error(405, "bad_request", method + ": this is asked by GET", "use GET");
  return request;
}

}  // namespace

AdminAnswer admin_error(unsigned status, const std::string& code, const std::string& message,
                        const std::string& hint) {
  return {status, error_json(code, message, hint, std::nullopt)};
}
AdminAnswer admin_fenced(Fence asked, Fence highest) {
  return {409, error_json("fenced",
                          "fence " + std::to_string(asked) + " is lower than " + std::to_string(highest) +
                              ", the highest seen",
                          "a later operation has this relay: look at it first", highest)};
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
      return admin_error(400, "bad_request", "the message's id can't be read",
                         "visible ASCII, others than letters and digits as %XX");
    return only_get(method, admin::GetMessage{std::move(*id)});
  }
  if (path.compare(0, kTakeOver.size(), kTakeOver) == 0) {
    auto name = decoded(path.substr(kTakeOver.size()));
    if (!name)
      return admin_error(400, "bad_request", "the relay's name can't be read",
                         "visible ASCII, others than letters and digits as %XX");
    if (method != "POST")
      return admin_error(405, "bad_request", method + ": this is asked by POST", "use POST");
    return admin::TakeOver{std::move(*name)};
  }
  return admin_error(
      404, "unknown", "no such path",
      "known: /v1/status, /v1/messages/ID, /v1/drain, /v1/undrain, /v1/fence, /v1/takeover/NAME");
}

}  // namespace heronvane
