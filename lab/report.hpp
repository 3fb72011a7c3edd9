// What is kept of a run: report.json (all of it but the events), events.jsonl, report.html.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "figures.hpp"
#include "judge.hpp"

namespace heronvane::lab {

struct Report {
  std::string program;  // the relay's, as it was named
  std::string experiment_path, experiment_text;
  std::uint64_t seed = 0;
  std::vector<std::size_t> kept_strikes;  // by place in the plan; all of them but after a shrink
  Plan plan;
  Verdict verdict;
  Figures figures;
  Fabric::Counts fabric;
  PeakColdLoad peak_cold_load;  // of all destinations
  double relay_cpu_s = 0;
  std::uint64_t relay_memory = 0;
  Microseconds end = 0;
  std::vector<std::string> failed;  // what was expected and did not come, in words; empty: passed
};

// What `expect` of the experiment does not find.
std::vector<std::string> unmet(const Experiment& experiment, const Verdict& verdict, const Figures& figures);

void write_json(const Report& report, std::ostream& out);
void write_events(const History& history, const Plan& plan, std::ostream& out);  // a line of JSON for each
void write_html(const std::vector<Report>& reports, std::ostream& out);  // several builds side by side
std::string summary(const Report& report);                               // for a terminal

// What `replay`, `compare` and `shrink` need of a report.json. Throws std::runtime_error, telling what is
// wrong.
struct Kept {
  std::string program, experiment_path, experiment_text;
  std::uint64_t seed = 0;
  std::vector<std::size_t> kept_strikes;
  std::vector<std::pair<std::string, double>> figures;  // by name
  bool passed = false;
};
Kept read_report(const std::string& path);

}  // namespace heronvane::lab
