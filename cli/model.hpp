// The answers of agents (docs/design/fleet.md), parsed from JSON. Missing fields keep their defaults, so that
// answers of other agent versions can be parsed; a field of the wrong type throws MalformedAnswer, which
// names the field. Times ending in _ms are Unix time in ms, or durations in ms.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heronvane::cli {

struct Platform {
  std::string listen;
  std::int64_t index = 0, endpoints = 0, watchers = 0, finals = 0;
  std::string trouble;  // the problem that keeps it from working and what to do about it; "" if none
};

struct AgentInfo {
  std::string name, version;
  std::int64_t api = 0, pid = 0, started_ms = 0, generation = 0, instances = 0, ready = 0, operation = 0;
  std::optional<Platform> platform;
};

struct Target {
  std::string endpoint, listing, health;
  std::int64_t destination = 0;
  double pace = 0, delay_ms = 0, wait_ms = 0;
};

struct RelayStatus {
  std::string version, trouble;
  std::int64_t generation = 0, uptime_ms = 0, fence = 0;
  bool ready = false, draining = false, stopping = false;
  std::int64_t held = 0, given_up = 0, oldest_ms = 0;
  std::vector<std::pair<std::string, std::int64_t>> by_class, by_age;
  std::int64_t calls = 0, slots = 0, clients = 0;
  std::vector<Target> targets;
  std::int64_t store_bytes = 0, store_limit = 0, segments = 0, memory_kb = 0, descriptors = 0;
  bool list_received = false;
  std::int64_t list_index = 0, list_endpoints = 0;
  struct Copies {
    struct Holder {
      std::string name, trouble;
      bool connected = false, snapshot = false;
      std::int64_t lag = 0;
    };
    struct Held {
      std::string name, moved_to, trouble;
      std::int64_t messages = 0, bytes = 0, heard_ms_ago = 0;
    };
    std::string phase, taking_over;
    bool ready = false, is_short = false, under_copied = false, changing = false;
    std::int64_t epoch = 0, last = 0, stands = 0, waiting = 0, copies = 0, taken_over = 0;
    std::vector<Holder> holders;
    std::vector<Held> held;
  };
  std::optional<Copies> copies;  // only if the relay's log is replicated
};

struct Instance {
  std::string name, listen, desired, phase, run, last_exit;
  std::int64_t pid = 0, since_ms = 0, generation = 0, wanted_generation = 0, restarts = 0, next_start_ms = 0;
  bool ready = false;
  std::int64_t held = 0, oldest_ms = 0, operation = 0;
  struct Copies {  // of its log, on other relays
    std::string phase;
    std::int64_t have = 0, wanted = 0, lag = 0, epoch = 0;
    bool whole() const { return phase == "owning" && have >= wanted; }
  };
  std::optional<Copies> copies;       // only if its log is replicated
  std::optional<RelayStatus> status;  // only in the answer for a single instance
  std::int64_t status_age_ms = 0;
};

struct Step {
  std::string instance, state, what;
  std::int64_t since_ms = 0;
};

struct Operation {
  std::int64_t id = 0, generation = 0, created_ms = 0, ended_ms = 0, superseded_by = 0;
  std::string kind, by, state, message;
  std::vector<Step> steps;
  std::vector<std::string> diff;
  bool running() const { return state == "running"; }
};

struct Attempt {
  std::int64_t at_ms = 0;
  std::string zone, outcome;
};

struct FoundMessage {
  std::string instance, id, message_class, state, doubt;
  std::string tenant, destination;  // as text, whether the JSON has text or a number
  std::int64_t number = 0, deadline_ms = 0;
  std::vector<Attempt> attempts;
};

struct MessageAnswer {
  std::vector<FoundMessage> found;
  std::vector<std::string> not_asked;
};

// The name of the relay that takes over, from the answer to a takeover request.
std::string read_new_owner(const std::string& json);

// The error object of an answer. `with` is the conflicting operation, if the error is a conflict.
struct AgentError {
  std::string code, message, hint;
  struct Holder {
    std::int64_t operation = 0, since_ms = 0;
    std::string kind, by;
    std::vector<std::string> names;
  };
  std::optional<Holder> with;
};

AgentInfo read_agent(const std::string& json);
std::vector<Instance> read_instances(const std::string& json, std::int64_t& generation);
Instance read_instance(const std::string& json);
Operation read_operation(const std::string& json);
std::vector<Operation> read_operations(const std::string& json);
MessageAnswer read_message(const std::string& json);
std::int64_t read_generation(const std::string& json);
// Empty if the body is not an error object.
std::optional<AgentError> read_error(const std::string& json);
// Throws MalformedAnswer unless the text is one JSON value.
void check_json(const std::string& json);

}  // namespace heronvane::cli
