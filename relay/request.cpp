#include "request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace heronvane {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kMostId = 256, kMostName = 256;
// A deadline so many times that of its class is no slip of a clock: the request makes no sense.
constexpr Microseconds kMostDeadlines = 2;

template <class T>
std::optional<T> number(beast::string_view text) {
  T v{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return v;
}

// "480m" milliseconds, "250000u" microseconds; at most `most`.
std::optional<Microseconds> duration(beast::string_view text, Microseconds most) {
  if (text.size() < 2) return std::nullopt;
  const char unit = text.back();
  const auto v = number<double>(text.substr(0, text.size() - 1));
  if (!v || !std::isfinite(*v) || *v < 0 || (unit != 'm' && unit != 'u')) return std::nullopt;
  const double us = *v * (unit == 'm' ? 1000 : 1);
  if (us > static_cast<double>(most)) return std::nullopt;
  return static_cast<Microseconds>(us);
}

// The value of `dest` in "dest=7" or "a=1; dest=7".
std::optional<std::int64_t> destination(beast::string_view text) {
  while (!text.empty()) {
    const auto end = std::min(text.find_first_of(";,"), text.size());
    auto field = text.substr(0, end);
    while (!field.empty() && field.front() == ' ') field.remove_prefix(1);
    while (!field.empty() && field.back() == ' ') field.remove_suffix(1);
    if (field.starts_with("dest=")) return number<std::int64_t>(field.substr(5));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return std::nullopt;
}

// Ids go into headers, JSON and the log unchanged: visible ASCII only.
bool usable_id(beast::string_view id) {
  return !id.empty() && id.size() <= kMostId &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace

Handed read_message(Request& request, const heronvane::dispatch::Settings& settings,
                    const heronvane::dispatch::adapter::NameTables& names) {
  Handed h;
  const auto refuse = [&h](unsigned status, const char* why) {
    h.refused = status, h.why = why;
    return h;
  };
  // The class is the first part of the path.
  auto path = request.target();
  path = path.substr(0, path.find('?'));
  if (path.starts_with('/')) path.remove_prefix(1);
  path = path.substr(0, path.find('/'));
  const auto cls = names.classes.find(std::string(path));
  if (cls == names.classes.end()) return refuse(404, "the path names no known class");
  if (request.method() != http::verb::post) return refuse(405, "unknown method");
  for (const char* once :
       {"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Consignee", kIdempotencyKey})
    if (request.count(once) > 1) return refuse(400, "a header stands twice");
  const auto named = request["X-Class"], tenant = request["X-Tenant"];
  if (!named.empty() && named != path) return refuse(400, "X-Class is not that of the path");
  if (!usable_id(request["X-Request-Id"])) return refuse(400, "no usable X-Request-Id");
  if (tenant.size() > kMostName || (!names.tenants.empty() && names.tenants.count(std::string(tenant)) == 0))
    return refuse(400, "unknown X-Tenant");
  const auto key = request[kIdempotencyKey];
  if (request.count(kIdempotencyKey) > 0 && !usable_id(key)) return refuse(400, "no usable Idempotency-Key");
  const auto dest = destination(request["X-Consignee"]);
  if (!dest) return refuse(400, "no usable dest in X-Consignee");
  const auto most = kMostDeadlines * settings.classes[static_cast<std::size_t>(cls->second)].deadline;
  const auto left = duration(request["X-Deadline"], most);
  if (!left) return refuse(400, "no usable X-Deadline, or over twice its class's");
  h.message.id = std::string(request["X-Request-Id"]);
  h.message.idempotency_key = std::string(key);
  h.message.message_class = std::string(path);
  h.message.tenant = std::string(tenant);
  h.message.destination = *dest;
  h.left = *left;
  h.message.repeat = request["X-Retry"] == "1";
  h.message.body = std::move(request.body());
  return h;
}

}  // namespace heronvane
