// The status command, once or repeated (--watch).
#include <thread>

#include "mailbox.hpp"
#include "run.hpp"

namespace heronvane::cli {

using std::chrono::milliseconds;

StatusView Run::poll_status(AgentConnection& connection, std::string* document, milliseconds budget) {
  const auto deadline = std::chrono::steady_clock::now() + budget;
  StatusView v;
  const auto agent = connection.get("/v1/agent");
  v.agent = connection.as(agent, read_agent);
  const auto instances = connection.get("/v1/instances");
  std::int64_t generation = 0;
  v.instances =
      connection.as(instances, [&](const std::string& json) { return read_instances(json, generation); });
  std::string operation = "null";
  if (v.agent.operation > 0) {
    operation = connection.get("/v1/operations/" + std::to_string(v.agent.operation));
    v.operation = connection.as(operation, read_operation);
    if (!v.operation->running()) v.operation.reset();
  }
  if (document != nullptr) {
    *document = "{\"agent\":" + agent + ",\"instances\":" + instances + ",\"operation\":" + operation + "}";
    return v;
  }
  // The relay's own status, with its problems, is only part of the answer for a single instance.
  for (auto& i : v.instances) {
    if (i.pid == 0) continue;
    if (std::chrono::steady_clock::now() > deadline) {
      v.status_not_read++;
      continue;
    }
    try {
      i.status = connection.as(connection.get("/v1/instances/" + i.name), read_instance).status;
    } catch (const Failure& f) {
      if (!f.not_found) throw;  // removed since the list was read
    }
  }
  return v;
}

int Run::operator()(const Status& c) {
  if (c.watch) return watch();
  const auto results = session_.ask<Parsed<StatusView>>([&](AgentConnection& p) {
    Parsed<StatusView> b;
    b.value = poll_status(p, json() ? &b.json : nullptr, milliseconds(3'000));
    return b;
  });
  return finish(results, [&](const auto& all) { return render_status(all, style_of(1), unix_ms()); });
}

int Run::watch() {
  using Seen = Interrupt::Seen;
  const bool is_screen = is_terminal(1);
  Interrupt interrupt;
  std::optional<Screen> screen;
  if (is_screen) screen.emplace(1);
  Results<StatusView> last;
  std::string text;
  const auto draw = [&] {
    const auto style = style_of(1);
    text = last.empty() ? "Asking...\n" : render_status(successes(last), style, unix_ms());
    for (const auto& r : last)
      if (const auto* f = std::get_if<Failure>(&r))
        text += (text.empty() ? "" : "\n") +
                toned(wrapped(safe(f->message), 0, style.width), Tone::bad, style) +
                wrapped("next: " + safe(f->hint), 2, style.width);
    if (is_screen)
      screen->draw(text + "\n" + toned("Every second; Ctrl-C ends.", Tone::dim, style) + "\n");
    else if (!last.empty())
      put(1, text + "\n");
  };
  if (is_screen) draw();
  for (;;) {
    const auto started = std::chrono::steady_clock::now();
    Mailbox<Results<StatusView>> answers;
    std::thread poller([&] {
      answers.put(session_.ask<Parsed<StatusView>>([&](AgentConnection& p) {
        return Parsed<StatusView>{poll_status(p, nullptr, milliseconds(1'000)), ""};
      }));
    });
    Seen seen = Seen::resized;
    while (seen == Seen::resized) {
      seen = interrupt.wait(answers.descriptor(), {});
      if (seen == Seen::resized && is_screen) draw();
    }
    if (seen == Seen::interrupted) stop_.stop();
    poller.join();
    if (seen == Seen::interrupted) return kDone;
    last = std::move(answers.take().front());
    draw();
    do {
      seen = interrupt.wait(-1, started + std::chrono::seconds(1));
      if (seen == Seen::resized && is_screen) draw();
    } while (seen == Seen::resized);
    if (seen == Seen::interrupted) return kDone;
  }
}

}  // namespace heronvane::cli
