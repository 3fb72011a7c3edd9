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
  return std::string("{\"error\":{\"code\":\"") + code + "\",\"message\":" + escaped(f.what) +
         ",\"hint\":" + escaped(f.next) + "}}";
}

}  // namespace

void Run::print_json(const std::vector<std::variant<std::string, Failure>>& documents) {
  if (documents.size() == 1) return put(1, one_document(documents[0]) + "\n");
  std::string out = "[";
  for (std::size_t i = 0; i < documents.size(); i++) {
    const auto document = one_document(documents[i]);
    out += (i > 0 ? ",\n" : "\n") + ("{\"agent\":" + escaped(session_.ports()[i]->address()));
    // An error's own braces are taken off: {"agent":..,"error":{..}}
    if (std::holds_alternative<std::string>(documents[i]))
      out += ",\"answer\":" + document + "}";
    else
      out += "," + document.substr(document.find('{') + 1);
  }
  put(1, out + "\n]\n");
}

void Run::tell(const Failure& f) {
  const auto style = style_of(2);
  put(2, wrapped("heronvanectl: " + safe(f.what, true), 0, style.width) +
             (f.next.empty() ? "" : wrapped("next: " + safe(f.next), 2, style.width)));
}

int Run::failures(const std::vector<const Failure*>& all) {
  std::vector<int> exits;
  for (const auto* f : all) {
    exits.push_back(f == nullptr ? kDone : f->exit);
    if (f != nullptr && f->exit != kDone) tell(*f);
  }
  warn_of_other_versions();
  return merged(exits);
}

void Run::warn_of_other_versions() {
  for (const auto& p : session_.ports())
    if (p->other_api() != 0)
      put(2, wrapped(safe("heronvanectl: the agent at " + p->address() + " speaks " + p->versions() +
                          ": it is read as far as it goes, and changes are not sent to it"),
                     0, style_of(2).width));
}

void Run::prepare() {
  if (!json()) session_.learn_labels();
}

int Run::operator()(const List& c) {
  const auto results = session_.ask<Both<Listing>>([](Port& p) {
    Both<Listing> b;
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
  auto results = session_.ask<Both<Instance>>([&](Port& p) {
    auto json = p.get("/v1/instances/" + c.instance);
    return Both<Instance>{p.as(json, read_instance), json};
  });
  forget_unknown(results);
  return finish(results, [&](const auto& all) {
    std::string out;
    for (const auto& one : all)
      out += (out.empty() ? "" : "\n") + render_instance(one, style_of(1), unix_ms());
    return out;
  });
}

int Run::operator()(const Message& c) {
  std::string id;  // ids may hold what ends a target
  for (const char ch : c.id) {
    const auto u = static_cast<unsigned char>(ch);
    char hex[4];
    std::snprintf(hex, sizeof hex, "%%%02X", u);
    const bool plain = (ch >= '0' && ch <= '9') || (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') ||
                       std::string_view("-._~").find(ch) != std::string_view::npos;
    id += plain ? std::string(1, ch) : hex;
  }
  auto results = session_.ask<Both<MessageAnswer>>([&](Port& p) {
    auto json = p.get("/v1/messages/" + id);
    Both<MessageAnswer> b{p.as(json, read_message), json};
    if (b.value.found.empty() && b.value.not_asked.empty())
      throw Failure{kRefused,
                    "no instance of " + (p.label.empty() ? p.address() : p.label) + " knows message " + c.id,
                    "ids that are over are forgotten 10 s past their deadline, or later", json, true};
    return b;
  });
  forget_unknown(results);
  const auto exit =
      finish(results, [&](const auto& all) { return render_message(all, style_of(1), unix_ms()); });
  if (exit != kDone) return exit;
  // Not found, where some could not be asked, is no answer.
  for (const auto& t : told(results))
    if (!t.value.found.empty()) return kDone;
  return kPartial;
}

int Run::operator()(const History& c) {
  const auto results = session_.ask<Both<std::vector<Operation>>>([&](Port& p) {
    auto json = p.get("/v1/operations?limit=" + std::to_string(c.limit));
    return Both<std::vector<Operation>>{p.as(json, read_operations), json};
  });
  return finish(results, [&](const auto& all) { return render_history(all, style_of(1), unix_ms()); });
}

int Run::operator()(const Logs& c) {
  if (c.follow) {
    // Which agent has it is asked first, so that only that one is followed.
    Port* at = nullptr;
    std::vector<const Failure*> failed;
    const auto found = session_.ask<bool>([&](Port& p) {
      p.get("/v1/instances/" + c.instance);
      return true;
    });
    for (std::size_t i = 0; i < found.size(); i++)
      if (const auto* f = std::get_if<Failure>(&found[i]))
        failed.push_back(f);
      else if (at == nullptr)
        at = session_.ports()[i].get();
    if (at == nullptr) return failures(failed);
    const bool raw = !is_terminal(1);
    try {
      // Ctrl-C ends it in the plain way: nothing has to be put back.
      at->follow_log(c.instance, c.lines,
                     [&](std::string_view lines) { put(1, raw ? std::string(lines) : safe(lines, true)); });
    } catch (const Failure& f) {
      return failures({&f});
    }
    return kDone;
  }
  auto results = session_.ask<Both<std::string>>([&](Port& p) {
    auto text = p.get("/v1/instances/" + c.instance + "/log?lines=" + std::to_string(c.lines), false);
    const auto document = "{\"instance\":" + escaped(c.instance) + ",\"log\":" + escaped(text) + "}";
    return Both<std::string>{std::move(text), document};
  });
  forget_unknown(results);
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
  const auto results = session_.ask<Both<AgentInfo>>([](Port& p) {
    auto json = p.get("/v1/agent");
    return Both<AgentInfo>{p.as(json, read_agent), json};
  });
  const auto* failure = std::get_if<Failure>(&results[0]);
  if (json()) {
    std::string agents;
    for (std::size_t i = 0; i < results.size(); i++) {
      agents += (i > 0 ? ",{\"agent\":" : "{\"agent\":") + escaped(session_.ports()[i]->address());
      if (const auto* b = std::get_if<Both<AgentInfo>>(&results[i]))
        agents += ",\"version\":" + escaped(b->value.version) + ",\"api\":" + std::to_string(b->value.api);
      agents += "}";
    }
    put(1, "{\"version\":" + escaped(HERONVANE_VERSION) + ",\"api\":" + std::to_string(kApi) +
               ",\"agents\":[" + agents + "]}\n");
  } else {
    put(1, render_versions(told(results), HERONVANE_VERSION, style_of(1)));
  }
  // Asked without an agent in mind, that none runs here is no failure.
  if (failure != nullptr && !global_.agents_named) {
    if (!json()) put(1, wrapped(safe(failure->what), 0, style_of(1).width));
    return kDone;
  }
  std::vector<const Failure*> failed;
  for (const auto& r : results) failed.push_back(std::get_if<Failure>(&r));
  return failures(failed);
}

int run(const Invocation& invocation) {
  // What needs no agent must not fail for want of one.
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
