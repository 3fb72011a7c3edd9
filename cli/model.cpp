#include "model.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <cmath>

#include "client.hpp"

namespace heronvane::cli {

namespace {

using Value = rapidjson::Value;

rapidjson::Document parse(const std::string& json) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag>(json.data(), json.size());
  if (d.HasParseError())
    throw MalformedAnswer("the answer is no JSON: at byte " + std::to_string(d.GetErrorOffset()) + ": " +
                          rapidjson::GetParseError_En(d.GetParseError()));
  return d;
}

// One JSON object of an answer, with its path for error messages. The members read a field into `to`, which
// keeps its value if the field is missing or null.
class Fields {
 public:
  Fields(const Value& v, std::string path) : v_(v), path_(std::move(path)) {
    if (!v_.IsObject()) wrong_type("", "an object");
  }
  void operator()(const char* key, std::string& to) const {
    if (const auto* v = find(key)) {
      if (!v->IsString()) wrong_type(key, "text");
      to.assign(v->GetString(), v->GetStringLength());
    }
  }
  void operator()(const char* key, std::int64_t& to) const {
    if (const auto* v = find(key)) {
      if (v->IsInt64())
        to = v->GetInt64();
      else if (v->IsNumber() && std::abs(v->GetDouble()) < 9e15)
        to = std::llround(v->GetDouble());
      else
        wrong_type(key, "a number");
    }
  }
  void operator()(const char* key, double& to) const {
    if (const auto* v = find(key)) {
      if (!v->IsNumber()) wrong_type(key, "a number");
      to = v->GetDouble();
    }
  }
  void operator()(const char* key, bool& to) const {
    if (const auto* v = find(key)) {
      if (!v->IsBool()) wrong_type(key, "true or false");
      to = v->GetBool();
    }
  }
  void operator()(const char* key, std::vector<std::string>& to) const {
    each(key, [&](const Value& v, const std::string& at) {
      if (!v.IsString()) throw MalformedAnswer("the answer's " + at + " is not text");
      to.emplace_back(v.GetString(), v.GetStringLength());
    });
  }
  void operator()(const char* key, std::vector<std::pair<std::string, std::int64_t>>& to) const {
    object(key, [&](const Fields& f) {
      for (const auto& m : f.v_.GetObject()) {
        std::int64_t n = 0;
        f(m.name.GetString(), n);
        to.emplace_back(m.name.GetString(), n);
      }
    });
  }
  // Reads a string, a number or a boolean as text; true becomes "yes", false "".
  void scalar_text(const char* key, std::string& to) const {
    const auto* v = find(key);
    if (v == nullptr) return;
    if (v->IsString()) return (*this)(key, to);
    if (v->IsBool()) return void(to = v->GetBool() ? "yes" : "");
    std::int64_t n = 0;
    (*this)(key, n);
    to = std::to_string(n);
  }
  template <class F>
  void each(const char* key, F f) const {
    const auto* v = find(key);
    if (v == nullptr) return;
    if (!v->IsArray()) wrong_type(key, "a list");
    for (rapidjson::SizeType i = 0; i < v->Size(); i++) f((*v)[i], at(key) + "[" + std::to_string(i) + "]");
  }
  template <class F>
  void object(const char* key, F f) const {
    if (const auto* v = find(key)) f(Fields(*v, at(key)));
  }

 private:
  std::string at(const char* key) const {
    return path_.empty() ? key : *key == '\0' ? path_ : path_ + "." + key;
  }
  [[noreturn]] void wrong_type(const char* key, const char* what) const {
    const auto where = at(key);
    throw MalformedAnswer("the answer" + (where.empty() ? where : "'s " + where) + " is not " + what);
  }
  const Value* find(const char* key) const {
    const auto m = v_.FindMember(key);
    return m == v_.MemberEnd() || m->value.IsNull() ? nullptr : &m->value;
  }
  const Value& v_;
  std::string path_;
};

RelayStatus relay_status(const Fields& f) {
  RelayStatus s;
  f("version", s.version), f("trouble", s.trouble), f("generation", s.generation),
      f("uptime_ms", s.uptime_ms);
  f("fence", s.fence), f("ready", s.ready), f("draining", s.draining), f("stopping", s.stopping);
  f("clients", s.clients), f("memory_kb", s.memory_kb), f("descriptors", s.descriptors);
  f.object("held", [&](const Fields& h) {
    h("total", s.held), h("given_up", s.given_up), h("oldest_ms", s.oldest_ms), h("by_class", s.by_class);
    h("by_age_ms", s.by_age);
  });
  f.object("calls", [&](const Fields& c) { c("out", s.calls), c("slots", s.slots); });
  f.object("store", [&](const Fields& c) {
    c("bytes", s.store_bytes), c("limit", s.store_limit), c("segments", s.segments);
  });
  f.object("list", [&](const Fields& c) {
    c("told", s.list_received), c("index", s.list_index), c("endpoints", s.list_endpoints);
  });
  f.object("copies", [&](const Fields& c) {
    auto& k = s.copies.emplace();
    c("phase", k.phase), c("taking_over", k.taking_over), c("ready", k.ready), c("short", k.is_short);
    c("under_copied", k.under_copied), c("changing", k.changing), c("epoch", k.epoch), c("last", k.last);
    c("stands", k.stands), c("waiting", k.waiting), c("copies", k.copies), c("taken_over", k.taken_over);
    c.each("holders", [&](const Value& v, const std::string& at) {
      const Fields h(v, at);
      auto& one = k.holders.emplace_back();
      h("name", one.name), h("trouble", one.trouble), h("connected", one.connected);
      h("snapshot", one.snapshot), h("lag", one.lag);
    });
    c.each("held_for_others", [&](const Value& v, const std::string& at) {
      const Fields h(v, at);
      auto& one = k.held.emplace_back();
      h("name", one.name), h("moved_to", one.moved_to), h("trouble", one.trouble);
      h("messages", one.messages), h("bytes", one.bytes), h("heard_ms_ago", one.heard_ms_ago);
    });
  });
  f.each("targets", [&](const Value& v, const std::string& at) {
    const Fields t(v, at);
    Target target;
    t("endpoint", target.endpoint), t("destination", target.destination), t("listing", target.listing);
    t("health", target.health), t("pace", target.pace), t("delay_ms", target.delay_ms);
    t("wait_ms", target.wait_ms);
    s.targets.push_back(std::move(target));
  });
  return s;
}

Instance instance(const Fields& f) {
  Instance i;
  f("name", i.name), f("listen", i.listen), f("desired", i.desired), f("phase", i.phase), f("run", i.run);
  f("last_exit", i.last_exit), f("pid", i.pid), f("since_ms", i.since_ms), f("generation", i.generation);
  f("wanted_generation", i.wanted_generation), f("restarts", i.restarts), f("next_start_ms", i.next_start_ms);
  f("ready", i.ready), f("held", i.held), f("oldest_ms", i.oldest_ms), f("operation", i.operation);
  f("status_age_ms", i.status_age_ms);
  f.object("copies", [&](const Fields& c) {
    auto& k = i.copies.emplace();
    c("phase", k.phase), c("have", k.have), c("wanted", k.wanted), c("lag", k.lag), c("epoch", k.epoch);
  });
  f.object("status", [&](const Fields& s) { i.status = relay_status(s); });
  return i;
}

Operation operation(const Fields& f) {
  Operation o;
  f("id", o.id), f("generation", o.generation), f("created_ms", o.created_ms), f("ended_ms", o.ended_ms);
  f("superseded_by", o.superseded_by), f("kind", o.kind), f("by", o.by), f("state", o.state);
  f("message", o.message), f("diff", o.diff);
  f.each("steps", [&](const Value& v, const std::string& at) {
    const Fields s(v, at);
    Step step;
    s("instance", step.instance), s("state", step.state), s("what", step.what), s("since_ms", step.since_ms);
    o.steps.push_back(std::move(step));
  });
  return o;
}

}  // namespace

AgentInfo read_agent(const std::string& json) {
  const auto d = parse(json);
  const Fields f(d, "");
  AgentInfo a;
  f("name", a.name), f("version", a.version), f("api", a.api), f("pid", a.pid), f("started_ms", a.started_ms);
  f("generation", a.generation), f("instances", a.instances), f("ready", a.ready),
      f("operation", a.operation);
  f.object("platform", [&](const Fields& p) {
    Platform t;
    p("listen", t.listen), p("index", t.index), p("endpoints", t.endpoints), p("watchers", t.watchers);
    p("finals", t.finals), p("trouble", t.trouble);
    if (!t.listen.empty()) a.platform = t;
  });
  return a;
}

std::vector<Instance> read_instances(const std::string& json, std::int64_t& generation) {
  const auto d = parse(json);
  const Fields f(d, "");
  f("generation", generation);
  std::vector<Instance> all;
  f.each("instances", [&](const Value& v, const std::string& at) { all.push_back(instance(Fields(v, at))); });
  return all;
}

Instance read_instance(const std::string& json) {
  const auto d = parse(json);
  return instance(Fields(d, ""));
}

Operation read_operation(const std::string& json) {
  const auto d = parse(json);
  auto o = operation(Fields(d, ""));
  if (o.state.empty()) throw MalformedAnswer("the answer is not an operation: it has no state");
  return o;
}

std::vector<Operation> read_operations(const std::string& json) {
  const auto d = parse(json);
  std::vector<Operation> all;
  Fields(d, "").each("operations",
                     [&](const Value& v, const std::string& at) { all.push_back(operation(Fields(v, at))); });
  return all;
}

std::string read_new_owner(const std::string& json) {
  const auto d = parse(json);
  std::string by;
  Fields(d, "")("by", by);
  return by;
}

MessageAnswer read_message(const std::string& json) {
  const auto d = parse(json);
  const Fields f(d, "");
  MessageAnswer a;
  f("not_asked", a.not_asked);
  f.each("found", [&](const Value& v, const std::string& at) {
    const Fields m(v, at);
    FoundMessage found;
    m("instance", found.instance), m("id", found.id), m("class", found.message_class),
        m("state", found.state);
    m.scalar_text("doubt", found.doubt), m.scalar_text("tenant", found.tenant),
        m.scalar_text("destination", found.destination);
    m("number", found.number), m("deadline_ms", found.deadline_ms);
    m.each("attempts", [&](const Value& w, const std::string& where) {
      const Fields t(w, where);
      Attempt attempt;
      t("at_ms", attempt.at_ms), t.scalar_text("zone", attempt.zone),
          t.scalar_text("outcome", attempt.outcome);
      found.attempts.push_back(std::move(attempt));
    });
    a.found.push_back(std::move(found));
  });
  return a;
}

std::int64_t read_generation(const std::string& json) {
  const auto d = parse(json);
  std::int64_t generation = -1;
  Fields(d, "")("generation", generation);
  if (generation < 0) throw MalformedAnswer("the answer names no generation");
  return generation;
}

std::optional<AgentError> read_error(const std::string& json) {
  try {
    const auto d = parse(json);
    const Fields f(d, "");
    std::optional<AgentError> e;
    f.object("error", [&](const Fields& g) {
      e.emplace();
      g("code", e->code), g("message", e->message), g("hint", e->hint);
      const auto with = [&](const Fields& w) {
        e->with.emplace();
        w("operation", e->with->operation), w("kind", e->with->kind), w("by", e->with->by);
        w("since_ms", e->with->since_ms), w("names", e->with->names);
      };
      f.object("with", with), g.object("with", with);
    });
    return e;
  } catch (const MalformedAnswer&) {
    return {};
  }
}

void check_json(const std::string& json) { parse(json); }

}  // namespace heronvane::cli
