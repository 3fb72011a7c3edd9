#include "request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace heronvane {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kMaxIdBytes = 256, kMaxNameBytes = 256;
// A deadline of more than this multiple of its class's is invalid; clock differences don't explain it.
constexpr Microseconds kMaxDeadlineMultiple = 2;

template <class T>
std::optional<T> number(beast::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Parses "480m" (milliseconds) or "250000u" (microseconds); nothing if malformed or more than `max`.
std::optional<Microseconds> duration(beast::string_view text, Microseconds max) {
  if (text.size() < 2) return std::nullopt;
  const char unit = text.back();
  const auto value = number<double>(text.substr(0, text.size() - 1));
  if (!value || !std::isfinite(*value) || *value < 0 || (unit != 'm' && unit != 'u')) return std::nullopt;
  const double microseconds = *value * (unit == 'm' ? 1000 : 1);
  if (microseconds > static_cast<double>(max)) return std::nullopt;
  return static_cast<Microseconds>(microseconds);
}

// Parses the value of `dest` in "dest=7" or "a=1; dest=7"; nothing if absent or malformed.
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

// Ids are written to headers, JSON and the log unescaped, so they must be visible ASCII.
bool usable_id(beast::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace

ParsedRequest read_message(Request& request, const heronvane::dispatch::Settings& settings,
                           const heronvane::dispatch::adapter::NameTables& names) {
  ParsedRequest parsed;
  const auto reject = [&parsed](unsigned status, const char* reason) {
    parsed.error_status = status, parsed.error_reason = reason;
    return parsed;
  };
  // The class is the first part of the path.
  auto path = request.target();
  path = path.substr(0, path.find('?'));
  if (path.starts_with('/')) path.remove_prefix(1);
  path = path.substr(0, path.find('/'));
  const auto class_entry = names.classes.find(std::string(path));
  if (class_entry == names.classes.end()) return reject(404, "the path names no known class");
  if (request.method() != http::verb::post) return reject(405, "unknown method");
  for (const char* name :
       {"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Consignee", kIdempotencyKey})
    if (request.count(name) > 1) return reject(400, "duplicate header");
  const auto named = request["X-Class"], tenant = request["X-Tenant"];
  if (!named.empty() && named != path) return reject(400, "X-Class differs from the class in the path");
  if (!usable_id(request["X-Request-Id"])) return reject(400, "no usable X-Request-Id");
  if (tenant.size() > kMaxNameBytes ||
      (!names.tenants.empty() && names.tenants.count(std::string(tenant)) == 0))
    return reject(400, "unknown X-Tenant");
  const auto key = request[kIdempotencyKey];
  if (request.count(kIdempotencyKey) > 0 && !usable_id(key)) return reject(400, "no usable Idempotency-Key");
  const auto dest = destination(request["X-Consignee"]);
  if (!dest) return reject(400, "no usable dest in X-Consignee");
  const auto max_time_left =
      kMaxDeadlineMultiple * settings.classes[static_cast<std::size_t>(class_entry->second)].deadline;
  const auto left = duration(request["X-Deadline"], max_time_left);
  if (!left) return reject(400, "no usable X-Deadline, or over twice its class's");
  parsed.message.id = std::string(request["X-Request-Id"]);
  parsed.message.idempotency_key = std::string(key);
  parsed.message.message_class = std::string(path);
  parsed.message.tenant = std::string(tenant);
  parsed.message.destination = *dest;
  parsed.time_left = *left;
  parsed.message.repeat = request["X-Retry"] == "1";
  parsed.message.body = std::move(request.body());
  return parsed;
}

}  // namespace heronvane
