#include "world.hpp"

#include <algorithm>
#include <utility>

namespace heronvane::fleet::test {

FleetSpec fleet_of(const std::vector<std::string>& names, int max_unavailable) {
  FleetSpec fleet;
  fleet.max_unavailable = max_unavailable;
  fleet.common["limits.disk_mb"] = "100";
  int port = 8081;
  for (const std::string& name : names)
    fleet.instances.push_back({name, {{"listen", "127.0.0.1:" + std::to_string(port++)}}});
  return fleet;
}

void Database::apply(const action::Record& record) {
  generation = record.generation;
  last_operation = record.last_operation;
  if (record.fleet) fleets[record.generation] = *record.fleet;
  for (const InstanceRow& row : record.instances) instances[row.name] = row;
  for (const std::string& name : record.removed) instances.erase(name);
  for (const Operation& operation : record.operations) operations[operation.id] = operation;
}

Restored Database::restored() const {
  Restored state;
  state.generation = generation;
  state.last_operation = last_operation;
  if (const FleetSpec* now_in_force = fleet(generation)) state.fleet = *now_in_force;
  for (const auto& [name, row] : instances) state.instances.push_back(row);
  for (const auto& [id, operation] : operations) state.operations.push_back(operation);
  return state;
}

const FleetSpec* Database::fleet(Generation of) const {
  auto after = fleets.upper_bound(of);
  return after == fleets.begin() ? nullptr : &std::prev(after)->second;
}

World::World(std::uint64_t seed, Behaviour behaviour, Tuning tuning)
    : how(behaviour), tuning_(tuning), random_(seed) {
  start_agent();
  schedule_faults();
}

void World::expect(bool holds, const std::string& rule) {
  if (!holds) violations.push_back(std::to_string(now / ms % 1'000'000) + " ms: " + rule);
}

const InstanceRow* World::row(const std::string& name) const {
  auto at = database.instances.find(name);
  return at == database.instances.end() ? nullptr : &at->second;
}

void World::at(Microseconds when, std::function<void()> what) {
  scheduled_.push({when, order_++, std::move(what)});
}

void World::deliver_later(Microseconds delay, Event event) {
  at(now + delay, [this, incarnation = incarnation_, event = std::move(event)] {
    if (incarnation == incarnation_ && decider_) handle(event);
  });
}

void World::handle(const Event& event) {
  std::vector<Action> actions;
  decider_->handle(now, event, actions);
  const int incarnation = incarnation_;
  for (const Action& action : actions) {
    if (kill_before && kill_before(action)) kill_agent();
    if (incarnation != incarnation_ || !decider_) return;  // further actions are lost with the agent
    carry_out(action);
  }
}

void World::run(Microseconds time) {
  until([] { return false; }, time);
}

bool World::until(const std::function<bool()>& condition, Microseconds within) {
  const Microseconds end = now + within;
  while (!condition()) {
    if (scheduled_.empty() || scheduled_.top().at > end) {
      now = end;
      return condition();
    }
    ScheduledAction next = scheduled_.top();
    scheduled_.pop();
    now = std::max(now, next.at);
    next.what();
  }
  return true;
}

RequestId World::command(event::Command command) {
  command.request = ++requests_;
  if (command.kind == Kind::rollback && !command.fleet && database.fleet(command.to))
    command.fleet = *database.fleet(command.to);
  commands[command.request] = command;
  sent_at[command.request] = now;
  if (decider_) handle(command);
  return command.request;
}

RequestId World::cancel(OperationId operation) {
  const RequestId request = ++requests_;
  if (decider_) handle(event::Cancel{request, operation});
  return request;
}

const Verdict* World::verdict(RequestId request) const {
  auto found = verdicts.find(request);
  return found == verdicts.end() ? nullptr : &found->second;
}

void World::kill_agent() {
  if (!decider_) return;
  if (unacknowledged_record_ && record_survives_kill) {
    database.apply(*unacknowledged_record_);
    check_rows();
  }
  unacknowledged_record_.reset();
  decider_.reset();
  ++incarnation_;
  ++agent_kills;
}

void World::start_agent() {
  if (decider_) return;
  ++incarnation_;
  last_record_ = 0;
  decider_ = std::make_unique<Decider>(database.restored(), 1, tuning_);
  deliver_later(0, event::TimerExpired{});
  for (const auto& [name, row] : database.instances) {
    if (!row.live) continue;
    auto process = processes.find(name);
    if (process != processes.end() && process->second.run == row.run) {
      deliver_later(with_jitter(5 * ms), event::Adopted{name, process->second.pid, row.run});
      poll(name, row.run);
      continue;
    }
    expect(process == processes.end(), name + " has a process of a run that is not recorded");
    event::NotFound gone{name, row.run, std::nullopt};
    const Folder& folder = folders[name];
    if (folder.drained && folder.drained->second == row.run) gone.drained = folder.drained->first;
    deliver_later(with_jitter(5 * ms), gone);
  }
}

void World::suspend(Microseconds time) {
  now += time;
  std::vector<ScheduledAction> all;
  while (!scheduled_.empty()) {
    all.push_back(scheduled_.top());
    scheduled_.pop();
  }
  for (ScheduledAction& one : all) {
    one.at = std::max(one.at, now);
    scheduled_.push(std::move(one));
  }
}

void World::crash(const std::string& name) {
  disturbed = true;
  auto process = processes.find(name);
  if (process != processes.end()) end_process(name, process->second.run, 0, 11);
}

void World::end_process(const std::string& name, const std::string& run, int status, int signal) {
  auto process = processes.find(name);
  if (process == processes.end() || process->second.run != run) return;
  event::Exited end{name, run, status, signal, std::nullopt};
  Folder& folder = folders[name];
  if (folder.drained && folder.drained->second == run) end.drained = folder.drained->first;
  processes.erase(process);
  deliver_later(with_jitter(2 * ms), end);
}

// Each second: random crashes and stalls.
void World::schedule_faults() {
  at(now + second, [this] {
    std::vector<std::string> names;
    for (const auto& [name, process] : processes) names.push_back(name);
    for (const std::string& name : names) {
      if (how.crash > 0 && chance() < how.crash) {
        crash(name);
      } else if (how.stall > 0 && !processes[name].stalled && chance() < how.stall) {
        processes[name].stalled = true;
        const std::string run = processes[name].run;
        if (how.stall_for == 0) continue;
        at(now + with_jitter(how.stall_for), [this, name, run] {
          auto process = processes.find(name);
          if (process == processes.end() || process->second.run != run) return;
          process->second.stalled = false;
          if (process->second.stopping) return end_process(name, run, 0, 0);
          if (process->second.awaits_drain_end) start_draining(name);
        });
      }
    }
    schedule_faults();
  });
}

// Status requests of the agent to a process. A request without answer is reported as missed after 1 s.
void World::poll(const std::string& name, const std::string& run) {
  at(now + with_jitter(500 * ms), [this, incarnation = incarnation_, name, run] {
    auto process = processes.find(name);
    if (incarnation != incarnation_ || process == processes.end() || process->second.run != run) return;
    if (process->second.stalled || now < process->second.started + 50 * ms) {
      deliver_later(second, event::StatusMissed{name, run});
    } else {
      const Process& running = process->second;
      event::StatusSeen seen{name,
                             run,
                             !running.draining && !running.stopping && now >= running.ready_at,
                             running.draining,
                             running.stopping,
                             0,
                             0,
                             0,
                             0};
      seen.fence = folders[name].fence;
      seen.held = static_cast<std::uint64_t>(folders[name].held);
      seen.generation = running.generation;
      deliver_later(with_jitter(2 * ms), seen);
    }
    poll(name, run);
  });
}

void World::carry_out(const Action& action) {
  std::visit([&](const auto& a) { perform(a); }, action);
}

void World::perform(const action::Record& action) {
  expect(!unacknowledged_record_, "two unacknowledged records");
  expect(action.record == last_record_ + 1, "record ids skip");
  last_record_ = action.record;
  unacknowledged_record_ = action;
  const bool fails = disk_full || chance() < how.record_fails;
  at(now + with_jitter(how.record_takes), [this, incarnation = incarnation_, fails, id = action.record] {
    if (incarnation != incarnation_ || !unacknowledged_record_ || unacknowledged_record_->record != id)
      return;
    const action::Record record = std::move(*unacknowledged_record_);
    unacknowledged_record_.reset();
    if (fails) return handle(event::RecordFailed{id, "disk full"});
    for (const Operation& operation : record.operations) {
      auto before = database.operations.find(operation.id);
      for (std::size_t i = 0; before != database.operations.end() && i < operation.steps.size(); ++i) {
        const StepState was = before->second.steps[i].state;
        const Step& step = operation.steps[i];
        if (was == StepState::waiting && step.state == StepState::done && step.work != Step::Work::rewrite &&
            step.what != "is not there" && !step.what.starts_with("takes effect")) {
          expect(false, "a step of " + step.instance + " is done that was never recorded as acting");
        }
        if (was == StepState::acting && step.state == StepState::done) check_done(step);
      }
    }
    database.apply(record);
    check_rows();
    handle(event::Recorded{id});
  });
}

void World::add_trace(std::string what) {
  trace.push_back(std::move(what));
  trace_at.push_back(now);
}

// Checks the rules for recorded rows.
void World::check_rows() {
  std::map<std::string, OperationId> touched;
  for (const auto& [id, operation] : database.operations) {
    int taking = 0;
    for (const Step& step : operation.steps) {
      const bool open = step.state == StepState::waiting || step.state == StepState::acting;
      if (operation.state != OperationState::running) {
        expect(!open, "operation " + std::to_string(id) + " ended with an open step");
        continue;
      }
      if (!open) continue;
      const bool alone = touched.emplace(step.instance, id).second;
      expect(alone, "two operations at " + step.instance);
      if (step.state != StepState::acting) continue;
      taking += step.work == Step::Work::restart || step.work == Step::Work::stop ||
                step.work == Step::Work::drain || step.work == Step::Work::remove;
      const InstanceRow* recorded_row = row(step.instance);
      if (recorded_row)
        expect(recorded_row->fence == id,
               step.instance + " is acted on by " + std::to_string(id) + " without its fence");
    }
    if (operation.max_unavailable > 0) {
      expect(taking <= operation.max_unavailable,
             "operation " + std::to_string(id) + " takes more than max_unavailable");
    }
  }
}

// Checks a done step's result against the machine, unless a fault may have changed it since the observation.
void World::check_done(const Step& step) {
  auto process = processes.find(step.instance);
  const bool process_exists = process != processes.end();
  switch (step.work) {
    case Step::Work::stop:
    case Step::Work::remove:
      expect(!process_exists, step.instance + " is reported as ended but runs");
      break;
    case Step::Work::drain:
      expect(!process_exists && (!folders[step.instance].drain || folders[step.instance].drained ||
                                 folders[step.instance].held == 0),
             step.instance + " is reported as drained but is not");
      break;
    case Step::Work::restart:
    case Step::Work::add:
    case Step::Work::start:
    case Step::Work::undrain: {
      if (disturbed || how.crash > 0 || how.stall > 0) break;
      const bool ready = process_exists && !process->second.draining && !process->second.stopping &&
                         now >= process->second.ready_at;
      expect(ready, step.instance + " is reported as ready but is not");
      if (ready && step.work == Step::Work::restart) {
        expect(process->second.run != step.run_before,
               step.instance + " is reported as restarted but is not");
      }
      break;
    }
    case Step::Work::rewrite:
      break;
  }
}

void World::perform(const action::WriteConfig& action) {
  const InstanceRow* recorded_row = row(action.name);
  expect(recorded_row && recorded_row->config == action.generation,
         "WriteConfig of " + action.name + " not as recorded");
  expect(database.fleet(action.generation) != nullptr, "WriteConfig of an unknown fleet");
  folders[action.name].config = action.generation;
}

void World::perform(const action::Spawn& action) {
  add_trace("spawn " + action.name + (action.undrain ? " undrain" : ""));
  const InstanceRow* recorded_row = row(action.name);
  expect(recorded_row && recorded_row->live && recorded_row->run == action.run,
         "Spawn of " + action.name + " not as recorded");
  expect(recorded_row && (recorded_row->desired != Desired::stopped),
         "Spawn of " + action.name + ", whose desired state is stopped");
  expect(!processes.contains(action.name), "Spawn of " + action.name + " during an earlier run");
  if (processes.contains(action.name)) return;
  if (chance() < how.spawn_fails)
    return deliver_later(with_jitter(ms), event::SpawnFailed{action.name, action.run, "no such program"});
  Folder& folder = folders[action.name];
  if (action.undrain && *action.undrain >= folder.fence) {
    folder.fence = *action.undrain;
    folder.drain = false;
    folder.drained.reset();
  }
  Process process;
  process.run = action.run;
  process.pid = ++pids_;
  process.started = now;
  process.ready_at = now + with_jitter(how.start_to_ready);
  process.draining = folder.drain;
  process.generation = folder.config;
  processes[action.name] = process;
  ++starts[action.name];
  deliver_later(with_jitter(ms), event::Spawned{action.name, process.pid, action.run});
  poll(action.name, action.run);
  bool bad = false;
  if (const FleetSpec* fleet = database.fleet(folder.config)) {
    bad = fleet->common.contains("crashes");
    for (const InstanceSpec& spec : fleet->instances)
      bad = bad || (spec.name == action.name && spec.own.contains("crashes"));
  }
  if (bad) {
    disturbed = true;
    at(now + with_jitter(100 * ms), [this, action] { end_process(action.name, action.run, 1, 0); });
  } else if (folder.drain) {
    start_draining(action.name);
  }
}

void World::perform(const action::Signal& action) {
  add_trace((action.signal == Signum::term ? "term " : "kill ") + action.name);
  const InstanceRow* recorded_row = row(action.name);
  expect(recorded_row && (recorded_row->run != action.run || recorded_row->desired == Desired::stopped ||
                          recorded_row->retire == action.run),
         "Signal to " + action.name + " not as recorded");
  auto process = processes.find(action.name);
  if (process == processes.end() || process->second.run != action.run) return;
  if (action.signal == Signum::kill) return end_process(action.name, action.run, 0, 9);
  process->second.stopping = true;
  at(now + with_jitter(how.term_takes), [this, action] {
    auto still = processes.find(action.name);
    if (still != processes.end() && !still->second.stalled) end_process(action.name, action.run, 0, 0);
  });
}

void World::start_draining(const std::string& name) {
  const std::string run = processes.at(name).run;
  at(now + with_jitter(how.drain_takes), [this, name, run] {
    auto process = processes.find(name);
    if (process == processes.end() || process->second.run != run || !process->second.draining) return;
    if (process->second.stalled) {
      process->second.awaits_drain_end = true;
      return;
    }
    folders[name].held = 0;
    folders[name].drained = {folders[name].fence, run};
    end_process(name, run, 0, 0);
  });
}

template <class Ask>
void World::call(const Ask& action, AdminCall call) {
  const InstanceRow* recorded_row = row(action.name);
  expect(recorded_row && recorded_row->fence == action.fence,
         "a call to " + action.name + " with another fence than recorded");
  at(now + with_jitter(ms), [this, incarnation = incarnation_, action, call] {
    auto process = processes.find(action.name);
    event::Answered answer{action.name, action.run, call, event::Answered::Result::failed, 0, "no answer"};
    if (process != processes.end() && process->second.run == action.run && !process->second.stalled) {
      Folder& folder = folders[action.name];
      answer.result = event::Answered::Result::ok;
      if (action.fence < folder.fence) {
        answer.result = event::Answered::Result::fenced;
        answer.highest = folder.fence;
      } else {
        folder.fence = action.fence;
        if (call == AdminCall::drain && !folder.drain) {
          folder.drain = process->second.draining = true;
          start_draining(action.name);
        }
        if (call == AdminCall::undrain) folder.drain = process->second.draining = false;
      }
    }
    if (incarnation == incarnation_)
      deliver_later(answer.result == event::Answered::Result::failed ? second : ms, answer);
  });
}

void World::perform(const action::AskDrain& action) {
  add_trace("drain " + action.name);
  expect(row(action.name) && row(action.name)->desired == Desired::drained,
         "AskDrain of " + action.name + " not as recorded");
  call(action, AdminCall::drain);
}

void World::perform(const action::AskUndrain& action) {
  add_trace("undrain " + action.name);
  expect(row(action.name) && row(action.name)->desired == Desired::running,
         "AskUndrain of " + action.name + " not as recorded");
  call(action, AdminCall::undrain);
}

void World::perform(const action::AskFence& action) {
  add_trace("fence " + action.name);
  call(action, AdminCall::fence);
}

void World::perform(const action::Removed& action) {
  add_trace("removed " + action.name);
  expect(!row(action.name), "Removed " + action.name + ", whose row exists");
  expect(!processes.contains(action.name), "Removed " + action.name + ", which runs");
  expect(folders[action.name].held == 0, "Removed " + action.name + ", which holds messages");
  folders.erase(action.name);
}

void World::perform(const action::SetTimer& action) {
  at(action.at, [this, incarnation = incarnation_, id = ++timer_] {
    if (incarnation == incarnation_ && decider_ && id == timer_) handle(event::TimerExpired{});
  });
}

void World::perform(const action::Reply& action) {
  expect(!verdicts.contains(action.request), "request " + std::to_string(action.request) + " answered twice");
  if (auto* yes = std::get_if<verdict::Accepted>(&action.verdict)) {
    auto recorded = database.operations.find(yes->operation.id);
    expect(recorded != database.operations.end(), "Accepted before its record is durable");
    if (commands.contains(action.request)) accepted[yes->operation.id] = commands[action.request];
  }
  verdicts[action.request] = action.verdict;
  replied_at[action.request] = now;
  replies.emplace_back(action.request, action.verdict);
}

Phase World::phase(const std::string& name) {
  auto view = decider_->instance(name);
  return view ? view->phase : Phase::absent;
}

bool World::ended(OperationId id) const {
  auto at = database.operations.find(id);
  return at != database.operations.end() && at->second.state != OperationState::running;
}

OperationId World::submit(Kind kind, std::vector<std::string> names, std::optional<int> max_unavailable) {
  event::Command command_to_send;
  command_to_send.kind = kind;
  command_to_send.all = names.empty();
  command_to_send.names = std::move(names);
  command_to_send.by = "user@host pid 1";
  command_to_send.max_unavailable = max_unavailable;
  const RequestId request = command(command_to_send);
  until([&] { return verdict(request) != nullptr; }, 10 * second);
  const Verdict* verdict_found = verdict(request);
  auto* yes = verdict_found ? std::get_if<verdict::Accepted>(verdict_found) : nullptr;
  return yes ? yes->operation.id : 0;
}

OperationId World::apply(const FleetSpec& fleet) {
  event::Command command_to_send;
  command_to_send.kind = Kind::apply;
  command_to_send.by = "user@host pid 1";
  command_to_send.fleet = fleet;
  const RequestId request = command(command_to_send);
  until([&] { return verdict(request) != nullptr; }, 10 * second);
  const Verdict* verdict_found = verdict(request);
  auto* yes = verdict_found ? std::get_if<verdict::Accepted>(verdict_found) : nullptr;
  return yes ? yes->operation.id : 0;
}

OperationId World::wait_until_ended(OperationId id, Microseconds within) {
  return id != 0 && until([&] { return ended(id); }, within) ? id : 0;
}

bool World::converged() const {
  if (!decider_ || decider_->running_operation() != 0) return false;
  for (const auto& [name, recorded_row] : database.instances) {
    auto process = processes.find(name);
    const bool process_exists = process != processes.end();
    if (recorded_row.live != process_exists || recorded_row.removing) return false;
    if (!recorded_row.retire.empty() && recorded_row.retire == recorded_row.run) return false;
    if (recorded_row.desired == Desired::running &&
        (!process_exists || process->second.draining || process->second.stalled ||
         now < process->second.ready_at)) {
      return false;
    }
    if (recorded_row.desired != Desired::running && process_exists) return false;
    if (recorded_row.desired == Desired::drained && !recorded_row.ended_drained) return false;
  }
  return true;
}

}  // namespace heronvane::fleet::test
