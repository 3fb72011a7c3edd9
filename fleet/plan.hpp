// Plans a command from the recorded rows alone; changes nothing.
#pragma once

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decider.hpp"

namespace heronvane::fleet {

// The persistent state, by key.
struct Durable {
  Generation generation = 0;
  OperationId last_operation = 0;
  FleetSpec fleet;
  std::map<std::string, InstanceRow, std::less<>> instances;
  std::map<OperationId, Operation> operations;
};

struct Plan {
  Operation operation;               // id and generation 0
  std::set<OperationId> supersedes;  // running operations that the command ends, if it may supersede
};

// Digest of the parts that form the instance's configuration; empty if the fleet has no such instance.
std::string config_digest(const FleetSpec& fleet, std::string_view name);
bool valid_name(std::string_view name);

inline bool ended(StepState state) { return state != StepState::waiting && state != StepState::acting; }

// The plan, or the reason for a refusal (any verdict but Accepted, Plan, Ended, Storage and Busy).
std::variant<Plan, Verdict> plan(const Durable& recorded, const event::Command& command,
                                 std::size_t max_instances);

}  // namespace heronvane::fleet
