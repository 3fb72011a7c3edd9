// Executes one command: queries the agents, prints the result and returns the exit status.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "commands.hpp"
#include "session.hpp"
#include "terminal.hpp"

namespace heronvane::cli {

// Returns the exit status of the program. Throws std::invalid_argument for a bad address or credential.
int run(const Invocation& invocation);

// The commands and what they share. Results go to standard output (with -o json as one document), messages
// and progress to standard error.
class Run {
 public:
  explicit Run(const Global& global) : global_(global), session_(global, stop_) {}

  // Reads the agents' names, which label the output.
  void prepare();
  int operator()(const Change& c);
  int operator()(const TakeOver& c);
  int operator()(const Apply& c);
  int operator()(const Rollback& c);
  int operator()(const List& c);
  int operator()(const Status& c);
  int operator()(const Show& c);
  int operator()(const Message& c);
  int operator()(const History& c);
  int operator()(const Logs& c);
  int operator()(const Cancel& c);
  int operator()(const ShowOperation& c);
  int operator()(const Completion& c);
  int operator()(const Demo& c);
  int operator()(const Version&);

 private:
  template <class T>
  struct Parsed {  // one agent's answer: parsed, and its JSON
    T value;
    std::string json;
  };
  template <class T>
  using Results = std::vector<std::variant<Parsed<T>, Failure>>;
  struct Draft {  // the content of a POST to /v1/operations
    std::string kind;
    std::vector<std::string> names;
    ChangeOptions options;
    std::string fleet;                // apply: the fleet as JSON
    std::optional<std::uint64_t> to;  // rollback: the target generation
    std::optional<std::int64_t> generation;
    bool dry_run = false;
  };

  bool json() const { return global_.output == Output::json; }
  template <class T>
  std::vector<AgentResult<T>> successes(const Results<T>& results) const;
  // Prints the JSON documents, or text(successful results), then the failures. Returns the exit status.
  template <class T, class Text>
  int finish(const Results<T>& results, Text text);
  void print_json(const std::vector<std::variant<std::string, Failure>>& documents);
  // Prints the failures (null: that agent succeeded) and returns the combined exit status.
  int report_failures(const std::vector<const Failure*>& all);
  void print_failure(const Failure& f);
  void warn_of_other_versions();
  template <class T>
  static void ignore_not_found(Results<T>& results);

  // Reads an agent's status within about `budget`; sets `document` to its JSON unless null.
  StatusView poll_status(AgentConnection& connection, std::string* document,
                         std::chrono::milliseconds budget);
  int watch();
  std::string body(const Draft& draft, std::int64_t generation) const;
  // Adds to `f`, a change refused as stale, the operations that changed the agent since `generation`.
  void explain_stale(AgentConnection& connection, Failure& f, std::int64_t generation);
  Parsed<Operation> post(AgentConnection& connection, const Draft& draft, std::int64_t generation);
  int carry_out(Results<Operation> started, bool wait);
  int wait_for(Results<Operation>& operations);  // kDone, kInterrupted, or kPartial after the timeout
  // The generation before the last apply or rollback. Failure if there is none in the last 50 operations.
  static std::uint64_t generation_before_last_change(AgentConnection& connection);
  // Prints the diff of a dry run, asks for confirmation where needed, and starts the operation.
  int plan_and_start(Draft draft, bool yes, const char* question);
  bool confirm(const std::string& question);  // asks on the terminal

  const Global& global_;
  Stop stop_;
  Session session_;
};

template <class T>
std::vector<AgentResult<T>> Run::successes(const Results<T>& results) const {
  std::vector<AgentResult<T>> all;
  const auto& connections = session_.connections();
  for (std::size_t i = 0; i < results.size(); i++)
    if (const auto* both = std::get_if<Parsed<T>>(&results[i]))
      all.push_back({connections[i]->label, connections[i]->command, both->value});
  return all;
}

template <class T, class Text>
int Run::finish(const Results<T>& results, Text text) {
  std::vector<const Failure*> failed;
  std::vector<std::variant<std::string, Failure>> documents;
  for (const auto& r : results)
    if (const auto* f = std::get_if<Failure>(&r))
      failed.push_back(f), documents.emplace_back(*f);
    else
      failed.push_back(nullptr), documents.emplace_back(std::get<Parsed<T>>(r).json);
  if (json())
    print_json(documents);
  else if (const auto all = successes(results); !all.empty())
    put(1, text(all));
  return report_failures(failed);
}

// If one agent has the requested object, "not found" from the other agents is no failure.
template <class T>
void Run::ignore_not_found(Results<T>& results) {
  const auto unknown = [](const auto& r) {
    const auto* f = std::get_if<Failure>(&r);
    return f != nullptr && f->not_found;
  };
  bool found = false;
  for (const auto& r : results) found = found || std::holds_alternative<Parsed<T>>(r);
  if (!found) return;
  for (auto& r : results)
    if (unknown(r)) std::get<Failure>(r).exit = kDone;
}

}  // namespace heronvane::cli
