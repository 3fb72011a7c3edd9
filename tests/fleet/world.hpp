// A machine in simulated time for tests of the decider: processes that start, become ready, crash, stall and
// drain, a database that may fail, an agent that may be killed. Checks every action against the recorded rows
// and collects the violated rules.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/decider.hpp"

namespace heronvane::fleet::test {

constexpr Microseconds ms = 1'000;
constexpr Microseconds second = 1'000'000;

// A fleet with these instances, on ports from 8081. An instance with the part `crashes`, its own or common,
// crashes at its start.
FleetSpec fleet_of(const std::vector<std::string>& names, int max_unavailable = 1);

// The rows of the acknowledged records.
struct Database {
  Generation generation = 0;
  OperationId last_operation = 0;
  std::map<Generation, FleetSpec> fleets;
  std::map<std::string, InstanceRow> instances;
  std::map<OperationId, Operation> operations;

  void apply(const action::Record& record);
  Restored restored() const;
  const FleetSpec* fleet(Generation generation) const;  // in force at that generation
};

struct Process {
  std::string run;
  int pid = 0;
  Microseconds started = 0;
  Microseconds ready_at = 0;
  bool draining = false;
  bool stalled = false;
  bool stopping = false;
  bool awaits_drain_end = false;
  Generation generation = 0;
};

// The content of a state folder; outlives the process.
struct Folder {
  Generation config = 0;
  OperationId fence = 0;
  bool drain = false;
  int held = 0;
  std::optional<std::pair<OperationId, std::string>> drained;  // fence, run
};

struct Behaviour {
  Microseconds start_to_ready = 200 * ms;
  Microseconds term_takes = 100 * ms;
  Microseconds drain_takes = 700 * ms;
  double crash = 0;                      // probability per second and process
  double stall = 0;                      // likewise
  Microseconds stall_for = 15 * second;  // 0: until killed
  double record_fails = 0;               // probability per record
  double spawn_fails = 0;                // probability per spawn
  Microseconds record_takes = 5 * ms;
  Microseconds jitter = 0;  // most random time added to each delay
};

class World {
 public:
  explicit World(std::uint64_t seed, Behaviour how = {}, Tuning tuning = {});

  Behaviour how;
  Database database;
  std::map<std::string, Process> processes;
  std::map<std::string, Folder> folders;
  std::map<std::string, int> starts;    // number of started processes, by instance
  std::vector<std::string> violations;  // violated rules, with time
  std::map<RequestId, Verdict> verdicts;
  std::vector<std::pair<RequestId, Verdict>> replies;  // in order
  std::map<RequestId, Microseconds> sent_at, replied_at;
  std::map<RequestId, event::Command> commands;
  std::map<OperationId, event::Command> accepted;
  std::vector<std::string> trace;      // actions on processes and folders
  std::vector<Microseconds> trace_at;  // time of each
  bool disk_full = false;
  Microseconds now = 1'700'000'000 * second;

  // Called before each action; true kills the agent there, and the action is not performed.
  std::function<bool(const Action&)> kill_before;
  // Whether an unacknowledged record becomes durable although the agent is killed.
  bool record_survives_kill = false;
  int agent_kills = 0;
  bool disturbed = false;  // a process crashed: the decider's observations may be outdated

  Decider& decider() { return *decider_; }
  bool agent() const { return decider_ != nullptr; }
  RequestId command(event::Command command);
  RequestId cancel(OperationId operation);
  void kill_agent();
  void start_agent();
  void suspend(Microseconds time);  // the whole machine is suspended
  void crash(const std::string& name);
  void run(Microseconds time);
  // Runs until the condition holds; false: it did not within that time.
  bool until(const std::function<bool()>& condition, Microseconds within);
  Phase phase(const std::string& name);
  bool ended(OperationId operation) const;
  const Operation& operation(OperationId id) const { return database.operations.at(id); }
  // Sends a command and waits for its verdict. Returns the operation; 0: not accepted.
  OperationId submit(Kind kind, std::vector<std::string> names,
                     std::optional<int> max_unavailable = std::nullopt);
  OperationId apply(const FleetSpec& fleet);
  OperationId wait_until_ended(OperationId id,
                               Microseconds within = 300 * second);  // returns `id`; 0: it did not end
  bool converged() const;  // no operation runs and each instance is in its desired state
  const Verdict* verdict(RequestId request) const;
  void at(Microseconds when, std::function<void()> what);
  double chance() { return std::uniform_real_distribution<>()(random_); }
  std::size_t pick(std::size_t below) { return static_cast<std::size_t>(random_() % below); }

 private:
  struct ScheduledAction {
    Microseconds at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const ScheduledAction& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void handle(const Event& event);
  void deliver_later(Microseconds delay, Event event);  // dropped if the agent is killed before
  void carry_out(const Action& action);
  void perform(const action::Record& action);
  void perform(const action::WriteConfig& action);
  void perform(const action::Spawn& action);
  void perform(const action::Signal& action);
  void perform(const action::AskDrain& action);
  void perform(const action::AskUndrain& action);
  void perform(const action::AskFence& action);
  void perform(const action::Removed& action);
  void perform(const action::SetTimer& action);
  void perform(const action::Reply& action);
  void perform(const action::OperationChanged&) {}
  void perform(const action::Log&) {}
  template <class Ask>
  void call(const Ask& action, AdminCall call);
  void start_draining(const std::string& name);
  void check_rows();
  void check_done(const Step& step);
  void add_trace(std::string what);
  void poll(const std::string& name, const std::string& run);
  void end_process(const std::string& name, const std::string& run, int status, int signal);
  void schedule_faults();
  void expect(bool holds, const std::string& rule);
  Microseconds with_jitter(Microseconds time) {
    return time + (how.jitter > 0
                       ? static_cast<Microseconds>(random_() % static_cast<std::uint64_t>(how.jitter))
                       : 0);
  }
  const InstanceRow* row(const std::string& name) const;

  Tuning tuning_;
  std::mt19937_64 random_;
  std::unique_ptr<Decider> decider_;
  int incarnation_ = 0;
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>> scheduled_;
  std::uint64_t order_ = 0;
  std::optional<action::Record> unacknowledged_record_;
  RecordId last_record_ = 0;
  std::uint64_t timer_ = 0;
  RequestId requests_ = 0;
  int pids_ = 100;
};

}  // namespace heronvane::fleet::test
