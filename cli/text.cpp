#include "text.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace heronvane::cli {

std::string toned(std::string_view text, Tone tone, const Style& style) {
  const char* code = nullptr;
  switch (tone) {
    case Tone::plain:
      break;
    case Tone::good:
      code = "32";
      break;
    case Tone::warn:
      code = "33";
      break;
    case Tone::bad:
      code = "31";
      break;
    case Tone::dim:
      code = "2";
      break;
    case Tone::bold:
      code = "1";
      break;
  }
  if (!style.colour || code == nullptr || text.empty()) return std::string(text);
  return std::string("\x1b[").append(code).append("m").append(text).append("\x1b[0m");
}

std::string duration(std::int64_t ms) {
  if (ms <= 0) return "0s";
  if (ms < 1000) return std::to_string(ms) + "ms";
  const auto two_digits = [](std::int64_t n) { return (n < 10 ? "0" : "") + std::to_string(n); };
  const auto s = ms / 1000;
  if (s < 10) return std::to_string(s) + "." + std::to_string(ms % 1000 / 100) + "s";
  if (s < 60) return std::to_string(s) + "s";
  if (s < 3600) return std::to_string(s / 60) + "m" + two_digits(s % 60) + "s";
  if (s < 86400) return std::to_string(s / 3600) + "h" + two_digits(s % 3600 / 60) + "m";
  return std::to_string(s / 86400) + "d" + std::to_string(s % 86400 / 3600) + "h";
}

std::string bytes(std::int64_t n) {
  static constexpr const char* kUnits[] = {"kB", "MB", "GB", "TB"};
  if (n < 1000) return std::to_string(n) + " B";
  double v = static_cast<double>(n) / 1000;
  std::size_t unit = 0;
  for (; v >= 999.95 && unit + 1 < std::size(kUnits); unit++) v /= 1000;
  char text[32];
  std::snprintf(text, sizeof text, "%.1f %s", v, kUnits[unit]);
  return text;
}

std::string moment(std::int64_t unix_ms) {
  const std::time_t s = unix_ms / 1000;
  std::tm t{};
  char text[40];
  if (::gmtime_r(&s, &t) == nullptr || std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &t) == 0)
    return std::to_string(unix_ms) + " ms";
  return text;
}

std::string safe(std::string_view text, bool keep_lines) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); i++) {
    const auto c = static_cast<unsigned char>(text[i]);
    const bool line = c == '\n' || c == '\t';
    // C1 control characters (two bytes in UTF-8) act like escape sequences.
    const bool c1 = c == 0xc2 && i + 1 < text.size() && static_cast<unsigned char>(text[i + 1]) >= 0x80 &&
                    static_cast<unsigned char>(text[i + 1]) < 0xa0;
    if (c1) i++;
    const bool control = c1 || c == 0x7f || (c < 0x20 && !(keep_lines && line));
    out += control ? '?' : text[i];
  }
  return out;
}

std::size_t columns(std::string_view utf8) {
  return static_cast<std::size_t>(
      std::count_if(utf8.begin(), utf8.end(), [](char c) { return (c & 0xc0) != 0x80; }));
}

std::string count(std::int64_t n, std::string_view one, std::string_view many) {
  return std::to_string(n).append(" ").append(n == 1 ? one : many);
}

std::string wrapped(std::string_view text, std::size_t indent, std::size_t width) {
  const std::string margin(indent, ' ');
  std::string out;
  std::size_t at = 0;
  while (!text.empty()) {
    const auto end = std::min(text.find(' '), text.size());
    const auto word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto word_columns = columns(word);
    if (at > 0 && width > 0 && at + 1 + word_columns > width) out += '\n', at = 0;
    if (at == 0)
      out += margin, at = indent;
    else
      out += ' ', at++;
    out += word;
    at += word_columns;
  }
  return out + "\n";
}

std::string Table::text(const Style& style, std::size_t indent) const {
  std::vector<std::size_t> widths;
  for (const auto& c : columns_) widths.push_back(columns(c.title));
  for (const auto& row : rows_)
    for (std::size_t i = 0; i < row.size(); i++) widths[i] = std::max(widths[i], columns(row[i].text));
  std::vector<bool> shown(columns_.size(), true);
  const auto total = [&] {
    std::size_t sum = indent;
    for (std::size_t i = 0; i < widths.size(); i++)
      if (shown[i]) sum += widths[i] + 2;
    return sum - 2;
  };
  while (style.width > 0 && total() > style.width) {
    std::size_t next_dropped = columns_.size();
    for (std::size_t i = 0; i < columns_.size(); i++)
      if (shown[i] && columns_[i].drop > 0 &&
          (next_dropped == columns_.size() || columns_[i].drop > columns_[next_dropped].drop))
        next_dropped = i;
    if (next_dropped == columns_.size()) break;
    shown[next_dropped] = false;
  }
  std::string out;
  const auto line = [&](const auto& cell) {
    std::string l(indent, ' ');
    std::size_t padding = 0;
    for (std::size_t i = 0; i < columns_.size(); i++) {
      if (!shown[i]) continue;
      const Cell c = cell(i);
      const auto fill = widths[i] - columns(c.text);
      if (columns_[i].right) padding += fill;
      if (!c.text.empty()) l.append(padding, ' ').append(toned(c.text, c.tone, style)), padding = 0;
      if (!columns_[i].right) padding += fill;
      padding += 2;
    }
    out += l + "\n";
  };
  line([&](std::size_t i) { return Cell(columns_[i].title, Tone::dim); });
  for (const auto& row : rows_) line([&](std::size_t i) { return i < row.size() ? row[i] : Cell(""); });
  return out;
}

}  // namespace heronvane::cli
