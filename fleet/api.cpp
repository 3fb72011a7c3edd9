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

constexpr std::size_t kMaxNames = 1'000;
constexpr std::size_t kMaxByBytes = 256;
constexpr std::size_t kMaxLogLines = 10'000;
constexpr std::size_t kMaxOperations = 1'000;
constexpr std::size_t kMaxMessageIdBytes = 1'024;

std::int64_t to_ms(Microseconds time) { return time / 1'000; }

class BadRequest : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::uint64_t parse_number(std::string_view text, const std::string& what, std::uint64_t max) {
  std::uint64_t v = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc() || end != text.data() + text.size() || v > max)
    throw BadRequest(what + ": must be a whole number up to " + std::to_string(max));
  return v;
}

void write_steps(JsonWriter& w, const Operation& operation) {
  key(w, "steps"), w.StartArray();
  for (const auto& s : operation.steps) {
    w.StartObject();
    key(w, "instance"), put(w, s.instance);
    key(w, "state"), put(w, name_of(s.state));
    key(w, "what"), put(w, s.what);
    key(w, "since_ms"), w.Int64(to_ms(s.since));
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
std::string json_object(Write write) {
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

// The first ten names and the number of the others.
std::string list_names(const std::vector<std::string>& names) {
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

// The response to a command; `accepted` is the status for an accepted one.
ApiResponse verdict_response(const Verdict& verdict, unsigned accepted) {
  return std::visit(
      Overloaded{
          [&](const verdict::Accepted& v) { return json(operation_json(v.operation), accepted); },
          [](const verdict::Plan& v) { return json(operation_json(v.operation)); },
          [](const verdict::Conflict& v) {
            const std::string with = "operation " + std::to_string(v.with) + " (" +
                                     std::string(name_of(v.kind)) + " by " + v.by + ") is running on " +
                                     list_names(v.names);
            return json(json_object([&](JsonWriter& w) {
                          write_error(
                              w, "conflict", with,
                              "wait for the operation, cancel it, or repeat the request with supersede");
                          key(w, "with"), w.StartObject();
                          key(w, "operation"), w.Uint64(v.with);
                          key(w, "kind"), put(w, name_of(v.kind));
                          key(w, "by"), put(w, v.by);
                          key(w, "since_ms"), w.Int64(to_ms(v.since));
                          key(w, "names"), write_names(w, v.names);
                          w.EndObject();
                        }),
                        409);
          },
          [](const verdict::Stale& v) {
            return json(json_object([&](JsonWriter& w) {
                          write_error(
                              w, "stale",
                              "the request was made against an older generation; the current one is " +
                                  std::to_string(v.generation) + ", changed since: " + list_names(v.names),
                              "list the instances again and use the current generation");
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
                             "an operation that has ended can't be cancelled");
          },
          [](const verdict::Storage& v) {
            return api_error(507, "storage",
                             "the operation could not be recorded, nothing is changed: " + v.why,
                             "free disk space in the agent's data folder, then repeat the request");
          },
          [](const verdict::Busy&) {
            return api_error(503, "busy", "too many commands are waiting", "repeat the request in a moment");
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
  return json(json_object([&](JsonWriter& w) { write_error(w, code, message, hint); }), status);
}

std::string operation_json(const Operation& operation) {
  return json_object([&](JsonWriter& w) {
    key(w, "id"), w.Uint64(operation.id);
    key(w, "kind"), put(w, name_of(operation.kind));
    key(w, "by"), put(w, operation.by);
    key(w, "state"), put(w, name_of(operation.state));
    key(w, "generation"), w.Uint64(operation.generation);
    key(w, "max_unavailable"), w.Int(operation.max_unavailable);
    key(w, "created_ms"), w.Int64(to_ms(operation.created));
    key(w, "ended_ms"), w.Int64(to_ms(operation.ended));
    key(w, "message"), put(w, operation.message);
    key(w, "superseded_by"), w.Uint64(operation.superseded_by);
    write_steps(w, operation);
    key(w, "diff"), write_names(w, operation.diff);
  });
}

std::string instance_json(const InstanceView& v, const std::optional<StatusView>& status, bool with_status) {
  const InstanceRow& row = *v.row;
  return json_object([&](JsonWriter& w) {
    key(w, "name"), put(w, row.name);
    key(w, "listen"), put(w, row.listen);
    key(w, "desired"), put(w, name_of(row.desired));
    key(w, "phase"), put(w, name_of(v.phase));
    key(w, "pid"), w.Int(row.live ? row.pid : 0);
    key(w, "run"), put(w, row.run);
    key(w, "since_ms"), w.Int64(to_ms(v.since));
    key(w, "generation"), w.Uint64(v.generation);
    key(w, "wanted_generation"), w.Uint64(row.wanted);
    key(w, "restarts"), w.Uint64(row.restarts);
    key(w, "next_start_ms"), w.Int64(to_ms(v.next_start));
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
    key(w, "status_age_ms"), w.Int64(status ? to_ms(status->age) : 0);
  });
}

// The path and the query of a request target, not percent-decoded.
struct Api::Target {
  std::vector<std::string> path;  // "v1", "instances", "n0"
  std::map<std::string, std::string> query;

  static Target read(const std::string& text) {
    Target target;
    const auto mark = std::min(text.find('?'), text.size());
    std::string_view path(text.data(), mark);
    if (path.empty() || path.front() != '/') throw BadRequest("the target must begin with /");
    path.remove_prefix(1);
    while (true) {
      const auto end = std::min(path.find('/'), path.size());
      target.path.emplace_back(path.substr(0, end));
      if (end == path.size()) break;
      path.remove_prefix(end + 1);
    }
    std::string_view query(text);
    query.remove_prefix(std::min(mark + 1, text.size()));
    while (!query.empty()) {
      const auto end = std::min(query.find('&'), query.size());
      const auto pair = query.substr(0, end);
      const auto equals_sign = std::min(pair.find('='), pair.size());
      target.query[std::string(pair.substr(0, equals_sign))] =
          std::string(pair.substr(std::min(equals_sign + 1, pair.size())));
      query.remove_prefix(std::min(end + 1, query.size()));
    }
    return target;
  }
  bool matches(std::initializer_list<const char*> segments) const {  // nullptr: any segment that is not empty
    return path.size() == segments.size() &&
           std::equal(path.begin(), path.end(), segments.begin(),
                      [](const std::string& a, const char* b) { return b == nullptr ? !a.empty() : a == b; });
  }
  bool flag(const char* name) const {
    const auto it = query.find(name);
    if (it == query.end() || it->second == "0") return false;
    if (it->second != "1") throw BadRequest(std::string(name) + ": must be 0 or 1");
    return true;
  }
  std::size_t count(const char* name, std::size_t default_value, std::size_t max) const {
    const auto it = query.find(name);
    return it == query.end() ? default_value : parse_number(it->second, name, max);
  }
};

void Api::handle(const ApiRequest& request, Done done) {
  try {
    const Target target = Target::read(request.target);
    if (target.path[0] != "v1")
      return done(api_error(404, "unknown", "no such path: " + request.target,
                            "this agent serves version 1 of the API: /v1/.."));
    const bool operations = target.matches({"v1", "operations"}),
               operation = target.matches({"v1", "operations", nullptr});
    if (request.method == "GET") return handle_get(target, done);
    if (request.method == "POST" && operations) return post_operation(request, done);
    if (request.method == "POST" && target.matches({"v1", "takeover", nullptr}))
      return backend_.take_over(target.path[2], [done, relay = target.path[2]](const TakeOverView& v) {
        if (!v.by.empty())
          return done(json(json_object(
              [&](JsonWriter& w) { key(w, "relay"), put(w, relay), key(w, "by"), put(w, v.by); })));
        std::string why;
        for (const auto& [instance, reply] : v.refused)
          why.append(why.empty() ? "" : "; ").append(instance).append(": ").append(reply);
        done(api_error(
            409, "refused",
            "no instance of this agent can take " + printable(relay) + " over" +
                (why.empty() ? "" : ": " + why),
            "ask the agent of a machine whose relay holds a copy of its log: heronvanectl show lists the "
            "holders"));
      });
    if (request.method == "DELETE" && operation)
      return backend_.cancel(parse_number(target.path[2], "operation", INT64_MAX),
                             [done](const Verdict& v) { done(verdict_response(v, 200)); });
    done(api_error(404, "unknown", "no " + request.method + " at " + request.target));
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

void Api::handle_get(const Target& target, const Done& done) {
  const Decider& decider = backend_.decider();
  if (target.matches({"v1", "agent"})) {
    const AgentView about = backend_.about();
    const auto all = decider.instances();
    return done(json(json_object([&](JsonWriter& w) {
      key(w, "name"), put(w, printable(about.name));
      key(w, "version"), put(w, about.version);
      key(w, "api"), w.Int(1);
      key(w, "pid"), w.Int(about.pid);
      key(w, "started_ms"), w.Int64(to_ms(about.started));
      key(w, "generation"), w.Uint64(decider.generation());
      key(w, "instances"), w.Uint64(all.size());
      key(w, "ready"), w.Int64(std::count_if(all.begin(), all.end(), [](const auto& v) { return v.ready; }));
      key(w, "operation"), w.Uint64(decider.running_operation());
      key(w, "platform");
      if (!about.platform) return void(w.Null());
      w.StartObject();
      key(w, "listen"), put(w, about.platform->listen);
      key(w, "index"), w.Int64(about.platform->index);
      key(w, "endpoints"), w.Uint64(about.platform->endpoints);
      key(w, "watchers"), w.Uint64(about.platform->watchers);
      key(w, "finals"), w.Int64(about.platform->finals);
      key(w, "trouble"), put(w, about.platform->error);
      w.EndObject();
    })));
  }
  if (target.matches({"v1", "instances"}))
    return done(json(json_object([&](JsonWriter& w) {
      key(w, "generation"), w.Uint64(decider.generation());
      key(w, "instances"), w.StartArray();
      for (const auto& v : decider.instances()) raw(w, instance_json(v, backend_.status(v.row->name), false));
      w.EndArray();
    })));
  if (target.matches({"v1", "instances", nullptr}) || target.matches({"v1", "instances", nullptr, "log"})) {
    const auto v = decider.instance(target.path[2]);
    if (!v)
      return done(api_error(404, "unknown", "there is no instance " + target.path[2],
                            "list the instances: heronvanectl list"));
    if (target.path.size() == 3) return done(json(instance_json(*v, backend_.status(target.path[2]), true)));
    const auto lines = target.count("lines", 100, kMaxLogLines);
    return done({200, "text/plain; charset=utf-8", "",
                 backend_.read_log(target.path[2], lines, target.flag("follow"))});
  }
  if (target.matches({"v1", "messages", nullptr})) {
    const std::string id = target.path[2];
    if (id.size() > kMaxMessageIdBytes || !std::all_of(id.begin(), id.end(), [](char character) {
          return character > ' ' && character < 0x7f;
        }))
      throw BadRequest("the id of the message: at most 1,024 characters, percent-encoded");
    return backend_.find_message(id, [done](const MessageView& m) {
      done(json(json_object([&](JsonWriter& w) {
        key(w, "found"), w.StartArray();
        for (const auto& [instance, reply] : m.found) {
          rapidjson::Document v = parse_json(reply);
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
  if (target.matches({"v1", "fleet"}))
    return done(json(json_object([&](JsonWriter& w) {
      key(w, "generation"), w.Uint64(decider.generation());
      key(w, "fleet");
      if (decider.fleet().text.empty())
        w.Null();
      else
        raw(w, decider.fleet().text);
    })));
  if (target.matches({"v1", "operations"})) {
    const auto limit = target.count("limit", 50, kMaxOperations);
    return done(json(json_object([&](JsonWriter& w) {
      key(w, "operations"), w.StartArray();
      for (const auto* operation : decider.operations(limit)) raw(w, operation_json(*operation));
      w.EndArray();
    })));
  }
  if (target.matches({"v1", "operations", nullptr})) {
    const OperationId id = parse_number(target.path[2], "operation", INT64_MAX);
    const Operation* operation = decider.operation(id);
    if (operation == nullptr)
      return done(api_error(404, "unknown", "there is no operation " + target.path[2]));
    if (!target.flag("follow")) return done(json(operation_json(*operation)));
    return done({200, "application/x-ndjson", "", backend_.follow_operation(id)});
  }
  done(api_error(404, "unknown", "no such path"));
}

void Api::post_operation(const ApiRequest& request, const Done& done) {
  const rapidjson::Document v = parse_json(request.body);
  const std::string path = "body";
  wire::as_object(v, path);
  for (const auto& m : v.GetObject()) {
    static constexpr const char* known[] = {"kind",      "names",   "generation", "by", "max_unavailable",
                                            "supersede", "dry_run", "fleet",      "to"};
    const std::string name(m.name.GetString(), m.name.GetStringLength());
    if (std::none_of(std::begin(known), std::end(known), [&](const char* k) { return name == k; }))
      throw BadRequest("body." + printable(name) + ": is not a field of an operation");
  }
  event::Command command;
  command.kind = read_kind(wire::required_field(v, "kind", path, wire::as_string));
  if (const Value* names = wire::find_member(v, "names")) {
    if (names->IsString()) {
      if (wire::as_string(*names, "body.names") != "all")
        throw BadRequest("body.names: must be \"all\" or an array of names");
      command.all = true;
    } else {
      if (wire::as_array(*names, "body.names").Size() > kMaxNames)
        throw BadRequest("body.names: at most " + std::to_string(kMaxNames));
      for (const auto& n : names->GetArray()) command.names.push_back(wire::as_string(n, "body.names"));
    }
  }
  if (const Value* generation = wire::find_member(v, "generation"))
    command.against = wire::as_uint64(*generation, "body.generation");
  command.by = wire::optional_field(v, "by", path, wire::as_string, "");
  if (command.by.size() > kMaxByBytes) throw BadRequest("body.by: at most 256 bytes");
  // The client's certificate is recorded beside the name that the client gives.
  command.by = command.by.empty()                          ? request.peer
               : request.peer.rfind("certificate", 0) == 0 ? command.by + " (" + request.peer + ")"
                                                           : command.by;
  if (const Value* max = wire::find_member(v, "max_unavailable"))
    command.max_unavailable = wire::as_int(*max, "body.max_unavailable");
  command.supersede = wire::optional_field(v, "supersede", path, wire::as_bool, false);
  command.dry_run = wire::optional_field(v, "dry_run", path, wire::as_bool, false);
  const Value* fleet = wire::find_member(v, "fleet");
  if (fleet != nullptr && command.kind != Kind::apply) throw BadRequest("body.fleet: only for kind apply");
  if (command.kind == Kind::apply) {
    if (fleet == nullptr) throw BadRequest("body.fleet: is missing");
    try {
      command.fleet = backend_.read_fleet(to_text(*fleet));
    } catch (const std::exception& e) {
      return done(api_error(400, "bad_request", e.what(), "correct the fleet file, then apply it again"));
    }
  }
  if (command.kind == Kind::rollback) {
    command.to = wire::required_field(v, "to", path, wire::as_uint64);
    command.fleet = backend_.fleet_at(command.to);
  }
  backend_.command(std::move(command),
                   [done](const Verdict& verdict) { done(verdict_response(verdict, 202)); });
}

}  // namespace heronvane::fleet
