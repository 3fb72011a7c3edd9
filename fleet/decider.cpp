#include "decider.hpp"

#include <algorithm>
#include <utility>

#include "state.hpp"

namespace heronvane::fleet {

void Seen::new_run(Microseconds now) {
  pid = 0;
  started = answered_at = now;
  status.reset();
  fresh = missed = watchdog = folder_gone = fence_answered = false;
  ready_since = term_at = kill_at = ask_from = ask_next = 0;
  asks = 0;
  end.reset();
}

Decider::State::State(Restored restored, std::uint64_t seed, Tuning t) : tuning(t), random(seed) {
  working.generation = restored.generation;
  working.last_operation = restored.last_operation;
  working.fleet = std::move(restored.fleet);
  for (InstanceRow& row : restored.instances) {
    Seen& s = seen[row.name];
    s.pending = row.live;
    working.last_operation = std::max(working.last_operation, row.fence);
    const std::string name = row.name;
    working.instances.insert_or_assign(name, std::move(row));
  }
  for (Operation& operation : restored.operations) {
    const OperationId id = operation.id;
    working.last_operation = std::max(working.last_operation, id);
    working.operations.insert_or_assign(id, std::move(operation));
  }
  kept = working;
  for (const auto& [id, operation] : kept.operations) {
    if (operation.state != OperationState::running) continue;
    note_open_steps(operation);
    for (const Step& step : operation.steps) {
      // Of a removed one the row goes before its step is done.
      if (fleet::ended(step.state) || kept.instances.contains(step.instance) ||
          step.work == Step::Work::remove)
        continue;
      mended.push_back("operation " + std::to_string(id) + " has a step of " + step.instance +
                       ", which is not there");
    }
  }
  forget();
}

// SplitMix64.
std::uint64_t Decider::State::draw() {
  std::uint64_t z = (random += 0x9e3779b97f4a7c15ULL);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// The time goes in: a seed that was used before draws no run again.
std::string Decider::State::draw_run(Microseconds now) {
  random ^= static_cast<std::uint64_t>(now);
  std::uint64_t value = draw();
  std::string run(16, '0');
  for (char& digit : run) {
    digit = "0123456789abcdef"[value & 15];
    value >>= 4;
  }
  return run;
}

InstanceRow& Decider::State::edit(const std::string& name) {
  dirty_rows.insert(name);
  return working.instances[name];
}

Operation& Decider::State::edit(OperationId id) {
  dirty_operations.insert(id);
  return working.operations[id];
}

void Decider::State::log(std::string text) {
  hooks.push_back(
      [text = std::move(text)](Microseconds, Actions& actions) { actions.push_back(action::Log{text}); });
}

void Decider::State::handle(Microseconds now, const Event& event, Actions& actions) {
  wake(now, actions);
  for (std::string& text : mended) actions.push_back(action::Log{std::move(text)});
  mended.clear();
  std::visit([&](const auto& e) { on(now, e, actions); }, event);
  set_timer(now, actions);
}

// A timer that comes late tells that the machine slept, or this agent: instances had no chance to answer.
void Decider::State::wake(Microseconds now, Actions& actions) {
  if (timer_at == 0 || now <= timer_at + tuning.late) return;
  const Microseconds slept = now - timer_at;
  for (auto& [name, s] : seen) {
    for (Microseconds* at : {&s.started, &s.answered_at, &s.term_at, &s.kill_at, &s.ask_from, &s.step_from}) {
      if (*at != 0) *at += slept;
    }
  }
  timer_at = now;
  actions.push_back(action::Log{"awake after " + std::to_string(slept / 1'000'000) + " s"});
}

void Decider::State::drive_instance(Microseconds now, const std::string& name, Actions& actions) {
  woken.insert(name);
  drive(now, actions);
}

void Decider::State::drive_all(Microseconds now, Actions& actions) {
  woken_all = true;
  drive(now, actions);
}

// One round of decisions, where no record is out. What it decides is one transaction.
void Decider::State::drive(Microseconds now, Actions& actions) {
  if (out) return;
  bool recording = false;
  while (!queue.empty() && !recording) {
    const Queued next = std::move(queue.front());
    queue.pop_front();
    recording = std::visit([&](const auto& request) { return take(now, request, actions); }, next);
  }
  if (recording || now >= record_from) {
    begun.clear();
    const bool all = std::exchange(woken_all, false);
    const std::set<std::string> names = std::exchange(woken, {});
    std::set<OperationId> operations = std::exchange(woken_operations, {});
    for (const std::string& name : names) {
      if (auto at = open_steps.find(name); at != open_steps.end()) operations.insert(at->second.first);
    }
    if (all) {
      for (const auto& [name, at] : open_steps) operations.insert(at.first);
      // One without open steps has but to end.
      for (const auto& [id, operation] : kept.operations) {
        if (operation.state == OperationState::running) operations.insert(id);
      }
    }
    auto each = [&](auto&& what) {
      if (!all) {
        for (const std::string& name : names) {
          if (working.instances.contains(name)) what(name);
        }
        return;
      }
      for (auto at = working.instances.begin(); at != working.instances.end();) {
        const std::string& name = at->first;
        ++at;
        what(name);
      }
    };
    each([&](const std::string& name) { absorb(now, name); });
    for (OperationId id : operations) {
      auto recorded = kept.operations.find(id);
      if (recorded == kept.operations.end() || recorded->second.state != OperationState::running) continue;
      if (working.operations.at(id).state == OperationState::running) drive_operation(now, id);
    }
    each([&](const std::string& name) { converge(now, name); });
  }
  if (!dirty_rows.empty() || !dirty_operations.empty() || dirty_fleet || dirty_counts) return record(actions);
  const std::vector<Hook> due = std::exchange(hooks, {});
  for (const Hook& hook : due) hook(now, actions);
}

void Decider::State::record(Actions& actions) {
  action::Record record;
  record.record = ++last_record;
  record.generation = working.generation;
  record.last_operation = working.last_operation;
  for (const std::string& name : dirty_rows) {
    auto at = working.instances.find(name);
    if (at == working.instances.end()) {
      record.removed.push_back(name);
    } else {
      record.instances.push_back(at->second);
    }
  }
  for (OperationId id : dirty_operations) record.operations.push_back(working.operations.at(id));
  if (dirty_fleet) record.fleet = working.fleet;
  out = true;
  actions.push_back(std::move(record));
}

void Decider::State::note_open_steps(const Operation& operation) {
  for (std::size_t i = 0; i < operation.steps.size(); ++i) {
    const Step& step = operation.steps[i];
    if (operation.state == OperationState::running && !fleet::ended(step.state)) {
      open_steps[step.instance] = {operation.id, i};
      continue;
    }
    auto at = open_steps.find(step.instance);
    if (at != open_steps.end() && at->second.first == operation.id) open_steps.erase(at);
  }
}

void Decider::State::commit(Microseconds now, Actions& actions) {
  out = false;
  record_from = 0;
  kept.generation = working.generation;
  kept.last_operation = working.last_operation;
  if (dirty_fleet) kept.fleet = working.fleet;
  for (const std::string& name : dirty_rows) {
    auto at = working.instances.find(name);
    if (at == working.instances.end()) {
      kept.instances.erase(name);
      seen.erase(name);
    } else {
      kept.instances.insert_or_assign(name, at->second);
      seen[name];
    }
  }
  // The superseded first: what superseded them has the higher id.
  for (OperationId id : dirty_operations) {
    const Operation& operation = working.operations.at(id);
    note_open_steps(operation);
    kept.operations.insert_or_assign(id, operation);
  }
  woken.merge(dirty_rows);
  woken_operations.insert(dirty_operations.begin(), dirty_operations.end());
  const std::set<OperationId> changed = std::move(dirty_operations);
  dirty_operations.clear();
  dirty_rows.clear();
  dirty_fleet = dirty_counts = false;
  asker.reset();
  const std::vector<Hook> due = std::move(hooks);
  hooks.clear();
  for (const Hook& hook : due) hook(now, actions);
  for (OperationId id : changed) actions.push_back(action::OperationChanged{id});
  forget();
}

void Decider::State::revert(Microseconds now, const std::string& why, Actions& actions) {
  out = false;
  working.generation = kept.generation;
  working.last_operation = kept.last_operation;
  if (dirty_fleet) working.fleet = kept.fleet;
  for (const std::string& name : dirty_rows) {
    auto at = kept.instances.find(name);
    if (at == kept.instances.end()) {
      working.instances.erase(name);
    } else {
      working.instances.insert_or_assign(name, at->second);
    }
  }
  for (OperationId id : dirty_operations) {
    auto at = kept.operations.find(id);
    if (at == kept.operations.end()) {
      working.operations.erase(id);
    } else {
      working.operations.insert_or_assign(id, at->second);
    }
  }
  dirty_operations.clear();
  dirty_rows.clear();
  dirty_fleet = dirty_counts = false;
  hooks.clear();
  if (asker) actions.push_back(action::Tell{*asker, verdict::Storage{why}});
  asker.reset();
  if (record_from == 0) actions.push_back(action::Log{"nothing is done before it can be recorded: " + why});
  record_from = now + tuning.record_again;
  woken_all = true;
}

// Ended operations beyond the last ones; the database has them.
void Decider::State::forget() {
  std::size_t over = 0;
  for (const auto& [id, operation] : kept.operations) over += operation.state != OperationState::running;
  for (auto at = kept.operations.begin(); over > tuning.operations_kept && at != kept.operations.end();) {
    if (at->second.state == OperationState::running) {
      ++at;
      continue;
    }
    working.operations.erase(at->first);
    at = kept.operations.erase(at);
    --over;
  }
}

void Decider::State::note_phase(Microseconds now, const std::string& name) {
  auto at = kept.instances.find(name);
  if (at == kept.instances.end()) return;
  Seen& s = seen[name];
  const Phase is = phase(now, at->second, s);
  if (is == s.phase && s.phase_since != 0) return;
  s.phase = is;
  s.phase_since = now;
}

void Decider::State::set_timer(Microseconds now, Actions& actions) {
  const bool busy = out || !queue.empty() || record_from != 0 || !kept.instances.empty();
  if (!busy || (timer_at > now && timer_at <= now + tuning.tick)) return;
  Microseconds at = now + tuning.tick;
  for (const auto& [name, s] : seen) {
    note_phase(now, name);
    if (s.next_start > now) at = std::min(at, s.next_start);
  }
  timer_at = at;
  actions.push_back(action::SetTimer{at});
}

// ---- what is seen ----

Seen* Decider::State::process(const std::string& name, const std::string& run) {
  auto at = kept.instances.find(name);
  if (at == kept.instances.end() || !at->second.live || at->second.run != run) return nullptr;
  Seen& s = seen[name];
  return s.end ? nullptr : &s;
}

void Decider::State::ended(Microseconds now, const std::string& name, Seen::End end, Actions& actions) {
  Seen& s = seen[name];
  s.pending = s.spawn_out = false;
  s.end = std::move(end);
  note_phase(now, name);
  drive_instance(now, name, actions);
}

void Decider::State::on(Microseconds now, const event::Command& e, Actions& actions) {
  if (queue.size() >= tuning.commands_waiting) {
    actions.push_back(action::Tell{e.request, verdict::Busy{}});
    return;
  }
  queue.emplace_back(e);
  drive(now, actions);
}

void Decider::State::on(Microseconds now, const event::Cancel& e, Actions& actions) {
  if (queue.size() >= tuning.commands_waiting) {
    actions.push_back(action::Tell{e.request, verdict::Busy{}});
    return;
  }
  queue.emplace_back(e);
  drive(now, actions);
}

void Decider::State::on(Microseconds now, const event::Recorded& e, Actions& actions) {
  if (!out || e.record != last_record) return;
  commit(now, actions);
  drive(now, actions);
}

void Decider::State::on(Microseconds now, const event::RecordFailed& e, Actions& actions) {
  if (!out || e.record != last_record) return;
  revert(now, e.why, actions);
  if (!queue.empty()) drive(now, actions);  // each is tried, and told
}

void Decider::State::on(Microseconds now, const event::Spawned& e, Actions& actions) {
  Seen* s = process(e.name, e.run);
  if (!s) return;
  s->spawn_out = false;
  s->pid = e.pid;
  drive_instance(now, e.name, actions);
}

void Decider::State::on(Microseconds now, const event::SpawnFailed& e, Actions& actions) {
  if (process(e.name, e.run)) ended(now, e.name, {false, "not started: " + e.why, std::nullopt}, actions);
}

void Decider::State::on(Microseconds now, const event::Exited& e, Actions& actions) {
  if (!process(e.name, e.run)) return;
  std::string text =
      e.signal != 0 ? "signal " + std::to_string(e.signal) : "status " + std::to_string(e.status);
  const bool drained = e.drained && e.signal == 0 && e.status == 0;
  if (drained) text = "drained";
  ended(now, e.name, {false, std::move(text), drained ? e.drained : std::nullopt}, actions);
}

void Decider::State::on(Microseconds now, const event::NotFound& e, Actions& actions) {
  if (process(e.name, e.run)) ended(now, e.name, {true, e.drained ? "drained" : "gone", e.drained}, actions);
}

void Decider::State::on(Microseconds now, const event::Adopted& e, Actions& actions) {
  Seen* s = process(e.name, e.run);
  if (!s || !s->pending) return;
  s->new_run(now);
  s->pending = false;
  s->pid = e.pid;
  drive_instance(now, e.name, actions);
}

void Decider::State::on(Microseconds now, const event::StatusSeen& e, Actions& actions) {
  Seen* s = process(e.name, e.run);
  if (!s || s->pending) return;
  s->status = e;
  s->fresh = true;
  s->missed = false;
  s->answered_at = now;
  if (!e.ready) {
    s->ready_since = 0;
  } else if (s->ready_since == 0) {
    s->ready_since = now;
  }
  if (e.fence > kept.instances.find(e.name)->second.fence) s->fenced = std::max(s->fenced, e.fence);
  note_phase(now, e.name);
  drive_instance(now, e.name, actions);
}

void Decider::State::on(Microseconds now, const event::StatusMissed& e, Actions& actions) {
  Seen* s = process(e.name, e.run);
  if (!s || s->pending) return;
  s->missed = true;
  note_phase(now, e.name);
  drive_instance(now, e.name, actions);
}

void Decider::State::on(Microseconds now, const event::Answered& e, Actions& actions) {
  Seen* s = process(e.name, e.run);
  if (!s || s->pending) return;
  if (e.call == Call::fence && e.result != event::Answered::Result::fenced) s->fence_answered = true;
  if (e.result == event::Answered::Result::failed) s->ask_why = e.why;
  // A late answer to the call of an earlier operation says nothing about this one.
  if (e.result == event::Answered::Result::fenced && e.highest > kept.instances.find(e.name)->second.fence) {
    s->fenced = std::max(s->fenced, e.highest);
  }
  drive_instance(now, e.name, actions);
}

void Decider::State::on(Microseconds now, const event::FolderGone& e, Actions& actions) {
  auto at = kept.instances.find(e.name);
  if (at == kept.instances.end() || !at->second.live) return;
  seen[e.name].folder_gone = true;
  drive_instance(now, e.name, actions);
}

void Decider::State::on(Microseconds now, const event::TimerExpired&, Actions& actions) {
  if (now >= timer_at) timer_at = 0;
  drive_all(now, actions);
}

// ---- the outside ----

Decider::Decider(Restored state, std::uint64_t seed, Tuning tuning)
    : state_(std::make_unique<State>(std::move(state), seed, tuning)) {}
Decider::~Decider() = default;
Decider::Decider(Decider&&) noexcept = default;
Decider& Decider::operator=(Decider&&) noexcept = default;

void Decider::handle(Microseconds now, const Event& event, std::vector<Action>& actions) {
  state_->handle(now, event, actions);
}

Generation Decider::generation() const { return state_->kept.generation; }
const FleetSpec& Decider::fleet() const { return state_->kept.fleet; }

InstanceView Decider::State::view(const InstanceRow& row) const {
  InstanceView view;
  view.row = &row;
  const Seen& s = seen.find(row.name)->second;
  view.phase = s.phase;
  view.since = s.phase_since;
  if (view.phase == Phase::backoff || view.phase == Phase::looping) view.next_start = s.next_start;
  if (s.status && row.live && !s.end) {
    view.ready = s.phase == Phase::ready;
    view.held = s.status->held;
    view.oldest_ms = s.status->oldest_ms;
    view.generation = s.status->generation;
  }
  if (auto at = open_steps.find(row.name); at != open_steps.end()) view.operation = at->second.first;
  return view;
}

std::optional<InstanceView> Decider::instance(std::string_view name) const {
  auto at = state_->kept.instances.find(name);
  if (at == state_->kept.instances.end()) return std::nullopt;
  return state_->view(at->second);
}

std::vector<InstanceView> Decider::instances() const {
  std::vector<InstanceView> views;
  for (const auto& [name, row] : state_->kept.instances) views.push_back(state_->view(row));
  return views;
}

std::vector<const Operation*> Decider::operations(std::size_t limit) const {
  std::vector<const Operation*> newest;
  for (auto at = state_->kept.operations.rbegin();
       at != state_->kept.operations.rend() && newest.size() < limit; ++at) {
    newest.push_back(&at->second);
  }
  return newest;
}

const Operation* Decider::operation(OperationId id) const {
  auto at = state_->kept.operations.find(id);
  return at == state_->kept.operations.end() ? nullptr : &at->second;
}

OperationId Decider::running_operation() const {
  for (auto at = state_->kept.operations.rbegin(); at != state_->kept.operations.rend(); ++at) {
    if (at->second.state == OperationState::running) return at->first;
  }
  return 0;
}

}  // namespace heronvane::fleet
