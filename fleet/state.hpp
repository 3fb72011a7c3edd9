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
struct Seen {
  // Its process: the run of the row.
  bool pending = false;    // after the agent's start: neither Adopted nor NotFound has come
  bool spawn_out = false;  // Spawn is out
  int pid = 0;
  Microseconds started = 0;
  std::optional<event::StatusSeen> status;
  bool fresh = false;            // that came since the step began
  bool missed = false;           // the last question had no answer
  Microseconds answered_at = 0;  // or the start
  Microseconds ready_since = 0;
  Microseconds term_at = 0, kill_at = 0;
  bool watchdog = false;  // it ends because of its state, not by an operator
  bool folder_gone = false;
  bool fence_answered = false;              // AskFence of this step: with ok or in vain
  Microseconds ask_from = 0, ask_next = 0;  // admin calls: the first, and when the next may go out
  int asks = 0;
  std::string ask_why;

  // An end that is not recorded yet.
  struct End {
    bool gone = false;  // how is not known
    std::string text;
    std::optional<OperationId> drained;
  };
  std::optional<End> end;

  // Over its processes.
  OperationId fenced = 0;  // calls lower than this are refused
  std::deque<Microseconds> crashes;
  int backoffs = 0;
  Microseconds next_start = 0;
  bool looping = false;
  Microseconds step_from = 0;  // since then the step's limits are reckoned
  bool step_started = false;
  int step_crashes = 0;
  std::string step_why;
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
  Durable kept;     // what is recorded
  Durable working;  // and what is decided beyond it, to be recorded
  std::map<std::string, Seen, std::less<>> seen;
  std::deque<Queued> queue;
  std::vector<std::string> mended;

  // The record that is out, or in the making.
  RecordId last_record = 0;
  bool out = false;
  std::set<std::string> dirty_rows;
  std::set<OperationId> dirty_operations;
  bool dirty_fleet = false;
  bool dirty_counts = false;
  std::vector<Hook> hooks;  // run once it stands
  std::optional<RequestId> asker;
  Microseconds record_from = 0;  // after a failed one
  std::set<std::string> begun;   // steps begun in this round: they act once that stands

  // What is to be looked at in the next round; all where something may be due anywhere.
  bool woken_all = true;
  std::set<std::string> woken;
  std::set<OperationId> woken_operations;
  // Steps not ended of running operations, as recorded: one of an instance at most.
  std::map<std::string, std::pair<OperationId, std::size_t>, std::less<>> open_steps;

  Microseconds timer_at = 0;

  void handle(Microseconds now, const Event& event, Actions& actions);
  void wake(Microseconds now, Actions& actions);
  void drive(Microseconds now, Actions& actions);
  void record(Actions& actions);
  void drive_instance(Microseconds now, const std::string& name, Actions& actions);
  void drive_all(Microseconds now, Actions& actions);
  void note_open_steps(const Operation& operation);
  void commit(Microseconds now, Actions& actions);
  void revert(Microseconds now, const std::string& why, Actions& actions);
  void set_timer(Microseconds now, Actions& actions);
  InstanceView view(const InstanceRow& row) const;
  void note_phase(Microseconds now, const std::string& name);
  void forget();
  InstanceRow& edit(const std::string& name);
  Operation& edit(OperationId id);
  void log(std::string text);
  std::uint64_t draw();
  std::string draw_run(Microseconds now);

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
  void on(Microseconds now, const event::FolderGone& e, Actions& actions);
  void on(Microseconds now, const event::TimerExpired& e, Actions& actions);
  void ended(Microseconds now, const std::string& name, Seen::End end, Actions& actions);
  Seen* process(const std::string& name, const std::string& run);  // nullptr: not the run of the row

  // commands.cpp
  bool take(Microseconds now, const event::Command& command,
            Actions& actions);  // true: there is something to record
  bool take(Microseconds now, const event::Cancel& cancel, Actions& actions);
  void accept(Microseconds now, const event::Command& command, Plan made);
  void end_early(Microseconds now, Operation& operation, OperationState state);

  // converge.cpp
  void absorb(Microseconds now, const std::string& name);
  void converge(Microseconds now, const std::string& name);
  bool watch(Microseconds now, const InstanceRow& row, const Step* step);  // false: it shall end
  void keep_draining(Microseconds now, const InstanceRow& row);
  void keep_running(Microseconds now, const InstanceRow& row, const Step* step);
  void start(Microseconds now, const std::string& name);
  void ask(Microseconds now, const InstanceRow& row, Call call);
  void note_crash(Microseconds now, Seen& s);
  void note_fence(OperationId fence);
  bool stalled(Microseconds now, const Seen& s) const;
  Phase phase(Microseconds now, const InstanceRow& row, const Seen& s) const;

  // steps.cpp
  void drive_operation(Microseconds now, OperationId id);
  void judge(Microseconds now, OperationId id, std::size_t index);
  void begin(Microseconds now, OperationId id, std::size_t index);
  bool reached(Microseconds now, const InstanceRow& row, const Step& step) const;
  void begin_what_may(Microseconds now, OperationId id);
  void finish_step(Microseconds now, OperationId id, std::size_t index, StepState state, std::string what);
  const Step* acting(const std::string& name) const;  // the step that acts on it, or nullptr
  bool available(Microseconds now, const InstanceRow& row) const;
};

inline bool ending(const InstanceRow& row) {
  return row.desired == Desired::stopped || (!row.retire.empty() && row.retire == row.run);
}

}  // namespace heronvane::fleet
