// Commands that start operations: what the agent has is read first, and the change names the generation seen.
#include <pwd.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "fleet_file.hpp"
#include "run.hpp"

namespace heronvane::cli {

namespace {

std::string whoever() {
  const auto* user = ::getpwuid(::geteuid());
  char host[256] = "";
  if (::gethostname(host, sizeof host - 1) != 0) host[0] = '\0';
  return std::string(user != nullptr ? user->pw_name : std::to_string(::geteuid())) + "@" +
         (*host != '\0' ? host : "unknown") + " pid " + std::to_string(::getpid());
}

std::string content(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(std::strerror(errno));
  errno = 0;
  std::ostringstream all;
  all << in.rdbuf();
  if (errno != 0) throw std::runtime_error(std::strerror(errno));  // a folder can be opened, but not read
  return all.str();
}

}  // namespace

std::string Run::body(const Draft& d, std::int64_t generation) const {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  const auto text = [&](const std::string& s) {
    w.String(s.data(), static_cast<rapidjson::SizeType>(s.size()));
  };
  w.StartObject();
  w.Key("kind"), text(d.kind);
  if (d.kind != "apply" && d.kind != "rollback") {
    w.Key("names");
    if (d.names.empty()) {
      text("all");
    } else {
      w.StartArray();
      for (const auto& n : d.names) text(n);
      w.EndArray();
    }
  }
  w.Key("generation"), w.Int64(generation);
  w.Key("by"), text(whoever());
  if (d.options.max_unavailable) w.Key("max_unavailable"), w.Uint(*d.options.max_unavailable);
  w.Key("supersede"), w.Bool(d.options.supersede);
  if (d.dry_run) w.Key("dry_run"), w.Bool(true);
  if (!d.fleet.empty()) w.Key("fleet"), w.RawValue(d.fleet.data(), d.fleet.size(), rapidjson::kObjectType);
  if (d.to) w.Key("to"), w.Uint64(*d.to);
  w.EndObject();
  return b.GetString();
}

void Run::explain_stale(Port& port, Failure& f, std::int64_t generation) {
  f.what += "; seen was generation " + std::to_string(generation);
  f.next = "look at what changed (" + port.command + " status), then run this again";
  try {
    const auto all = port.as(port.get("/v1/operations?limit=20"), read_operations);
    std::string since;
    for (const auto& o : all) {
      if (o.generation <= generation) continue;
      since += "\n  since then: operation " + std::to_string(o.id) + ", " + o.kind + " by " + o.by + ", " +
               o.state + ", " + moment(o.created_ms);
      std::string names;
      for (const auto& s : o.steps) names += (names.empty() ? "" : ", ") + s.instance;
      if (!names.empty()) since += "\n    of " + names;
      for (std::size_t i = 0; i < std::min<std::size_t>(o.diff.size(), 10); i++)
        since += "\n    " + o.diff[i];
    }
    f.what += since;
  } catch (const Failure&) {  // what is known already has to do
  }
}

Run::Both<Operation> Run::post(Port& port, const Draft& draft, std::int64_t generation) {
  try {
    const auto json = port.change("POST", "/v1/operations", body(draft, generation));
    return {port.as(json, read_operation), json};
  } catch (Failure& f) {
    if (f.exit == kConflict && f.json.find("\"stale\"") != std::string::npos)
      explain_stale(port, f, generation);
    throw;
  }
}

int Run::operator()(const Change& c) {
  struct Seen {
    std::int64_t generation = 0;
    std::vector<std::string> names;
  };
  const auto seen = session_.ask<Seen>([&](Port& p) {
    Seen s;
    const auto json = p.get("/v1/instances");
    for (const auto& i : p.as(json, [&](const std::string& j) { return read_instances(j, s.generation); }))
      s.names.push_back(i.name);
    return s;
  });
  const auto has = [](const Seen& s, const std::string& name) {
    return std::find(s.names.begin(), s.names.end(), name) != s.names.end();
  };
  const auto& ports = session_.ports();
  // A name that no agent has may be a slip; then nothing is begun anywhere.
  if (session_.many()) {
    for (const auto& name : c.names) {
      bool found = false;
      for (const auto& s : seen)
        found = found || (std::holds_alternative<Seen>(s) && has(std::get<Seen>(s), name));
      if (found) continue;
      std::vector<const Failure*> failed;
      for (const auto& s : seen) failed.push_back(std::get_if<Failure>(&s));
      const int exit = failures(failed);
      tell({kRefused, "no agent that answers has an instance " + name + "; nothing was changed",
            "see which there are: heronvanectl list, with the same --agent", "", false});
      return exit == kDone ? kRefused : kPartial;
    }
  }
  const auto started =
      session_.ask<std::optional<Both<Operation>>>([&](Port& p) -> std::optional<Both<Operation>> {
        const auto at = static_cast<std::size_t>(
            std::find_if(ports.begin(), ports.end(), [&](const auto& q) { return q.get() == &p; }) -
            ports.begin());
        if (const auto* f = std::get_if<Failure>(&seen[at])) throw *f;
        const auto& s = std::get<Seen>(seen[at]);
        Draft d;
        d.kind = c.kind;
        d.options = c.options;
        for (const auto& name : c.names)
          if (!session_.many() || has(s, name)) d.names.push_back(name);
        if (d.names.empty() && !c.names.empty()) return {};
        return post(p, d, s.generation);
      });
  Results<Operation> results;
  for (std::size_t i = 0; i < started.size(); i++) {
    if (const auto* f = std::get_if<Failure>(&started[i]))
      results.emplace_back(*f);
    else if (const auto& o = std::get<std::optional<Both<Operation>>>(started[i]))
      results.emplace_back(*o);
    else  // has none of the names
      results.emplace_back(Failure{kDone, "has none of these instances", "", "", true});
  }
  return carry_out(std::move(results), c.options.wait);
}

std::uint64_t Run::before_the_last(Port& port) {
  for (const auto& o : port.as(port.get("/v1/operations?limit=50"), read_operations))
    if ((o.kind == "apply" || o.kind == "rollback") && o.generation > 1)
      return static_cast<std::uint64_t>(o.generation) - 1;
  throw Failure{
      kRefused,
      "agent " + port.address() + ": none of its last 50 operations changed the fleet from another one",
      "name the generation to go back to: " + port.command + " rollback GENERATION", "", false};
}

bool Run::agreed(const std::string& question) {
  put(2, question);
  std::string answer;
  for (char ch = 0; ::read(0, &ch, 1) == 1 && ch != '\n';) answer += ch;
  if (answer == "y" || answer == "Y" || answer == "yes") return true;
  put(2, "Nothing was changed.\n");
  return false;
}

int Run::operator()(const TakeOver& c) {
  if (!c.yes && is_terminal(0) &&
      !agreed("What " + c.relay +
              " holds becomes another relay's; if it still runs, it is fenced and drops it. "
              "Go on? [y/N] "))
    return kRefused;
  const auto results = session_.ask<Both<std::string>>([&](Port& p) {
    p.get("/v1/agent");  // its version
    auto json = p.change("POST", "/v1/takeover/" + c.relay, "{}");
    return Both<std::string>{p.as(json, read_taker), json};
  });
  return finish(results, [&](const auto& all) {
    const auto& by = all.front().value;
    return by + " takes over what " + c.relay + " owes; see how it goes: " + all.front().command + " show " +
           by + "\n";
  });
}

int Run::planned(Draft draft, bool yes, const char* question) {
  const bool dry = draft.dry_run;
  std::vector<std::int64_t> generations(session_.ports().size(), 0);
  std::vector<Draft> drafts;
  draft.dry_run = true;
  drafts.assign(session_.ports().size(), draft);
  const auto index = [&](const Port& p) {
    const auto& ports = session_.ports();
    return static_cast<std::size_t>(
        std::find_if(ports.begin(), ports.end(), [&](const auto& q) { return q.get() == &p; }) -
        ports.begin());
  };
  auto plans = session_.ask<Both<Operation>>([&](Port& p) {
    auto& g = generations[index(p)];
    g = p.as(p.get("/v1/fleet"), read_generation);
    auto& d = drafts[index(p)];
    if (d.kind == "rollback" && !d.to) d.to = before_the_last(p);
    return post(p, d, g);
  });
  const auto diffs = [&](const auto& all) {
    std::string out;
    for (const auto& one : all) out += (out.empty() ? "" : "\n") + render_diff(one, style_of(1));
    return out;
  };
  if (dry) return finish(plans, diffs);
  const auto all = told(plans);
  const bool ask = !yes && is_terminal(0);
  // With -o json standard output is the operation's alone, but nobody agrees to what was not shown.
  if (!all.empty() && (!json() || ask)) put(json() ? 2 : 1, diffs(all));
  const auto nothing = [](const Operation& o) { return o.diff.empty() && o.steps.empty(); };
  const bool work = std::any_of(all.begin(), all.end(), [&](const auto& t) { return !nothing(t.value); });
  if (!work) return json() ? finish(plans, diffs) : finish(plans, [](const auto&) { return std::string(); });
  if (ask && !agreed(question)) return kRefused;
  for (auto& d : drafts) d.dry_run = false;
  auto started = session_.ask<Both<Operation>>([&](Port& p) {
    const auto i = index(p);
    if (const auto* f = std::get_if<Failure>(&plans[i])) throw *f;
    // One that has it already is left alone: a change that is none would still count.
    if (nothing(std::get<Both<Operation>>(plans[i]).value)) {
      auto same = std::get<Both<Operation>>(plans[i]);
      same.value.state = "done";
      return same;
    }
    return post(p, drafts[i], generations[i]);
  });
  return carry_out(std::move(started), draft.options.wait);
}

int Run::operator()(const Apply& c) {
  Draft d;
  d.kind = "apply";
  d.options = c.options;
  d.dry_run = c.dry_run;
  try {
    std::string text;
    try {
      text = content(c.file);
    } catch (const std::runtime_error& e) {
      throw FleetFileError(c.file + ": " + e.what());
    }
    d.fleet = fleet_json(text, c.file, content);
  } catch (const FleetFileError& e) {
    tell({kUsage, e.what(), "mend the file; the agent was not asked", "", false});
    return kUsage;
  }
  return planned(std::move(d), c.yes, "Apply this? [y/N] ");
}

int Run::operator()(const Rollback& c) {
  Draft d;
  d.kind = "rollback";
  d.options = c.options;
  d.dry_run = c.dry_run;
  d.to = c.to;
  return planned(std::move(d), c.yes, "Go back to this? [y/N] ");
}

}  // namespace heronvane::cli
