// Each instance made what its row desires. What is seen changes a row only here and in steps, so that it is
// recorded; the notes of it are dropped once that stands.
#include <algorithm>
#include <utility>

#include "state.hpp"

namespace heronvane::fleet {

bool Decider::State::stalled(Microseconds now, const Seen& s) const {
  return s.missed && now - s.answered_at >= (s.status ? tuning.stalled_after : tuning.first_answer);
}

Phase Decider::State::phase(Microseconds now, const InstanceRow& row, const Seen& s) const {
  if (row.live && !s.end) {
    if (s.pending) return Phase::starting;
    if (ending(row)) return Phase::stopping;
    if (stalled(now, s)) return Phase::stalled;
    if (!s.status) return s.looping ? Phase::looping : Phase::starting;
    if (s.status->stopping) return Phase::stopping;
    if (s.status->draining) return Phase::draining;
    if (s.status->ready) return Phase::ready;
    return s.looping ? Phase::looping : Phase::unready;
  }
  if (row.run.empty() && row.desired != Desired::running) return Phase::absent;
  if (row.desired == Desired::stopped) return Phase::stopped;
  if (row.desired == Desired::drained && row.ended_drained) return Phase::drained;
  if (s.looping) return Phase::looping;
  if (s.next_start > now) return Phase::backoff;
  return row.run.empty() ? Phase::absent : Phase::starting;
}

void Decider::State::note_crash(Microseconds now, Seen& s) {
  if (s.ready_since != 0 && now - s.ready_since >= tuning.backoff_reset) {
    s.backoffs = 0;
    s.crashes.clear();
    s.looping = false;
  }
  s.crashes.push_back(now);
  while (now - s.crashes.front() >= tuning.loop_within) s.crashes.pop_front();
  if (static_cast<int>(s.crashes.size()) >= tuning.loop_crashes) s.looping = true;
  Microseconds delay = tuning.backoff_first;
  for (int i = 0; i < s.backoffs && delay < tuning.backoff_most; ++i) delay *= 2;
  delay = std::min(delay, tuning.backoff_most);
  ++s.backoffs;
  s.next_start =
      now + delay / 2 + static_cast<Microseconds>(draw() % static_cast<std::uint64_t>(delay / 2 + 1));
  ++s.step_crashes;
}

// Fences of others are kept under the next operation: an agent that lost its database is not shut out for
// good.
void Decider::State::note_fence(OperationId fence) {
  if (fence <= working.last_operation) return;
  working.last_operation = fence;
  dirty_counts = true;
}

void Decider::State::absorb(Microseconds now, const std::string& name) {
  const InstanceRow& is = working.instances.find(name)->second;
  Seen& s = seen[name];
  note_fence(s.fenced);
  if (!is.live) return;
  if (!s.end) {
    if (s.pid != 0 && s.pid != is.pid) edit(name).pid = s.pid;
    return;
  }
  InstanceRow& row = edit(name);
  const Seen::End& end = *s.end;
  const bool asked = ending(row) && !s.watchdog;
  row.live = false;
  row.pid = 0;
  row.last_exit = end.text;
  if (row.retire == row.run) row.retire.clear();
  if (end.drained) {
    note_fence(*end.drained);
    row.drain_kept = true;
    if (row.desired != Desired::running) {
      row.ended_drained = true;
    } else if (*end.drained > row.fence) {
      // Someone else drained it, later than any operation of this agent: it stays ended.
      row.desired = Desired::drained;
      row.ended_drained = true;
      log(name + " was drained by another, fence " + std::to_string(*end.drained));
    }
  }
  const bool crash = !asked && !end.drained && !end.gone;
  if (crash || (end.gone && !end.drained)) ++row.restarts;
  if (crash) log(name + " ended: " + end.text);
  hooks.push_back([this, name, crash](Microseconds at, Actions&) {
    Seen& noted = seen[name];
    if (crash) {
      noted.step_why = noted.end ? noted.end->text : "";
      note_crash(at, noted);
    }
    noted.new_run(at);
    note_phase(at, name);
  });
  (void)now;
}

void Decider::State::converge(Microseconds now, const std::string& name) {
  const InstanceRow& row = working.instances.find(name)->second;
  Seen& s = seen[name];
  if (s.pending || s.end || s.spawn_out || begun.contains(name)) return;
  if (row.live) {
    const Step* step = acting(name);
    if (!watch(now, row, step)) return;
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
    hooks.push_back([name](Microseconds, Actions& actions) { actions.push_back(action::Removed{name}); });
    const std::string gone = name;
    working.instances.erase(gone);
    return;
  }
  const bool rests =
      row.desired == Desired::stopped || (row.desired == Desired::drained && row.ended_drained);
  if (!rests && now >= s.next_start) start(now, name);
}

bool Decider::State::watch(Microseconds now, const InstanceRow& row, const Step* step) {
  Seen& s = seen[row.name];
  if (!ending(row)) {
    const Microseconds patience = !s.status ? tuning.first_answer
                                  : step    ? tuning.stalled_after
                                            : tuning.stalled_kill;
    const bool silent = s.missed && now - s.answered_at >= patience;
    if (!silent && !s.folder_gone) return true;
    edit(row.name).retire = row.run;
    log(row.name + (silent ? " has not answered: ended" : " has lost its folder: ended"));
    hooks.push_back([this, name = row.name](Microseconds, Actions&) { seen[name].watchdog = true; });
  }
  if (s.fenced > row.fence && !s.watchdog && step) return false;  // the step fails
  auto signal = [&](Signum which) {
    hooks.push_back([this, name = row.name, run = row.run, which](Microseconds at, Actions& actions) {
      Seen& noted = seen[name];
      (which == Signum::term ? noted.term_at : noted.kill_at) = at;
      actions.push_back(action::Signal{name, run, which});
      note_phase(at, name);
    });
  };
  if (s.kill_at != 0) {
    if (now - s.kill_at >= tuning.term_grace) signal(Signum::kill);
  } else if (s.term_at != 0) {
    if (now - s.term_at >= tuning.term_grace) signal(Signum::kill);
  } else if (stalled(now, s)) {
    signal(Signum::kill);
  } else if (step && s.status && s.status->fence < row.fence && !s.fence_answered &&
             (s.ask_from == 0 || now - s.ask_from < tuning.stalled_after)) {
    ask(now, row, Call::fence);
  } else {
    signal(Signum::term);
  }
  return false;
}

void Decider::State::keep_draining(Microseconds now, const InstanceRow& row) {
  Seen& s = seen[row.name];
  if (!s.status) return;
  if (s.status->draining) {
    s.asks = 0;
  } else if (s.fenced <= row.fence) {
    ask(now, row, Call::drain);
  }
}

void Decider::State::keep_running(Microseconds now, const InstanceRow& row, const Step* step) {
  Seen& s = seen[row.name];
  if (!s.status || s.fenced > row.fence) return;
  const bool undrain = step && step->work == Step::Work::undrain && step->run_before == row.run;
  if (s.status->draining || (undrain && s.status->fence < row.fence)) {
    ask(now, row, Call::undrain);
  } else if (row.drain_kept && s.status->fence >= row.fence) {
    edit(row.name).drain_kept = false;  // no earlier drain can come after that fence
  }
}

void Decider::State::ask(Microseconds now, const InstanceRow& row, Call call) {
  Seen& s = seen[row.name];
  if (now < s.ask_next) return;
  hooks.push_back(
      [this, name = row.name, run = row.run, fence = row.fence, call](Microseconds at, Actions& actions) {
        Seen& noted = seen[name];
        if (noted.ask_from == 0) noted.ask_from = at;
        noted.ask_next = at + std::min(tuning.ask_again << std::min(noted.asks, 5), tuning.backoff_most);
        ++noted.asks;
        switch (call) {
          case Call::drain:
            actions.push_back(action::AskDrain{name, run, fence});
            break;
          case Call::undrain:
            actions.push_back(action::AskUndrain{name, run, fence});
            break;
          case Call::fence:
            actions.push_back(action::AskFence{name, run, fence});
            break;
        }
      });
}

void Decider::State::start(Microseconds now, const std::string& name) {
  InstanceRow& row = edit(name);
  row.run = draw_run(now);
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
  hooks.push_back([this, spawn, config = row.config](Microseconds at, Actions& actions) {
    Seen& s = seen[spawn.name];
    s.new_run(at);
    s.spawn_out = true;
    s.next_start = 0;
    if (!s.step_started) s.step_from = at;
    s.step_started = true;
    actions.push_back(action::WriteConfig{spawn.name, config});
    actions.push_back(spawn);
    note_phase(at, spawn.name);
  });
}

}  // namespace heronvane::fleet
