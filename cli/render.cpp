#include "render.hpp"

#include <algorithm>
#include <map>

namespace heronvane::cli {

namespace {

Tone phase_tone(const std::string& phase) {
  if (phase == "ready") return Tone::good;
  if (phase == "backoff" || phase == "looping" || phase == "stalled") return Tone::bad;
  if (phase == "unready" || phase == "starting" || phase == "draining" || phase == "stopping")
    return Tone::warn;
  return Tone::dim;
}

Tone state_tone(const std::string& state) {
  if (state == "done") return Tone::good;
  if (state == "failed") return Tone::bad;
  if (state == "running" || state == "acting") return Tone::warn;
  return state == "cancelled" || state == "superseded" ? Tone::warn : Tone::dim;
}

std::string since(std::int64_t at_ms, std::int64_t now_ms) {
  return at_ms > 0 ? duration(now_ms - at_ms) : "-";
}

std::string time_until(std::int64_t at_ms, std::int64_t now_ms) {
  const auto ms = at_ms - now_ms;
  return ms <= 0 ? "now" : "in " + duration(ms);
}

template <class T>
bool has_labels(const std::vector<AgentResult<T>>& all) {
  return std::any_of(all.begin(), all.end(), [](const auto& a) { return !a.label.empty(); });
}

std::size_t ended_steps(const Operation& o) {
  return static_cast<std::size_t>(std::count_if(o.steps.begin(), o.steps.end(), [](const Step& s) {
    return s.state != "waiting" && s.state != "acting";
  }));
}

std::size_t done_steps(const Operation& o) {
  return static_cast<std::size_t>(
      std::count_if(o.steps.begin(), o.steps.end(), [](const Step& s) { return s.state == "done"; }));
}

// Such as "operation 7 (restart by ana@web1 pid 71)".
std::string operation_title(const Operation& o) {
  return "operation " + std::to_string(o.id) + " (" + o.kind + (o.by.empty() ? "" : " by " + o.by) + ")";
}

struct Attention {
  std::string problem, hint;
};

// The difference between an instance and its desired state, and the command that helps; empty if there is
// none.
std::optional<Attention> attention(const Instance& i, const std::string& command, std::int64_t now_ms) {
  const auto logs = command + " logs " + i.name;
  const auto exit = i.last_exit.empty() ? "" : "; last ended with " + i.last_exit;
  const auto phase_duration = i.since_ms > 0 ? " for " + duration(now_ms - i.since_ms) : "";
  if (i.phase == "backoff")
    return Attention{"crashed, starts again " + time_until(i.next_start_ms, now_ms) + exit, logs};
  if (i.phase == "looping")
    return Attention{"crashes over and over (" + count(i.restarts, "restart", "restarts") +
                         "), still tried, " + time_until(i.next_start_ms, now_ms) + exit,
                     logs};
  if (i.phase == "stalled")
    return Attention{"its process stands but has not answered" + phase_duration,
                     command + " restart " + i.name};
  if (i.phase == "unready")
    return Attention{"answers, but is not ready" + phase_duration, command + " show " + i.name};
  const bool settled = i.operation == 0;
  if (settled && i.desired == "running" &&
      (i.phase == "absent" || i.phase == "stopped" || i.phase == "drained"))
    return Attention{"is " + i.phase + " though it should run" + exit,
                     command + (i.phase == "drained" ? " undrain " : " up ") + i.name};
  if (settled && i.generation != i.wanted_generation && i.generation > 0 && i.phase == "ready")
    return Attention{"runs the configuration of generation " + std::to_string(i.generation) + ", wanted is " +
                         std::to_string(i.wanted_generation),
                     command + " restart " + i.name + "; or take the change back: " + command + " rollback"};
  if (i.status && !i.status->trouble.empty())
    return Attention{i.status->trouble, command + " show " + i.name};
  if (i.phase == "ready" && i.copies && !i.copies->whole())
    return Attention{"UNDER-COPIED: " + std::to_string(i.copies->have) + " of " +
                         std::to_string(i.copies->wanted) + " holders have all that it holds, the last " +
                         count(i.copies->lag, "entry", "entries") + " behind",
                     command + " show " + i.name};
  if (i.phase == "draining" && i.held > 0 && i.oldest_ms > 60'000)
    return Attention{"drains, and still holds " + count(i.held, "message", "messages") + ", the oldest for " +
                         duration(i.oldest_ms),
                     command + " show " + i.name};
  return {};
}

std::string status_of(const AgentResult<StatusView>& result, const Style& style, std::int64_t now_ms) {
  const auto& v = result.value;
  const auto& a = v.agent;
  std::string out;
  const auto line = [&](const std::string& text, Tone tone = Tone::plain) {
    std::string l = wrapped(safe(text), 0, style.width);
    l.pop_back();
    out += toned(l, tone, style) + "\n";
  };
  auto title = "Agent " + (a.name.empty() ? "without a name" : a.name);
  if (!result.label.empty() && result.label != a.name) title += " (" + result.label + ")";
  title += ", up " + since(a.started_ms, now_ms) + ", generation " + std::to_string(a.generation);
  line(title, Tone::bold);

  // The order in which phases are printed; unknown phases follow.
  static constexpr const char* kPhases[] = {"ready",   "starting", "unready", "draining",
                                            "drained", "stopping", "stopped", "backoff",
                                            "looping", "stalled",  "absent"};
  std::map<std::string, std::int64_t> phases;
  std::int64_t held = 0, oldest = 0;
  const Instance* oldest_in = nullptr;
  for (const auto& i : v.instances) {
    phases[i.phase]++;
    held += i.held;
    if (i.held > 0 && i.oldest_ms > oldest) oldest = i.oldest_ms, oldest_in = &i;
  }
  std::string by_phase;
  const auto add = [&](const std::string& phase, std::int64_t n) {
    by_phase += (by_phase.empty() ? ": " : ", ") + std::to_string(n) + " " + phase;
  };
  for (const char* p : kPhases)
    if (const auto m = phases.find(p); m != phases.end()) {
      add(p, m->second);
      phases.erase(m);
    }
  for (const auto& [phase, n] : phases) add(phase, n);
  line(v.instances.empty()
           ? "No instances yet: " + result.command + " apply FILE"
           : count(static_cast<std::int64_t>(v.instances.size()), "instance", "instances") + by_phase);
  if (!v.instances.empty())
    line(held == 0 ? "No messages held"
                   : count(held, "message", "messages") + " held" +
                         (oldest_in == nullptr
                              ? ""
                              : ", the oldest for " + duration(oldest) + " in " + oldest_in->name));
  std::int64_t copying = 0, whole = 0;
  for (const auto& i : v.instances)
    if (i.copies) copying++, whole += i.copies->whole();
  if (copying > 0)
    line("Copies: " + std::to_string(whole) + " of " + count(copying, "log", "logs") + " whole");
  if (a.platform)
    line("Platform at " + a.platform->listen + ": " + count(a.platform->endpoints, "endpoint", "endpoints") +
         ", " + count(a.platform->watchers, "watcher", "watchers") + ", " +
         count(a.platform->finals, "notice", "notices"));
  if (v.operation) {
    const auto& o = *v.operation;
    line("Running: " + operation_title(o) + ", " + std::to_string(ended_steps(o)) + " of " +
             count(static_cast<std::int64_t>(o.steps.size()), "step", "steps") + ", for " +
             since(o.created_ms, now_ms),
         Tone::warn);
  }

  bool any = false;
  if (a.platform && !a.platform->trouble.empty()) {
    out += "\n" + toned("Needs attention", Tone::bold, style) + "\n  " +
           toned("the platform", Tone::bold, style) + "\n" +
           wrapped(safe(a.platform->trouble), 4, style.width) +
           wrapped("next: mend that; it is tried again by itself", 4, style.width);
    any = true;
  }
  for (const auto& i : v.instances) {
    const auto what = attention(i, result.command, now_ms);
    if (!what) continue;
    if (!any) out += "\n" + toned("Needs attention", Tone::bold, style) + "\n";
    any = true;
    out += "  " + toned(safe(i.name), Tone::bold, style) + "  " +
           toned(safe(i.phase), phase_tone(i.phase), style) + "\n" +
           wrapped(safe(what->problem), 4, style.width) +
           wrapped("next: " + safe(what->hint), 4, style.width);
  }
  if (v.status_not_read > 0)
    line("\n" + count(static_cast<std::int64_t>(v.status_not_read), "instance was", "instances were") +
         " not looked into, for lack of time.");
  else if (!any && !v.instances.empty())
    out += toned("Nothing needs attention.", Tone::good, style) + "\n";
  return out;
}

}  // namespace

std::string render_list(const std::vector<AgentResult<Listing>>& all, const Style& style,
                        std::int64_t now_ms) {
  const bool many = has_labels(all);
  std::vector<Table::Column> titles;
  if (many) titles.push_back({"AGENT"});
  titles.insert(titles.end(), {{"NAME"},
                               {"PHASE"},
                               {"WANTED", 4},
                               {"FOR", 3, true},
                               {"HELD", 0, true},
                               {"OLDEST", 1, true},
                               {"RESTARTS", 5, true},
                               {"OPERATION", 6, true},
                               {"LISTEN", 2}});
  Table table(titles);
  for (const auto& result : all)
    for (const auto& i : result.value.instances) {
      std::vector<Table::Cell> row;
      if (many) row.emplace_back(result.label);
      const bool runs = i.pid > 0;
      row.insert(row.end(), {{i.name},
                             {i.phase, phase_tone(i.phase)},
                             {i.desired},
                             {since(i.since_ms, now_ms)},
                             {runs || i.held > 0 ? std::to_string(i.held) : "-"},
                             {i.held > 0 ? duration(i.oldest_ms) : "-"},
                             {std::to_string(i.restarts)},
                             {i.operation > 0 ? std::to_string(i.operation) : "-"},
                             {i.listen}});
      table.row(std::move(row));
    }
  if (!table.empty()) return table.text(style);
  return all.empty() ? "" : "No instances yet: " + all.front().command + " apply FILE\n";
}

std::string render_status(const std::vector<AgentResult<StatusView>>& all, const Style& style,
                          std::int64_t now_ms) {
  std::string out;
  for (const auto& result : all) {
    if (!out.empty()) out += "\n";
    out += status_of(result, style, now_ms);
  }
  return out;
}

std::string render_history(const std::vector<AgentResult<std::vector<Operation>>>& all, const Style& style,
                           std::int64_t now_ms) {
  const bool many = has_labels(all);
  std::vector<Table::Column> titles;
  if (many) titles.push_back({"AGENT"});
  titles.insert(titles.end(), {{"ID", 0, true},
                               {"KIND"},
                               {"STATE"},
                               {"STEPS", 2, true},
                               {"AGO", 0, true},
                               {"TOOK", 3, true},
                               {"GEN", 4, true},
                               {"BY", 1}});
  Table table(titles);
  std::vector<std::pair<std::string, const Operation*>> rows;
  for (const auto& result : all)
    for (const auto& o : result.value) rows.emplace_back(result.label, &o);
  std::stable_sort(rows.begin(), rows.end(),
                   [](const auto& a, const auto& b) { return a.second->created_ms > b.second->created_ms; });
  for (const auto& [label, o] : rows) {
    std::vector<Table::Cell> row;
    if (many) row.emplace_back(label);
    const auto end = o->ended_ms > 0 ? o->ended_ms : now_ms;
    row.insert(row.end(), {{std::to_string(o->id)},
                           {o->kind},
                           {o->state, state_tone(o->state)},
                           {std::to_string(done_steps(*o)) + "/" + std::to_string(o->steps.size())},
                           {since(o->created_ms, now_ms)},
                           {duration(end - o->created_ms)},
                           {std::to_string(o->generation)},
                           {o->by}});
    table.row(std::move(row));
  }
  return table.empty() ? "No operations yet.\n" : table.text(style);
}

std::string render_operation(const AgentResult<Operation>& result, const Style& style, std::int64_t now_ms) {
  const auto& o = result.value;
  auto head = "operation " + std::to_string(o.id) + ", " + o.kind + ": " + o.state;
  if (!result.label.empty()) head = result.label + ": " + head;
  if (o.state == "superseded" && o.superseded_by > 0)
    head += " by operation " + std::to_string(o.superseded_by);
  if (!o.steps.empty())
    head += ", " + std::to_string(done_steps(o)) + " of " +
            count(static_cast<std::int64_t>(o.steps.size()), "step", "steps") + " done";
  if (o.created_ms > 0)
    head +=
        o.running() ? ", for " + since(o.created_ms, now_ms) : " in " + duration(o.ended_ms - o.created_ms);
  std::string out = wrapped(safe(head), 0, style.width);
  if (!o.by.empty()) out += "by " + safe(o.by) + ", " + moment(o.created_ms) + "\n";
  if (!o.message.empty()) out += wrapped(safe(o.message), 0, style.width);
  if (!o.steps.empty()) {
    std::vector<Table::Column> titles{{"INSTANCE"}, {"STATE"}, {"WHAT"}};
    if (o.running()) titles.insert(titles.begin() + 2, {"FOR", 1, true});
    Table table(titles);
    for (const auto& s : o.steps) {
      std::vector<Table::Cell> row{{s.instance}, {s.state, state_tone(s.state)}, {s.what}};
      if (o.running()) row.insert(row.begin() + 2, {s.state == "acting" ? since(s.since_ms, now_ms) : "-"});
      table.row(std::move(row));
    }
    out += "\n" + table.text(style);
  }
  if (o.state == "failed") out += "next: " + result.command + " status    (what is wrong now)\n";
  if (o.state == "failed" && o.kind == "apply")
    out += "      " + result.command + " rollback    (takes it back)\n";
  return out;
}

// The diff of a first apply lists every value, which the reader has in the fleet file; so more than
// kMaxShownValues values of one part are summarized in one line. Later diffs are returned unchanged.
static std::vector<std::string> summarized_diff(const std::vector<std::string>& diff) {
  constexpr std::size_t kMaxShownValues = 3;
  const auto starts = [](const std::string& s, std::string_view with) { return s.rfind(with, 0) == 0; };
  if (std::none_of(diff.begin(), diff.end(), [&](const auto& l) { return starts(l, "~ program none -> "); }))
    return diff;
  const auto part = [&](const std::string& line) {
    const auto end = line.find(" none -> ");
    if (end == std::string::npos || !starts(line, "~ ")) return std::string();
    const std::string key = line.substr(0, end);
    return key.substr(0, std::min(key.find(key.find('[') < key.size() ? '[' : '.'), key.size()));
  };
  std::map<std::string, std::size_t> counts;
  for (const auto& line : diff) counts[part(line)]++;
  std::vector<std::string> out;
  for (const auto& line : diff) {
    const auto p = part(line);
    auto& n = counts[p];
    if (p.empty() || (n > 0 && n <= kMaxShownValues))
      out.push_back(line);
    else if (n > 0)
      out.push_back(p + ": " + std::to_string(n) + " values, as in the file"), n = 0;
  }
  return out;
}

std::string render_diff(const AgentResult<Operation>& result, const Style& style) {
  const auto& o = result.value;
  std::string out;
  if (!result.label.empty()) out += toned(safe(result.label) + ":", Tone::bold, style) + "\n";
  if (o.diff.empty() && o.steps.empty()) return out + "No changes.\n";
  for (const auto& line : summarized_diff(o.diff)) {
    const Tone tone = line.empty()     ? Tone::plain
                      : line[0] == '+' ? Tone::good
                      : line[0] == '-' ? Tone::bad
                                       : Tone::plain;
    out += toned(safe(line), tone, style) + "\n";
  }
  if (!o.steps.empty()) {
    std::string names;
    for (const auto& s : o.steps) {
      names += (names.empty() ? "" : ", ") + s.instance;
      if (!s.what.empty()) names += " (" + s.what + ")";
    }
    out += wrapped("Steps: " + safe(names), 0, style.width);
  }
  return out;
}

std::string render_versions(const std::vector<AgentResult<AgentInfo>>& all, const std::string& own,
                            const Style& style) {
  std::string out = "heronvanectl " + own + "\n";
  for (const auto& result : all) {
    const auto& a = result.value;
    const auto where = result.label.empty() ? a.name : result.label;
    out += wrapped(safe("heronvane-agent " + a.version + " (API " + std::to_string(a.api) + ") on " + where),
                   0, style.width);
  }
  return out;
}

std::string progress_line(const AgentResult<Operation>& result, const Style& style, std::int64_t now_ms) {
  const auto& o = result.value;
  const auto ended = ended_steps(o);
  std::string head =
      (result.label.empty() ? "" : safe(result.label) + " ") + safe(o.kind) + " " + std::to_string(o.id);
  const auto tail = std::to_string(ended) + "/" + std::to_string(o.steps.size());
  const auto took = duration((o.ended_ms > 0 ? o.ended_ms : now_ms) - o.created_ms);
  constexpr std::size_t kBarWidth = 20;
  const auto full = o.steps.empty() ? (o.running() ? 0 : kBarWidth) : ended * kBarWidth / o.steps.size();
  std::string what;
  if (o.running()) {
    for (const auto& s : o.steps)
      if (s.state == "acting")
        what += (what.empty() ? "" : ", ") + s.instance + (s.what.empty() ? "" : " ") + s.what;
  } else {
    what = o.state;
  }
  what = safe(what);
  auto line =
      head + " [" + std::string(full, '#') + std::string(kBarWidth - full, '.') + "] " + tail + " " + took;
  // A line that wraps can't be redrawn in place, so the line is cut to the width, the step texts first.
  const auto max_columns = style.width > 0 ? style.width - 1 : line.size() + what.size() + 2;
  if (columns(line) + 2 + columns(what) <= max_columns) return what.empty() ? line : line + "  " + what;
  if (columns(line) + 6 <= max_columns && columns(what) == what.size())
    return line + "  " + what.substr(0, max_columns - columns(line) - 5) + "...";
  return columns(line) <= max_columns ? line : line.substr(0, max_columns);
}

std::string step_lines(const Operation& before, const AgentResult<Operation>& after) {
  std::string out;
  const auto& o = after.value;
  for (const auto& s : o.steps) {
    if (s.state == "waiting" || s.state == "acting") continue;
    const bool already_ended = std::any_of(before.steps.begin(), before.steps.end(), [&](const Step& b) {
      return b.instance == s.instance && b.state == s.state;
    });
    if (already_ended) continue;
    out += (after.label.empty() ? "" : safe(after.label) + ": ") + safe(o.kind) + " " + std::to_string(o.id) +
           ": " + safe(s.instance) + " " + safe(s.state) + (s.what.empty() ? "" : ": " + safe(s.what)) + "\n";
  }
  return out;
}

}  // namespace heronvane::cli
