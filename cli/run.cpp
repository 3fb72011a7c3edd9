#include "run.hpp"

#include <cstdio>

#include "completion.hpp"
#include "demo.hpp"

namespace heronvane::cli {

namespace {

std::string one_document(const std::variant<std::string, Failure>& d) {
  if (const auto* text = std::get_if<std::string>(&d)) return *text;
  const auto& f = std::get<Failure>(d);
  if (!f.json.empty()) return f.json;
  const char* const code = f.exit == kUnreachable ? "unreachable"
                           : f.exit == kConflict  ? "conflict"
                                                  : "refused";
  return std::string("{\"error\":{\"code\":\"") + code + "\",\"message\":" + json_string(f.message) +
         ",\"hint\":" + json_string(f.hint) + "}}";
}

}  // namespace

void Run::print_json(const std::vector<std::variant<std::string, Failure>>& documents) {
  if (documents.size() == 1) return put(1, one_document(documents[0]) + "\n");
  std::string out = "[";
  for (std::size_t i = 0; i < documents.size(); i++) {
    const auto document = one_document(documents[i]);
    out += (i > 0 ? ",\n" : "\n") + ("{\"agent\":" + json_string(session_.connections()[i]->address()));
    // Merges the error document into this object: {"agent":..,"error":{..}}
    if (std::holds_alternative<std::string>(documents[i]))
      out += ",\"answer\":" + document + "}";
    else
      out += "," + document.substr(document.find('{') + 1);
  }
  put(1, out + "\n]\n");
}

void Run::print_failure(const Failure& f) {
  const auto style = style_of(2);
  put(2, wrapped("heronvanectl: " + safe(f.message, true), 0, style.width) +
             (f.hint.empty() ? "" : wrapped("next: " + safe(f.hint), 2, style.width)));
}

int Run::report_failures(const std::vector<const Failure*>& all) {
  std::vector<int> exits;
  for (const auto* f : all) {
    exits.push_back(f == nullptr ? kDone : f->exit);
    if (f != nullptr && f->exit != kDone) print_failure(*f);
  }
  warn_of_other_versions();
  return combined_exit(exits);
}

void Run::warn_of_other_versions() {
  for (const auto& p : session_.connections())
    if (p->other_api() != 0)
      put(2, wrapped(safe("heronvanectl: the agent at " + p->address() + " speaks " + p->versions() +
                          ": it is read as far as it goes, and changes are not sent to it"),
                     0, style_of(2).width));
}

void Run::prepare() {
  if (!json()) session_.learn_labels();
}

int Run::operator()(const List& c) {
  const auto results = session_.ask<Parsed<Listing>>([](AgentConnection& p) {
    Parsed<Listing> b;
    b.json = p.get("/v1/instances");
    b.value.instances =
        p.as(b.json, [&](const std::string& json) { return read_instances(json, b.value.generation); });
    return b;
  });
  return finish(results, [&](const auto& all) {
    if (!c.names) return render_list(all, style_of(1), unix_ms());
    std::string out;
    for (const auto& told : all)
      for (const auto& i : told.value.instances) out += safe(i.name) + "\n";
    return out;
  });
}

int Run::operator()(const Show& c) {
  auto results = session_.ask<Parsed<Instance>>([&](AgentConnection& p) {
    auto json = p.get("/v1/instances/" + c.instance);
    return Parsed<Instance>{p.as(json, read_instance), json};
  });
  ignore_not_found(results);
  return finish(results, [&](const auto& all) {
    std::string out;
    for (const auto& one : all)
      out += (out.empty() ? "" : "\n") + render_instance(one, style_of(1), unix_ms());
    return out;
  });
}

int Run::operator()(const Message& c) {
  std::string id;  // percent-encoded, since ids may hold any characters
  for (const char ch : c.id) {
    const auto u = static_cast<unsigned char>(ch);
    char hex[4];
    std::snprintf(hex, sizeof hex, "%%%02X", u);
    const bool plain = (ch >= '0' && ch <= '9') || (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') ||
                       std::string_view("-._~").find(ch) != std::string_view::npos;
    id += plain ? std::string(1, ch) : hex;
  }
  auto results = session_.ask<Parsed<MessageAnswer>>([&](AgentConnection& p) {
    auto json = p.get("/v1/messages/" + id);
    Parsed<MessageAnswer> b{p.as(json, read_message), json};
    if (b.value.found.empty() && b.value.not_asked.empty())
      throw Failure{kRefused,
                    "no instance of " + (p.label.empty() ? p.address() : p.label) + " knows message " + c.id,
                    "ids that are over are forgotten 10 s past their deadline, or later", json, true};
    return b;
  });
  ignore_not_found(results);
  const auto exit =
      finish(results, [&](const auto& all) { return render_message(all, style_of(1), unix_ms()); });
  if (exit != kDone) return exit;
  // If the message was not found but some instances could not be queried, the result is incomplete.
  for (const auto& t : successes(results))
    if (!t.value.found.empty()) return kDone;
  return kPartial;
}

int Run::operator()(const History& c) {
  const auto results = session_.ask<Parsed<std::vector<Operation>>>([&](AgentConnection& p) {
    auto json = p.get("/v1/operations?limit=" + std::to_string(c.limit));
    return Parsed<std::vector<Operation>>{p.as(json, read_operations), json};
  });
  return finish(results, [&](const auto& all) { return render_history(all, style_of(1), unix_ms()); });
}

int Run::operator()(const Logs& c) {
  if (c.follow) {
    // Finds the agent that has the instance, so that only that agent is followed.
    AgentConnection* at = nullptr;
    std::vector<const Failure*> failed;
    const auto found = session_.ask<bool>([&](AgentConnection& p) {
      p.get("/v1/instances/" + c.instance);
      return true;
    });
    for (std::size_t i = 0; i < found.size(); i++)
      if (const auto* f = std::get_if<Failure>(&found[i]))
        failed.push_back(f);
      else if (at == nullptr)
        at = session_.connections()[i].get();
    if (at == nullptr) return report_failures(failed);
    const bool raw = !is_terminal(1);
    try {
      // Ctrl-C ends the process by the signal's default action: there is no terminal state to restore.
      at->follow_log(c.instance, c.lines,
                     [&](std::string_view lines) { put(1, raw ? std::string(lines) : safe(lines, true)); });
    } catch (const Failure& f) {
      return report_failures({&f});
    }
    return kDone;
  }
  auto results = session_.ask<Parsed<std::string>>([&](AgentConnection& p) {
    auto text = p.get("/v1/instances/" + c.instance + "/log?lines=" + std::to_string(c.lines), false);
    const auto document = "{\"instance\":" + json_string(c.instance) + ",\"log\":" + json_string(text) + "}";
    return Parsed<std::string>{std::move(text), document};
  });
  ignore_not_found(results);
  return finish(results, [&](const auto& all) {
    std::string out;
    for (const auto& one : all) {
      out += is_terminal(1) ? safe(one.value, true) : one.value;
      if (!out.empty() && out.back() != '\n') out += '\n';
    }
    return out;
  });
}

int Run::operator()(const Completion& c) {
  put(1, completion_script(c.shell));
  return kDone;
}

int Run::operator()(const Demo& c) { return demo(c); }

int Run::operator()(const Version&) {
  const auto results = session_.ask<Parsed<AgentInfo>>([](AgentConnection& p) {
    auto json = p.get("/v1/agent");
    return Parsed<AgentInfo>{p.as(json, read_agent), json};
  });
  const auto* failure = std::get_if<Failure>(&results[0]);
  if (json()) {
    std::string agents;
    for (std::size_t i = 0; i < results.size(); i++) {
      agents += (i > 0 ? ",{\"agent\":" : "{\"agent\":") + json_string(session_.connections()[i]->address());
      if (const auto* b = std::get_if<Parsed<AgentInfo>>(&results[i]))
        agents +=
            ",\"version\":" + json_string(b->value.version) + ",\"api\":" + std::to_string(b->value.api);
      agents += "}";
    }
    put(1, "{\"version\":" + json_string(HERONVANE_VERSION) + ",\"api\":" + std::to_string(kApi) +
               ",\"agents\":[" + agents + "]}\n");
  } else {
    put(1, render_versions(successes(results), HERONVANE_VERSION, style_of(1)));
  }
  // Without --agent, it is no failure if no agent runs at the default address.
  if (failure != nullptr && !global_.agents_named) {
    if (!json()) put(1, wrapped(safe(failure->message), 0, style_of(1).width));
    return kDone;
  }
  std::vector<const Failure*> failed;
  for (const auto& r : results) failed.push_back(std::get_if<Failure>(&r));
  return report_failures(failed);
}

int run(const Invocation& invocation) {
  // completion and demo need no agent, so they run before any connection is set up.
  if (const auto* c = std::get_if<Completion>(&invocation.command)) {
    put(1, completion_script(c->shell));
    return kDone;
  }
  if (const auto* c = std::get_if<Demo>(&invocation.command)) return demo(*c);
  Run run(invocation.global);
  run.prepare();
  return std::visit(run, invocation.command);
}

}  // namespace heronvane::cli
