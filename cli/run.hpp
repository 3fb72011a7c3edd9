// Carries out one command: asks the agents, prints, and says with which status the program ends.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "commands.hpp"
#include "session.hpp"
#include "terminal.hpp"

namespace heronvane::cli {

int run(const Invocation& invocation);

// What commands share. Standard output gets what was asked for (with -o json: one document), standard error
// the rest.
class Run {
 public:
  explicit Run(const Global& global) : global_(global), session_(global, stop_) {}

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
  struct Both {  // one agent's answer: as read, and as it came
    T value;
    std::string json;
  };
  template <class T>
  using Results = std::vector<std::variant<Both<T>, Failure>>;
  struct Draft {  // of a POST to /v1/operations
    std::string kind;
    std::vector<std::string> names;
    ChangeOptions options;
    std::string fleet;                // JSON, of apply
    std::optional<std::uint64_t> to;  // of rollback
    std::optional<std::int64_t> generation;
    bool dry_run = false;
  };

  bool json() const { return global_.output == Output::json; }
  template <class T>
  std::vector<Told<T>> told(const Results<T>& results) const;
  // Prints the documents, or `text` of those that succeeded; then the failures.
  template <class T, class Text>
  int finish(const Results<T>& results, Text text);
  void print_json(const std::vector<std::variant<std::string, Failure>>& documents);
  int failures(const std::vector<const Failure*>& all);
  void tell(const Failure& f);
  void warn_of_other_versions();
  template <class T>
  static void forget_unknown(Results<T>& results);

  StatusView look(Port& port, std::string* document, std::chrono::milliseconds budget);
  int watch();
  std::string body(const Draft& draft, std::int64_t generation) const;
  // What changed at the agent since `generation`, for one that refused a change as stale.
  void explain_stale(Port& port, Failure& f, std::int64_t generation);
  Both<Operation> post(Port& port, const Draft& draft, std::int64_t generation);
  int carry_out(Results<Operation> started, bool wait);
  int wait_for(Results<Operation>& operations);  // kDone, or kInterrupted, or kPartial where time ran out
  // The generation before the last apply or rollback.
  static std::uint64_t before_the_last(Port& port);
  int planned(Draft draft, bool yes, const char* question);
  bool agreed(const std::string& question);  // asked on the terminal

  const Global& global_;
  Stop stop_;
  Session session_;
};

template <class T>
std::vector<Told<T>> Run::told(const Results<T>& results) const {
  std::vector<Told<T>> all;
  const auto& ports = session_.ports();
  for (std::size_t i = 0; i < results.size(); i++)
    if (const auto* both = std::get_if<Both<T>>(&results[i]))
      all.push_back({ports[i]->label, ports[i]->command, both->value});
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
      failed.push_back(nullptr), documents.emplace_back(std::get<Both<T>>(r).json);
  if (json())
    print_json(documents);
  else if (const auto all = told(results); !all.empty())
    put(1, text(all));
  return failures(failed);
}

// What is on one agent only is not missing because the others have it not.
template <class T>
void Run::forget_unknown(Results<T>& results) {
  const auto unknown = [](const auto& r) {
    const auto* f = std::get_if<Failure>(&r);
    return f != nullptr && f->unknown;
  };
  bool found = false;
  for (const auto& r : results) found = found || std::holds_alternative<Both<T>>(r);
  if (!found) return;
  for (auto& r : results)
    if (unknown(r)) std::get<Failure>(r).exit = kDone;
}

}  // namespace heronvane::cli
