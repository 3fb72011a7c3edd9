// Renders the models as text. No I/O: width, colour and the current time are parameters.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "commands.hpp"
#include "model.hpp"
#include "text.hpp"

namespace heronvane::cli {

// The result from one agent. `label` names the agent in tables, "" if only one agent was queried. `command`
// is the command line that addresses this agent ("heronvanectl --agent X"), for suggestions.
template <class T>
struct AgentResult {
  std::string label, command;
  T value;
};

struct StatusView {
  AgentInfo agent;
  std::vector<Instance> instances;
  std::optional<Operation> operation;  // the running one
  std::size_t status_not_read = 0;     // instances whose status was not read within the time budget
};

struct Listing {
  std::int64_t generation = 0;
  std::vector<Instance> instances;
};

std::string render_list(const std::vector<AgentResult<Listing>>& all, const Style& style,
                        std::int64_t now_ms);
std::string render_status(const std::vector<AgentResult<StatusView>>& all, const Style& style,
                          std::int64_t now_ms);
std::string render_instance(const AgentResult<Instance>& one, const Style& style, std::int64_t now_ms);
std::string render_message(const std::vector<AgentResult<MessageAnswer>>& all, const Style& style,
                           std::int64_t now_ms);
std::string render_history(const std::vector<AgentResult<std::vector<Operation>>>& all, const Style& style,
                           std::int64_t now_ms);
std::string render_operation(const AgentResult<Operation>& one, const Style& style, std::int64_t now_ms);
std::string render_diff(const AgentResult<Operation>& one, const Style& style);
std::string render_versions(const std::vector<AgentResult<AgentInfo>>& all, const std::string& own,
                            const Style& style);

// One line within the style's width, without a line end.
std::string progress_line(const AgentResult<Operation>& one, const Style& style, std::int64_t now_ms);
// One line for each step that ended since `before`.
std::string step_lines(const Operation& before, const AgentResult<Operation>& after);

}  // namespace heronvane::cli
