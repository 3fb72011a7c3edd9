// A machine in simulated time for the decider: processes that start, get ready, crash, stall and drain, a
// database that may fail, an agent that may be killed. It holds every action against the rows that are
// recorded, and counts what breaks a rule.
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

// Instances listen on ports from 8081. One with the part `crashes`, its own or common, crashes as it starts.
FleetSpec fleet_of(const std::vector<std::string>& names, int max_unavailable = 1);

// The database: rows as acknowledged records left them.
struct Database {
  Generation generation = 0;
  OperationId last_operation = 0;
  std::map<Generation, FleetSpec> fleets;
  std::map<std::string, InstanceRow> instances;
  std::map<OperationId, Operation> operations;

  void apply(const action::Record& record);
  Restored restored() const;
  const FleetSpec* fleet(Generation generation) const;  // in force then
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

// What a state folder holds: it outlives the process.
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
  double crash = 0;  // chances each second and process
  double stall = 0;
  Microseconds stall_for = 15 * second;  // unless it is killed; 0: for ever
  double record_fails = 0;
  double spawn_fails = 0;
  Microseconds record_takes = 5 * ms;
  Microseconds jitter = 0;  // added to what takes time, drawn
};

class World {
 public:
  explicit World(std::uint64_t seed, Behaviour how = {}, Tuning tuning = {});

  Behaviour how;
  Database database;
  std::map<std::string, Process> processes;
  std::map<std::string, Folder> folders;
  std::map<std::string, int> starts;  // processes started, by instance
  std::vector<std::string> broken;    // rules that were broken
  std::map<RequestId, Verdict> verdicts;
  std::vector<std::pair<RequestId, Verdict>> told;  // in their order
  std::map<RequestId, Microseconds> sent_at, told_at;
  std::map<RequestId, event::Command> asked;
  std::map<OperationId, event::Command> accepted;
  std::vector<std::string> trace;      // actions that act, and
  std::vector<Microseconds> trace_at;  // when
  bool disk_full = false;
  Microseconds now = 1'700'000'000 * second;

  // Called before each action that is carried out; true kills the agent there (the action is lost).
  std::function<bool(const Action&)> kill_here;
  // Where the agent is killed: whether a record that is out stands all the same.
  bool record_stands = false;
  int killed = 0;
  bool misfortunes = false;  // there was one: what is seen may be old

  Decider& decider() { return *decider_; }
  bool agent() const { return decider_ != nullptr; }
  RequestId command(event::Command command);
  RequestId cancel(OperationId operation);
  void kill_agent();
  void start_agent();
  void sleep(Microseconds time);  // nothing runs meanwhile
  void crash(const std::string& name);
  void run(Microseconds time);
  // Until the condition holds; false: not within that time.
  bool until(const std::function<bool()>& condition, Microseconds within);
  Phase phase(const std::string& name);
  bool ended(OperationId operation) const;
  const Operation& operation(OperationId id) const { return database.operations.at(id); }
  // A command by name, accepted at once; 0: it was not.
  OperationId ask(Kind kind, std::vector<std::string> names,
                  std::optional<int> max_unavailable = std::nullopt);
  OperationId apply(const FleetSpec& fleet);
  OperationId finish(OperationId id, Microseconds within = 300 * second);  // id; 0: it did not end
  bool at_rest() const;  // no operation runs, each instance is what its row desires
  const Verdict* verdict(RequestId request) const;
  void at(Microseconds when, std::function<void()> what);
  double chance() { return std::uniform_real_distribution<>()(random_); }
  std::size_t pick(std::size_t below) { return static_cast<std::size_t>(random_() % below); }

 private:
  struct Due {
    Microseconds at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Due& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  void give(const Event& event);
  void later(Microseconds delay, Event event);  // to this life of the agent
  void carry_out(const Action& action);
  void act(const action::Record& a);
  void act(const action::WriteConfig& a);
  void act(const action::Spawn& a);
  void act(const action::Signal& a);
  void act(const action::AskDrain& a);
  void act(const action::AskUndrain& a);
  void act(const action::AskFence& a);
  void act(const action::Removed& a);
  void act(const action::SetTimer& a);
  void act(const action::Reply& a);
  void act(const action::OperationChanged&) {}
  void act(const action::Log&) {}
  template <class Ask>
  void call(const Ask& a, AdminCall call);
  void start_draining(const std::string& name);
  void check_rows();
  void check_done(const Step& step);
  void note(std::string what);
  void poll(const std::string& name, const std::string& run);
  void exits(const std::string& name, const std::string& run, int status, int signal);
  void misfortune();
  void expect(bool holds, const std::string& rule);
  Microseconds some(Microseconds time) {
    return time + (how.jitter > 0
                       ? static_cast<Microseconds>(random_() % static_cast<std::uint64_t>(how.jitter))
                       : 0);
  }
  const InstanceRow* row(const std::string& name) const;

  Tuning tuning_;
  std::mt19937_64 random_;
  std::unique_ptr<Decider> decider_;
  int life_ = 0;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0;
  std::optional<action::Record> out_;
  RecordId last_record_ = 0;
  std::uint64_t timer_ = 0;
  RequestId requests_ = 0;
  int pids_ = 100;
};

}  // namespace heronvane::fleet::test
