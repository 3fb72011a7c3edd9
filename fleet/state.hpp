// Inside of the decider. Two layers: steps of operations set what the rows desire; convergence makes the
// processes so, and goes on where an operation was ended early.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decider.hpp"
#include "plan.hpp"

namespace heronvane::fleet {

// What is seen of an instance; lost with the agent. Times of 0: not so.
struct Observed {
  // Its process: the run of the row.
  bool awaiting_adoption = false;  // after the agent's start: neither Adopted nor NotFound has come
  bool spawn_pending = false;      // Spawn is out
  int pid = 0;
  Microseconds started = 0;
  std::optional<event::StatusSeen> status;
  bool status_in_step = false;   // that came since the step began
  bool status_missed = false;    // the last question had no answer
  Microseconds answered_at = 0;  // or the start
  Microseconds ready_since = 0;
  Microseconds term_sent_at = 0, kill_sent_at = 0;
  bool ended_by_agent = false;  // it ends because of its state, not by an operator
  bool state_folder_missing = false;
  bool fence_answered = false;  // AskFence of this step: with ok or in vain
  Microseconds first_admin_call_at = 0,
               next_admin_call_at = 0;  // admin calls: the first, and when the next may go out
  int admin_attempts = 0;
  std::string admin_error;

  // An end that is not recorded yet.
  struct End {
    bool unobserved = false;  // how is not known
    std::string text;
    std::optional<OperationId> drained;
  };
  std::optional<End> end;

  // Over its processes.
  OperationId foreign_fence = 0;  // calls lower than this are refused
  std::deque<Microseconds> crashes;
  int backoffs = 0;
  Microseconds next_start = 0;
  bool looping = false;
  Microseconds step_timer_start = 0;  // since then the step's limits are reckoned
  bool started_in_step = false;
  int step_crashes = 0;
  std::string last_crash;
  Phase phase = Phase::absent;
  Microseconds phase_since = 0;

  void new_run(Microseconds now);  // forgets what was the earlier process's
};

struct Decider::State {
  using Actions = std::vector<Action>;
  using Hook = std::function<void(Microseconds, Actions&)>;
  using Queued = std::variant<event::Command, event::Cancel>;

  State(Restored restored, std::uint64_t seed, Tuning tuning);

  Tuning tuning;
  std::uint64_t random;
  Durable recorded;  // what is recorded
  Durable working;   // and what is decided beyond it, to be recorded
  std::map<std::string, Observed, std::less<>> observations;
  std::deque<Queued> queue;
  std::vector<std::string> repairs;

  // The record that is out, or in the making.
  RecordId last_record = 0;
  bool record_pending = false;
  std::set<std::string> dirty_rows;
  std::set<OperationId> dirty_operations;
  bool dirty_fleet = false;
  bool dirty_counters = false;
  std::vector<Hook> recorded_hooks;  // run once it stands
  std::optional<RequestId> pending_request;
  Microseconds retry_record_at = 0;       // after a failed one
  std::set<std::string> begun_instances;  // steps begun in this round: they act once that stands

  // What is to be looked at in the next round; all where something may be due anywhere.
  bool all_due = true;
  std::set<std::string> due_instances;
  std::set<OperationId> due_operations;
  // Steps not ended of running operations, as recorded: one of an instance at most.
  std::map<std::string, std::pair<OperationId, std::size_t>, std::less<>> open_steps;

  Microseconds timer_at = 0;

  void handle(Microseconds now, const Event& event, Actions& actions);
  void detect_suspend(Microseconds now, Actions& actions);
  void run_round(Microseconds now, Actions& actions);
  void record(Actions& actions);
  void run_round_for(Microseconds now, const std::string& name, Actions& actions);
  void run_full_round(Microseconds now, Actions& actions);
  void update_open_steps(const Operation& operation);
  void commit(Microseconds now, Actions& actions);
  void revert(Microseconds now, const std::string& why, Actions& actions);
  void set_timer(Microseconds now, Actions& actions);
  InstanceView view(const InstanceRow& row) const;
  void update_phase(Microseconds now, const std::string& name);
  void prune_operations();
  InstanceRow& edit(const std::string& name);
  Operation& edit(OperationId id);
  void log(std::string text);
  std::uint64_t next_random();
  std::string new_run_id(Microseconds now);

  void on(Microseconds now, const event::Command& e, Actions& actions);
  void on(Microseconds now, const event::Cancel& e, Actions& actions);
  void on(Microseconds now, const event::Recorded& e, Actions& actions);
  void on(Microseconds now, const event::RecordFailed& e, Actions& actions);
  void on(Microseconds now, const event::Spawned& e, Actions& actions);
  void on(Microseconds now, const event::SpawnFailed& e, Actions& actions);
  void on(Microseconds now, const event::Exited& e, Actions& actions);
  void on(Microseconds now, const event::StatusSeen& e, Actions& actions);
  void on(Microseconds now, const event::StatusMissed& e, Actions& actions);
  void on(Microseconds now, const event::Answered& e, Actions& actions);
  void on(Microseconds now, const event::Adopted& e, Actions& actions);
  void on(Microseconds now, const event::NotFound& e, Actions& actions);
  void on(Microseconds now, const event::StateFolderMissing& e, Actions& actions);
  void on(Microseconds now, const event::TimerExpired& e, Actions& actions);
  void ended(Microseconds now, const std::string& name, Observed::End end, Actions& actions);
  Observed* find_process(const std::string& name, const std::string& run);  // nullptr: not the run of the row

  // commands.cpp
  bool decide(Microseconds now, const event::Command& command,
              Actions& actions);  // true: there is something to record
  bool decide(Microseconds now, const event::Cancel& cancel, Actions& actions);
  void accept(Microseconds now, const event::Command& command, Plan made);
  void end_early(Microseconds now, Operation& operation, OperationState state);

  // converge.cpp
  void apply_observations(Microseconds now, const std::string& name);
  void converge(Microseconds now, const std::string& name);
  bool check_process(Microseconds now, const InstanceRow& row, const Step* step);  // false: it shall end
  void keep_draining(Microseconds now, const InstanceRow& row);
  void keep_running(Microseconds now, const InstanceRow& row, const Step* step);
  void start(Microseconds now, const std::string& name);
  void call_admin(Microseconds now, const InstanceRow& row, AdminCall call);
  void count_crash(Microseconds now, Observed& observed);
  void raise_last_operation(OperationId fence);
  bool stalled(Microseconds now, const Observed& observed) const;
  Phase phase(Microseconds now, const InstanceRow& row, const Observed& observed) const;

  // steps.cpp
  void drive_operation(Microseconds now, OperationId id);
  void check_step(Microseconds now, OperationId id, std::size_t index);
  void begin_step(Microseconds now, OperationId id, std::size_t index);
  bool goal_reached(Microseconds now, const InstanceRow& row, const Step& step) const;
  void begin_eligible_steps(Microseconds now, OperationId id);
  void finish_step(Microseconds now, OperationId id, std::size_t index, StepState state, std::string what);
  const Step* acting(const std::string& name) const;  // the step that acts on it, or nullptr
  bool available(Microseconds now, const InstanceRow& row) const;
};

inline bool ending(const InstanceRow& row) {
  return row.desired == Desired::stopped || (!row.retire.empty() && row.retire == row.run);
}

}  // namespace heronvane::fleet
