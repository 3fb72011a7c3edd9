// Brings each instance to the desired state in its row. Observations change rows only here and in steps.cpp,
// so that the changes are recorded; an observation is cleared once the record is acknowledged.
#include <algorithm>
#include <utility>

#include "state.hpp"

namespace heronvane::fleet {

bool Decider::State::stalled(Microseconds now, const Observed& observed) const {
  return observed.status_missed &&
         now - observed.answered_at >= (observed.status ? tuning.stalled_after : tuning.first_status_timeout);
}

Phase Decider::State::phase(Microseconds now, const InstanceRow& row, const Observed& observed) const {
  if (row.live && !observed.end) {
    if (observed.awaiting_adoption) return Phase::starting;
    if (ending(row)) return Phase::stopping;
    if (stalled(now, observed)) return Phase::stalled;
    if (!observed.status) return observed.looping ? Phase::looping : Phase::starting;
    if (observed.status->stopping) return Phase::stopping;
    if (observed.status->draining) return Phase::draining;
    if (observed.status->ready) return Phase::ready;
    return observed.looping ? Phase::looping : Phase::unready;
  }
  if (row.run.empty() && row.desired != Desired::running) return Phase::absent;
  if (row.desired == Desired::stopped) return Phase::stopped;
  if (row.desired == Desired::drained && row.ended_drained) return Phase::drained;
  if (observed.looping) return Phase::looping;
  if (observed.next_start > now) return Phase::backoff;
  return row.run.empty() ? Phase::absent : Phase::starting;
}

void Decider::State::count_crash(Microseconds now, Observed& observed) {
  if (observed.ready_since != 0 && now - observed.ready_since >= tuning.backoff_reset) {
    observed.backoffs = 0;
    observed.crashes.clear();
    observed.looping = false;
  }
  observed.crashes.push_back(now);
  while (now - observed.crashes.front() >= tuning.loop_window) observed.crashes.pop_front();
  if (static_cast<int>(observed.crashes.size()) >= tuning.loop_crash_count) observed.looping = true;
  Microseconds delay = tuning.backoff_initial;
  for (int i = 0; i < observed.backoffs && delay < tuning.backoff_max; ++i) delay *= 2;
  delay = std::min(delay, tuning.backoff_max);
  ++observed.backoffs;
  observed.next_start =
      now + delay / 2 + static_cast<Microseconds>(next_random() % static_cast<std::uint64_t>(delay / 2 + 1));
  ++observed.step_crashes;
}

// Raises the last operation id to a fence seen at a relay, so that the next operation gets a higher one. Else
// an agent that lost its database would be fenced for good.
void Decider::State::raise_last_operation(OperationId fence) {
  if (fence <= working.last_operation) return;
  working.last_operation = fence;
  dirty_counters = true;
}

void Decider::State::apply_observations(Microseconds now, const std::string& name) {
  const InstanceRow& current = working.instances.find(name)->second;
  Observed& observed = observations[name];
  raise_last_operation(observed.foreign_fence);
  if (!current.live) return;
  if (!observed.end) {
    if (observed.pid != 0 && observed.pid != current.pid) edit(name).pid = observed.pid;
    return;
  }
  InstanceRow& row = edit(name);
  const Observed::End& end = *observed.end;
  const bool asked = ending(row) && !observed.ended_by_agent;
  row.live = false;
  row.pid = 0;
  row.last_exit = end.text;
  if (row.retire == row.run) row.retire.clear();
  if (end.drained) {
    raise_last_operation(*end.drained);
    row.drain_kept = true;
    if (row.desired != Desired::running) {
      row.ended_drained = true;
    } else if (*end.drained > row.fence) {
      // Drained by another client after this agent's last operation on it: it stays down.
      row.desired = Desired::drained;
      row.ended_drained = true;
      log(name + " was drained by another client, fence " + std::to_string(*end.drained));
    }
  }
  const bool crash = !asked && !end.drained && !end.unobserved;
  if (crash || (end.unobserved && !end.drained)) ++row.restarts;
  if (crash) log(name + " ended: " + end.text);
  recorded_hooks.push_back([this, name, crash](Microseconds at, Actions&) {
    Observed& updated = observations[name];
    if (crash) {
      updated.last_crash = updated.end ? updated.end->text : "";
      count_crash(at, updated);
    }
    updated.new_run(at);
    update_phase(at, name);
  });
  (void)now;
}

void Decider::State::converge(Microseconds now, const std::string& name) {
  const InstanceRow& row = working.instances.find(name)->second;
  Observed& observed = observations[name];
  if (observed.awaiting_adoption || observed.end || observed.spawn_pending || begun_instances.contains(name))
    return;
  if (row.live) {
    const Step* step = acting(name);
    if (!check_process(now, row, step)) return;
    switch (row.desired) {
      case Desired::running:
        keep_running(now, row, step);
        break;
      case Desired::drained:
        keep_draining(now, row);
        break;
      case Desired::stopped:
        break;
    }
    return;
  }
  if (row.removing && row.ended_drained) {
    dirty_rows.insert(name);
    recorded_hooks.push_back(
        [name](Microseconds, Actions& actions) { actions.push_back(action::Removed{name}); });
    const std::string removed = name;
    working.instances.erase(removed);
    return;
  }
  const bool stays_ended =
      row.desired == Desired::stopped || (row.desired == Desired::drained && row.ended_drained);
  if (!stays_ended && now >= observed.next_start) start(now, name);
}

bool Decider::State::check_process(Microseconds now, const InstanceRow& row, const Step* step) {
  Observed& observed = observations[row.name];
  if (!ending(row)) {
    const Microseconds timeout = !observed.status ? tuning.first_status_timeout
                                 : step           ? tuning.stalled_after
                                                  : tuning.stalled_kill_after;
    const bool silent = observed.status_missed && now - observed.answered_at >= timeout;
    if (!silent && !observed.state_folder_missing) return true;
    edit(row.name).retire = row.run;
    log(row.name +
        (silent ? " does not answer on its admin socket: ending it" : " has no state folder: ending it"));
    recorded_hooks.push_back(
        [this, name = row.name](Microseconds, Actions&) { observations[name].ended_by_agent = true; });
  }
  if (observed.foreign_fence > row.fence && !observed.ended_by_agent && step)
    return false;  // check_step() fails the step
  auto signal = [&](Signum which) {
    recorded_hooks.push_back(
        [this, name = row.name, run = row.run, which](Microseconds at, Actions& actions) {
          Observed& updated = observations[name];
          (which == Signum::term ? updated.term_sent_at : updated.kill_sent_at) = at;
          actions.push_back(action::Signal{name, run, which});
          update_phase(at, name);
        });
  };
  if (observed.kill_sent_at != 0) {
    if (now - observed.kill_sent_at >= tuning.term_grace) signal(Signum::kill);
  } else if (observed.term_sent_at != 0) {
    if (now - observed.term_sent_at >= tuning.term_grace) signal(Signum::kill);
  } else if (stalled(now, observed)) {
    signal(Signum::kill);
  } else if (step && observed.status && observed.status->fence < row.fence && !observed.fence_answered &&
             (observed.first_admin_call_at == 0 ||
              now - observed.first_admin_call_at < tuning.stalled_after)) {
    call_admin(now, row, AdminCall::fence);
  } else {
    signal(Signum::term);
  }
  return false;
}

void Decider::State::keep_draining(Microseconds now, const InstanceRow& row) {
  Observed& observed = observations[row.name];
  if (!observed.status) return;
  if (observed.status->draining) {
    observed.admin_attempts = 0;
  } else if (observed.foreign_fence <= row.fence) {
    call_admin(now, row, AdminCall::drain);
  }
}

void Decider::State::keep_running(Microseconds now, const InstanceRow& row, const Step* step) {
  Observed& observed = observations[row.name];
  if (!observed.status || observed.foreign_fence > row.fence) return;
  const bool undrain = step && step->work == Step::Work::undrain && step->run_before == row.run;
  if (observed.status->draining || (undrain && observed.status->fence < row.fence)) {
    call_admin(now, row, AdminCall::undrain);
  } else if (row.drain_kept && observed.status->fence >= row.fence) {
    edit(row.name).drain_kept = false;  // a drain with a lower fence is refused from now on
  }
}

void Decider::State::call_admin(Microseconds now, const InstanceRow& row, AdminCall call) {
  Observed& observed = observations[row.name];
  if (now < observed.next_admin_call_at) return;
  recorded_hooks.push_back([this, name = row.name, run = row.run, fence = row.fence, call](Microseconds at,
                                                                                           Actions& actions) {
    Observed& updated = observations[name];
    if (updated.first_admin_call_at == 0) updated.first_admin_call_at = at;
    updated.next_admin_call_at =
        at + std::min(tuning.admin_retry_delay << std::min(updated.admin_attempts, 5), tuning.backoff_max);
    ++updated.admin_attempts;
    switch (call) {
      case AdminCall::drain:
        actions.push_back(action::AskDrain{name, run, fence});
        break;
      case AdminCall::undrain:
        actions.push_back(action::AskUndrain{name, run, fence});
        break;
      case AdminCall::fence:
        actions.push_back(action::AskFence{name, run, fence});
        break;
    }
  });
}

void Decider::State::start(Microseconds now, const std::string& name) {
  InstanceRow& row = edit(name);
  row.run = new_run_id(now);
  row.live = true;
  row.pid = 0;
  row.retire.clear();
  row.ended_drained = false;
  if (row.config == 0) {
    row.config = row.wanted;
    row.digest = config_digest(working.fleet, name);
  }
  action::Spawn spawn{name, row.run, std::nullopt};
  if (row.desired == Desired::running && row.drain_kept) spawn.undrain = row.fence;
  recorded_hooks.push_back([this, spawn, config = row.config](Microseconds at, Actions& actions) {
    Observed& observed = observations[spawn.name];
    observed.new_run(at);
    observed.spawn_pending = true;
    observed.next_start = 0;
    if (!observed.started_in_step) observed.step_timer_start = at;
    observed.started_in_step = true;
    actions.push_back(action::WriteConfig{spawn.name, config});
    actions.push_back(spawn);
    update_phase(at, spawn.name);
  });
}

}  // namespace heronvane::fleet
