// Models in, text out. Pure: width, colour and the time now are handed in.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "commands.hpp"
#include "model.hpp"
#include "text.hpp"

namespace heronvane::cli {

// What one agent told. `label` names it in tables where several were asked; "" where one was. `command`: how
// the tool is called for this agent ("heronvanectl --agent X"), for what is told to do next.
template <class T>
struct AgentResult {
  std::string label, command;
  T value;
};

struct StatusView {
  AgentInfo agent;
  std::vector<Instance> instances;
  std::optional<Operation> operation;  // that runs
  std::size_t not_looked_at = 0;       // instances whose own status was not asked for, for lack of time
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

// A line that fits the style's width, without its end.
std::string progress_line(const AgentResult<Operation>& one, const Style& style, std::int64_t now_ms);
// A line for each step that ended since `before`.
std::string step_lines(const Operation& before, const AgentResult<Operation>& after);

}  // namespace heronvane::cli
