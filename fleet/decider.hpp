// heronvane's fleet: the decisions of an agent that keeps relays on one machine.
//
// The agent passes events to one Decider (commands, process exits, answers from admin sockets, completed
// database writes) and performs the actions that it returns, in order. The decider never blocks, does no
// input or output, reads no clock and starts no thread: equal state, seed and events give equal actions.
//
// Restored is the persistent state. After the agent was killed, a new Decider continues from exactly the rows
// of the acknowledged records. An action that affects a process is returned only after Recorded has arrived
// for the record that describes it. At most one record is unacknowledged at a time; further decisions wait
// until it is acknowledged or fails.
//
// All times and durations are in microseconds. Time counts from the epoch on a clock that never goes back
// while the agent runs (the wall clock at its start, then the steady clock). Recorded times are for display;
// no decision depends on them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heronvane::fleet {

using Microseconds = std::int64_t;
using OperationId = std::uint64_t;  // also the fencing token of its admin calls; 0: none
using RecordId = std::uint64_t;     // ascending within one Decider; a new Decider starts at 1 again
using RequestId = std::uint64_t;    // assigned by the agent, returned in Reply
using Generation = std::uint64_t;

enum class Desired { running, drained, stopped };
enum class Phase {
  absent,
  starting,
  ready,
  unready,
  draining,
  drained,
  stopping,
  stopped,
  backoff,
  looping,
  stalled
};
enum class Kind { up, down, drain, undrain, restart, apply, rollback };
enum class OperationState { running, done, failed, cancelled, superseded };
enum class StepState { waiting, acting, done, failed, skipped };
enum class Signum { term, kill };
enum class AdminCall { drain, undrain, fence };  // requests to a relay's admin socket

// The value's name in the API, as in docs/design/fleet.md.
std::string_view name_of(Desired value);
std::string_view name_of(Phase value);
std::string_view name_of(Kind value);
std::string_view name_of(OperationState value);
std::string_view name_of(StepState value);

// A configuration as the decider sees it: parts by name (`limits.disk_mb`), with their values in the form
// that a diff shows. The decider only compares them; the agent interprets them.
using ConfigParts = std::map<std::string, std::string>;

struct InstanceSpec {
  std::string name;  // 1 to 64 characters of a-z 0-9 -, unique
  ConfigParts own;   // `listen` and other settings of this instance alone; a change restarts it
};
struct FleetSpec {
  int max_unavailable = 1;
  ConfigParts common;       // in the configuration of every instance; a change restarts all
  ConfigParts agent_parts;  // settings of the agent (the platform); in the diff, but restart nothing
  std::vector<InstanceSpec> instances;  // at most 1,000
  std::string text;                     // the fleet file as applied; stored and returned unread
};

// ---- persistent rows ----

struct InstanceRow {
  std::string name;
  std::string listen;  // own["listen"], for display
  Desired desired = Desired::stopped;
  Generation changed = 0;      // generation of the last accepted change that names it; decides staleness
  Generation wanted = 0;       // generation of the fleet whose configuration it should run with
  Generation config = 0;       // generation whose configuration its next start gets; 0: none yet
  std::string digest;          // of the parts that this configuration was made from
  OperationId fence = 0;       // fencing token: the last operation that acted on it
  std::string run;             // id of the last run, started or about to be started; empty: never started
  bool live = false;           // the run was recorded for a start and its end has not been seen
  int pid = 0;                 // of the run; 0: not known yet (the process may exist)
  std::string retire;          // id of a run that has to end and be replaced by a new one; empty: none
  bool drain_kept = false;     // its store may hold a drain mark: a start to run passes --undrain
  bool ended_drained = false;  // it exited after a drain and stays down until undrained
  bool removing = false;       // is removed from the fleet once drained
  std::uint64_t restarts = 0;  // starts after an exit that no operation requested
  std::string last_exit;       // "status 1", "signal 9", "drained", "gone" (exit not observed)
};

struct Step {
  std::string instance;
  StepState state = StepState::waiting;
  std::string what;  // progress or result, for display
  Microseconds since = 0;
  std::string run_before;  // the live run when the step began; empty: none
  // The kind of change. The steps of one apply or rollback differ by instance.
  enum class Work { start, stop, drain, undrain, restart, add, remove, rewrite } work = Work::start;
};
struct Operation {
  OperationId id = 0;  // 0 in a dry run's plan
  Kind kind = Kind::up;
  std::string by;
  OperationState state = OperationState::running;
  Generation generation = 0;  // the generation that it created
  int max_unavailable = 0;    // instances that it may have down at once; 0: no limit
  Microseconds created = 0;
  Microseconds ended = 0;
  std::string message;
  OperationId superseded_by = 0;
  std::vector<Step> steps;        // in the order in which they begin
  std::vector<std::string> diff;  // apply, rollback: lines for display
};

// The state read from the database. Rows in any order.
struct Restored {
  Generation generation = 0;
  OperationId last_operation = 0;
  FleetSpec fleet;  // the last applied fleet
  std::vector<InstanceRow> instances;
  std::vector<Operation>
      operations;  // all running ones, and at least the last 200 ended ones, if that many exist
};

// ---- events ----

namespace event {
// A request for a change. Answered by exactly one Reply.
struct Command {
  RequestId request = 0;
  Kind kind = Kind::up;
  bool all = false;                   // all instances; apply and rollback ignore both all and names
  std::vector<std::string> names;     // in any order; duplicates count once
  std::optional<Generation> against;  // stale if what it names has changed since (apply, rollback: anything)
  std::string by;
  std::optional<int> max_unavailable;  // at least 1
  bool supersede = false;
  bool dry_run = false;
  // apply: the new fleet. rollback: the fleet of generation `to`, read by the agent from its database; empty
  // if none is stored, and the command is then refused.
  std::optional<FleetSpec> fleet;
  Generation to = 0;
};
// Answered by exactly one Reply: Accepted with the cancelled operation, Ended or Unknown. Steps that have
// begun are not undone: their instances still converge to the desired state.
struct Cancel {
  RequestId request = 0;
  OperationId operation = 0;
};
struct Recorded {
  RecordId record = 0;
};  // the record is durable; records are acknowledged in order
struct RecordFailed {
  RecordId record = 0;
  std::string why;
};  // nothing of the record was written
struct Spawned {
  std::string name;
  int pid = 0;
  std::string run;
};
struct SpawnFailed {
  std::string name;
  std::string run;
  std::string why;
};  // no process of that run exists
struct Exited {
  std::string name;
  std::string run;
  int status = 0;  // exit status; valid if signal is 0
  int signal = 0;
  std::optional<OperationId> drained;  // the fence in the file `drained`, if that file names this run
};
struct StatusSeen {
  std::string name;
  std::string run;
  bool ready = false;
  bool draining = false;
  bool stopping = false;
  std::uint64_t held = 0;
  std::int64_t oldest_ms = 0;
  OperationId fence = 0;
  Generation generation = 0;
};
struct StatusMissed {
  std::string name;
  std::string run;
};  // a status request that got no answer, or none in time
// The result of an AskDrain, AskUndrain or AskFence; `failed` also if no answer came.
struct Answered {
  enum class Result { ok, fenced, failed };
  std::string name;
  std::string run;  // the run that was called
  AdminCall call = AdminCall::fence;
  Result result = Result::failed;
  OperationId highest = 0;  // fenced: the highest fence that the relay has seen
  std::string why;          // failed: the reason
};
// After the agent's start, each row with `live` gets exactly one Adopted or NotFound. The agent searches by
// run and not by pid alone, since it may have been killed between a process start and its record.
struct Adopted {
  std::string name;
  int pid = 0;
  std::string run;
};
struct NotFound {
  std::string name;
  std::string run;
  std::optional<OperationId> drained;  // as in Exited
};
struct StateFolderMissing {
  std::string name;
};  // its state folder no longer exists
struct TimerExpired {};
}  // namespace event

using Event =
    std::variant<event::Command, event::Cancel, event::Recorded, event::RecordFailed, event::Spawned,
                 event::SpawnFailed, event::Exited, event::StatusSeen, event::StatusMissed, event::Answered,
                 event::Adopted, event::NotFound, event::StateFolderMissing, event::TimerExpired>;

// ---- actions ----

// The result of a request.
namespace verdict {
struct Accepted {
  Operation operation;
};  // its record is durable
struct Conflict {
  OperationId with = 0;
  Kind kind = Kind::up;
  std::string by;
  Microseconds since = 0;
  std::vector<std::string> names;
};
struct Stale {
  Generation generation = 0;
  std::vector<std::string> names;
};  // the current generation, and the instances changed since `against`
struct Refused {
  std::string why;
};  // not possible in the current state: why
struct Malformed {
  std::string why;
};  // an invalid name, number or field
struct Unknown {
  std::string what;
};  // no instance or operation of that name or id
struct Ended {
  Operation operation;
};  // Cancel of an operation that has already ended
struct Storage {
  std::string why;
};               // the record failed; nothing has changed
struct Busy {};  // max_pending_commands are waiting already
struct Plan {
  Operation operation;
};  // dry run: the operation that would be made, with id 0
}  // namespace verdict
using Verdict =
    std::variant<verdict::Accepted, verdict::Conflict, verdict::Stale, verdict::Refused, verdict::Malformed,
                 verdict::Unknown, verdict::Ended, verdict::Storage, verdict::Busy, verdict::Plan>;

namespace action {
// To be written in one transaction and answered by Recorded or RecordFailed; the next Record follows only
// after that answer. Rows replace those of the same key. Without an answer the decider makes no further
// progress.
struct Record {
  RecordId record = 0;
  std::vector<Operation> operations;  // complete, with their steps
  std::vector<InstanceRow> instances;
  std::vector<std::string> removed;  // names of instance rows to delete
  Generation generation = 0;         // the value after this record
  OperationId last_operation = 0;
  std::optional<FleetSpec> fleet;  // applied as `generation`; stored under it for WriteConfig and rollback
};
// Write the instance's configuration from the fleet recorded for `generation`, atomically. Precedes each
// Spawn; writing it again is harmless. If it can't be written, answer the following Spawn with SpawnFailed.
struct WriteConfig {
  std::string name;
  Generation generation = 0;
};
// Answered by Spawned or SpawnFailed. No earlier run of that instance is alive.
struct Spawn {
  std::string name;
  std::string run;
  std::optional<OperationId> undrain;
};
// No effect if that run has ended.
struct Signal {
  std::string name;
  std::string run;
  Signum signal = Signum::term;
};
// AskDrain, AskUndrain, AskFence: answered by Answered; repeats are harmless.
struct AskDrain {
  std::string name;
  std::string run;
  OperationId fence = 0;
};
struct AskUndrain {
  std::string name;
  std::string run;
  OperationId fence = 0;
};
struct AskFence {
  std::string name;
  std::string run;
  OperationId fence = 0;
};
// The instance was drained and left the fleet; its row is deleted and its folder may be deleted.
struct Removed {
  std::string name;
};
struct SetTimer {
  Microseconds at = 0;
};  // replaces the earlier timer
struct Reply {
  RequestId request = 0;
  Verdict verdict;
};
struct OperationChanged {
  OperationId operation = 0;
};  // for followers of the operation; only after the change was recorded
struct Log {
  std::string text;
};
}  // namespace action

using Action = std::variant<action::Record, action::WriteConfig, action::Spawn, action::Signal,
                            action::AskDrain, action::AskUndrain, action::AskFence, action::Removed,
                            action::SetTimer, action::Reply, action::OperationChanged, action::Log>;

// ---- the decider ----

struct Tuning {
  // Delay before a crashed instance restarts: doubled from backoff_initial to backoff_max, then drawn between
  // half of it and all of it. After backoff_reset in the state ready the doubling starts over.
  Microseconds backoff_initial = 500'000;
  Microseconds backoff_max = 30'000'000;
  Microseconds backoff_reset = 60'000'000;
  // An instance that crashes loop_crash_count times within loop_window is in the phase looping.
  int loop_crash_count = 5;
  Microseconds loop_window = 60'000'000;
  // An instance whose admin socket does not answer is stalled after stalled_after and gets SIGKILL after
  // stalled_kill_after, or already after stalled_after if an operation's step acts on it.
  Microseconds stalled_after = 3'000'000;
  Microseconds stalled_kill_after = 10'000'000;
  Microseconds first_status_timeout = 30'000'000;  // for the first answer: reading its store may take long
  // A step fails if its instance is not ready after ready_timeout or has crashed step_crash_limit times.
  Microseconds ready_timeout = 30'000'000;
  int step_crash_limit = 3;
  Microseconds term_grace = 5'000'000;          // from SIGTERM to SIGKILL
  Microseconds admin_retry_delay = 1'000'000;   // before the first repeat of an admin call; doubles
  Microseconds record_retry_delay = 1'000'000;  // after a failed record
  Microseconds timer_interval = 500'000;  // longest time to the next timer, while there is work or a row
  // A timer that expires later than this means that the machine or the agent was suspended: that time does
  // not count as silence of the instances.
  Microseconds suspend_threshold = 2'000'000;
  std::size_t operations_kept = 200;      // ended operations kept in memory
  std::size_t max_pending_commands = 64;  // commands and cancels that wait for a record
  std::size_t max_instances = 1000;
};

// The current state of an instance; with its row, the instance object of the API.
struct InstanceView {
  const InstanceRow* row = nullptr;
  Phase phase = Phase::absent;
  Microseconds since = 0;       // time at which the phase began
  Microseconds next_start = 0;  // backoff, looping: time of the next start; else 0
  bool ready = false;
  std::uint64_t held = 0;  // messages held, as last reported
  std::int64_t oldest_ms = 0;
  Generation generation = 0;  // of the configuration that its process reported; 0: none
  OperationId operation = 0;  // with an open step for this instance; 0: none
};

class Decider {
 public:
  // Contradictions in the rows (a step of an instance that has no row) are repaired and logged by the first
  // handle().
  Decider(Restored state, std::uint64_t seed, Tuning tuning = {});
  ~Decider();
  Decider(Decider&&) noexcept;
  Decider& operator=(Decider&&) noexcept;

  // Handles one event and appends the resulting actions to `actions`. `now` must never decrease. The first
  // call may be for any event; the agent sends TimerExpired once at its start. Events about unknown instances
  // or earlier runs are ignored.
  void handle(Microseconds now, const Event& event, std::vector<Action>& actions);

  // Views of the recorded state, valid until the next handle().
  Generation generation() const;
  const FleetSpec& fleet() const;
  std::vector<InstanceView> instances() const;  // sorted by name
  std::optional<InstanceView> instance(std::string_view name) const;
  std::vector<const Operation*> operations(std::size_t limit) const;  // newest first
  const Operation* operation(OperationId id) const;  // nullptr: unknown, or ended and no longer kept
  OperationId running_operation() const;             // the newest running one; 0: none

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace heronvane::fleet
