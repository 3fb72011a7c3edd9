// The steps of operations: when they may begin, what they change in a row, and how they end.
#include <algorithm>
#include <utility>

#include "state.hpp"

namespace heronvane::fleet {
namespace {

using Work = Step::Work;

bool takes_away(Work work) {
  return work == Work::restart || work == Work::stop || work == Work::drain || work == Work::remove;
}

bool drains(Work work) { return work == Work::drain || work == Work::remove; }

std::string seconds(Microseconds time) { return std::to_string(time / 1'000'000) + " s"; }

constexpr std::string_view waits = "waits: more instances are down than max_unavailable";

}  // namespace

bool Decider::State::available(Microseconds now, const InstanceRow& row) const {
  auto at = seen.find(row.name);
  if (at == seen.end()) return false;
  const Seen& s = at->second;
  return row.live && !s.pending && !s.end && !ending(row) && s.status && s.status->ready &&
         !s.status->draining && !stalled(now, s);
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
    if (operation.steps[i].state == StepState::acting) judge(now, id, i);
  }
  auto any = [&](StepState state) {
    return std::any_of(operation.steps.begin(), operation.steps.end(),
                       [&](const Step& s) { return s.state == state; });
  };
  if (!any(StepState::failed)) begin_what_may(now, id);
  // What acts may come to its end; nothing further begins.
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
  if (ends.message == waits) ends.message.clear();
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

void Decider::State::begin_what_may(Microseconds now, OperationId id) {
  const Operation& operation = working.operations.at(id);
  std::set<std::string_view> acts_here;
  int taking = 0;
  bool coming = false;  // steps that give instances have not ended yet
  for (const Step& step : operation.steps) {
    if (step.state == StepState::acting) acts_here.insert(step.instance);
    if (step.state == StepState::acting && takes_away(step.work)) ++taking;
    if (!fleet::ended(step.state) && !takes_away(step.work)) coming = true;
  }
  std::optional<int> down;  // beside this operation
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
    if (seen[step.instance].pending || seen[step.instance].end) continue;
    if (takes_away(step.work)) {
      if (coming) continue;
      if (operation.max_unavailable > 0) {
        if (taking >= operation.max_unavailable) break;
        if (!down) {
          down = 0;
          for (const auto& [name, row] : working.instances) {
            if (row.desired == Desired::running && !available(now, row) && !acts_here.contains(name)) ++*down;
          }
        }
        // One that is down itself makes nothing worse: this may be what mends it.
        if (available(now, at->second) && *down > operation.max_unavailable) {
          blocked = true;
          continue;
        }
      }
      ++taking;
    }
    begin(now, id, i);
  }
  if (blocked && operation.message.empty()) {
    edit(id).message = waits;
  } else if (!blocked && operation.message == waits) {
    edit(id).message.clear();
  }
}

void Decider::State::begin(Microseconds now, OperationId id, std::size_t index) {
  Step& step = edit(id).steps[index];
  const std::string name = step.instance;
  InstanceRow& row = edit(name);
  const bool of_apply = working.operations.at(id).kind != Kind::restart;
  if (step.work == Work::rewrite ||
      (step.work == Work::restart && of_apply && row.desired != Desired::running)) {
    // Also of one that crashes while it should drain: the change may be what mends it.
    row.config = row.wanted;
    row.digest = config_digest(working.fleet, name);
    finish_step(now, id, index, StepState::done, "takes effect at its next start");
    return;
  }
  if (step.work == Work::restart && row.desired != Desired::running) {
    finish_step(now, id, index, StepState::failed, "is " + std::string(word(row.desired)));
    return;
  }
  step.state = StepState::acting;
  step.since = now;
  step.run_before = row.live ? row.run : "";
  row.fence = id;
  // A stop that was under way may have reached its process: that run can't be counted on.
  if (row.live && row.desired == Desired::stopped && step.work != Work::stop) row.retire = row.run;
  switch (step.work) {
    case Work::start:
    case Work::add:
    case Work::undrain:
    case Work::restart: {
      row.desired = Desired::running;
      row.removing = row.ended_drained = false;
      const Seen& s = seen[name];
      const bool other = row.config != row.wanted || (s.status && s.status->generation != row.config);
      const bool anew = step.work == Work::restart || (step.work != Work::start && other);
      if (anew && row.live) row.retire = row.run;
      if (anew || !row.live) {
        row.config = row.wanted;
        row.digest = config_digest(working.fleet, name);
      }
      step.what = anew && row.live ? "ends its run" : "starts";
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
  begun.insert(name);
  hooks.push_back([this, name](Microseconds at, Actions&) {
    Seen& s = seen[name];
    s.crashes.clear();
    s.backoffs = s.step_crashes = s.asks = 0;
    s.next_start = s.ask_from = s.ask_next = 0;
    s.looping = s.fresh = s.fence_answered = s.step_started = false;
    s.step_why.clear();
    s.ask_why.clear();
    s.step_from = at;
    note_phase(at, name);
  });
}

bool Decider::State::reached(Microseconds now, const InstanceRow& row, const Step& step) const {
  const Seen& s = seen.find(row.name)->second;
  switch (step.work) {
    case Work::start:
      return s.fresh && available(now, row);
    case Work::undrain:
      // On the same run the fence must be there: else a drain still on its way could come after.
      return s.fresh && available(now, row) && (row.run != step.run_before || s.status->fence >= row.fence);
    case Work::add:
      return s.fresh && available(now, row) && s.status->generation == row.config;
    case Work::restart:
      return s.fresh && available(now, row) && row.run != step.run_before &&
             s.status->generation == row.config;
    case Work::stop:
      return !row.live;
    case Work::drain:
      return !row.live && row.ended_drained;
    case Work::remove:
      return false;  // its row goes
    case Work::rewrite:
      return true;
  }
  return false;
}

void Decider::State::judge(Microseconds now, OperationId id, std::size_t index) {
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
  Seen& s = seen[step.instance];
  if (s.pending) return;
  if (s.step_from == 0) s.step_from = now;
  auto fail = [&](std::string why) { finish_step(now, id, index, StepState::failed, std::move(why)); };
  if (reached(now, row, step)) {
    std::string what = "ready";
    if (work == Work::stop) what = "stopped";
    if (drains(work)) what = row.run.empty() ? "never started, 0 held" : "drained, 0 held";
    finish_step(now, id, index, StepState::done, std::move(what));
    return;
  }
  if (s.fenced > row.fence) return fail("fenced: another has acted on it, fence " + std::to_string(s.fenced));
  if (work != Work::stop && s.step_crashes >= tuning.step_crashes) {
    return fail("crashed " + std::to_string(s.step_crashes) + " times: " + s.step_why);
  }
  if (work != Work::stop && !drains(work) && row.desired != Desired::running) {
    return fail("was drained by another");
  }
  if (drains(work) && row.live && s.status && s.status->draining)
    s.step_from = now;  // may take what it takes
  if (now - s.step_from < tuning.ready_within) return;
  const std::string within = " within " + seconds(tuning.ready_within);
  if (work == Work::stop) return fail("does not end" + within);
  if (drains(work)) return fail("does not drain" + within + (s.ask_why.empty() ? "" : ": " + s.ask_why));
  std::string why = "not ready" + within;
  if (s.status && s.status->generation != row.config && available(now, row)) {
    why +=
        ": generation " + std::to_string(s.status->generation) + " runs, not " + std::to_string(row.config);
  }
  fail(why);
}

}  // namespace heronvane::fleet
