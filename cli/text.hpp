// Text for people: durations, sizes, tables. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heronvane::cli {

// How to draw. `width` 0: no limit (what is read is no terminal).
struct Style {
  std::size_t width = 80;
  bool colour = false;
};

enum class Tone { plain, good, warn, bad, dim, bold };

std::string toned(std::string_view text, Tone tone, const Style& style);
// 812ms, 4.2s, 3m12s, 5h07m, 12d3h; "0s" for what is below nothing (clocks of two machines differ).
std::string duration(std::int64_t ms);
std::string bytes(std::int64_t n);  // 3.0 MB
// 2026-12-01 10:13:20 UTC
std::string moment(std::int64_t unix_ms);
// Agents' text as it may go to a terminal: control characters become '?', so that none moves the cursor.
std::string safe(std::string_view text, bool keep_lines = false);
std::size_t columns(std::string_view utf8);  // a code point each
// "3 instances", "1 instance"
std::string count(std::int64_t n, std::string_view one, std::string_view many);
// `text` in lines of at most `width`, each after `indent` spaces; words are never cut.
std::string wrapped(std::string_view text, std::size_t indent, std::size_t width);

// Columns that fit: where the table is wider than the style allows, the columns with the highest `drop` go
// first; those with 0 stay whatever it costs. No cell is ever cut.
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
