// What a command would do: judged against the rows alone, nothing is changed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decider.hpp"

namespace heronvane::fleet {

// What lasts, by key.
struct Durable {
  Generation generation = 0;
  OperationId last_operation = 0;
  FleetSpec fleet;
  std::map<std::string, InstanceRow, std::less<>> instances;
  std::map<OperationId, Operation> operations;
};

struct Plan {
  Operation operation;               // id and generation 0
  std::set<OperationId> supersedes;  // running ones in its way, where the command takes precedence
};

// Of the parts that its configuration is made of; empty where the fleet has no such instance.
std::string config_digest(const FleetSpec& fleet, std::string_view name);
bool valid_name(std::string_view name);

inline bool ended(StepState state) { return state != StepState::waiting && state != StepState::acting; }

// The plan, or why there is none (any verdict but Accepted, Plan, Ended, Storage and Busy).
std::variant<Plan, Verdict> plan(const Durable& recorded, const event::Command& command,
                                 std::size_t max_instances);

}  // namespace heronvane::fleet
