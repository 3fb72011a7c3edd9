// The steps of operations: when a step may begin, what it changes in its instance's row, and how it ends.
#include <algorithm>
#include <utility>

#include "state.hpp"

namespace heronvane::fleet {
namespace {

using Work = Step::Work;

bool reduces_availability(Work work) {
  return work == Work::restart || work == Work::stop || work == Work::drain || work == Work::remove;
}

bool is_drain(Work work) { return work == Work::drain || work == Work::remove; }

std::string seconds(Microseconds time) { return std::to_string(time / 1'000'000) + " s"; }

constexpr std::string_view kWaitsMessage = "waits: more instances are down than max_unavailable";

}  // namespace

bool Decider::State::available(Microseconds now, const InstanceRow& row) const {
  auto at = observations.find(row.name);
  if (at == observations.end()) return false;
  const Observed& observed = at->second;
  return row.live && !observed.awaiting_adoption && !observed.end && !ending(row) && observed.status &&
         observed.status->ready && !observed.status->draining && !stalled(now, observed);
}

const Step* Decider::State::acting(const std::string& name) const {
  auto at = open_steps.find(name);
  if (at == open_steps.end()) return nullptr;
  const Operation& operation = working.operations.at(at->second.first);
  const Step& step = operation.steps[at->second.second];
  return operation.state == OperationState::running && step.state == StepState::acting ? &step : nullptr;
}

void Decider::State::drive_operation(Microseconds now, OperationId id) {
  const Operation& operation = working.operations.at(id);
  for (std::size_t i = 0; i < operation.steps.size(); ++i) {
    if (operation.steps[i].state == StepState::acting) check_step(now, id, i);
  }
  auto any = [&](StepState state) {
    return std::any_of(operation.steps.begin(), operation.steps.end(),
                       [&](const Step& step) { return step.state == state; });
  };
  if (!any(StepState::failed)) begin_eligible_steps(now, id);
  // After a failure, acting steps may still end; no further step begins.
  if (any(StepState::failed)) {
    for (std::size_t i = 0; i < operation.steps.size(); ++i) {
      if (operation.steps[i].state == StepState::waiting)
        finish_step(now, id, i, StepState::skipped, "not begun");
    }
  }
  if (any(StepState::waiting) || any(StepState::acting)) return;
  Operation& ends = edit(id);
  ends.ended = now;
  ends.state = any(StepState::failed) ? OperationState::failed : OperationState::done;
  if (ends.message == kWaitsMessage) ends.message.clear();
  for (const Step& step : ends.steps) {
    if (step.state != StepState::failed) continue;
    ends.message = step.instance + ": " + step.what;
    break;
  }
}

void Decider::State::finish_step(Microseconds now, OperationId id, std::size_t index, StepState state,
                                 std::string what) {
  Step& step = edit(id).steps[index];
  step.state = state;
  step.what = std::move(what);
  step.since = now;
}

void Decider::State::begin_eligible_steps(Microseconds now, OperationId id) {
  const Operation& operation = working.operations.at(id);
  std::set<std::string_view> acting_instances;
  int unavailable_steps = 0;
  bool additions_open = false;  // open steps that add or start instances
  for (const Step& step : operation.steps) {
    if (step.state == StepState::acting) acting_instances.insert(step.instance);
    if (step.state == StepState::acting && reduces_availability(step.work)) ++unavailable_steps;
    if (!fleet::ended(step.state) && !reduces_availability(step.work)) additions_open = true;
  }
  std::optional<int> unavailable_elsewhere;  // unavailable instances outside this operation
  bool blocked = false;
  for (std::size_t i = 0; i < operation.steps.size(); ++i) {
    const Step& step = operation.steps[i];
    if (step.state != StepState::waiting) continue;
    auto at = working.instances.find(step.instance);
    if (at == working.instances.end()) {
      finish_step(now, id, i, step.work == Work::remove ? StepState::done : StepState::failed,
                  "is not there");
      continue;
    }
    if (observations[step.instance].awaiting_adoption || observations[step.instance].end) continue;
    if (reduces_availability(step.work)) {
      if (additions_open) continue;
      if (operation.max_unavailable > 0) {
        if (unavailable_steps >= operation.max_unavailable) break;
        if (!unavailable_elsewhere) {
          unavailable_elsewhere = 0;
          for (const auto& [name, row] : working.instances) {
            if (row.desired == Desired::running && !available(now, row) && !acting_instances.contains(name))
              ++*unavailable_elsewhere;
          }
        }
        // A step of an unavailable instance lowers availability no further, and may repair it.
        if (available(now, at->second) && *unavailable_elsewhere > operation.max_unavailable) {
          blocked = true;
          continue;
        }
      }
      ++unavailable_steps;
    }
    begin_step(now, id, i);
  }
  if (blocked && operation.message.empty()) {
    edit(id).message = kWaitsMessage;
  } else if (!blocked && operation.message == kWaitsMessage) {
    edit(id).message.clear();
  }
}

void Decider::State::begin_step(Microseconds now, OperationId id, std::size_t index) {
  Step& step = edit(id).steps[index];
  const std::string name = step.instance;
  InstanceRow& row = edit(name);
  const bool of_apply = working.operations.at(id).kind != Kind::restart;
  if (step.work == Work::rewrite ||
      (step.work == Work::restart && of_apply && row.desired != Desired::running)) {
    // Also for an instance that crashes while it should drain: the change may repair it.
    row.config = row.wanted;
    row.digest = config_digest(working.fleet, name);
    finish_step(now, id, index, StepState::done, "takes effect at its next start");
    return;
  }
  if (step.work == Work::restart && row.desired != Desired::running) {
    finish_step(now, id, index, StepState::failed, "is " + std::string(name_of(row.desired)));
    return;
  }
  step.state = StepState::acting;
  step.since = now;
  step.run_before = row.live ? row.run : "";
  row.fence = id;
  // An earlier stop may already have signalled the process, so that run has to be replaced.
  if (row.live && row.desired == Desired::stopped && step.work != Work::stop) row.retire = row.run;
  switch (step.work) {
    case Work::start:
    case Work::add:
    case Work::undrain:
    case Work::restart: {
      row.desired = Desired::running;
      row.removing = row.ended_drained = false;
      const Observed& observed = observations[name];
      const bool config_differs =
          row.config != row.wanted || (observed.status && observed.status->generation != row.config);
      const bool needs_new_run = step.work == Work::restart || (step.work != Work::start && config_differs);
      if (needs_new_run && row.live) row.retire = row.run;
      if (needs_new_run || !row.live) {
        row.config = row.wanted;
        row.digest = config_digest(working.fleet, name);
      }
      step.what = needs_new_run && row.live ? "ends its run" : "starts";
      break;
    }
    case Work::stop:
      row.desired = Desired::stopped;
      row.removing = false;
      step.what = "ends its run";
      break;
    case Work::remove:
    case Work::drain:
      row.removing = row.removing || step.work == Work::remove;
      row.desired = Desired::drained;
      row.drain_kept = true;
      if (row.run.empty()) row.ended_drained = true;
      step.what = "drains";
      break;
    case Work::rewrite:
      break;
  }
  begun_instances.insert(name);
  recorded_hooks.push_back([this, name](Microseconds at, Actions&) {
    Observed& observed = observations[name];
    observed.crashes.clear();
    observed.backoffs = observed.step_crashes = observed.admin_attempts = 0;
    observed.next_start = observed.first_admin_call_at = observed.next_admin_call_at = 0;
    observed.looping = observed.status_in_step = observed.fence_answered = observed.started_in_step = false;
    observed.last_crash.clear();
    observed.admin_error.clear();
    observed.step_timer_start = at;
    update_phase(at, name);
  });
}

bool Decider::State::goal_reached(Microseconds now, const InstanceRow& row, const Step& step) const {
  const Observed& observed = observations.find(row.name)->second;
  switch (step.work) {
    case Work::start:
      return observed.status_in_step && available(now, row);
    case Work::undrain:
      // On the same run the relay must have this fence: else a delayed drain could still take effect.
      return observed.status_in_step && available(now, row) &&
             (row.run != step.run_before || observed.status->fence >= row.fence);
    case Work::add:
      return observed.status_in_step && available(now, row) && observed.status->generation == row.config;
    case Work::restart:
      return observed.status_in_step && available(now, row) && row.run != step.run_before &&
             observed.status->generation == row.config;
    case Work::stop:
      return !row.live;
    case Work::drain:
      return !row.live && row.ended_drained;
    case Work::remove:
      return false;  // done when its row is deleted
    case Work::rewrite:
      return true;
  }
  return false;
}

void Decider::State::check_step(Microseconds now, OperationId id, std::size_t index) {
  const Step& step = working.operations.at(id).steps[index];
  const Work work = step.work;
  auto at = working.instances.find(step.instance);
  if (at == working.instances.end()) {
    const bool done = work == Work::remove;
    finish_step(now, id, index, done ? StepState::done : StepState::failed,
                done ? "removed" : "is not there");
    return;
  }
  const InstanceRow& row = at->second;
  Observed& observed = observations[step.instance];
  if (observed.awaiting_adoption) return;
  if (observed.step_timer_start == 0) observed.step_timer_start = now;
  auto fail = [&](std::string why) { finish_step(now, id, index, StepState::failed, std::move(why)); };
  if (goal_reached(now, row, step)) {
    std::string what = "ready";
    if (work == Work::stop) what = "stopped";
    if (is_drain(work)) what = row.run.empty() ? "never started, 0 held" : "drained, 0 held";
    finish_step(now, id, index, StepState::done, std::move(what));
    return;
  }
  if (observed.foreign_fence > row.fence)
    return fail("fenced: another client has used fence " + std::to_string(observed.foreign_fence));
  if (work != Work::stop && observed.step_crashes >= tuning.step_crash_limit) {
    return fail("crashed " + std::to_string(observed.step_crashes) + " times: " + observed.last_crash);
  }
  if (work != Work::stop && !is_drain(work) && row.desired != Desired::running) {
    return fail("was drained by another client");
  }
  if (is_drain(work) && row.live && observed.status && observed.status->draining)
    observed.step_timer_start = now;  // a drain in progress has no time limit
  if (now - observed.step_timer_start < tuning.ready_timeout) return;
  const std::string within = " within " + seconds(tuning.ready_timeout);
  if (work == Work::stop) return fail("does not end" + within);
  if (is_drain(work))
    return fail("does not drain" + within +
                (observed.admin_error.empty() ? "" : ": " + observed.admin_error));
  std::string why = "not ready" + within;
  if (observed.status && observed.status->generation != row.config && available(now, row)) {
    why += ": generation " + std::to_string(observed.status->generation) + " runs, not " +
           std::to_string(row.config);
  }
  fail(why);
}

}  // namespace heronvane::fleet
