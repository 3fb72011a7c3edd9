// Commands that start operations. They first read the agent's state; the change then names the generation
// that was read, so that the agent refuses it as stale if the fleet has changed since.
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

std::string requester() {
  const auto* user = ::getpwuid(::geteuid());
  char host[256] = "";
  if (::gethostname(host, sizeof host - 1) != 0) host[0] = '\0';
  return std::string(user != nullptr ? user->pw_name : std::to_string(::geteuid())) + "@" +
         (*host != '\0' ? host : "unknown") + " pid " + std::to_string(::getpid());
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(std::strerror(errno));
  errno = 0;
  std::ostringstream all;
  all << in.rdbuf();
  if (errno != 0)
    throw std::runtime_error(std::strerror(errno));  // opening a directory succeeds, reading it fails
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
  w.Key("by"), text(requester());
  if (d.options.max_unavailable) w.Key("max_unavailable"), w.Uint(*d.options.max_unavailable);
  w.Key("supersede"), w.Bool(d.options.supersede);
  if (d.dry_run) w.Key("dry_run"), w.Bool(true);
  if (!d.fleet.empty()) w.Key("fleet"), w.RawValue(d.fleet.data(), d.fleet.size(), rapidjson::kObjectType);
  if (d.to) w.Key("to"), w.Uint64(*d.to);
  w.EndObject();
  return b.GetString();
}

void Run::explain_stale(AgentConnection& connection, Failure& f, std::int64_t generation) {
  f.message += "; seen was generation " + std::to_string(generation);
  f.hint = "look at what changed (" + connection.command + " status), then run this again";
  try {
    const auto all = connection.as(connection.get("/v1/operations?limit=20"), read_operations);
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
    f.message += since;
  } catch (const Failure&) {  // the message then stays without the list of changes
  }
}

Run::Parsed<Operation> Run::post(AgentConnection& connection, const Draft& draft, std::int64_t generation) {
  try {
    const auto json = connection.change("POST", "/v1/operations", body(draft, generation));
    return {connection.as(json, read_operation), json};
  } catch (Failure& f) {
    if (f.exit == kConflict && f.json.find("\"stale\"") != std::string::npos)
      explain_stale(connection, f, generation);
    throw;
  }
}

int Run::operator()(const Change& c) {
  struct Seen {
    std::int64_t generation = 0;
    std::vector<std::string> names;
  };
  const auto seen = session_.ask<Seen>([&](AgentConnection& p) {
    Seen s;
    const auto json = p.get("/v1/instances");
    for (const auto& i : p.as(json, [&](const std::string& j) { return read_instances(j, s.generation); }))
      s.names.push_back(i.name);
    return s;
  });
  const auto has = [](const Seen& s, const std::string& name) {
    return std::find(s.names.begin(), s.names.end(), name) != s.names.end();
  };
  const auto& connections = session_.connections();
  // A name that no agent has may be a typing error, so no operation is started on any agent.
  if (session_.many()) {
    for (const auto& name : c.names) {
      bool found = false;
      for (const auto& s : seen)
        found = found || (std::holds_alternative<Seen>(s) && has(std::get<Seen>(s), name));
      if (found) continue;
      std::vector<const Failure*> failed;
      for (const auto& s : seen) failed.push_back(std::get_if<Failure>(&s));
      const int exit = report_failures(failed);
      print_failure({kRefused, "no agent that answers has an instance " + name + "; nothing was changed",
                     "list the instances: heronvanectl list, with the same --agent", "", false});
      return exit == kDone ? kRefused : kPartial;
    }
  }
  const auto started = session_.ask<std::optional<Parsed<Operation>>>(
      [&](AgentConnection& p) -> std::optional<Parsed<Operation>> {
        const auto at = static_cast<std::size_t>(std::find_if(connections.begin(), connections.end(),
                                                              [&](const auto& q) { return q.get() == &p; }) -
                                                 connections.begin());
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
    else if (const auto& o = std::get<std::optional<Parsed<Operation>>>(started[i]))
      results.emplace_back(*o);
    else  // this agent has none of the named instances
      results.emplace_back(Failure{kDone, "has none of these instances", "", "", true});
  }
  return carry_out(std::move(results), c.options.wait);
}

std::uint64_t Run::generation_before_last_change(AgentConnection& connection) {
  for (const auto& o : connection.as(connection.get("/v1/operations?limit=50"), read_operations))
    if ((o.kind == "apply" || o.kind == "rollback") && o.generation > 1)
      return static_cast<std::uint64_t>(o.generation) - 1;
  throw Failure{kRefused,
                "agent " + connection.address() +
                    ": none of the agent's last 50 operations changed the fleet from an earlier generation",
                "name the generation to go back to: " + connection.command + " rollback GENERATION", "",
                false};
}

bool Run::confirm(const std::string& question) {
  put(2, question);
  std::string answer;
  for (char ch = 0; ::read(0, &ch, 1) == 1 && ch != '\n';) answer += ch;
  if (answer == "y" || answer == "Y" || answer == "yes") return true;
  put(2, "Nothing was changed.\n");
  return false;
}

int Run::operator()(const TakeOver& c) {
  if (!c.yes && is_terminal(0) &&
      !confirm("What " + c.relay +
               " holds becomes another relay's; if it still runs, it is fenced and drops it. "
               "Go on? [y/N] "))
    return kRefused;
  const auto results = session_.ask<Parsed<std::string>>([&](AgentConnection& p) {
    p.get("/v1/agent");  // learns the API version, which change() checks
    auto json = p.change("POST", "/v1/takeover/" + c.relay, "{}");
    return Parsed<std::string>{p.as(json, read_new_owner), json};
  });
  return finish(results, [&](const auto& all) {
    const auto& by = all.front().value;
    return by + " takes over what " + c.relay + " owes; see its progress: " + all.front().command + " show " +
           by + "\n";
  });
}

int Run::plan_and_start(Draft draft, bool yes, const char* question) {
  const bool dry = draft.dry_run;
  std::vector<std::int64_t> generations(session_.connections().size(), 0);
  std::vector<Draft> drafts;
  draft.dry_run = true;
  drafts.assign(session_.connections().size(), draft);
  const auto index = [&](const AgentConnection& p) {
    const auto& connections = session_.connections();
    return static_cast<std::size_t>(
        std::find_if(connections.begin(), connections.end(), [&](const auto& q) { return q.get() == &p; }) -
        connections.begin());
  };
  auto plans = session_.ask<Parsed<Operation>>([&](AgentConnection& p) {
    auto& g = generations[index(p)];
    g = p.as(p.get("/v1/fleet"), read_generation);
    auto& d = drafts[index(p)];
    if (d.kind == "rollback" && !d.to) d.to = generation_before_last_change(p);
    return post(p, d, g);
  });
  const auto diffs = [&](const auto& all) {
    std::string out;
    for (const auto& one : all) out += (out.empty() ? "" : "\n") + render_diff(one, style_of(1));
    return out;
  };
  if (dry) return finish(plans, diffs);
  const auto all = successes(plans);
  const bool ask = !yes && is_terminal(0);
  // With -o json, standard output carries only the operation; the diff still has to be shown before the user
  // is asked to confirm it, so it goes to standard error.
  if (!all.empty() && (!json() || ask)) put(json() ? 2 : 1, diffs(all));
  const auto nothing = [](const Operation& o) { return o.diff.empty() && o.steps.empty(); };
  const bool work = std::any_of(all.begin(), all.end(), [&](const auto& t) { return !nothing(t.value); });
  if (!work) return json() ? finish(plans, diffs) : finish(plans, [](const auto&) { return std::string(); });
  if (ask && !confirm(question)) return kRefused;
  for (auto& d : drafts) d.dry_run = false;
  auto started = session_.ask<Parsed<Operation>>([&](AgentConnection& p) {
    const auto i = index(p);
    if (const auto* f = std::get_if<Failure>(&plans[i])) throw *f;
    // An agent with an empty diff gets no operation, since one would still create a new generation.
    if (nothing(std::get<Parsed<Operation>>(plans[i]).value)) {
      auto same = std::get<Parsed<Operation>>(plans[i]);
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
      text = read_file(c.file);
    } catch (const std::runtime_error& e) {
      throw FleetFileError(c.file + ": " + e.what());
    }
    d.fleet = fleet_json(text, c.file, read_file);
  } catch (const FleetFileError& e) {
    print_failure({kUsage, e.what(), "correct the file; nothing was sent to the agent", "", false});
    return kUsage;
  }
  return plan_and_start(std::move(d), c.yes, "Apply this? [y/N] ");
}

int Run::operator()(const Rollback& c) {
  Draft d;
  d.kind = "rollback";
  d.options = c.options;
  d.dry_run = c.dry_run;
  d.to = c.to;
  return plan_and_start(std::move(d), c.yes, "Go back to this? [y/N] ");
}

}  // namespace heronvane::cli
