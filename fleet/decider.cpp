#include "decider.hpp"

#include <algorithm>
#include <utility>

#include "state.hpp"

namespace heronvane::fleet {

void Observed::new_run(Microseconds now) {
  pid = 0;
  started = answered_at = now;
  status.reset();
  status_in_step = status_missed = ended_by_agent = state_folder_missing = fence_answered = false;
  ready_since = term_sent_at = kill_sent_at = first_admin_call_at = next_admin_call_at = 0;
  admin_attempts = 0;
  end.reset();
}

Decider::State::State(Restored restored, std::uint64_t seed, Tuning t) : tuning(t), random(seed) {
  working.generation = restored.generation;
  working.last_operation = restored.last_operation;
  working.fleet = std::move(restored.fleet);
  for (InstanceRow& row : restored.instances) {
    Observed& observed = observations[row.name];
    observed.awaiting_adoption = row.live;
    working.last_operation = std::max(working.last_operation, row.fence);
    const std::string name = row.name;
    working.instances.insert_or_assign(name, std::move(row));
  }
  for (Operation& operation : restored.operations) {
    const OperationId id = operation.id;
    working.last_operation = std::max(working.last_operation, id);
    working.operations.insert_or_assign(id, std::move(operation));
  }
  recorded = working;
  for (const auto& [id, operation] : recorded.operations) {
    if (operation.state != OperationState::running) continue;
    update_open_steps(operation);
    for (const Step& step : operation.steps) {
      // The row of a removed instance is deleted before its step ends.
      if (fleet::ended(step.state) || recorded.instances.contains(step.instance) ||
          step.work == Step::Work::remove)
        continue;
      repairs.push_back("operation " + std::to_string(id) + ": instance " + step.instance +
                        " of an open step has no row");
    }
  }
  prune_operations();
}

// SplitMix64.
std::uint64_t Decider::State::next_random() {
  std::uint64_t z = (random += 0x9e3779b97f4a7c15ULL);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// `now` is mixed in, so that a repeated seed does not repeat a run id.
std::string Decider::State::new_run_id(Microseconds now) {
  random ^= static_cast<std::uint64_t>(now);
  std::uint64_t value = next_random();
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
  recorded_hooks.push_back(
      [text = std::move(text)](Microseconds, Actions& actions) { actions.push_back(action::Log{text}); });
}

void Decider::State::handle(Microseconds now, const Event& event, Actions& actions) {
  detect_suspend(now, actions);
  for (std::string& text : repairs) actions.push_back(action::Log{std::move(text)});
  repairs.clear();
  std::visit([&](const auto& e) { on(now, e, actions); }, event);
  set_timer(now, actions);
}

// A late timer means that the machine or the agent was suspended. The instances had no chance to answer, so
// their time limits are moved by that time.
void Decider::State::detect_suspend(Microseconds now, Actions& actions) {
  if (timer_at == 0 || now <= timer_at + tuning.suspend_threshold) return;
  const Microseconds suspended_for = now - timer_at;
  for (auto& [name, observed] : observations) {
    for (Microseconds* at :
         {&observed.started, &observed.answered_at, &observed.term_sent_at, &observed.kill_sent_at,
          &observed.first_admin_call_at, &observed.step_timer_start}) {
      if (*at != 0) *at += suspended_for;
    }
  }
  timer_at = now;
  actions.push_back(
      action::Log{"resumed after a suspension of " + std::to_string(suspended_for / 1'000'000) + " s"});
}

void Decider::State::run_round_for(Microseconds now, const std::string& name, Actions& actions) {
  due_instances.insert(name);
  run_round(now, actions);
}

void Decider::State::run_full_round(Microseconds now, Actions& actions) {
  all_due = true;
  run_round(now, actions);
}

// One round of decisions, if no record is unacknowledged. Its changes form one transaction.
void Decider::State::run_round(Microseconds now, Actions& actions) {
  if (record_pending) return;
  bool recording = false;
  while (!queue.empty() && !recording) {
    const Queued next = std::move(queue.front());
    queue.pop_front();
    recording = std::visit([&](const auto& request) { return decide(now, request, actions); }, next);
  }
  if (recording || now >= retry_record_at) {
    begun_instances.clear();
    const bool all = std::exchange(all_due, false);
    const std::set<std::string> names = std::exchange(due_instances, {});
    std::set<OperationId> operations = std::exchange(due_operations, {});
    for (const std::string& name : names) {
      if (auto at = open_steps.find(name); at != open_steps.end()) operations.insert(at->second.first);
    }
    if (all) {
      for (const auto& [name, at] : open_steps) operations.insert(at.first);
      // An operation without open steps only has to be ended.
      for (const auto& [id, operation] : recorded.operations) {
        if (operation.state == OperationState::running) operations.insert(id);
      }
    }
    auto for_each_instance = [&](auto&& visit) {
      if (!all) {
        for (const std::string& name : names) {
          if (working.instances.contains(name)) visit(name);
        }
        return;
      }
      for (auto at = working.instances.begin(); at != working.instances.end();) {
        const std::string& name = at->first;
        ++at;
        visit(name);
      }
    };
    for_each_instance([&](const std::string& name) { apply_observations(now, name); });
    for (OperationId id : operations) {
      auto recorded_operation = recorded.operations.find(id);
      if (recorded_operation == recorded.operations.end() ||
          recorded_operation->second.state != OperationState::running)
        continue;
      if (working.operations.at(id).state == OperationState::running) drive_operation(now, id);
    }
    for_each_instance([&](const std::string& name) { converge(now, name); });
  }
  if (!dirty_rows.empty() || !dirty_operations.empty() || dirty_fleet || dirty_counters)
    return record(actions);
  const std::vector<Hook> ready_hooks = std::exchange(recorded_hooks, {});
  for (const Hook& hook : ready_hooks) hook(now, actions);
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
  record_pending = true;
  actions.push_back(std::move(record));
}

void Decider::State::update_open_steps(const Operation& operation) {
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
  record_pending = false;
  retry_record_at = 0;
  recorded.generation = working.generation;
  recorded.last_operation = working.last_operation;
  if (dirty_fleet) recorded.fleet = working.fleet;
  for (const std::string& name : dirty_rows) {
    auto at = working.instances.find(name);
    if (at == working.instances.end()) {
      recorded.instances.erase(name);
      observations.erase(name);
    } else {
      recorded.instances.insert_or_assign(name, at->second);
      observations[name];
    }
  }
  // Superseded operations come first: the operation that supersedes them has a higher id.
  for (OperationId id : dirty_operations) {
    const Operation& operation = working.operations.at(id);
    update_open_steps(operation);
    recorded.operations.insert_or_assign(id, operation);
  }
  due_instances.merge(dirty_rows);
  due_operations.insert(dirty_operations.begin(), dirty_operations.end());
  const std::set<OperationId> changed = std::move(dirty_operations);
  dirty_operations.clear();
  dirty_rows.clear();
  dirty_fleet = dirty_counters = false;
  pending_request.reset();
  const std::vector<Hook> ready_hooks = std::move(recorded_hooks);
  recorded_hooks.clear();
  for (const Hook& hook : ready_hooks) hook(now, actions);
  for (OperationId id : changed) actions.push_back(action::OperationChanged{id});
  prune_operations();
}

void Decider::State::revert(Microseconds now, const std::string& why, Actions& actions) {
  record_pending = false;
  working.generation = recorded.generation;
  working.last_operation = recorded.last_operation;
  if (dirty_fleet) working.fleet = recorded.fleet;
  for (const std::string& name : dirty_rows) {
    auto at = recorded.instances.find(name);
    if (at == recorded.instances.end()) {
      working.instances.erase(name);
    } else {
      working.instances.insert_or_assign(name, at->second);
    }
  }
  for (OperationId id : dirty_operations) {
    auto at = recorded.operations.find(id);
    if (at == recorded.operations.end()) {
      working.operations.erase(id);
    } else {
      working.operations.insert_or_assign(id, at->second);
    }
  }
  dirty_operations.clear();
  dirty_rows.clear();
  dirty_fleet = dirty_counters = false;
  recorded_hooks.clear();
  if (pending_request) actions.push_back(action::Reply{*pending_request, verdict::Storage{why}});
  pending_request.reset();
  if (retry_record_at == 0)
    actions.push_back(action::Log{"database write failed, no change until one succeeds: " + why});
  retry_record_at = now + tuning.record_retry_delay;
  all_due = true;
}

// Drops the oldest ended operations beyond operations_kept; they stay in the database.
void Decider::State::prune_operations() {
  std::size_t ended_count = 0;
  for (const auto& [id, operation] : recorded.operations)
    ended_count += operation.state != OperationState::running;
  for (auto at = recorded.operations.begin();
       ended_count > tuning.operations_kept && at != recorded.operations.end();) {
    if (at->second.state == OperationState::running) {
      ++at;
      continue;
    }
    working.operations.erase(at->first);
    at = recorded.operations.erase(at);
    --ended_count;
  }
}

void Decider::State::update_phase(Microseconds now, const std::string& name) {
  auto at = recorded.instances.find(name);
  if (at == recorded.instances.end()) return;
  Observed& observed = observations[name];
  const Phase current = phase(now, at->second, observed);
  if (current == observed.phase && observed.phase_since != 0) return;
  observed.phase = current;
  observed.phase_since = now;
}

void Decider::State::set_timer(Microseconds now, Actions& actions) {
  const bool busy = record_pending || !queue.empty() || retry_record_at != 0 || !recorded.instances.empty();
  if (!busy || (timer_at > now && timer_at <= now + tuning.timer_interval)) return;
  Microseconds at = now + tuning.timer_interval;
  for (const auto& [name, observed] : observations) {
    update_phase(now, name);
    if (observed.next_start > now) at = std::min(at, observed.next_start);
  }
  timer_at = at;
  actions.push_back(action::SetTimer{at});
}

// ---- events ----

Observed* Decider::State::find_process(const std::string& name, const std::string& run) {
  auto at = recorded.instances.find(name);
  if (at == recorded.instances.end() || !at->second.live || at->second.run != run) return nullptr;
  Observed& observed = observations[name];
  return observed.end ? nullptr : &observed;
}

void Decider::State::ended(Microseconds now, const std::string& name, Observed::End end, Actions& actions) {
  Observed& observed = observations[name];
  observed.awaiting_adoption = observed.spawn_pending = false;
  observed.end = std::move(end);
  update_phase(now, name);
  run_round_for(now, name, actions);
}

void Decider::State::on(Microseconds now, const event::Command& event, Actions& actions) {
  if (queue.size() >= tuning.max_pending_commands) {
    actions.push_back(action::Reply{event.request, verdict::Busy{}});
    return;
  }
  queue.emplace_back(event);
  run_round(now, actions);
}

void Decider::State::on(Microseconds now, const event::Cancel& event, Actions& actions) {
  if (queue.size() >= tuning.max_pending_commands) {
    actions.push_back(action::Reply{event.request, verdict::Busy{}});
    return;
  }
  queue.emplace_back(event);
  run_round(now, actions);
}

void Decider::State::on(Microseconds now, const event::Recorded& event, Actions& actions) {
  if (!record_pending || event.record != last_record) return;
  commit(now, actions);
  run_round(now, actions);
}

void Decider::State::on(Microseconds now, const event::RecordFailed& event, Actions& actions) {
  if (!record_pending || event.record != last_record) return;
  revert(now, event.why, actions);
  if (!queue.empty()) run_round(now, actions);  // each waiting command is tried and answered
}

void Decider::State::on(Microseconds now, const event::Spawned& event, Actions& actions) {
  Observed* observed = find_process(event.name, event.run);
  if (!observed) return;
  observed->spawn_pending = false;
  observed->pid = event.pid;
  run_round_for(now, event.name, actions);
}

void Decider::State::on(Microseconds now, const event::SpawnFailed& event, Actions& actions) {
  if (find_process(event.name, event.run))
    ended(now, event.name, {false, "not started: " + event.why, std::nullopt}, actions);
}

void Decider::State::on(Microseconds now, const event::Exited& event, Actions& actions) {
  if (!find_process(event.name, event.run)) return;
  std::string text =
      event.signal != 0 ? "signal " + std::to_string(event.signal) : "status " + std::to_string(event.status);
  const bool drained = event.drained && event.signal == 0 && event.status == 0;
  if (drained) text = "drained";
  ended(now, event.name, {false, std::move(text), drained ? event.drained : std::nullopt}, actions);
}

void Decider::State::on(Microseconds now, const event::NotFound& event, Actions& actions) {
  if (find_process(event.name, event.run))
    ended(now, event.name, {true, event.drained ? "drained" : "gone", event.drained}, actions);
}

void Decider::State::on(Microseconds now, const event::Adopted& event, Actions& actions) {
  Observed* observed = find_process(event.name, event.run);
  if (!observed || !observed->awaiting_adoption) return;
  observed->new_run(now);
  observed->awaiting_adoption = false;
  observed->pid = event.pid;
  run_round_for(now, event.name, actions);
}

void Decider::State::on(Microseconds now, const event::StatusSeen& event, Actions& actions) {
  Observed* observed = find_process(event.name, event.run);
  if (!observed || observed->awaiting_adoption) return;
  observed->status = event;
  observed->status_in_step = true;
  observed->status_missed = false;
  observed->answered_at = now;
  if (!event.ready) {
    observed->ready_since = 0;
  } else if (observed->ready_since == 0) {
    observed->ready_since = now;
  }
  if (event.fence > recorded.instances.find(event.name)->second.fence)
    observed->foreign_fence = std::max(observed->foreign_fence, event.fence);
  update_phase(now, event.name);
  run_round_for(now, event.name, actions);
}

void Decider::State::on(Microseconds now, const event::StatusMissed& event, Actions& actions) {
  Observed* observed = find_process(event.name, event.run);
  if (!observed || observed->awaiting_adoption) return;
  observed->status_missed = true;
  update_phase(now, event.name);
  run_round_for(now, event.name, actions);
}

void Decider::State::on(Microseconds now, const event::Answered& event, Actions& actions) {
  Observed* observed = find_process(event.name, event.run);
  if (!observed || observed->awaiting_adoption) return;
  if (event.call == AdminCall::fence && event.result != event::Answered::Result::fenced)
    observed->fence_answered = true;
  if (event.result == event::Answered::Result::failed) observed->admin_error = event.why;
  // A late answer to an earlier operation's call carries a lower fence and is ignored.
  if (event.result == event::Answered::Result::fenced &&
      event.highest > recorded.instances.find(event.name)->second.fence) {
    observed->foreign_fence = std::max(observed->foreign_fence, event.highest);
  }
  run_round_for(now, event.name, actions);
}

void Decider::State::on(Microseconds now, const event::StateFolderMissing& event, Actions& actions) {
  auto at = recorded.instances.find(event.name);
  if (at == recorded.instances.end() || !at->second.live) return;
  observations[event.name].state_folder_missing = true;
  run_round_for(now, event.name, actions);
}

void Decider::State::on(Microseconds now, const event::TimerExpired&, Actions& actions) {
  if (now >= timer_at) timer_at = 0;
  run_full_round(now, actions);
}

// ---- public interface ----

Decider::Decider(Restored state, std::uint64_t seed, Tuning tuning)
    : state_(std::make_unique<State>(std::move(state), seed, tuning)) {}
Decider::~Decider() = default;
Decider::Decider(Decider&&) noexcept = default;
Decider& Decider::operator=(Decider&&) noexcept = default;

void Decider::handle(Microseconds now, const Event& event, std::vector<Action>& actions) {
  state_->handle(now, event, actions);
}

Generation Decider::generation() const { return state_->recorded.generation; }
const FleetSpec& Decider::fleet() const { return state_->recorded.fleet; }

InstanceView Decider::State::view(const InstanceRow& row) const {
  InstanceView view;
  view.row = &row;
  const Observed& observed = observations.find(row.name)->second;
  view.phase = observed.phase;
  view.since = observed.phase_since;
  if (view.phase == Phase::backoff || view.phase == Phase::looping) view.next_start = observed.next_start;
  if (observed.status && row.live && !observed.end) {
    view.ready = observed.phase == Phase::ready;
    view.held = observed.status->held;
    view.oldest_ms = observed.status->oldest_ms;
    view.generation = observed.status->generation;
  }
  if (auto at = open_steps.find(row.name); at != open_steps.end()) view.operation = at->second.first;
  return view;
}

std::optional<InstanceView> Decider::instance(std::string_view name) const {
  auto at = state_->recorded.instances.find(name);
  if (at == state_->recorded.instances.end()) return std::nullopt;
  return state_->view(at->second);
}

std::vector<InstanceView> Decider::instances() const {
  std::vector<InstanceView> views;
  for (const auto& [name, row] : state_->recorded.instances) views.push_back(state_->view(row));
  return views;
}

std::vector<const Operation*> Decider::operations(std::size_t limit) const {
  std::vector<const Operation*> newest;
  for (auto at = state_->recorded.operations.rbegin();
       at != state_->recorded.operations.rend() && newest.size() < limit; ++at) {
    newest.push_back(&at->second);
  }
  return newest;
}

const Operation* Decider::operation(OperationId id) const {
  auto at = state_->recorded.operations.find(id);
  return at == state_->recorded.operations.end() ? nullptr : &at->second;
}

OperationId Decider::running_operation() const {
  for (auto at = state_->recorded.operations.rbegin(); at != state_->recorded.operations.rend(); ++at) {
    if (at->second.state == OperationState::running) return at->first;
  }
  return 0;
}

}  // namespace heronvane::fleet
