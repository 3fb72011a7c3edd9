// report.html: timelines as SVG, one column for each build, and what was found.
#include <algorithm>
#include <cstdio>
#include <ostream>
#include <sstream>

#include "report.hpp"

namespace heronvane::lab {

namespace {

constexpr double kWidth = 860, kHeight = 170, kLeft = 56, kRight = 10, kTop = 22, kBottom = 20;
constexpr const char* kColours[] = {"#0072b2", "#d55e00", "#009e73", "#cc79a7"};

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '&')
      out += "&amp;";
    else if (c == '"')
      out += "&quot;";
    else if (c == '\'')
      out += "&#39;";
    else
      out += c;
  }
  return out;
}
std::string brief(double n) {
  char out[32];
  std::snprintf(out, sizeof out, n >= 100 ? "%.0f" : "%.3g", n);
  return out;
}

struct Line {
  std::string name;
  std::vector<double> values;
};

// One chart: lines over time, the faults as bands behind them.
class Chart {
 public:
  Chart(std::ostream& out, const Report& report, std::string title)
      : out_(out), r_(report), title_(std::move(title)) {}

  void draw(const std::vector<Line>& lines, double at_least = 0) const {
    double most = at_least;
    for (const auto& l : lines)
      for (const double v : l.values) most = std::max(most, v);
    if (most <= 0) most = 1;
    const double end = std::max(1.0, static_cast<double>(r_.end) / 1e6);
    const auto x = [&](double s) {
      return kLeft + (kWidth - kLeft - kRight) * std::clamp(s / end, 0.0, 1.0);
    };
    const auto y = [&](double v) {
      return kHeight - kBottom - (kHeight - kTop - kBottom) * std::min(v / most, 1.0);
    };
    out_ << "<svg viewBox='0 0 " << kWidth << " " << kHeight << "' role='img' aria-label='" << escaped(title_)
         << "'>";
    for (const auto& s : r_.plan.strikes) {
      const double from = static_cast<double>(s.at) / 1e6;
      const double to = from + std::max(0.15, static_cast<double>(s.lasts) / 1e6);
      out_ << "<rect class='fault' x='" << brief(x(from)) << "' y='" << kTop << "' width='"
           << brief(std::max(1.5, x(to) - x(from))) << "' height='" << kHeight - kTop - kBottom << "'><title>"
           << escaped(s.words) << " at " << brief(from) << " s</title></rect>";
    }
    for (int i = 0; i <= 2; i++) {
      const double v = most * i / 2;
      out_ << "<line class='grid' x1='" << kLeft << "' x2='" << kWidth - kRight << "' y1='" << brief(y(v))
           << "' y2='" << brief(y(v)) << "'/><text x='" << kLeft - 5 << "' y='" << brief(y(v) + 4)
           << "' text-anchor='end'>" << brief(v) << "</text>";
    }
    const double apart = end > 60 ? 20 : end > 25 ? 10 : 5;
    for (double s = 0; s <= end; s += apart)
      out_ << "<text x='" << brief(x(s)) << "' y='" << kHeight - 5 << "' text-anchor='middle'>" << brief(s)
           << " s</text>";
    double label = kLeft + 6;
    out_ << "<text class='title' x='" << label << "' y='14'>" << escaped(title_) << "</text>";
    label = kWidth - kRight;
    for (std::size_t i = lines.size(); i-- > 0;) {
      out_ << "<text x='" << label << "' y='14' text-anchor='end' fill='" << kColours[i % 4] << "'>"
           << escaped(lines[i].name) << "</text>";
      label -= 8 + 6.6 * static_cast<double>(lines[i].name.size());
    }
    const double step = static_cast<double>(r_.figures.step) / 1e6;
    for (std::size_t i = 0; i < lines.size(); i++) {
      out_ << "<polyline stroke='" << kColours[i % 4] << "' points='";
      for (std::size_t k = 0; k < lines[i].values.size(); k++)
        out_ << brief(x((static_cast<double>(k) + 0.5) * step)) << "," << brief(y(lines[i].values[k])) << " ";
      out_ << "'/>";
    }
    out_ << "</svg>\n";
  }

 private:
  std::ostream& out_;
  const Report& r_;
  std::string title_;
};

template <class Get>
Line line_of(const std::string& name, const std::vector<Point>& points, Get get) {
  Line l{name, {}};
  for (const auto& p : points) l.values.push_back(get(p));
  return l;
}

void one(std::ostream& out, const Report& r) {
  const auto& points = r.figures.points;
  out << "<section><h2>" << escaped(r.program) << "</h2><p class='" << (r.failed.empty() ? "good" : "bad")
      << "'>" << (r.failed.empty() ? "passed" : "failed");
  for (const auto& why : r.failed) out << "<br>" << escaped(why);
  out << "</p><pre>" << escaped(summary(r)) << "</pre>\n";
  Chart(out, r, "messages a second")
      .draw({line_of("offered", points, [](const Point& p) { return p.offered; }),
             line_of("refused", points, [](const Point& p) { return p.refused; }),
             line_of("taken", points, [](const Point& p) { return p.taken; }),
             line_of("no answer", points, [](const Point& p) { return p.unanswered; })});
  Chart(out, r, "worth served a second").draw({line_of("served", points, [](const Point& p) {
    return p.served_worth;
  })});
  Chart(out, r, "messages held").draw({line_of("held", points, [](const Point& p) { return p.held; })});
  Chart(out, r, "relays up").draw({line_of("up", points, [](const Point& p) { return p.relays_up; })});
  Chart(out, r, "calls on the platform's list a second")
      .draw({line_of("calls", points, [](const Point& p) { return p.list_calls; }),
             line_of("answered 503", points, [](const Point& p) { return p.list_refused; })});
  Chart(out, r, "new connections at endpoints a second")
      .draw({line_of("connections", points, [](const Point& p) { return p.connections; })});
  // Destinations, those with most calls first.
  std::vector<Index> order(r.plan.destinations.size());
  for (Index d = 0; d < order.size(); d++) order[d] = d;
  std::stable_sort(order.begin(), order.end(), [&](Index a, Index b) {
    return r.plan.destinations[a].per_s > r.plan.destinations[b].per_s;
  });
  for (std::size_t i = 0; i < std::min<std::size_t>(8, order.size()); i++) {
    std::vector<Line> lines{{"capacity", {}}, {"calls", {}}, {"refused", {}}};
    for (const auto& p : r.figures.destinations[order[i]]) {
      lines[0].values.push_back(p.capacity), lines[1].values.push_back(p.calls),
          lines[2].values.push_back(p.refused);
    }
    Chart(out, r, "calls a second at " + r.plan.destinations[order[i]].name).draw(lines);
  }
  out << "<h3>Faults</h3><ol>";
  for (const auto& s : r.plan.strikes)
    out << "<li>" << brief(static_cast<double>(s.at) / 1e6) << " s: " << escaped(s.words)
        << (s.lasts > 0 ? " for " + brief(static_cast<double>(s.lasts) / 1e6) + " s" : "") << "</li>";
  out << "</ol>";
  if (!r.verdict.findings.empty()) out << "<h3>Findings</h3>";
  std::size_t shown = 0;
  for (const auto& f : r.verdict.findings) {
    if (shown++ == 50) break;
    out << "<details><summary>" << word(f.rule) << " at " << brief(static_cast<double>(f.at) / 1e6)
        << " s: " << escaped(f.id) << " " << escaped(f.text) << "</summary><pre>";
    for (const auto& step : f.path) out << escaped(step) << "\n";
    out << "</pre></details>\n";
  }
  out << "</section>\n";
}

}  // namespace

void write_html(const std::vector<Report>& reports, std::ostream& out) {
  const std::string title = reports.empty() ? "heronvane lab" : reports[0].experiment_path;
  out << "<!doctype html><html lang='en'><meta charset='utf-8'><title>" << escaped(title)
      << "</title><style>body{font:15px/1.4 "
         "system-ui,sans-serif;margin:1.5rem;color:#222}main{display:flex;flex-wrap:wrap;"
         "gap:2rem}section{flex:1 1 620px;max-width:900px}svg{width:100%;display:block;margin:.4rem "
         "0;background:#fafafa}"
         "svg text{font:11px system-ui,sans-serif}svg .title{font-weight:600}"
         "polyline{fill:none;stroke-width:1.6}.grid{stroke:#ddd}.fault{fill:#e69f00;opacity:.28}pre{white-"
         "space:pre-wrap;"
         "background:#f4f4f4;padding:.6rem;font-size:12.5px}.good{color:#00704a}.bad{color:#b00020}</"
         "style><h1>"
      << escaped(title) << "</h1><main>\n";
  for (const auto& r : reports) one(out, r);
  out << "</main><details><summary>The experiment</summary><pre>"
      << (reports.empty() ? "" : escaped(reports[0].experiment_text)) << "</pre></details></html>\n";
}

}  // namespace heronvane::lab
