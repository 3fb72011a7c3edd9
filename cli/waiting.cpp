// Operations that run: followed on each agent side by side, until they end or the person stops waiting.
#include <algorithm>
#include <thread>

#include "mailbox.hpp"
#include "run.hpp"

namespace heronvane::cli {

namespace {

struct Update {
  std::size_t port = 0;
  std::variant<std::monostate, std::pair<Operation, std::string>, Failure> what;  // monostate: it ended
};

// The lines of what runs: drawn over on a terminal, one for each step that ended elsewhere.
class Progress {
 public:
  Progress() : style_(style_of(2)), drawn_(is_terminal(2)) {}
  ~Progress() {
    try {
      clear();
    } catch (const std::exception&) {
    }
  }
  void step(const Operation& before, const Told<Operation>& after) {
    if (!drawn_) put(2, step_lines(before, after));
  }
  void draw(const std::vector<Told<Operation>>& all) {
    if (!drawn_) return;
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
  bool drawn_;
  std::size_t lines_ = 0;
};

}  // namespace

int Run::wait_for(Results<Operation>& operations) {
  const auto running = [&](std::size_t i) {
    const auto* b = std::get_if<Both<Operation>>(&operations[i]);
    return b != nullptr && b->value.running();
  };
  std::size_t open = 0;
  for (std::size_t i = 0; i < operations.size(); i++) open += running(i) ? 1 : 0;
  if (open == 0) return kDone;

  std::optional<Instant> until;
  if (global_.timeout)
    until = std::chrono::steady_clock::now() +
            std::chrono::milliseconds(static_cast<std::int64_t>(*global_.timeout * 1000));
  Interrupt interrupt;
  Mailbox<Update> box;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < operations.size(); i++) {
    if (!running(i)) continue;
    const auto id = std::get<Both<Operation>>(operations[i]).value.id;
    threads.emplace_back([this, i, id, &box] {
      try {
        session_.ports()[i]->follow_operation(id, [&](const Operation& o, const std::string& json) {
          box.put({i, std::pair(o, json)});
        });
        box.put({i, std::monostate()});
      } catch (Failure& f) {
        box.put({i, std::move(f)});
      } catch (const TransportError&) {  // stopped
      } catch (const std::exception& e) {
        box.put({i, Failure{kUnreachable, e.what(), "", "", false}});
      }
    });
  }
  Progress progress;
  int exit = kDone;  // as a wait
  const auto take = [&](Update& u) {
    if (auto* news = std::get_if<std::pair<Operation, std::string>>(&u.what)) {
      auto& b = std::get<Both<Operation>>(operations[u.port]);
      const auto& port = *session_.ports()[u.port];
      progress.step(b.value, {port.label, port.command, news->first});
      b = {std::move(news->first), std::move(news->second)};
      return;
    }
    open--;
    if (auto* f = std::get_if<Failure>(&u.what)) {
      const auto& o = std::get<Both<Operation>>(operations[u.port]).value;
      f->what += "; operation " + std::to_string(o.id) + " was under way and may go on";
      f->next = "once the agent is back: " + session_.ports()[u.port]->command + " operation " +
                std::to_string(o.id);
      operations[u.port] = std::move(*f);
    }
  };
  while (open > 0 && exit == kDone) {
    progress.draw(told(operations));
    auto tick = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
    if (until) tick = std::min(tick, *until);
    switch (interrupt.wait(box.descriptor(), tick)) {
      case Interrupt::Seen::interrupted:
        exit = kInterrupted;
        break;
      case Interrupt::Seen::resized:
        break;
      case Interrupt::Seen::ready:
        for (auto& u : box.take()) take(u);
        break;
      case Interrupt::Seen::late:
        if (until && std::chrono::steady_clock::now() >= *until) exit = kPartial;
        break;
    }
  }
  stop_.stop();
  for (auto& t : threads) t.join();
  progress.clear();
  if (exit == kDone) return exit;
  for (std::size_t i = 0; i < operations.size(); i++) {
    if (!running(i)) continue;
    const auto id = std::to_string(std::get<Both<Operation>>(operations[i]).value.id);
    const auto& port = *session_.ports()[i];
    put(2,
        wrapped(safe(exit == kInterrupted
                         ? "Stopped waiting; operation " + id + " goes on."
                         : "Not done within " + duration(static_cast<std::int64_t>(*global_.timeout * 1000)) +
                               "; operation " + id + " goes on."),
                0, style_of(2).width));
    put(2, "  wait again: " + safe(port.command) + " operation " + id +
               "\n  cancel it:  " + safe(port.command) + " cancel " + id + "\n");
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
    const auto& o = std::get<Both<Operation>>(r).value;
    exits.push_back(o.state == "failed" || o.state == "cancelled" ? kPartial
                    : o.state == "superseded"                     ? kConflict
                                                                  : kDone);
  }
  finish(started, [&](const auto& all) {
    std::string out;
    if (waited == kInterrupted) return out;  // how to go on has been said

    for (const auto& one : all)
      out += (out.empty() ? "" : "\n") + render_operation(one, style_of(1), unix_ms());
    return out;
  });
  return waited != kDone ? waited : merged(exits);
}

int Run::operator()(const ShowOperation& c) {
  auto results = session_.ask<Both<Operation>>([&](Port& p) {
    auto json = p.get("/v1/operations/" + std::to_string(c.operation));
    return Both<Operation>{p.as(json, read_operation), json};
  });
  forget_unknown(results);
  // A look at one that ended badly is no failure of the look; one that was waited for is judged.
  bool any_running = false;
  for (const auto& t : told(results)) any_running = any_running || t.value.running();
  if (c.wait && any_running) return carry_out(std::move(results), true);
  return finish(results, [&](const auto& all) {
    std::string out;
    for (const auto& one : all)
      out += (out.empty() ? "" : "\n") + render_operation(one, style_of(1), unix_ms());
    return out;
  });
}

int Run::operator()(const Cancel& c) {
  const auto results = session_.ask<Both<Operation>>([&](Port& p) {
    p.get("/v1/agent");  // its version
    auto json = p.change("DELETE", "/v1/operations/" + std::to_string(c.operation), "");
    return Both<Operation>{p.as(json, read_operation), json};
  });
  return finish(results,
                [&](const auto& all) { return render_operation(all.front(), style_of(1), unix_ms()); });
}

}  // namespace heronvane::cli
