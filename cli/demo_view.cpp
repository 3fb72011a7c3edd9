#include "demo_view.hpp"

#include <algorithm>
#include <cstdio>

namespace heronvane::cli {

namespace {

std::string rate(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", v);
  return v < 0.05 ? "-" : text;
}

std::string latency_text(std::int64_t us) {
  if (us < 0) return "-";
  char text[32];
  if (us < 9'950)
    std::snprintf(text, sizeof text, "%.1fms", static_cast<double>(us) / 1e3);
  else if (us < 999'500)
    std::snprintf(text, sizeof text, "%.0fms", static_cast<double>(us) / 1e3);
  else
    std::snprintf(text, sizeof text, "%.1fs", static_cast<double>(us) / 1e6);
  return text;
}

Tone tone_of(const std::string& phase) {
  if (phase == "ready") return Tone::good;
  if (phase == "backoff" || phase == "looping" || phase == "stalled") return Tone::bad;
  return Tone::warn;
}

std::string relays(const DemoView& v, const Style& style) {
  Table t({{"RELAY"},
           {"PHASE"},
           {"PID", 2, true},
           {"HELD", 0, true},
           {"MSG/S", 0, true},
           {"P50", 1, true},
           {"P99", 1, true},
           {"RESTARTS", 3, true}});
  for (const auto& r : v.relays)
    t.row({r.name,
           {r.phase, tone_of(r.phase)},
           r.pid > 0 ? std::to_string(r.pid) : "-",
           std::to_string(r.held),
           rate(r.per_s),
           latency_text(r.p50_us),
           latency_text(r.p99_us),
           std::to_string(r.restarts)});
  return t.text(style);
}

std::string endpoints(const DemoView& v, const Style& style, bool all) {
  Table t({{"ENDPOINT"},
           {"PARTNER", 2},
           {"RELAYS SEE"},
           {"SERVED/S", 0, true},
           {"REFUSED", 1, true},
           {"FAILED", 1, true},
           {"ITS WAYS", 3}});
  for (const auto& e : v.endpoints)
    if (all || !e.leaving)
      t.row({e.name,
             e.partner,
             {e.seen, e.tone},
             rate(e.served_s),
             rate(e.refused_s),
             rate(e.failed_s),
             e.behaviour});
  return t.text(style);
}

std::string totals(const DemoView& v, const Style& style) {
  const auto& n = v.totals;
  std::string text = "clients  handed in " + grouped(n.handed) + "  taken on " + grouped(n.taken) +
                     "  refused " + grouped(n.refused) + "  no answer " + grouped(n.unanswered) + "\n";
  text += "outside  delivered " + grouped(n.delivered) + "  by notice " + grouped(n.ended) + "  held " +
          grouped(n.held) + "  " +
          toned("twice " + grouped(n.twice), n.twice == 0 ? Tone::good : Tone::bad, style) + "  p50 " +
          latency_text(n.p50_us) + " p99 " + latency_text(n.p99_us) + "\n";
  return text;
}

std::string suggestions(const DemoView& v, const Style& style) {
  std::string text;
  for (const auto& t : v.suggestions) {
    const std::string line = (text.empty() ? "try  " : "     ") + t.command;
    const std::string reason = t.reason.empty() ? "" : "   # " + t.reason;
    // Commands are never cut, so that they can be copied; the terminal wraps one that is too long.
    const bool fits = style.width == 0 || columns(line) + columns(reason) <= style.width;
    text += line + (fits ? toned(reason, Tone::dim, style) : "") + "\n";
  }
  return text;
}

// The number of rows that the text occupies on a terminal that wraps lines.
std::size_t rows_of(const std::string& text, std::size_t width) {
  std::size_t rows = 0, at = 0;
  while (at < text.size()) {
    const auto end = std::min(text.find('\n', at), text.size());
    std::size_t length = 0;
    for (std::size_t i = at; i < end; i++) {
      if (text[i] == '\x1b')
        i = std::min(text.find('m', i), end);
      else
        length += (static_cast<unsigned char>(text[i]) & 0xc0) != 0x80;
    }
    rows += width == 0 || length == 0 ? 1 : (length + width - 1) / width;
    at = end + 1;
  }
  return rows;
}

}  // namespace

std::string grouped(std::uint64_t n) {
  std::string digits = std::to_string(n);
  for (auto i = static_cast<std::ptrdiff_t>(digits.size()) - 3; i > 0; i -= 3)
    digits.insert(static_cast<std::size_t>(i), 1, ',');
  return digits;
}

std::string clock_time(std::int64_t seconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%lld:%02lld", static_cast<long long>(seconds / 60),
                static_cast<long long>(seconds % 60));
  return text;
}

std::string render_demo(const DemoView& v, const Style& style, std::size_t rows) {
  const bool is_large = rows >= 30;
  const std::string gap = is_large ? "\n" : "";
  std::string text = toned("heronvane demo", Tone::bold, style) + "  " + clock_time(v.elapsed_s) + "  " +
                     count(static_cast<std::int64_t>(v.relays.size()), "relay", "relays") + ", " +
                     count(static_cast<std::int64_t>(v.partners), "partner", "partners") + ", " +
                     count(static_cast<std::int64_t>(v.endpoints.size()), "endpoint", "endpoints") + "   " +
                     toned(v.headline, Tone::dim, style) + "\n" + gap;
  text += relays(v, style) + gap + endpoints(v, style, is_large) + gap + totals(v, style) + gap;
  const std::string bottom = gap + suggestions(v, style);
  const std::size_t wrapped_rows = rows_of(text + bottom, style.width);
  const auto line_count = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n') +
                                                   std::count(bottom.begin(), bottom.end(), '\n'));
  // If lines wrap, one row is reserved for the line feed that ends the last line.
  const std::size_t used = wrapped_rows + (wrapped_rows > line_count ? 1 : 0);
  const std::size_t left = rows > used ? std::min<std::size_t>(rows - used, 12) : 0;
  for (std::size_t i = 0; i < left; i++) {
    if (i < v.events.size()) {
      std::string line = clock_time(v.events[i].at_s) + "  " + safe(v.events[i].what);
      if (style.width > 0 && columns(line) > style.width) line = line.substr(0, style.width);
      text += i == 0 ? line : toned(line, Tone::dim, style);
    }
    text += "\n";
  }
  return text + bottom;
}

std::string plain_demo(const DemoView& v) {
  const auto& n = v.totals;
  std::string text = clock_time(v.elapsed_s) + "  handed in " + grouped(n.handed) + "  taken on " +
                     grouped(n.taken) + "  delivered " + grouped(n.delivered) + "  by notice " +
                     grouped(n.ended) + "  held " + grouped(n.held) + "  twice " + grouped(n.twice) +
                     "  p50 " + latency_text(n.p50_us) + " p99 " + latency_text(n.p99_us);
  for (const auto& r : v.relays) text += "  " + safe(r.name) + " " + safe(r.phase);
  return text + "\n";
}

}  // namespace heronvane::cli
