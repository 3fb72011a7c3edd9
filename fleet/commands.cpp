#include <algorithm>
#include <utility>

#include "state.hpp"

namespace heronvane::fleet {
namespace {

using Work = Step::Work;

void reply(std::vector<Action>& actions, RequestId request, Verdict verdict) {
  actions.push_back(action::Reply{request, std::move(verdict)});
}

}  // namespace

bool Decider::State::decide(Microseconds now, const event::Command& command, Actions& actions) {
  auto result = plan(recorded, command, tuning.max_instances);
  if (auto* refusal = std::get_if<Verdict>(&result)) {
    reply(actions, command.request, std::move(*refusal));
    return false;
  }
  auto& plan_result = std::get<Plan>(result);
  plan_result.operation.created = now;
  if (command.dry_run) {
    reply(actions, command.request, verdict::Plan{std::move(plan_result.operation)});
    return false;
  }
  accept(now, command, std::move(plan_result));
  return true;
}

void Decider::State::accept(Microseconds now, const event::Command& command, Plan plan_result) {
  Operation operation = std::move(plan_result.operation);
  const OperationId id = ++working.last_operation;
  const Generation generation = ++working.generation;
  dirty_counters = true;
  operation.id = id;
  operation.generation = generation;
  operation.created = now;
  for (OperationId earlier : plan_result.supersedes) {
    Operation& other = edit(earlier);
    other.superseded_by = id;
    end_early(now, other, OperationState::superseded);
  }
  if (command.fleet && (command.kind == Kind::apply || command.kind == Kind::rollback)) {
    working.fleet = *command.fleet;
    dirty_fleet = true;
    for (const InstanceSpec& spec : working.fleet.instances) {
      auto at = working.instances.find(spec.name);
      if (at == working.instances.end()) continue;
      auto listen = spec.own.find("listen");
      const std::string address = listen == spec.own.end() ? "" : listen->second;
      // This change replaces the goal of an earlier one that was not reached.
      if (at->second.listen == address && at->second.wanted == at->second.config) continue;
      InstanceRow& row = edit(spec.name);
      row.listen = address;
      if (row.config != 0) row.wanted = row.config;
    }
  }
  for (Step& step : operation.steps) {
    step.since = now;
    if (step.state == StepState::skipped) continue;
    InstanceRow& row = edit(step.instance);
    row.name = step.instance;
    row.changed = generation;
    if (step.work == Work::add || (step.work == Work::restart && command.kind != Kind::restart) ||
        step.work == Work::rewrite) {
      row.wanted = generation;
    }
    if (step.work == Work::add) {
      row.removing = false;  // else its row could be deleted before the step begins
      for (const InstanceSpec& spec : working.fleet.instances) {
        if (spec.name != step.instance) continue;
        auto listen = spec.own.find("listen");
        row.listen = listen == spec.own.end() ? "" : listen->second;
      }
    }
  }
  edit(id) = std::move(operation);
  pending_request = command.request;
  recorded_hooks.push_back([this, id, request = command.request](Microseconds, Actions& actions) {
    reply(actions, request, verdict::Accepted{recorded.operations.at(id)});
  });
}

// Ends an operation before its steps have. Instances whose steps have begun still converge to their rows'
// desired state.
void Decider::State::end_early(Microseconds now, Operation& operation, OperationState state) {
  operation.state = state;
  operation.ended = now;
  for (Step& step : operation.steps) {
    if (step.state == StepState::waiting) {
      step.state = StepState::skipped;
    } else if (step.state == StepState::acting) {
      step.state = StepState::failed;
      step.what = "operation ended before this step";
    } else {
      continue;
    }
    step.since = now;
  }
}

bool Decider::State::decide(Microseconds now, const event::Cancel& cancel, Actions& actions) {
  auto at = recorded.operations.find(cancel.operation);
  if (at == recorded.operations.end()) {
    reply(actions, cancel.request, verdict::Unknown{std::to_string(cancel.operation)});
    return false;
  }
  if (at->second.state != OperationState::running) {
    reply(actions, cancel.request, verdict::Ended{at->second});
    return false;
  }
  end_early(now, edit(cancel.operation), OperationState::cancelled);
  pending_request = cancel.request;
  recorded_hooks.push_back([this, cancel](Microseconds, Actions& done) {
    reply(done, cancel.request, verdict::Accepted{recorded.operations.at(cancel.operation)});
  });
  return true;
}

}  // namespace heronvane::fleet
