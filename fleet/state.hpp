// Internals of the decider, in two layers: the steps of operations set the desired state in the rows, and
// convergence brings the processes to that state, also after an operation was ended early.
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

// The volatile state of an instance, from events; lost when the agent ends. A time of 0: it has not happened.
struct Observed {
  // Of its current process, the run in the row.
  bool awaiting_adoption = false;  // after the agent's start: neither Adopted nor NotFound has arrived
  bool spawn_pending = false;      // Spawn is not answered yet
  int pid = 0;
  Microseconds started = 0;
  std::optional<event::StatusSeen> status;  // the last answer
  bool status_in_step = false;              // `status` arrived after the current step began
  bool status_missed = false;               // the last status request got no answer
  Microseconds answered_at = 0;             // time of the last answer, or of the start
  Microseconds ready_since = 0;
  Microseconds term_sent_at = 0, kill_sent_at = 0;
  bool ended_by_agent = false;  // ended by check_process() (silent, or no state folder), not by an operator
  bool state_folder_missing = false;
  bool fence_answered = false;  // the step's AskFence was answered `ok` or `failed`
  Microseconds first_admin_call_at = 0, next_admin_call_at = 0;  // next: not to be repeated earlier
  int admin_attempts = 0;
  std::string admin_error;

  // The end of the run, until it is recorded.
  struct End {
    bool unobserved = false;  // the exit status is unknown
    std::string text;
    std::optional<OperationId> drained;
  };
  std::optional<End> end;

  // Kept across processes.
  OperationId foreign_fence = 0;  // highest fence of another client; the relay refuses lower ones
  std::deque<Microseconds> crashes;
  int backoffs = 0;
  Microseconds next_start = 0;
  bool looping = false;
  Microseconds step_timer_start = 0;  // start of the step's ready_timeout
  bool started_in_step = false;
  int step_crashes = 0;
  std::string last_crash;
  Phase phase = Phase::absent;
  Microseconds phase_since = 0;

  void new_run(Microseconds now);  // resets the fields of the current process
};

struct Decider::State {
  using Actions = std::vector<Action>;
  using Hook = std::function<void(Microseconds, Actions&)>;
  using Queued = std::variant<event::Command, event::Cancel>;

  State(Restored restored, std::uint64_t seed, Tuning tuning);

  Tuning tuning;
  std::uint64_t random;
  Durable recorded;  // as acknowledged by the database
  Durable working;   // `recorded` and the changes of the next record
  std::map<std::string, Observed, std::less<>> observations;
  std::deque<Queued> queue;
  std::vector<std::string> repairs;  // log lines of the constructor

  // The unacknowledged record, or the changes that the next one will hold.
  RecordId last_record = 0;
  bool record_pending = false;
  std::set<std::string> dirty_rows;
  std::set<OperationId> dirty_operations;
  bool dirty_fleet = false;
  bool dirty_counters = false;
  std::vector<Hook> recorded_hooks;          // run when the record is acknowledged
  std::optional<RequestId> pending_request;  // the request in this record; gets Storage if the record fails
  Microseconds retry_record_at = 0;          // after a failed record; 0: none failed
  std::set<std::string> begun_instances;     // steps begun in this round; they act after the record

  // What the next round examines; `all_due`: every instance and running operation.
  bool all_due = true;
  std::set<std::string> due_instances;
  std::set<OperationId> due_operations;
  // Steps of running operations that have not ended, as recorded; at most one per instance.
  std::map<std::string, std::pair<OperationId, std::size_t>, std::less<>> open_steps;

  Microseconds timer_at = 0;  // expiry of the pending timer; 0: none

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

  void on(Microseconds now, const event::Command& event, Actions& actions);
  void on(Microseconds now, const event::Cancel& event, Actions& actions);
  void on(Microseconds now, const event::Recorded& event, Actions& actions);
  void on(Microseconds now, const event::RecordFailed& event, Actions& actions);
  void on(Microseconds now, const event::Spawned& event, Actions& actions);
  void on(Microseconds now, const event::SpawnFailed& event, Actions& actions);
  void on(Microseconds now, const event::Exited& event, Actions& actions);
  void on(Microseconds now, const event::StatusSeen& event, Actions& actions);
  void on(Microseconds now, const event::StatusMissed& event, Actions& actions);
  void on(Microseconds now, const event::Answered& event, Actions& actions);
  void on(Microseconds now, const event::Adopted& event, Actions& actions);
  void on(Microseconds now, const event::NotFound& event, Actions& actions);
  void on(Microseconds now, const event::StateFolderMissing& event, Actions& actions);
  void on(Microseconds now, const event::TimerExpired& event, Actions& actions);
  void ended(Microseconds now, const std::string& name, Observed::End end, Actions& actions);
  Observed* find_process(const std::string& name, const std::string& run);  // nullptr: not the row's live run

  // commands.cpp
  // True: there is something to record.
  bool decide(Microseconds now, const event::Command& command, Actions& actions);
  bool decide(Microseconds now, const event::Cancel& cancel, Actions& actions);
  void accept(Microseconds now, const event::Command& command, Plan made);
  void end_early(Microseconds now, Operation& operation, OperationState state);

  // converge.cpp
  void apply_observations(Microseconds now, const std::string& name);
  void converge(Microseconds now, const std::string& name);
  bool check_process(Microseconds now, const InstanceRow& row,
                     const Step* step);  // false: the process has to end
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
  const Step* acting(const std::string& name) const;  // the instance's acting step, or nullptr
  bool available(Microseconds now, const InstanceRow& row) const;
};

inline bool ending(const InstanceRow& row) {
  return row.desired == Desired::stopped || (!row.retire.empty() && row.retire == row.run);
}

}  // namespace heronvane::fleet
