// The plan of a fault injection: which system calls of a process fail, how, and when.
//
// A plan is a TOML file; docs/operate/fault-injection.md describes it. Equal plans, with equal seeds, fail
// the same calls of a program that makes the same calls.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace heronvane::faults {

// When a rule holds. Times are seconds of CLOCK_MONOTONIC since the library was loaded.
struct Window {
  double from_s = 0;
  double for_s = 0;        // 0: without an end
  std::string while_file;  // only while this file exists; empty: always
};

// Calls of one name that fail.
struct ErrorRule {
  std::string call;         // for example "accept"; accept4 and the like count under the plain name
  int error = 0;            // the errno
  std::string path;         // only where the call names a path that contains this; empty: any
  std::uint64_t after = 0;  // so many matching calls pass first
  std::uint64_t times = 0;  // so many fail at most; 0: no bound
  double share = 1;         // of the matching calls
  Window window;
};

// Reads or writes that move fewer bytes than they are asked to.
struct ShortRule {
  std::string call;
  std::uint64_t bytes = 1;  // moved at most
  double share = 1;
  Window window;
};

// A step of CLOCK_REALTIME, seen from `at_s` on; steps add up. Other clocks run on.
struct ClockStep {
  double at_s = 0;
  double by_s = 0;
  std::string while_file;  // only while this file exists; empty: from at_s on
};

// Calls that take longer: the process stands still behind them.
struct SlowRule {
  std::string call;
  double ms = 0;
  double share = 1;
  Window window;
};

// The process stands still between the reading of a clock and the next write to a socket.
struct DelayRule {
  double ms = 0;
  double share = 1;
  Window window;
};

struct Plan {
  std::uint64_t seed = 0;
  std::string report;  // a file to which each fault adds a line "call errno"; empty: none
  std::vector<ErrorRule> errors;
  std::vector<ShortRule> shorts;
  std::vector<ClockStep> steps;
  std::vector<DelayRule> delays;
  std::vector<SlowRule> slows;
};

// Throws std::runtime_error naming the file, the line and what can't be read.
Plan read_plan(const std::string& text, const std::string& file);

// The value of an errno by its name, such as "ENOSPC"; 0 where there is none of that name.
int error_number(const std::string& name);

}  // namespace heronvane::faults
