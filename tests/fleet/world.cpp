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
  misfortune();
}

void World::expect(bool holds, const std::string& rule) {
  if (!holds) broken.push_back(std::to_string(now / ms % 1'000'000) + " ms: " + rule);
}

const InstanceRow* World::row(const std::string& name) const {
  auto at = database.instances.find(name);
  return at == database.instances.end() ? nullptr : &at->second;
}

void World::at(Microseconds when, std::function<void()> what) {
  due_.push({when, order_++, std::move(what)});
}

void World::later(Microseconds delay, Event event) {
  at(now + delay, [this, life = life_, event = std::move(event)] {
    if (life == life_ && decider_) give(event);
  });
}

void World::give(const Event& event) {
  std::vector<Action> actions;
  decider_->handle(now, event, actions);
  const int life = life_;
  for (const Action& action : actions) {
    if (kill_here && kill_here(action)) kill_agent();
    if (life != life_ || !decider_) return;  // what was not carried out is lost with the agent
    carry_out(action);
  }
}

void World::run(Microseconds time) {
  until([] { return false; }, time);
}

bool World::until(const std::function<bool()>& condition, Microseconds within) {
  const Microseconds end = now + within;
  while (!condition()) {
    if (due_.empty() || due_.top().at > end) {
      now = end;
      return condition();
    }
    Due next = due_.top();
    due_.pop();
    now = std::max(now, next.at);
    next.what();
  }
  return true;
}

RequestId World::command(event::Command command) {
  command.request = ++requests_;
  if (command.kind == Kind::rollback && !command.fleet && database.fleet(command.to))
    command.fleet = *database.fleet(command.to);
  asked[command.request] = command;
  sent_at[command.request] = now;
  if (decider_) give(command);
  return command.request;
}

RequestId World::cancel(OperationId operation) {
  const RequestId request = ++requests_;
  if (decider_) give(event::Cancel{request, operation});
  return request;
}

const Verdict* World::verdict(RequestId request) const {
  auto found = verdicts.find(request);
  return found == verdicts.end() ? nullptr : &found->second;
}

void World::kill_agent() {
  if (!decider_) return;
  if (out_ && record_stands) {
    database.apply(*out_);
    check_rows();
  }
  out_.reset();
  decider_.reset();
  ++life_;
  ++killed;
}

void World::start_agent() {
  if (decider_) return;
  ++life_;
  last_record_ = 0;
  decider_ = std::make_unique<Decider>(database.restored(), 1, tuning_);
  later(0, event::TimerExpired{});
  for (const auto& [name, row] : database.instances) {
    if (!row.live) continue;
    auto process = processes.find(name);
    if (process != processes.end() && process->second.run == row.run) {
      later(some(5 * ms), event::Adopted{name, process->second.pid, row.run});
      poll(name, row.run);
      continue;
    }
    expect(process == processes.end(), name + " has a process of a run that is not recorded");
    event::NotFound gone{name, row.run, std::nullopt};
    const Folder& folder = folders[name];
    if (folder.drained && folder.drained->second == row.run) gone.drained = folder.drained->first;
    later(some(5 * ms), gone);
  }
}

void World::sleep(Microseconds time) {
  now += time;
  std::vector<Due> all;
  while (!due_.empty()) {
    all.push_back(due_.top());
    due_.pop();
  }
  for (Due& one : all) {
    one.at = std::max(one.at, now);
    due_.push(std::move(one));
  }
}

void World::crash(const std::string& name) {
  misfortunes = true;
  auto process = processes.find(name);
  if (process != processes.end()) exits(name, process->second.run, 0, 11);
}

void World::exits(const std::string& name, const std::string& run, int status, int signal) {
  auto process = processes.find(name);
  if (process == processes.end() || process->second.run != run) return;
  event::Exited end{name, run, status, signal, std::nullopt};
  Folder& folder = folders[name];
  if (folder.drained && folder.drained->second == run) end.drained = folder.drained->first;
  processes.erase(process);
  later(some(2 * ms), end);
}

// Crashes and stalls by chance, each second.
void World::misfortune() {
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
        at(now + some(how.stall_for), [this, name, run] {
          auto process = processes.find(name);
          if (process == processes.end() || process->second.run != run) return;
          process->second.stalled = false;
          if (process->second.stopping) return exits(name, run, 0, 0);
          if (process->second.awaits_drain_end) start_draining(name);
        });
      }
    }
    misfortune();
  });
}

// The agent asks each process for its status, and takes 1 s of silence for none.
void World::poll(const std::string& name, const std::string& run) {
  at(now + some(500 * ms), [this, life = life_, name, run] {
    auto process = processes.find(name);
    if (life != life_ || process == processes.end() || process->second.run != run) return;
    if (process->second.stalled || now < process->second.started + 50 * ms) {
      later(second, event::StatusMissed{name, run});
    } else {
      const Process& p = process->second;
      event::StatusSeen seen{
          name, run, !p.draining && !p.stopping && now >= p.ready_at, p.draining, p.stopping, 0, 0, 0, 0};
      seen.fence = folders[name].fence;
      seen.held = static_cast<std::uint64_t>(folders[name].held);
      seen.generation = p.generation;
      later(some(2 * ms), seen);
    }
    poll(name, run);
  });
}

void World::carry_out(const Action& action) {
  std::visit([&](const auto& a) { act(a); }, action);
}

void World::act(const action::Record& a) {
  expect(!out_, "two records out");
  expect(a.record == last_record_ + 1, "record ids skip");
  last_record_ = a.record;
  out_ = a;
  const bool fails = disk_full || chance() < how.record_fails;
  at(now + some(how.record_takes), [this, life = life_, fails, id = a.record] {
    if (life != life_ || !out_ || out_->record != id) return;
    const action::Record record = std::move(*out_);
    out_.reset();
    if (fails) return give(event::RecordFailed{id, "disk full"});
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
    give(event::Recorded{id});
  });
}

void World::note(std::string what) {
  trace.push_back(std::move(what));
  trace_at.push_back(now);
}

// Rules over what is recorded.
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
      const InstanceRow* r = row(step.instance);
      if (r)
        expect(r->fence == id,
               step.instance + " is acted on by " + std::to_string(id) + " without its fence");
    }
    if (operation.max_unavailable > 0) {
      expect(taking <= operation.max_unavailable,
             "operation " + std::to_string(id) + " takes more than max_unavailable");
    }
  }
}

// What a step that ends says of the machine is so, where nothing happened since it was looked at.
void World::check_done(const Step& step) {
  auto process = processes.find(step.instance);
  const bool there = process != processes.end();
  switch (step.work) {
    case Step::Work::stop:
    case Step::Work::remove:
      expect(!there, step.instance + " is told ended and runs");
      break;
    case Step::Work::drain:
      expect(!there && (!folders[step.instance].drain || folders[step.instance].drained ||
                        folders[step.instance].held == 0),
             step.instance + " is told drained and is not");
      break;
    case Step::Work::restart:
    case Step::Work::add:
    case Step::Work::start:
    case Step::Work::undrain: {
      if (misfortunes || how.crash > 0 || how.stall > 0) break;
      const bool ready =
          there && !process->second.draining && !process->second.stopping && now >= process->second.ready_at;
      expect(ready, step.instance + " is told ready and is not");
      if (ready && step.work == Step::Work::restart) {
        expect(process->second.run != step.run_before, step.instance + " is told restarted and is not");
      }
      break;
    }
    case Step::Work::rewrite:
      break;
  }
}

void World::act(const action::WriteConfig& a) {
  const InstanceRow* r = row(a.name);
  expect(r && r->config == a.generation, "WriteConfig of " + a.name + " not as recorded");
  expect(database.fleet(a.generation) != nullptr, "WriteConfig of an unknown fleet");
  folders[a.name].config = a.generation;
}

void World::act(const action::Spawn& a) {
  note("spawn " + a.name + (a.undrain ? " undrain" : ""));
  const InstanceRow* r = row(a.name);
  expect(r && r->live && r->run == a.run, "Spawn of " + a.name + " not as recorded");
  expect(r && (r->desired != Desired::stopped), "Spawn of " + a.name + ", which shall be stopped");
  expect(!processes.contains(a.name), "Spawn of " + a.name + " beside an earlier run");
  if (processes.contains(a.name)) return;
  if (chance() < how.spawn_fails)
    return later(some(ms), event::SpawnFailed{a.name, a.run, "no such program"});
  Folder& folder = folders[a.name];
  if (a.undrain && *a.undrain >= folder.fence) {
    folder.fence = *a.undrain;
    folder.drain = false;
    folder.drained.reset();
  }
  Process process;
  process.run = a.run;
  process.pid = ++pids_;
  process.started = now;
  process.ready_at = now + some(how.start_to_ready);
  process.draining = folder.drain;
  process.generation = folder.config;
  processes[a.name] = process;
  ++starts[a.name];
  later(some(ms), event::Spawned{a.name, process.pid, a.run});
  poll(a.name, a.run);
  bool bad = false;
  if (const FleetSpec* fleet = database.fleet(folder.config)) {
    bad = fleet->common.contains("crashes");
    for (const InstanceSpec& spec : fleet->instances)
      bad = bad || (spec.name == a.name && spec.own.contains("crashes"));
  }
  if (bad) {
    misfortunes = true;
    at(now + some(100 * ms), [this, a] { exits(a.name, a.run, 1, 0); });
  } else if (folder.drain) {
    start_draining(a.name);
  }
}

void World::act(const action::Signal& a) {
  note((a.signal == Signum::term ? "term " : "kill ") + a.name);
  const InstanceRow* r = row(a.name);
  expect(r && (r->run != a.run || r->desired == Desired::stopped || r->retire == a.run),
         "Signal to " + a.name + " not as recorded");
  auto process = processes.find(a.name);
  if (process == processes.end() || process->second.run != a.run) return;
  if (a.signal == Signum::kill) return exits(a.name, a.run, 0, 9);
  process->second.stopping = true;
  at(now + some(how.term_takes), [this, a] {
    auto still = processes.find(a.name);
    if (still != processes.end() && !still->second.stalled) exits(a.name, a.run, 0, 0);
  });
}

void World::start_draining(const std::string& name) {
  const std::string run = processes.at(name).run;
  at(now + some(how.drain_takes), [this, name, run] {
    auto process = processes.find(name);
    if (process == processes.end() || process->second.run != run || !process->second.draining) return;
    if (process->second.stalled) {
      process->second.awaits_drain_end = true;
      return;
    }
    folders[name].held = 0;
    folders[name].drained = {folders[name].fence, run};
    exits(name, run, 0, 0);
  });
}

template <class Ask>
void World::call(const Ask& a, AdminCall call) {
  const InstanceRow* r = row(a.name);
  expect(r && r->fence == a.fence, "a call to " + a.name + " with another fence than recorded");
  at(now + some(ms), [this, life = life_, a, call] {
    auto process = processes.find(a.name);
    event::Answered answer{a.name, a.run, call, event::Answered::Result::failed, 0, "no answer"};
    if (process != processes.end() && process->second.run == a.run && !process->second.stalled) {
      Folder& folder = folders[a.name];
      answer.result = event::Answered::Result::ok;
      if (a.fence < folder.fence) {
        answer.result = event::Answered::Result::fenced;
        answer.highest = folder.fence;
      } else {
        folder.fence = a.fence;
        if (call == AdminCall::drain && !folder.drain) {
          folder.drain = process->second.draining = true;
          start_draining(a.name);
        }
        if (call == AdminCall::undrain) folder.drain = process->second.draining = false;
      }
    }
    if (life == life_) later(answer.result == event::Answered::Result::failed ? second : ms, answer);
  });
}

void World::act(const action::AskDrain& a) {
  note("drain " + a.name);
  expect(row(a.name) && row(a.name)->desired == Desired::drained,
         "AskDrain of " + a.name + " not as recorded");
  call(a, AdminCall::drain);
}

void World::act(const action::AskUndrain& a) {
  note("undrain " + a.name);
  expect(row(a.name) && row(a.name)->desired == Desired::running,
         "AskUndrain of " + a.name + " not as recorded");
  call(a, AdminCall::undrain);
}

void World::act(const action::AskFence& a) {
  note("fence " + a.name);
  call(a, AdminCall::fence);
}

void World::act(const action::Removed& a) {
  note("removed " + a.name);
  expect(!row(a.name), "Removed " + a.name + ", whose row stands");
  expect(!processes.contains(a.name), "Removed " + a.name + ", which runs");
  expect(folders[a.name].held == 0, "Removed " + a.name + ", which holds messages");
  folders.erase(a.name);
}

void World::act(const action::SetTimer& a) {
  at(a.at, [this, life = life_, id = ++timer_] {
    if (life == life_ && decider_ && id == timer_) give(event::TimerExpired{});
  });
}

void World::act(const action::Reply& a) {
  expect(!verdicts.contains(a.request), "request " + std::to_string(a.request) + " told twice");
  if (auto* yes = std::get_if<verdict::Accepted>(&a.verdict)) {
    auto recorded = database.operations.find(yes->operation.id);
    expect(recorded != database.operations.end(), "Accepted before its record stands");
    if (asked.contains(a.request)) accepted[yes->operation.id] = asked[a.request];
  }
  verdicts[a.request] = a.verdict;
  told_at[a.request] = now;
  told.emplace_back(a.request, a.verdict);
}

Phase World::phase(const std::string& name) {
  auto view = decider_->instance(name);
  return view ? view->phase : Phase::absent;
}

bool World::ended(OperationId id) const {
  auto at = database.operations.find(id);
  return at != database.operations.end() && at->second.state != OperationState::running;
}

OperationId World::ask(Kind kind, std::vector<std::string> names, std::optional<int> max_unavailable) {
  event::Command said;
  said.kind = kind;
  said.all = names.empty();
  said.names = std::move(names);
  said.by = "user@host pid 1";
  said.max_unavailable = max_unavailable;
  const RequestId request = command(said);
  until([&] { return verdict(request) != nullptr; }, 10 * second);
  const Verdict* told_it = verdict(request);
  auto* yes = told_it ? std::get_if<verdict::Accepted>(told_it) : nullptr;
  return yes ? yes->operation.id : 0;
}

OperationId World::apply(const FleetSpec& fleet) {
  event::Command said;
  said.kind = Kind::apply;
  said.by = "user@host pid 1";
  said.fleet = fleet;
  const RequestId request = command(said);
  until([&] { return verdict(request) != nullptr; }, 10 * second);
  const Verdict* told_it = verdict(request);
  auto* yes = told_it ? std::get_if<verdict::Accepted>(told_it) : nullptr;
  return yes ? yes->operation.id : 0;
}

OperationId World::finish(OperationId id, Microseconds within) {
  return id != 0 && until([&] { return ended(id); }, within) ? id : 0;
}

bool World::at_rest() const {
  if (!decider_ || decider_->running_operation() != 0) return false;
  for (const auto& [name, r] : database.instances) {
    auto process = processes.find(name);
    const bool there = process != processes.end();
    if (r.live != there || r.removing) return false;
    if (!r.retire.empty() && r.retire == r.run) return false;
    if (r.desired == Desired::running &&
        (!there || process->second.draining || process->second.stalled || now < process->second.ready_at)) {
      return false;
    }
    if (r.desired != Desired::running && there) return false;
    if (r.desired == Desired::drained && !r.ended_drained) return false;
  }
  return true;
}

}  // namespace heronvane::fleet::test
