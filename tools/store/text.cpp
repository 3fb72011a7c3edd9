#include "text.hpp"

#include <cstdio>
#include <ctime>

namespace heronvane::store::tool {

std::string printable(std::string_view bytes) {
  std::string out;
  for (const char c : bytes) {
    const auto u = static_cast<unsigned char>(c);
    if (c == '\\') {
      out += "\\\\";
    } else if (u >= 0x20 && u < 0x7f) {
      out += c;
    } else {
      char hex[8];
      std::snprintf(hex, sizeof hex, "\\x%02x", u);
      out += hex;
    }
  }
  return out;
}

std::string base64(std::string_view bytes) {
  constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t three = 0;
    for (std::size_t i = 0; i < 3; i++)
      three = three << 8 | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0u);
    for (std::size_t i = 0; i < 4; i++)
      out += at + i <= bytes.size() ? kDigits[three >> (18 - 6 * i) & 63] : '=';
  }
  return out;
}

bool is_utf8(std::string_view bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const auto lead = static_cast<unsigned char>(bytes[at++]);
    if (lead < 0x80) continue;
    const std::size_t more = lead >= 0xf0 ? 3 : lead >= 0xe0 ? 2 : 1;
    if (lead < 0xc2 || lead > 0xf4 || bytes.size() - at < more) return false;
    std::uint32_t point = lead & (0x3fu >> more);
    for (std::size_t i = 0; i < more; i++) {
      const auto next = static_cast<unsigned char>(bytes[at++]);
      if ((next & 0xc0) != 0x80) return false;
      point = point << 6 | (next & 0x3fu);
    }
    constexpr std::uint32_t kLeast[] = {0, 0x80, 0x800, 0x10000};
    if (point < kLeast[more] || point > 0x10ffff || (point >= 0xd800 && point < 0xe000)) return false;
  }
  return true;
}

std::string duration(Microseconds t) {
  // Computed on the magnitude as unsigned: the smallest value has no positive counterpart.
  const std::uint64_t us = t < 0 ? 0 - static_cast<std::uint64_t>(t) : static_cast<std::uint64_t>(t);
  const std::uint64_t s = us / 1'000'000;
  char text[64];
  if (s < 60)
    std::snprintf(text, sizeof text, "%.3g s", static_cast<double>(us - us % 1'000) / 1e6);
  else if (s < 3600)
    std::snprintf(text, sizeof text, "%llu min %llu s", static_cast<unsigned long long>(s / 60),
                  static_cast<unsigned long long>(s % 60));
  else if (s < 48 * 3600)
    std::snprintf(text, sizeof text, "%llu h %llu min", static_cast<unsigned long long>(s / 3600),
                  static_cast<unsigned long long>(s / 60 % 60));
  else
    std::snprintf(text, sizeof text, "%llu d", static_cast<unsigned long long>(s / 86400));
  return (t < 0 ? "-" : "") + std::string(text);
}

std::string date(Microseconds t) {
  const auto seconds = static_cast<std::time_t>(t / 1'000'000);
  std::tm parts{};
  char text[64];
  if (::gmtime_r(&seconds, &parts) == nullptr ||
      std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &parts) == 0)
    return std::to_string(seconds) + " s Unix time";
  return text;
}

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::served:
      return "served";
    case Outcome::error:
      return "error";
    case Outcome::rejected:
      return "full";
    case Outcome::timeout:
      return "timeout";
    case Outcome::connect_failed:
      return "connect_failed";
    case Outcome::reset:
      return "reset";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::not_sent:
      return "not_sent";
  }
  return "?";
}

std::string name_of(const MissingRun& run) {
  const std::string about = run.estimated ? "about " : "";
  if (run.to - run.from == 1) return about + "record " + std::to_string(run.from);
  return about + "records " + std::to_string(run.from) + " to " + std::to_string(run.to - 1);
}

}  // namespace heronvane::store::tool
