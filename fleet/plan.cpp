#include "plan.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace heronvane::fleet {
namespace {

using Work = Step::Work;

const InstanceSpec* find(const FleetSpec& fleet, std::string_view name) {
  auto at = std::find_if(fleet.instances.begin(), fleet.instances.end(),
                         [&](const InstanceSpec& spec) { return spec.name == name; });
  return at == fleet.instances.end() ? nullptr : &*at;
}

// FNV-1a; each text is preceded by its length, so that different lists of parts give different input.
void hash_append(std::uint64_t& hash, std::string_view text) {
  auto byte = [&](std::uint64_t value) { hash = (hash ^ (value & 0xff)) * 0x100000001b3ULL; };
  for (int shift = 0; shift < 32; shift += 8) byte(text.size() >> shift);
  for (char c : text) byte(static_cast<unsigned char>(c));
}

void append_differences(const std::string& prefix, const ConfigParts& before, const ConfigParts& after,
                        std::vector<std::string>& lines) {
  for (const auto& [part, value] : before) {
    auto at = after.find(part);
    if (at == after.end()) {
      lines.push_back("~ " + prefix + part + " " + value + " -> none");
    } else if (at->second != value) {
      lines.push_back("~ " + prefix + part + " " + value + " -> " + at->second);
    }
  }
  for (const auto& [part, value] : after) {
    if (!before.contains(part)) lines.push_back("~ " + prefix + part + " none -> " + value);
  }
}

std::optional<std::string> find_error(const FleetSpec& fleet, std::size_t max_instances) {
  if (fleet.max_unavailable < 1) return "max_unavailable must be 1 or more";
  if (fleet.instances.size() > max_instances)
    return "more than " + std::to_string(max_instances) + " instances";
  std::set<std::string_view> names;
  for (const InstanceSpec& spec : fleet.instances) {
    if (!valid_name(spec.name))
      return "instance name `" + spec.name.substr(0, 80) + "`: 1 to 64 of a-z 0-9 -";
    if (!names.insert(spec.name).second) return "two instances are named " + spec.name;
  }
  return std::nullopt;
}

Step step(std::string name, Work work) {
  Step made;
  made.instance = std::move(name);
  made.work = work;
  return made;
}

// Added instances come first, so that running ones are changed only when those are ready; removed instances
// come last.
void plan_apply(const Durable& recorded, const FleetSpec& fleet, Operation& operation) {
  std::vector<Step> changed;
  for (const InstanceSpec& spec : fleet.instances) {
    auto at = recorded.instances.find(spec.name);
    const InstanceSpec* before = find(recorded.fleet, spec.name);
    if (at == recorded.instances.end() || at->second.removing ||
        (at->second.config == 0 && at->second.run.empty() && at->second.desired == Desired::stopped)) {
      operation.steps.push_back(step(spec.name, Work::add));
      if (!before) operation.diff.push_back("+ " + spec.name);
    } else if (at->second.digest != config_digest(fleet, spec.name)) {
      changed.push_back(
          step(spec.name, at->second.desired == Desired::running ? Work::restart : Work::rewrite));
      if (before && config_digest(recorded.fleet, spec.name) == config_digest(fleet, spec.name)) {
        operation.diff.push_back("~ " + spec.name + " still has the configuration of generation " +
                                 std::to_string(at->second.config));
      }
    }
    if (before) append_differences(spec.name + ": ", before->own, spec.own, operation.diff);
  }
  std::move(changed.begin(), changed.end(), std::back_inserter(operation.steps));
  for (const auto& [name, row] : recorded.instances) {
    if (find(fleet, name)) continue;
    operation.steps.push_back(step(name, Work::remove));
    operation.diff.push_back("- " + name);
  }
  append_differences("", recorded.fleet.common, fleet.common, operation.diff);
  append_differences("", recorded.fleet.agent_parts, fleet.agent_parts, operation.diff);
  if (recorded.fleet.max_unavailable != fleet.max_unavailable) {
    operation.diff.push_back("~ max_unavailable " + std::to_string(recorded.fleet.max_unavailable) + " -> " +
                             std::to_string(fleet.max_unavailable));
  }
}

// Why the command can't act on that instance; empty: it can. With `all`, a drain skips stopped instances.
std::string refusal_reason(Kind kind, const InstanceRow& row, bool all) {
  if (row.removing && kind != Kind::down)
    return "is being removed from the fleet";  // down aborts the removal
  switch (kind) {
    case Kind::up:
      if (row.desired == Desired::drained) return "is drained: undrain it";
      break;
    case Kind::undrain:
      if (row.desired == Desired::stopped) return "is stopped: bring it up";
      break;
    case Kind::restart:
      if (row.desired == Desired::drained) return "is drained: undrain it";
      if (row.desired == Desired::stopped) return "is stopped: bring it up";
      break;
    case Kind::drain:
      if (all && row.desired == Desired::stopped) return "is stopped";
      break;
    case Kind::down:
    case Kind::apply:
    case Kind::rollback:
      break;
  }
  return "";
}

Work work_for(Kind kind) {
  switch (kind) {
    case Kind::up:
      return Work::start;
    case Kind::down:
      return Work::stop;
    case Kind::drain:
      return Work::drain;
    case Kind::undrain:
      return Work::undrain;
    case Kind::restart:
    case Kind::apply:
    case Kind::rollback:
      break;
  }
  return Work::restart;
}

}  // namespace

bool valid_name(std::string_view name) {
  return !name.empty() && name.size() <= 64 && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

std::string config_digest(const FleetSpec& fleet, std::string_view name) {
  const InstanceSpec* spec = find(fleet, name);
  if (!spec) return "";
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const ConfigParts* parts : {&fleet.common, &spec->own}) {
    for (const auto& [part, value] : *parts) {
      hash_append(hash, part);
      hash_append(hash, value);
    }
    hash_append(hash, "");
  }
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash));
  return text;
}

std::variant<Plan, Verdict> plan(const Durable& recorded, const event::Command& command,
                                 std::size_t max_instances) {
  const bool whole_fleet = command.kind == Kind::apply || command.kind == Kind::rollback;
  if (command.max_unavailable && *command.max_unavailable < 1) {
    return verdict::Malformed{"max_unavailable must be 1 or more"};
  }
  if (command.by.size() > 256) return verdict::Malformed{"`by` is longer than 256 characters"};
  Plan made;
  Operation& operation = made.operation;
  operation.kind = command.kind;
  operation.by = command.by;
  std::set<std::string> affected;
  std::vector<std::string> stale;
  if (whole_fleet) {
    if (!command.fleet && command.kind == Kind::apply) return verdict::Malformed{"no fleet is given"};
    if (!command.fleet) {
      return verdict::Refused{"no fleet of generation " + std::to_string(command.to) + " is recorded"};
    }
    if (auto why = find_error(*command.fleet, max_instances)) return verdict::Malformed{*why};
    plan_apply(recorded, *command.fleet, operation);
    if (command.kind == Kind::rollback) operation.message = "to generation " + std::to_string(command.to);
    operation.max_unavailable = command.max_unavailable.value_or(command.fleet->max_unavailable);
    for (const Step& planned : operation.steps) affected.insert(planned.instance);
  } else {
    std::set<std::string> names(command.names.begin(), command.names.end());
    if (command.all) {
      names.clear();
      for (const auto& [name, row] : recorded.instances) names.insert(name);
    } else if (names.empty()) {
      return verdict::Malformed{"no instance is named"};
    }
    for (const std::string& name : names) {
      if (!valid_name(name)) return verdict::Malformed{"instance name `" + name.substr(0, 80) + "`"};
      if (!recorded.instances.contains(name)) return verdict::Unknown{name};
    }
    operation.max_unavailable = command.max_unavailable.value_or(
        command.kind == Kind::restart ? std::max(1, recorded.fleet.max_unavailable) : 0);
    for (const std::string& name : names) {
      const InstanceRow& row = recorded.instances.find(name)->second;
      Step planned = step(name, work_for(command.kind));
      planned.what = refusal_reason(command.kind, row, command.all);
      if (!planned.what.empty()) planned.state = StepState::skipped;
      if (planned.what.empty() || !command.all) affected.insert(name);
      if (command.against && row.changed > *command.against) stale.push_back(name);
      operation.steps.push_back(std::move(planned));
    }
  }

  for (const auto& [id, other] : recorded.operations) {
    if (other.state != OperationState::running) continue;
    verdict::Conflict conflict{id, other.kind, other.by, other.created, {}};
    for (const Step& planned : other.steps) {
      if (!ended(planned.state) && affected.contains(planned.instance))
        conflict.names.push_back(planned.instance);
    }
    // Two changes of the fleet itself conflict, whichever instances they affect.
    const bool both_change_fleet = whole_fleet && (other.kind == Kind::apply || other.kind == Kind::rollback);
    if (conflict.names.empty() && !both_change_fleet) continue;
    if (!command.supersede) return conflict;
    made.supersedes.insert(id);
  }
  if (command.against && (*command.against > recorded.generation ||
                          (whole_fleet && *command.against != recorded.generation) || !stale.empty())) {
    return verdict::Stale{recorded.generation, stale};
  }
  for (const Step& planned : operation.steps) {
    if (planned.state == StepState::skipped && !command.all)
      return verdict::Refused{planned.instance + " " + planned.what};
  }
  return made;
}

}  // namespace heronvane::fleet
