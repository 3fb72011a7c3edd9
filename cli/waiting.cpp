// Waits for running operations: follows them on all agents in parallel until they end, the user interrupts or
// the timeout passes.
#include <algorithm>
#include <thread>

#include "mailbox.hpp"
#include "run.hpp"

namespace heronvane::cli {

namespace {

struct Update {
  std::size_t connection = 0;
  // monostate: the stream ended.
  std::variant<std::monostate, std::pair<Operation, std::string>, Failure> what;
};

// Progress on standard error: on a terminal, one line per operation that is redrawn in place; otherwise one
// line for each step that ended.
class Progress {
 public:
  Progress() : style_(style_of(2)), redraws_(is_terminal(2)) {}
  ~Progress() {
    try {
      clear();
    } catch (const std::exception&) {
    }
  }
  void step(const Operation& before, const AgentResult<Operation>& after) {
    if (!redraws_) put(2, step_lines(before, after));
  }
  void draw(const std::vector<AgentResult<Operation>>& all) {
    if (!redraws_) return;
    style_ = style_of(2);
    std::string out = back();
    for (const auto& one : all) out += progress_line(one, style_, unix_ms()) + "\x1b[K\n";
    lines_ = all.size();
    put(2, out + "\x1b[J");
  }
  void clear() {
    if (lines_ > 0) put(2, back() + "\x1b[J");
    lines_ = 0;
  }

 private:
  std::string back() const { return lines_ > 0 ? "\x1b[" + std::to_string(lines_) + "A\r" : ""; }
  Style style_;
  bool redraws_;
  std::size_t lines_ = 0;
};

}  // namespace

int Run::wait_for(Results<Operation>& operations) {
  const auto running = [&](std::size_t i) {
    const auto* b = std::get_if<Parsed<Operation>>(&operations[i]);
    return b != nullptr && b->value.running();
  };
  std::size_t running_count = 0;
  for (std::size_t i = 0; i < operations.size(); i++) running_count += running(i) ? 1 : 0;
  if (running_count == 0) return kDone;

  std::optional<Instant> deadline;
  if (global_.timeout)
    deadline = std::chrono::steady_clock::now() +
               std::chrono::milliseconds(static_cast<std::int64_t>(*global_.timeout * 1000));
  Interrupt interrupt;
  Mailbox<Update> updates;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < operations.size(); i++) {
    if (!running(i)) continue;
    const auto id = std::get<Parsed<Operation>>(operations[i]).value.id;
    threads.emplace_back([this, i, id, &updates] {
      try {
        session_.connections()[i]->follow_operation(id, [&](const Operation& o, const std::string& json) {
          updates.put({i, std::pair(o, json)});
        });
        updates.put({i, std::monostate()});
      } catch (Failure& f) {
        updates.put({i, std::move(f)});
      } catch (const TransportError&) {  // interrupted through stop_
      } catch (const std::exception& e) {
        updates.put({i, Failure{kUnreachable, e.what(), "", "", false}});
      }
    });
  }
  Progress progress;
  int exit = kDone;  // of the wait, not of the operations
  const auto apply = [&](Update& u) {
    if (auto* changed = std::get_if<std::pair<Operation, std::string>>(&u.what)) {
      auto& b = std::get<Parsed<Operation>>(operations[u.connection]);
      const auto& connection = *session_.connections()[u.connection];
      progress.step(b.value, {connection.label, connection.command, changed->first});
      b = {std::move(changed->first), std::move(changed->second)};
      return;
    }
    running_count--;
    if (auto* f = std::get_if<Failure>(&u.what)) {
      const auto& o = std::get<Parsed<Operation>>(operations[u.connection]).value;
      f->message += "; operation " + std::to_string(o.id) + " was under way and may go on";
      f->hint = "once the agent is back: " + session_.connections()[u.connection]->command + " operation " +
                std::to_string(o.id);
      operations[u.connection] = std::move(*f);
    }
  };
  while (running_count > 0 && exit == kDone) {
    progress.draw(successes(operations));
    auto next_redraw = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
    if (deadline) next_redraw = std::min(next_redraw, *deadline);
    switch (interrupt.wait(updates.descriptor(), next_redraw)) {
      case Interrupt::Seen::interrupted:
        exit = kInterrupted;
        break;
      case Interrupt::Seen::resized:
        break;
      case Interrupt::Seen::ready:
        for (auto& u : updates.take()) apply(u);
        break;
      case Interrupt::Seen::late:
        if (deadline && std::chrono::steady_clock::now() >= *deadline) exit = kPartial;
        break;
    }
  }
  stop_.stop();
  for (auto& t : threads) t.join();
  progress.clear();
  if (exit == kDone) return exit;
  for (std::size_t i = 0; i < operations.size(); i++) {
    if (!running(i)) continue;
    const auto id = std::to_string(std::get<Parsed<Operation>>(operations[i]).value.id);
    const auto& connection = *session_.connections()[i];
    put(2,
        wrapped(safe(exit == kInterrupted
                         ? "Stopped waiting; operation " + id + " goes on."
                         : "Not done within " + duration(static_cast<std::int64_t>(*global_.timeout * 1000)) +
                               "; operation " + id + " goes on."),
                0, style_of(2).width));
    put(2, "  wait again: " + safe(connection.command) + " operation " + id +
               "\n  cancel it:  " + safe(connection.command) + " cancel " + id + "\n");
  }
  return exit;
}

int Run::carry_out(Results<Operation> started, bool wait) {
  const int waited = wait ? wait_for(started) : kDone;
  std::vector<int> exits{};
  for (const auto& r : started) {
    if (const auto* f = std::get_if<Failure>(&r)) {
      exits.push_back(f->exit);
      continue;
    }
    const auto& o = std::get<Parsed<Operation>>(r).value;
    exits.push_back(o.state == "failed" || o.state == "cancelled" ? kPartial
                    : o.state == "superseded"                     ? kConflict
                                                                  : kDone);
  }
  finish(started, [&](const auto& all) {
    std::string out;
    if (waited == kInterrupted) return out;  // wait_for() already printed how to continue

    for (const auto& one : all)
      out += (out.empty() ? "" : "\n") + render_operation(one, style_of(1), unix_ms());
    return out;
  });
  return waited != kDone ? waited : combined_exit(exits);
}

int Run::operator()(const ShowOperation& c) {
  auto results = session_.ask<Parsed<Operation>>([&](AgentConnection& p) {
    auto json = p.get("/v1/operations/" + std::to_string(c.operation));
    return Parsed<Operation>{p.as(json, read_operation), json};
  });
  ignore_not_found(results);
  // Showing an operation that already failed exits with kDone; only an operation that was waited for sets the
  // exit status.
  bool any_running = false;
  for (const auto& t : successes(results)) any_running = any_running || t.value.running();
  if (c.wait && any_running) return carry_out(std::move(results), true);
  return finish(results, [&](const auto& all) {
    std::string out;
    for (const auto& one : all)
      out += (out.empty() ? "" : "\n") + render_operation(one, style_of(1), unix_ms());
    return out;
  });
}

int Run::operator()(const Cancel& c) {
  const auto results = session_.ask<Parsed<Operation>>([&](AgentConnection& p) {
    p.get("/v1/agent");  // learns the API version, which change() checks
    auto json = p.change("DELETE", "/v1/operations/" + std::to_string(c.operation), "");
    return Parsed<Operation>{p.as(json, read_operation), json};
  });
  return finish(results,
                [&](const auto& all) { return render_operation(all.front(), style_of(1), unix_ms()); });
}

}  // namespace heronvane::cli
