#include "api.hpp"

#include <algorithm>
#include <charconv>
#include <map>

#include "fields.hpp"
#include "json.hpp"

namespace heronvane::fleet {

namespace wire = heronvane::dispatch::adapter;
using rapidjson::Value;

namespace {

constexpr std::size_t kMostNames = 1'000;
constexpr std::size_t kMostBy = 256;
constexpr std::size_t kMostLines = 10'000;
constexpr std::size_t kMostOperations = 1'000;
constexpr std::size_t kMostMessageId = 1'024;

std::int64_t ms(Microseconds t) { return t / 1'000; }

class BadRequest : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::uint64_t number(std::string_view text, const std::string& what, std::uint64_t most) {
  std::uint64_t v = 0;
  const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (bad != std::errc() || end != text.data() + text.size() || v > most)
    throw BadRequest(what + ": must be a whole number up to " + std::to_string(most));
  return v;
}

void write_steps(JsonWriter& w, const Operation& o) {
  key(w, "steps"), w.StartArray();
  for (const auto& s : o.steps) {
    w.StartObject();
    key(w, "instance"), put(w, s.instance);
    key(w, "state"), put(w, name_of(s.state));
    key(w, "what"), put(w, s.what);
    key(w, "since_ms"), w.Int64(ms(s.since));
    w.EndObject();
  }
  w.EndArray();
}

void write_names(JsonWriter& w, const std::vector<std::string>& names) {
  w.StartArray();
  for (const auto& n : names) put(w, n);
  w.EndArray();
}

template <class Write>
std::string object(Write write) {
  rapidjson::StringBuffer b;
  JsonWriter w(b);
  w.StartObject();
  write(w);
  w.EndObject();
  return text_of(b);
}

void write_error(JsonWriter& w, std::string_view code, std::string_view message, std::string_view hint) {
  key(w, "error"), w.StartObject();
  key(w, "code"), put(w, code);
  key(w, "message"), put(w, printable(message));
  key(w, "hint"), put(w, printable(hint));
  w.EndObject();
}

ApiResponse json(std::string body, unsigned status = 200) {
  return {status, "application/json", std::move(body), {}};
}

std::string listed(const std::vector<std::string>& names) {
  std::string all;
  for (std::size_t i = 0; i < names.size() && i < 10; i++) all += (i > 0 ? ", " : "") + names[i];
  if (names.size() > 10) all += " and " + std::to_string(names.size() - 10) + " more";
  return all;
}

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

ApiResponse answer(const Verdict& verdict, unsigned accepted) {
  return std::visit(
      Overloaded{[&](const verdict::Accepted& v) { return json(operation_json(v.operation), accepted); },
                 [](const verdict::Plan& v) { return json(operation_json(v.operation)); },
                 [](const verdict::Conflict& v) {
                   const std::string with = "operation " + std::to_string(v.with) + " (" +
                                            std::string(name_of(v.kind)) + " by " + v.by +
                                            ") is at work on " + listed(v.names);
                   return json(object([&](JsonWriter& w) {
                                 write_error(w, "conflict", with,
                                             "wait for it, cancel it, or ask again with supersede");
                                 key(w, "with"), w.StartObject();
                                 key(w, "operation"), w.Uint64(v.with);
                                 key(w, "kind"), put(w, name_of(v.kind));
                                 key(w, "by"), put(w, v.by);
                                 key(w, "since_ms"), w.Int64(ms(v.since));
                                 key(w, "names"), write_names(w, v.names);
                                 w.EndObject();
                               }),
                               409);
                 },
                 [](const verdict::Stale& v) {
                   return json(object([&](JsonWriter& w) {
                                 write_error(w, "stale",
                                             "it was made against an older generation; now it is " +
                                                 std::to_string(v.generation) +
                                                 ", and changed since: " + listed(v.names),
                                             "look at the instances again, then ask with the new generation");
                                 key(w, "generation"), w.Uint64(v.generation);
                                 key(w, "names"), write_names(w, v.names);
                               }),
                               412);
                 },
                 [](const verdict::Refused& v) { return api_error(422, "refused", v.why); },
                 [](const verdict::Malformed& v) { return api_error(400, "bad_request", v.why); },
                 [](const verdict::Unknown& v) { return api_error(404, "unknown", v.what); },
                 [](const verdict::Ended& v) {
                   return api_error(409, "conflict",
                                    "operation " + std::to_string(v.operation.id) +
                                        " has ended: " + std::string(name_of(v.operation.state)),
                                    "there is nothing left to cancel");
                 },
                 [](const verdict::Storage& v) {
                   return api_error(507, "storage", "it could not be recorded, nothing is changed: " + v.why,
                                    "make room on the disk of the agent's data folder, then ask again");
                 },
                 [](const verdict::Busy&) {
                   return api_error(503, "busy", "too many commands wait", "ask again in a moment");
                 }},
      verdict);
}

Kind read_kind(const std::string& text) {
  return wire::enum_from_name<Kind>(text,
                                    {{"up", Kind::up},
                                     {"down", Kind::down},
                                     {"drain", Kind::drain},
                                     {"undrain", Kind::undrain},
                                     {"restart", Kind::restart},
                                     {"apply", Kind::apply},
                                     {"rollback", Kind::rollback}},
                                    "kind");
}

}  // namespace

ApiResponse api_error(unsigned status, std::string_view code, std::string_view message,
                      std::string_view hint) {
  return json(object([&](JsonWriter& w) { write_error(w, code, message, hint); }), status);
}

std::string operation_json(const Operation& o) {
  return object([&](JsonWriter& w) {
    key(w, "id"), w.Uint64(o.id);
    key(w, "kind"), put(w, name_of(o.kind));
    key(w, "by"), put(w, o.by);
    key(w, "state"), put(w, name_of(o.state));
    key(w, "generation"), w.Uint64(o.generation);
    key(w, "max_unavailable"), w.Int(o.max_unavailable);
    key(w, "created_ms"), w.Int64(ms(o.created));
    key(w, "ended_ms"), w.Int64(ms(o.ended));
    key(w, "message"), put(w, o.message);
    key(w, "superseded_by"), w.Uint64(o.superseded_by);
    write_steps(w, o);
    key(w, "diff"), write_names(w, o.diff);
  });
}

std::string instance_json(const InstanceView& v, const std::optional<StatusView>& status, bool with_status) {
  const InstanceRow& row = *v.row;
  return object([&](JsonWriter& w) {
    key(w, "name"), put(w, row.name);
    key(w, "listen"), put(w, row.listen);
    key(w, "desired"), put(w, name_of(row.desired));
    key(w, "phase"), put(w, name_of(v.phase));
    key(w, "pid"), w.Int(row.live ? row.pid : 0);
    key(w, "run"), put(w, row.run);
    key(w, "since_ms"), w.Int64(ms(v.since));
    key(w, "generation"), w.Uint64(v.generation);
    key(w, "wanted_generation"), w.Uint64(row.wanted);
    key(w, "restarts"), w.Uint64(row.restarts);
    key(w, "next_start_ms"), w.Int64(ms(v.next_start));
    key(w, "ready"), w.Bool(v.ready);
    key(w, "held"), w.Uint64(v.held);
    key(w, "oldest_ms"), w.Int64(v.oldest_ms);
    key(w, "operation"), w.Uint64(v.operation);
    key(w, "last_exit"), put(w, row.last_exit);
    if (status && !status->copies.empty()) key(w, "copies"), raw(w, status->copies);
    if (!with_status) return;
    key(w, "status");
    if (status)
      raw(w, status->json);
    else
      w.Null();
    key(w, "status_age_ms"), w.Int64(status ? ms(status->age) : 0);
  });
}

struct Api::Target {
  std::vector<std::string> path;  // "v1", "instances", "n0"
  std::map<std::string, std::string> query;

  static Target read(const std::string& text) {
    Target t;
    const auto mark = std::min(text.find('?'), text.size());
    std::string_view path(text.data(), mark);
    if (path.empty() || path.front() != '/') throw BadRequest("the target must begin with /");
    path.remove_prefix(1);
    while (true) {
      const auto end = std::min(path.find('/'), path.size());
      t.path.emplace_back(path.substr(0, end));
      if (end == path.size()) break;
      path.remove_prefix(end + 1);
    }
    std::string_view query(text);
    query.remove_prefix(std::min(mark + 1, text.size()));
    while (!query.empty()) {
      const auto end = std::min(query.find('&'), query.size());
      const auto one = query.substr(0, end);
      const auto equals = std::min(one.find('='), one.size());
      t.query[std::string(one.substr(0, equals))] = std::string(one.substr(std::min(equals + 1, one.size())));
      query.remove_prefix(std::min(end + 1, query.size()));
    }
    return t;
  }
  bool is(std::initializer_list<const char*> words) const {  // nullptr: any
    return path.size() == words.size() &&
           std::equal(path.begin(), path.end(), words.begin(),
                      [](const std::string& a, const char* b) { return b == nullptr ? !a.empty() : a == b; });
  }
  bool flag(const char* name) const {
    const auto it = query.find(name);
    if (it == query.end() || it->second == "0") return false;
    if (it->second != "1") throw BadRequest(std::string(name) + ": must be 0 or 1");
    return true;
  }
  std::size_t count(const char* name, std::size_t absent, std::size_t most) const {
    const auto it = query.find(name);
    return it == query.end() ? absent : number(it->second, name, most);
  }
};

void Api::handle(const ApiRequest& request, Done done) {
  try {
    const Target t = Target::read(request.target);
    if (t.path[0] != "v1")
      return done(api_error(404, "unknown", "there is nothing at " + request.target,
                            "this agent speaks version 1 of the API: /v1/.."));
    const bool operations = t.is({"v1", "operations"}), operation = t.is({"v1", "operations", nullptr});
    if (request.method == "GET") return get(t, done);
    if (request.method == "POST" && operations) return operate(request, done);
    if (request.method == "POST" && t.is({"v1", "takeover", nullptr}))
      return agent_.take_over(t.path[2], [done, relay = t.path[2]](const TakeOverView& v) {
        if (!v.by.empty())
          return done(json(
              object([&](JsonWriter& w) { key(w, "relay"), put(w, relay), key(w, "by"), put(w, v.by); })));
        std::string why;
        for (const auto& [instance, told] : v.refused)
          why.append(why.empty() ? "" : "; ").append(instance).append(": ").append(told);
        done(api_error(
            409, "refused",
            "no instance here takes " + printable(relay) + " over" + (why.empty() ? "" : ": " + why),
            "ask the agent of a machine whose relay holds its log: heronvanectl show names holders"));
      });
    if (request.method == "DELETE" && operation)
      return agent_.cancel(number(t.path[2], "operation", INT64_MAX),
                           [done](const Verdict& v) { done(answer(v, 200)); });
    done(api_error(404, "unknown", "nothing takes " + request.method + " at " + request.target));
  } catch (const BadRequest& e) {
    done(api_error(400, "bad_request", e.what()));
  } catch (const JsonError& e) {
    done(api_error(400, "bad_request", e.what()));
  } catch (const wire::WireError& e) {
    done(api_error(400, "bad_request", e.what()));
  } catch (const std::exception& e) {
    done(api_error(503, "busy", e.what()));
  }
}

void Api::get(const Target& t, const Done& done) {
  const Decider& d = agent_.decider();
  if (t.is({"v1", "agent"})) {
    const AgentView about = agent_.about();
    const auto all = d.instances();
    return done(json(object([&](JsonWriter& w) {
      key(w, "name"), put(w, printable(about.name));
      key(w, "version"), put(w, about.version);
      key(w, "api"), w.Int(1);
      key(w, "pid"), w.Int(about.pid);
      key(w, "started_ms"), w.Int64(ms(about.started));
      key(w, "generation"), w.Uint64(d.generation());
      key(w, "instances"), w.Uint64(all.size());
      key(w, "ready"), w.Int64(std::count_if(all.begin(), all.end(), [](const auto& v) { return v.ready; }));
      key(w, "operation"), w.Uint64(d.running_operation());
      key(w, "platform");
      if (!about.platform) return void(w.Null());
      w.StartObject();
      key(w, "listen"), put(w, about.platform->listen);
      key(w, "index"), w.Int64(about.platform->index);
      key(w, "endpoints"), w.Uint64(about.platform->endpoints);
      key(w, "watchers"), w.Uint64(about.platform->watchers);
      key(w, "finals"), w.Int64(about.platform->finals);
      key(w, "trouble"), put(w, about.platform->trouble);
      w.EndObject();
    })));
  }
  if (t.is({"v1", "instances"}))
    return done(json(object([&](JsonWriter& w) {
      key(w, "generation"), w.Uint64(d.generation());
      key(w, "instances"), w.StartArray();
      for (const auto& v : d.instances()) raw(w, instance_json(v, agent_.status(v.row->name), false));
      w.EndArray();
    })));
  if (t.is({"v1", "instances", nullptr}) || t.is({"v1", "instances", nullptr, "log"})) {
    const auto v = d.instance(t.path[2]);
    if (!v)
      return done(api_error(404, "unknown", "there is no instance " + t.path[2],
                            "list those there are: heronvanectl list"));
    if (t.path.size() == 3) return done(json(instance_json(*v, agent_.status(t.path[2]), true)));
    const auto lines = t.count("lines", 100, kMostLines);
    return done({200, "text/plain; charset=utf-8", "", agent_.read_log(t.path[2], lines, t.flag("follow"))});
  }
  if (t.is({"v1", "messages", nullptr})) {
    const std::string id = t.path[2];
    if (id.size() > kMostMessageId ||
        !std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 0x7f; }))
      throw BadRequest("the id of the message: at most 1,024 characters, percent-encoded");
    return agent_.find_message(id, [done](const MessageView& m) {
      done(json(object([&](JsonWriter& w) {
        key(w, "found"), w.StartArray();
        for (const auto& [instance, told] : m.found) {
          rapidjson::Document v = parse_json(told);
          w.StartObject();
          key(w, "instance"), put(w, instance);
          for (const auto& member : v.GetObject()) {
            w.Key(member.name.GetString(), member.name.GetStringLength());
            member.value.Accept(w);
          }
          w.EndObject();
        }
        w.EndArray();
        key(w, "not_asked"), write_names(w, m.not_asked);
      })));
    });
  }
  if (t.is({"v1", "fleet"}))
    return done(json(object([&](JsonWriter& w) {
      key(w, "generation"), w.Uint64(d.generation());
      key(w, "fleet");
      if (d.fleet().text.empty())
        w.Null();
      else
        raw(w, d.fleet().text);
    })));
  if (t.is({"v1", "operations"})) {
    const auto limit = t.count("limit", 50, kMostOperations);
    return done(json(object([&](JsonWriter& w) {
      key(w, "operations"), w.StartArray();
      for (const auto* o : d.operations(limit)) raw(w, operation_json(*o));
      w.EndArray();
    })));
  }
  if (t.is({"v1", "operations", nullptr})) {
    const OperationId id = number(t.path[2], "operation", INT64_MAX);
    const Operation* o = d.operation(id);
    if (o == nullptr) return done(api_error(404, "unknown", "there is no operation " + t.path[2]));
    if (!t.flag("follow")) return done(json(operation_json(*o)));
    return done({200, "application/x-ndjson", "", agent_.follow_operation(id)});
  }
  done(api_error(404, "unknown", "there is nothing at that path"));
}

void Api::operate(const ApiRequest& request, const Done& done) {
  const rapidjson::Document v = parse_json(request.body);
  const std::string path = "body";
  wire::as_object(v, path);
  for (const auto& m : v.GetObject()) {
    static constexpr const char* known[] = {"kind",      "names",   "generation", "by", "max_unavailable",
                                            "supersede", "dry_run", "fleet",      "to"};
    const std::string name(m.name.GetString(), m.name.GetStringLength());
    if (std::none_of(std::begin(known), std::end(known), [&](const char* k) { return name == k; }))
      throw BadRequest("body." + printable(name) + ": is no field of an operation");
  }
  event::Command c;
  c.kind = read_kind(wire::required_field(v, "kind", path, wire::as_string));
  if (const Value* names = wire::find_member(v, "names")) {
    if (names->IsString()) {
      if (wire::as_string(*names, "body.names") != "all")
        throw BadRequest("body.names: must be \"all\" or an array of names");
      c.all = true;
    } else {
      if (wire::as_array(*names, "body.names").Size() > kMostNames)
        throw BadRequest("body.names: at most " + std::to_string(kMostNames));
      for (const auto& n : names->GetArray()) c.names.push_back(wire::as_string(n, "body.names"));
    }
  }
  if (const Value* against = wire::find_member(v, "generation"))
    c.against = wire::as_uint64(*against, "body.generation");
  c.by = wire::optional_field(v, "by", path, wire::as_string, "");
  if (c.by.size() > kMostBy) throw BadRequest("body.by: at most 256 bytes");
  // What the connection says of the asker stands beside what the asker says.
  c.by = c.by.empty()                                ? request.peer
         : request.peer.rfind("certificate", 0) == 0 ? c.by + " (" + request.peer + ")"
                                                     : c.by;
  if (const Value* most = wire::find_member(v, "max_unavailable"))
    c.max_unavailable = wire::as_int(*most, "body.max_unavailable");
  c.supersede = wire::optional_field(v, "supersede", path, wire::as_bool, false);
  c.dry_run = wire::optional_field(v, "dry_run", path, wire::as_bool, false);
  const Value* fleet = wire::find_member(v, "fleet");
  if (fleet != nullptr && c.kind != Kind::apply) throw BadRequest("body.fleet: only apply takes one");
  if (c.kind == Kind::apply) {
    if (fleet == nullptr) throw BadRequest("body.fleet: missing");
    try {
      c.fleet = agent_.read_fleet(to_text(*fleet));
    } catch (const std::exception& e) {
      return done(api_error(400, "bad_request", e.what(), "mend the fleet file, then apply it again"));
    }
  }
  if (c.kind == Kind::rollback) {
    c.to = wire::required_field(v, "to", path, wire::as_uint64);
    c.fleet = agent_.fleet_at(c.to);
  }
  agent_.command(std::move(c), [done](const Verdict& verdict) { done(answer(verdict, 202)); });
}

}  // namespace heronvane::fleet
