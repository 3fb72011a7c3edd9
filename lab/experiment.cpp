#include "experiment.hpp"

#include <toml++/toml.h>

#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <string_view>

namespace heronvane::lab {

namespace {

struct Kind {
  FaultKind kind;
  const char* word;
  const char* takes;  // fields beside at, every, times, jitter; a '!' behind those that it needs
};
constexpr Kind kKinds[] = {
    {FaultKind::kill, "kill", "back"},
    {FaultKind::restart, "restart", "back"},
    {FaultKind::overlap, "overlap", ""},
    {FaultKind::stop, "stop", "for!"},
    {FaultKind::slow, "slow", "for! share!"},
    {FaultKind::wipe, "wipe", "back"},
    {FaultKind::rollback, "rollback", "by! back!"},
    {FaultKind::configure, "configure", "field! value! back"},
    {FaultKind::fill, "fill", "for!"},
    {FaultKind::outage, "outage", "for! how"},
    {FaultKind::limit, "limit", "factor! for"},
    {FaultKind::drain, "drain", "back"},
    {FaultKind::replace, "replace", "back"},
    {FaultKind::burst, "burst", "for!"},
    {FaultKind::down, "platform_down", "for!"},
    {FaultKind::cut, "cut", "for! how"},
    {FaultKind::cut_one, "cut_one_way", "for! how"},
    {FaultKind::delay, "delay", "by! for!"},
    {FaultKind::loss, "loss", "share! for!"},
    {FaultKind::repeat, "repeat", "share! for!"},
    {FaultKind::rate, "rate", "bytes! for!"},
    {FaultKind::reset, "reset", ""},
    {FaultKind::half, "half_close", ""},
    {FaultKind::tear, "tear", "bytes! for!"},
};
bool between_two(FaultKind kind) {
  switch (kind) {
    case FaultKind::cut:
    case FaultKind::cut_one:
    case FaultKind::delay:
    case FaultKind::loss:
    case FaultKind::repeat:
    case FaultKind::rate:
    case FaultKind::reset:
    case FaultKind::half:
    case FaultKind::tear:
      return true;
    default:
      return false;
  }
}

constexpr int kMostCopying = 60;

class Source {
 public:
  explicit Source(std::string path) : path_(std::move(path)) {}
  [[noreturn]] void fail(const toml::node* at, const std::string& what) const {
    const int line = at == nullptr ? 1 : static_cast<int>(at->source().begin.line);
    throw ExperimentError(path_ + ":" + std::to_string(line) + ": " + what);
  }

 private:
  std::string path_;
};

std::optional<Microseconds> span_of(std::string_view text) {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || !(number >= 0)) return std::nullopt;
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  const double times = unit == "us" ? 1 : unit == "ms" ? 1e3 : unit == "s" ? 1e6 : unit == "min" ? 6e7 : 0;
  if (times == 0 || number * times > 1e12) return std::nullopt;
  return static_cast<Microseconds>(std::llround(number * times));
}

// One table: each field is read once, and one that nothing read is an error.
class Table {
 public:
  Table(const Source& source, const toml::table* table, std::string name)
      : source_(source), table_(table), name_(std::move(name)) {}

  const toml::node* find(const char* field) {
    known_.insert(field);
    return table_ == nullptr ? nullptr : table_->get(field);
  }
  bool has(const char* field) const { return table_ != nullptr && table_->contains(field); }
  int line() const { return table_ == nullptr ? 0 : static_cast<int>(table_->source().begin.line); }
  [[noreturn]] void fail(const toml::node* at, const std::string& what) const {
    source_.fail(at == nullptr ? table_ : at, what);
  }

  void number(const char* field, double& into, double least, double most) {
    const auto* const v = find(field);
    if (v == nullptr) return;
    const auto n = v->value<double>();
    if (!n || !v->is_number() || !(*n >= least && *n <= most))
      fail(v, named(field) + " must be a number from " + brief(least) + " to " + brief(most));
    into = *n;
  }
  template <class Whole>
  void whole(const char* field, Whole& into, Whole least, Whole most) {
    const auto* const v = find(field);
    if (v == nullptr) return;
    const auto n = v->value_exact<std::int64_t>();
    if (!n || *n < static_cast<std::int64_t>(least) || *n > static_cast<std::int64_t>(most))
      fail(v, named(field) + " must be a whole number from " + std::to_string(least) + " to " +
                  std::to_string(most));
    into = static_cast<Whole>(*n);
  }
  void flag(const char* field, bool& into) {
    const auto* const v = find(field);
    if (v == nullptr) return;
    const auto b = v->value_exact<bool>();
    if (!b) fail(v, named(field) + " must be true or false");
    into = *b;
  }
  void text(const char* field, std::string& into) {
    const auto* const v = find(field);
    if (v == nullptr) return;
    const auto s = v->value_exact<std::string>();
    if (!s) fail(v, named(field) + " must be text in quotes");
    into = *s;
  }
  void span(const char* field, Microseconds& into) {
    const auto* const v = find(field);
    if (v == nullptr) return;
    const auto s = v->value_exact<std::string>();
    const auto t = s ? span_of(*s) : std::nullopt;
    if (!t)
      fail(v, named(field) + " must be a time with its unit, such as \"300ms\" or \"2.5s\" (us, ms, s, min)");
    into = *t;
  }
  void range(const char* field, Range& into, double least, double most) {
    const auto* const v = find(field);
    if (v == nullptr) return;
    const auto* const list = v->as_array();
    const auto a = list != nullptr && list->size() == 2 ? (*list)[0].value<double>() : v->value<double>();
    const auto b = list != nullptr && list->size() == 2 ? (*list)[1].value<double>() : v->value<double>();
    if (!a || !b || *a < least || *b > most || *a > *b)
      fail(v,
           named(field) + " must be a number or [least, most] within " + brief(least) + " to " + brief(most));
    into = {*a, *b};
  }
  std::vector<std::string> words(const char* field) {
    std::vector<std::string> all;
    const auto* const v = find(field);
    if (v == nullptr) return all;
    if (const auto one = v->value_exact<std::string>()) return {*one};
    const auto* const list = v->as_array();
    if (list == nullptr || list->empty())
      fail(v, named(field) + " must be text in quotes, or a list of such");
    for (const auto& one : *list) {
      const auto s = one.value_exact<std::string>();
      if (!s) fail(&one, named(field) + " must hold text in quotes");
      all.push_back(*s);
    }
    return all;
  }
  Table table(const char* field) {
    const auto* const v = find(field);
    if (v != nullptr && !v->is_table())
      fail(v, named(field) + " must be a table: [" + std::string(field) + "]");
    return {source_, v == nullptr ? nullptr : v->as_table(), field};
  }
  std::vector<Table> tables(const char* field) {
    std::vector<Table> all;
    const auto* const v = find(field);
    if (v == nullptr) return all;
    const auto* const list = v->as_array();
    if (list == nullptr || !list->is_array_of_tables())
      fail(v, named(field) + " must be a list of tables: [[" + std::string(field) + "]]");
    for (const auto& one : *list) all.emplace_back(source_, one.as_table(), field);
    return all;
  }
  // Once all fields were read.
  void nothing_else() const {
    if (table_ == nullptr) return;
    for (const auto& [key, value] : *table_) {
      if (known_.count(std::string(key.str())) > 0) continue;
      std::string all;
      for (const auto& k : known_) all += (all.empty() ? "" : ", ") + k;
      source_.fail(&value, "'" + std::string(key.str()) + "' is not known in " +
                               (name_.empty() ? "the file" : name_) + "; it takes " + all);
    }
  }

 private:
  std::string named(const char* field) const { return (name_.empty() ? "" : name_ + ".") + field; }
  static std::string brief(double n) {
    char out[32];
    std::snprintf(out, sizeof out, "%g", n);
    return out;
  }
  const Source& source_;
  const toml::table* table_;
  std::string name_;
  std::set<std::string> known_;
};

MessageClass read_class(Table t) {
  MessageClass c;
  t.text("name", c.name);
  if (c.name.empty()) t.fail(nullptr, "class needs a name");
  t.number("share", c.share, 0, 1e6);
  t.number("worth", c.worth, 0, 1e6);
  t.number("late_worth", c.late_worth, 0, 1);
  t.span("aim", c.aim);
  t.span("deadline", c.deadline);
  std::string effect = "safe";
  t.text("effect", effect);
  if (effect != "safe" && effect != "keyed" && effect != "unsafe")
    t.fail(t.find("effect"), "class.effect must be safe, keyed or unsafe");
  c.effect = effect == "safe" ? Effect::safe : effect == "keyed" ? Effect::keyed : Effect::unsafe;
  t.nothing_else();
  return c;
}

// "kill = ..." names the kind; its value are the parties, or the factor of a burst.
Fault read_fault(Table t) {
  const Kind* kind = nullptr;
  for (const auto& k : kKinds) {
    if (!t.has(k.word)) continue;
    if (kind != nullptr)
      t.fail(nullptr, std::string("a fault has one kind, this one has ") + kind->word + " and " + k.word);
    kind = &k;
  }
  if (kind == nullptr) {
    std::string all;
    for (const auto& k : kKinds) all += (all.empty() ? "" : ", ") + std::string(k.word);
    t.fail(nullptr, "a fault needs its kind, one of: " + all);
  }
  Fault f;
  f.kind = kind->kind;
  f.line = t.line();
  if (!t.has("at")) t.fail(nullptr, "a fault needs `at`, such as at = \"5s\"");
  t.span("at", f.at);
  t.span("every", f.every);
  t.whole("times", f.times, 1, 10'000);
  t.span("jitter", f.jitter);
  if (f.times > 1 && f.every <= 0) t.fail(nullptr, "a fault that comes several times needs `every`");
  if (f.kind == FaultKind::burst) {
    t.number("burst", f.amount, 0, 100);
  } else if (f.kind == FaultKind::down) {
    bool on = true;
    t.flag("platform_down", on);
    f.parties = {"platform"};
  } else if (between_two(f.kind)) {
    const auto two = t.words(kind->word);
    if (two.size() != 2)
      t.fail(t.find(kind->word), std::string(kind->word) + " is between two: " + kind->word +
                                     " = [\"zone:a\", \"platform\"]; each may be several, as \"n1 n2 e3\"");
    f.parties = {two[0]}, f.others = {two[1]};
  } else {
    f.parties = t.words(kind->word);
  }
  const std::string_view takes = kind->takes;
  const auto takes_it = [&](const char* field) {
    const auto at = takes.find(field);
    if (at == std::string_view::npos) return false;
    const auto end = at + std::strlen(field);
    if (end < takes.size() && takes[end] == '!' && !t.has(field))
      t.fail(nullptr, std::string(kind->word) + " needs `" + field + "`");
    return true;
  };
  if (takes_it("for")) t.span("for", f.lasts);
  if (takes_it("back")) t.span("back", f.back);
  if (takes_it("how")) t.text("how", f.how);
  if (takes_it("field")) t.text("field", f.how);
  if (takes_it("value")) t.number("value", f.amount, 0, 1e9);
  if (takes_it("share")) t.number("share", f.amount, 0, 1);
  if (takes_it("factor")) t.number("factor", f.amount, 0, 100);
  if (takes_it("bytes")) t.number("bytes", f.amount, 0, 1e9);
  if (takes_it("by")) {
    Microseconds by = 0;
    t.span("by", by);
    f.amount = static_cast<double>(by);
  }
  const auto one_of = [&](std::set<std::string> words) {
    if (f.how.empty()) f.how = f.kind == FaultKind::outage ? "down" : "silent";
    if (words.count(f.how) > 0) return;
    std::string all;
    for (const auto& w : words) all += (all.empty() ? "" : ", ") + w;
    const char* const field = f.kind == FaultKind::configure ? "field" : "how";
    t.fail(t.find(field), std::string(kind->word) + "." + field + " must be one of: " + all);
  };
  if (f.kind == FaultKind::configure) one_of({"disk_mb", "memory_mb", "open_cap", "sockets", "workers"});
  if (f.kind == FaultKind::outage) one_of({"down", "silent", "shut", "failing"});
  if (f.kind == FaultKind::cut || f.kind == FaultKind::cut_one) one_of({"silent", "reset"});
  t.nothing_else();
  return f;
}

}  // namespace

const char* word(FaultKind kind) {
  for (const auto& k : kKinds)
    if (k.kind == kind) return k.word;
  return "";
}

Experiment read_experiment(const std::string& text, const std::string& path) {
  const Source source(path);
  toml::table parsed;
  try {
    parsed = toml::parse(text, path);
  } catch (const toml::parse_error& e) {
    throw ExperimentError(path + ":" + std::to_string(e.source().begin.line) +
                          ": is no TOML: " + std::string(e.description()));
  }
  Experiment x;
  x.path = path, x.text = text;
  Table top(source, &parsed, "");
  top.text("title", x.title);
  top.span("warm", x.warm);
  top.span("length", x.length);
  top.span("settle", x.settle);
  if (x.title.empty()) top.fail(nullptr, "needs a title: title = \"...\"");
  if (x.length <= x.warm) top.fail(top.find("length"), "length must be above warm");

  Table fleet = top.table("fleet");
  fleet.whole("relays", x.fleet.relays, 1, 1000);
  if (const auto zones = fleet.words("zones"); !zones.empty()) x.fleet.zones = zones;
  fleet.whole("memory_mb", x.fleet.memory_mb, 16, 100'000);
  fleet.whole("sockets", x.fleet.sockets, 64, 1'000'000);
  fleet.whole("workers", x.fleet.workers, 1, 100'000);
  fleet.whole("open_cap", x.fleet.open_cap, 1, 10'000'000);
  fleet.number("disk_mb", x.fleet.disk_mb, 0.1, 1e6);
  fleet.span("tick", x.fleet.tick);
  fleet.span("start_at_most", x.fleet.start_at_most);
  fleet.flag("notes", x.fleet.notes);
  fleet.text("settings", x.fleet.settings);
  fleet.whole("copies", x.fleet.copies, 0, 4);
  fleet.text("acks", x.fleet.acks);
  if (x.fleet.acks != "majority" && x.fleet.acks != "all")
    fleet.fail(fleet.find("acks"), "fleet.acks must be \"majority\" or \"all\"");
  if (x.fleet.copies >= 0 && x.fleet.relays > kMostCopying)
    fleet.fail(fleet.find("copies"), "fleet.copies: at most " + std::to_string(kMostCopying) +
                                         " relays may keep copies, for each is linked with each");
  fleet.span("takeover_after", x.fleet.takeover_after);
  fleet.span("replace_after", x.fleet.replace_after);
  fleet.nothing_else();

  Table traffic = top.table("traffic");
  traffic.number("per_s", x.traffic.per_s, 0.1, 1e6);
  traffic.number("uneven", x.traffic.uneven, 0, 3);
  traffic.whole("body", x.traffic.body, std::size_t{0}, std::size_t{65'536});
  for (auto& c : traffic.tables("class")) x.traffic.classes.push_back(read_class(c));
  traffic.nothing_else();
  if (x.traffic.classes.empty())
    x.traffic.classes = {{"load-status", 0.59, 1, 0, 1'000'000, 6'000'000, Effect::safe},
                         {"pay-and-order", 0.41, 3, 0.3, 2'000'000, 24'000'000, Effect::unsafe}};

  Table d = top.table("destinations");
  auto& to = x.destinations;
  d.whole("count", to.count, 1, 10'000);
  d.range("endpoints", to.endpoints, 1, 100);
  d.span("latency", to.latency);
  d.number("spread", to.spread, 0, 3);
  d.range("headroom", to.headroom, 0.01, 1000);
  d.number("least_per_s", to.least_per_s, 0.1, 1e6);
  d.number("routes_apart", to.routes_apart, 0, 1);
  d.number("told_waits", to.told_waits, 0, 1);
  d.span("wait", to.wait);
  d.number("shares", to.shares, 0, 3);
  d.whole("connections", to.connections, 1, 1'000'000);
  d.whole("bundle_max", to.bundle_max, 1, 1000);
  d.number("cold_from", to.cold_from, 0.001, 1);
  d.span("cold", to.cold);
  d.number("fall_multiple", to.fall_multiple, 1, 1000);
  d.span("overload_for", to.overload_for);
  d.span("down_for", to.down_for);
  d.number("refused_price", to.refused_price, 0, 1);
  d.nothing_else();

  Table platform = top.table("platform");
  platform.number("calls_per_s", x.platform.calls_per_s, 0.1, 1e6);
  platform.span("longest_wait", x.platform.longest_wait);
  platform.span("late", x.platform.late);
  platform.nothing_else();

  for (auto& f : top.tables("fault")) {
    x.faults.push_back(read_fault(f));
    if (x.faults.back().at >= x.length)
      f.fail(nullptr, "comes when clients have ended: `at` must be below `length`");
  }

  Table expect = top.table("expect");
  expect.flag("rules", x.expect.judged);
  expect.number("lost", x.expect.lost_most, 0, 1e9);
  expect.number("served", x.expect.served_least, 0, 1);
  expect.span("full_service", x.expect.full_service_most);
  expect.number("pushed_over", x.expect.pushed_over_most, 0, 1e9);
  expect.nothing_else();
  top.nothing_else();
  return x;
}

Experiment load_experiment(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ExperimentError(path + ": can't be read: " + std::strerror(errno));
  return read_experiment({std::istreambuf_iterator<char>(in), {}}, path);
}

}  // namespace heronvane::lab
