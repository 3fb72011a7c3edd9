// Formats durations, sizes and tables for terminals. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heronvane::cli {

// The output style. `width` is in columns; 0 means no limit (the output is not a terminal).
struct Style {
  std::size_t width = 80;
  bool colour = false;
};

enum class Tone { plain, good, warn, bad, dim, bold };

std::string toned(std::string_view text, Tone tone, const Style& style);
// Such as 812ms, 4.2s, 3m12s, 5h07m, 12d3h. Negative durations, which clock skew between machines can cause,
// become "0s".
std::string duration(std::int64_t ms);
std::string bytes(std::int64_t n);  // such as "3.0 MB"; decimal units
// Such as "2026-12-01 10:13:20 UTC".
std::string moment(std::int64_t unix_ms);
// Replaces control characters by '?', so that text from agents can't control the terminal. `keep_lines` keeps
// line ends and tabs.
std::string safe(std::string_view text, bool keep_lines = false);
std::size_t columns(std::string_view utf8);  // one per code point
// Such as "3 instances" or "1 instance".
std::string count(std::int64_t n, std::string_view one, std::string_view many);
// Wraps `text` to lines of at most `width` columns, each indented by `indent` spaces. Words are never split,
// so a long word may exceed `width`.
std::string wrapped(std::string_view text, std::size_t indent, std::size_t width);

// A table that omits columns until it fits the style's width, those with the highest `drop` first. Columns
// with drop 0 are never omitted, and cells are never cut, so the table may still be too wide.
class Table {
 public:
  struct Column {
    std::string title;
    int drop = 0;
    bool right = false;
  };
  struct Cell {
    Cell(std::string t, Tone n = Tone::plain) : text(safe(t)), tone(n) {}
    Cell(const char* t) : Cell(std::string(t)) {}
    std::string text;
    Tone tone;
  };
  explicit Table(std::vector<Column> columns) : columns_(std::move(columns)) {}
  void row(std::vector<Cell> cells) { rows_.push_back(std::move(cells)); }
  bool empty() const { return rows_.empty(); }
  std::string text(const Style& style, std::size_t indent = 0) const;

 private:
  std::vector<Column> columns_;
  std::vector<std::vector<Cell>> rows_;
};

}  // namespace heronvane::cli
