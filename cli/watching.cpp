// status, once and again.
#include <thread>

#include "mailbox.hpp"
#include "run.hpp"

namespace heronvane::cli {

using std::chrono::milliseconds;

StatusView Run::look(Port& port, std::string* document, milliseconds budget) {
  const auto until = std::chrono::steady_clock::now() + budget;
  StatusView v;
  const auto agent = port.get("/v1/agent");
  v.agent = port.as(agent, read_agent);
  const auto instances = port.get("/v1/instances");
  std::int64_t generation = 0;
  v.instances = port.as(instances, [&](const std::string& json) { return read_instances(json, generation); });
  std::string operation = "null";
  if (v.agent.operation > 0) {
    operation = port.get("/v1/operations/" + std::to_string(v.agent.operation));
    v.operation = port.as(operation, read_operation);
    if (!v.operation->running()) v.operation.reset();
  }
  if (document != nullptr) {
    *document = "{\"agent\":" + agent + ",\"instances\":" + instances + ",\"operation\":" + operation + "}";
    return v;
  }
  // What troubles a relay is told with the instance alone.
  for (auto& i : v.instances) {
    if (i.pid == 0) continue;
    if (std::chrono::steady_clock::now() > until) {
      v.not_looked_at++;
      continue;
    }
    try {
      i.status = port.as(port.get("/v1/instances/" + i.name), read_instance).status;
    } catch (const Failure& f) {
      if (!f.unknown) throw;  // gone since
    }
  }
  return v;
}

int Run::operator()(const Status& c) {
  if (c.watch) return watch();
  const auto results = session_.ask<Both<StatusView>>([&](Port& p) {
    Both<StatusView> b;
    b.value = look(p, json() ? &b.json : nullptr, milliseconds(3'000));
    return b;
  });
  return finish(results, [&](const auto& all) { return render_status(all, style_of(1), unix_ms()); });
}

int Run::watch() {
  using Seen = Interrupt::Seen;
  const bool drawn = is_terminal(1);
  Interrupt interrupt;
  std::optional<Screen> screen;
  if (drawn) screen.emplace(1);
  Results<StatusView> last;
  std::string text;
  const auto draw = [&] {
    const auto style = style_of(1);
    text = last.empty() ? "Asking...\n" : render_status(told(last), style, unix_ms());
    for (const auto& r : last)
      if (const auto* f = std::get_if<Failure>(&r))
        text += (text.empty() ? "" : "\n") + toned(wrapped(safe(f->what), 0, style.width), Tone::bad, style) +
                wrapped("next: " + safe(f->next), 2, style.width);
    if (drawn)
      screen->draw(text + "\n" + toned("Every second; Ctrl-C ends.", Tone::dim, style) + "\n");
    else if (!last.empty())
      put(1, text + "\n");
  };
  if (drawn) draw();
  for (;;) {
    const auto begun = std::chrono::steady_clock::now();
    Mailbox<Results<StatusView>> box;
    std::thread asking([&] {
      box.put(session_.ask<Both<StatusView>>([&](Port& p) {
        return Both<StatusView>{look(p, nullptr, milliseconds(1'000)), ""};
      }));
    });
    Seen seen = Seen::resized;
    while (seen == Seen::resized) {
      seen = interrupt.wait(box.descriptor(), {});
      if (seen == Seen::resized && drawn) draw();
    }
    if (seen == Seen::interrupted) stop_.stop();
    asking.join();
    if (seen == Seen::interrupted) return kDone;
    last = std::move(box.take().front());
    draw();
    do {
      seen = interrupt.wait(-1, begun + std::chrono::seconds(1));
      if (seen == Seen::resized && drawn) draw();
    } while (seen == Seen::resized);
    if (seen == Seen::interrupted) return kDone;
  }
}

}  // namespace heronvane::cli
